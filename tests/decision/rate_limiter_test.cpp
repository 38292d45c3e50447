// The hard rate limit of a plan.
#include <gtest/gtest.h>

#include <vector>

#include "support/engine_harness.hpp"

namespace quota_gateway::testing {
namespace {

TEST(RateLimiter, AssumesOnlyQuotaBurstIsSpentAfterRestart) {
  Settings settings = basic_settings();
  settings.plans[0].hard_limit_rate = 20;
  settings.plans[0].hard_limit_burst = 32;  // 12 more than the quota's burst; this gateway's share is 6
  EngineHarness engine(settings);
  EXPECT_EQ(engine.burst(kMillisecond, 8), 6);
  EXPECT_EQ(engine.burst(101 * kMillisecond, 3), 1);  // this gateway's share is 10 units per second
}

TEST(RateLimiter, AllowsFullShareToCustomerFirstSeenLongAfterStart) {
  Settings settings = basic_settings();
  settings.plans[0].hard_limit_rate = 20;
  settings.plans[0].hard_limit_burst = 24;
  EngineHarness engine(settings);
  RequestArrived first = EngineHarness::request("other", kSecond);
  first.customer = "c2";
  engine.step(kSecond, {first});
  EXPECT_EQ(engine.burst(10 * kSecond, 10), 10);  // of 12: a predecessor's burst would have refilled by now
}

TEST(RateLimiter, HoldsWithoutCounter) {
  Settings settings = basic_settings();
  settings.plans[0].rate = 1000;
  settings.plans[0].burst = 1000;
  settings.plans[0].hard_limit_rate = 20;
  settings.plans[0].hard_limit_burst = 40;
  EngineHarness engine(settings);
  int admitted = 0;
  for (int i = 0; i < 100; ++i) admitted += engine.burst(i * 50 * kMillisecond, 4);
  EXPECT_LE(admitted, 10 * 5 + 20);
  EXPECT_GE(admitted, 40);
}

TEST(RateLimiter, AdvisesRetryAfterTimeUntilRequestIsAllowed) {
  Settings settings = basic_settings();
  settings.plans[0].rate = settings.plans[0].burst = 1000;
  settings.plans[0].hard_limit_rate = 20;  // 10 units per second at each of two gateways
  settings.plans[0].hard_limit_burst = 4;
  settings.has_counter = false;
  EngineHarness engine(settings);
  TimePoint now = 10 * kSecond;
  std::vector<RejectRequest> rejections;
  for (int i = 0; i < 40 && rejections.empty(); ++i)
    rejections = actions_of<RejectRequest>(engine.arrive(++now, numbered("r", i)));
  ASSERT_EQ(rejections.size(), 1u);
  EXPECT_GE(rejections[0].retry_after, 80 * kMillisecond);
  EXPECT_LE(rejections[0].retry_after, 100 * kMillisecond);
}

}  // namespace
}  // namespace quota_gateway::testing
