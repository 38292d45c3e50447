// Endpoint lists and administrative state.
#include <gtest/gtest.h>

#include "support/engine_harness.hpp"

namespace quota_gateway::testing {
namespace {

TEST(EndpointPool, SendsNothingToDrainingOrRemovedEndpoints) {
  EngineHarness engine;
  EndpointListUpdate update;
  update.kind = EndpointListUpdate::Kind::kPartial;
  update.entries = up({"a", "b"});
  update.entries[0].state = EndpointState::kDraining;
  update.entries[1].state = EndpointState::kRemoved;
  engine.step(kMillisecond, {update});
  for (int i = 0; i < 5; ++i)
    for (const SendAttempt& attempt :
         actions_of<SendAttempt>(engine.arrive(2 * kMillisecond, numbered("r", i))))
      EXPECT_EQ(attempt.endpoint, "c");
}

TEST(EndpointPool, SendsNothingToDisabledEndpointAndSlowStartsItWhenEnabled) {
  Settings settings = basic_settings();
  enable_slow_start(settings, 0.2, 20 * kSecond, 3, 2 * kSecond);
  EngineHarness engine(settings, up({"a"}));
  engine.step(kMillisecond, {AdminStateChanged{"a", true}});
  EndpointListUpdate same_list;
  same_list.entries = up({"a"});
  engine.step(2 * kMillisecond, {same_list, AdminStateChanged{"a", true}});
  EXPECT_EQ(engine.burst(3 * kMillisecond, 5), 0);
  engine.step(10 * kSecond, {AdminStateChanged{"a", false}});
  EXPECT_EQ(engine.burst(10 * kSecond + kMillisecond, 5),
            1);  // in slow start although its restart has not been announced
  engine.step(40 * kSecond, {AdminStateChanged{"a", false}});  // enabling it again changes nothing
  EXPECT_EQ(engine.burst(40 * kSecond + kMillisecond, 5), 5);
}

TEST(EndpointPool, RejectsRequestInTimeWhenListIsEmpty) {
  EngineHarness engine(basic_settings(), {});
  auto actions = engine.arrive(kMillisecond, "r");
  auto later_actions = engine.run_until(2 * kSecond);
  append(actions, later_actions);
  EXPECT_EQ(actions_of<RejectRequest>(actions).size(), 1u);
  EXPECT_TRUE(actions_of<FailRequest>(actions).empty());
}

}  // namespace
}  // namespace quota_gateway::testing
