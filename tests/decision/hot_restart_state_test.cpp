// The state that a successor process takes over from its predecessor in a hot restart.
#include <gtest/gtest.h>

#include <optional>

#include "support/engine_harness.hpp"

namespace quota_gateway::testing {
namespace {

// A gateway process and its successor, which restores the state at the time of the restart.
class HotRestartStateTest : public ::testing::Test {
 protected:
  Settings settings = basic_settings();
  std::optional<EngineHarness> predecessor, successor;
  void start_processes() {
    predecessor.emplace(settings);
    successor.emplace(settings, up({"a", "b", "c"}), 8);
  }
  void restart(TimePoint now) {
    successor->step(now, {StateRestored{predecessor->engine().begin_hot_restart(now)}});
  }
};

TEST_F(HotRestartStateTest, SuccessorKeepsConsumedTokensAndPredecessorStopsAdmitting) {
  start_processes();
  EXPECT_EQ(predecessor->burst(kMillisecond, 6), 6);  // of its equal share of the burst, which is ten
  restart(2 * kMillisecond);
  EXPECT_EQ(predecessor->burst(3 * kMillisecond, 5), 0);
  EXPECT_EQ(successor->burst(3 * kMillisecond, 10), 4);
}

TEST_F(HotRestartStateTest, HardLimitHoldsOverBothProcesses) {
  settings.plans[0].rate = settings.plans[0].burst = 1000;
  settings.plans[0].hard_limit_rate = 0.001;
  settings.plans[0].hard_limit_burst = 1012;  // 12 beyond the quota's burst; this gateway's share is six
  start_processes();
  EXPECT_EQ(predecessor->burst(kMillisecond, 4), 4);
  restart(2 * kMillisecond);
  EXPECT_EQ(successor->burst(3 * kMillisecond, 5), 2);
}

TEST_F(HotRestartStateTest, PredecessorAttemptsCountTowardsConcurrencyCapUntilTheyEnd) {
  settings.plans[0].rate = settings.plans[0].burst = 1000;
  settings.plans[0].max_concurrent_attempts = 4;  // this gateway's equal share is two
  start_processes();
  EXPECT_EQ(actions_of<SendAttempt>(predecessor->arrive(kMillisecond, "x")).size(), 1u);
  restart(2 * kMillisecond);
  EXPECT_EQ(actions_of<SendAttempt>(successor->arrive(3 * kMillisecond, "y")).size(), 1u);
  EXPECT_EQ(actions_of<SendAttempt>(successor->arrive(3 * kMillisecond, "z")).size(), 0u);
  successor->step(4 * kMillisecond, {PredecessorAttempts{{}}});
  EXPECT_EQ(actions_of<SendAttempt>(successor->arrive(5 * kMillisecond, "w")).size(), 1u);
}

TEST_F(HotRestartStateTest, SlowStartBudgetIsNotConsumedTwice) {
  enable_slow_start(settings, 0.2, 20 * kSecond, 3, 2 * kSecond);
  auto starting_endpoints = up({"a"});
  starting_endpoints[0].started_at = kMillisecond;
  predecessor.emplace(settings, starting_endpoints);
  successor.emplace(settings, starting_endpoints, 8);
  EXPECT_EQ(predecessor->burst(2 * kMillisecond, 3), 1);
  restart(3 * kMillisecond);
  EXPECT_EQ(successor->burst(4 * kMillisecond, 3), 0);
}

TEST_F(HotRestartStateTest, IgnoresStateOfAnotherBuildAndResumesAdmissionAfterAbort) {
  start_processes();
  predecessor->burst(kMillisecond, 6);
  HotRestartState state = predecessor->engine().begin_hot_restart(2 * kMillisecond);
  state.customers["c1"].second.pop_back();
  state.endpoints["a"].pop_back();
  state.fleet.clear();
  successor->step(2 * kMillisecond, {StateRestored{state}});
  EXPECT_EQ(successor->burst(3 * kMillisecond, 12), 10);
  predecessor->step(4 * kMillisecond, {HotRestartAborted{}});
  EXPECT_EQ(predecessor->burst(5 * kMillisecond, 10), 4);
}

}  // namespace
}  // namespace quota_gateway::testing
