// The concurrency cap of a plan.
#include <gtest/gtest.h>

#include <algorithm>
#include <utility>

#include "support/engine_harness.hpp"

namespace quota_gateway::testing {
namespace {

TEST(ConcurrencyCap, LimitsEachGatewayWhenGatewaysOutnumberCap) {
  Settings settings = basic_settings();
  settings.gateway_count = 11;
  settings.plans[0].rate = settings.plans[0].burst = 0;
  settings.plans[0].max_concurrent_attempts = 2;
  int attempts = 0;
  for (int gateway = 0; gateway < 11; ++gateway) {
    settings.gateway_index = gateway;
    EngineHarness engine(settings);
    for (int i = 0; i < 400; ++i) {  // more demand than the cap at each gateway
      RequestArrived request = EngineHarness::request(numbered("x", i), i * kMillisecond);
      request.gateway_set_size = 11;
      attempts += int(actions_of<SendAttempt>(engine.step(i * kMillisecond, {request})).size());
    }
  }
  EXPECT_LE(attempts, 11 * 2);  // at most the cap at each gateway
}

TEST(ConcurrencyCap, HoldsOverAllGateways) {
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
    // Each gateway may have at least one attempt in flight.
    EXPECT_LE(attempts, std::max(cap, gateways)) << cap << " over " << gateways;
    EXPECT_GE(attempts, cap) << cap << " over " << gateways;
  }
}

TEST(ConcurrencyCap, AdvisesRetryAfterExpectedAttemptEnd) {
  Settings settings = basic_settings();
  settings.plans[0].rate = settings.plans[0].burst = 1000;
  settings.plans[0].max_concurrent_attempts = 2;  // one at each of two gateways
  EngineHarness engine(settings);
  ASSERT_EQ(actions_of<SendAttempt>(engine.arrive(kMillisecond, "one")).size(), 1u);
  const auto rejections = actions_of<RejectRequest>(engine.arrive(2 * kMillisecond, "two"));
  ASSERT_EQ(rejections.size(), 1u);
  // Before the first response, the expected latency is a sixth of the latency objective.
  EXPECT_GE(rejections[0].retry_after, 80 * kMillisecond);
  EXPECT_LE(rejections[0].retry_after, 165 * kMillisecond);
}

}  // namespace
}  // namespace quota_gateway::testing
