// Endpoint lists and administrative state.
#include <gtest/gtest.h>

#include "support/engine_harness.hpp"

namespace quota_gateway::testing {
namespace {

TEST(EndpointPool, NothingIsSentToADrainingOrRemovedEndpoint) {
  EngineHarness engine;
  EndpointListUpdate u;
  u.kind = EndpointListUpdate::Kind::kPartial;
  u.entries = up({"a", "b"});
  u.entries[0].state = EndpointState::kDraining;
  u.entries[1].state = EndpointState::kRemoved;
  engine.step(kMillisecond, {u});
  for (int i = 0; i < 5; ++i)
    for (const SendAttempt& attempt :
         actions_of<SendAttempt>(engine.arrive(2 * kMillisecond, numbered("r", i))))
      EXPECT_EQ(attempt.endpoint, "c");
}

TEST(EndpointPool, NothingIsSentToADisabledEndpointAndItReturnsInSlowStart) {
  Settings settings = basic_settings();
  enable_slow_start(settings, 0.2, 20 * kSecond, 3, 2 * kSecond);
  EngineHarness engine(settings, up({"a"}));
  engine.step(kMillisecond, {AdminStateChanged{"a", true}});
  EndpointListUpdate again;
  again.entries = up({"a"});
  engine.step(2 * kMillisecond, {again, AdminStateChanged{"a", true}});
  EXPECT_EQ(engine.burst(3 * kMillisecond, 5), 0);
  engine.step(10 * kSecond, {AdminStateChanged{"a", false}});
  EXPECT_EQ(engine.burst(10 * kSecond + kMillisecond, 5),
            1);  // in slow start, though its restart is not announced yet
  engine.step(40 * kSecond, {AdminStateChanged{"a", false}});  // enabling it twice changes nothing
  EXPECT_EQ(engine.burst(40 * kSecond + kMillisecond, 5), 5);
}

TEST(EndpointPool, AnEmptyEndpointListStillAnswersEveryRequestInTime) {
  EngineHarness engine(basic_settings(), {});
  auto out = engine.arrive(kMillisecond, "r");
  auto more = engine.run(2 * kSecond);
  append(out, more);
  EXPECT_EQ(actions_of<RejectRequest>(out).size(), 1u);
  EXPECT_TRUE(actions_of<FailRequest>(out).empty());
}

}  // namespace
}  // namespace quota_gateway::testing
