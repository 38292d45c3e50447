// The cap on concurrent attempts of a plan.
#include <gtest/gtest.h>

#include <algorithm>
#include <utility>

#include "support/engine_harness.hpp"

namespace quota_gateway::testing {
namespace {

TEST(ConcurrencyCap, ElevenGatewaysDoNotEachAdmitMoreThanTheCap) {
  Settings settings = basic_settings();
  settings.gateway_count = 11;
  settings.plans[0].rate = settings.plans[0].burst = 0;
  settings.plans[0].max_concurrent_attempts = 2;
  int attempts = 0;
  for (int g = 0; g < 11; ++g) {
    settings.gateway_index = g;
    EngineHarness engine(settings);
    for (int i = 0; i < 400; ++i) {  // heavy demand at each gateway
      RequestArrived request = EngineHarness::request(numbered("x", i), i * kMillisecond);
      request.gateway_set_size = 11;
      attempts += int(actions_of<SendAttempt>(engine.step(i * kMillisecond, {request})).size());
    }
  }
  EXPECT_LE(attempts, 11 * 2);  // never more than the cap here
}

TEST(ConcurrencyCap, GatewaysTogetherStayUnderTheCap) {
  for (const auto& [cap, gateways] : {std::pair{2, 2}, {5, 2}, {7, 3}, {3, 4}}) {
    Settings settings = basic_settings();
    settings.gateway_count = gateways;
    settings.plans[0].rate = settings.plans[0].burst = 1000;
    settings.plans[0].max_concurrent_attempts = cap;
    int attempts = 0;
    for (settings.gateway_index = 0; settings.gateway_index < gateways; ++settings.gateway_index) {
      EngineHarness engine(settings);
      for (int i = 0; i < 20; ++i) {
        RequestArrived request = EngineHarness::request(numbered("x", i), kMillisecond);
        request.gateway_set_size = gateways;
        attempts += int(actions_of<SendAttempt>(engine.step(kMillisecond, {request})).size());
      }
    }
    EXPECT_LE(attempts, std::max(cap, gateways)) << cap << " over " << gateways;  // but no gateway is starved
    EXPECT_GE(attempts, cap) << cap << " over " << gateways;
  }
}

TEST(ConcurrencyCap, RetryAfterCoversTheExpectedEndOfAnAttempt) {
  Settings settings = basic_settings();
  settings.plans[0].rate = settings.plans[0].burst = 1000;
  settings.plans[0].max_concurrent_attempts = 2;  // one at each of two gateways
  EngineHarness engine(settings);
  ASSERT_EQ(actions_of<SendAttempt>(engine.arrive(kMillisecond, "one")).size(), 1u);
  const auto rejections = actions_of<RejectRequest>(engine.arrive(2 * kMillisecond, "two"));
  ASSERT_EQ(rejections.size(), 1u);
  EXPECT_GE(rejections[0].retry_after,
            80 * kMillisecond);  // a sixth of the latency objective, before there are responses
  EXPECT_LE(rejections[0].retry_after, 165 * kMillisecond);
}

}  // namespace
}  // namespace quota_gateway::testing
