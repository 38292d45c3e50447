// What a process takes over from the one that it replaces.
#include <gtest/gtest.h>

#include <optional>

#include "support/engine_harness.hpp"

namespace quota_gateway::testing {
namespace {

// A gateway and the one that replaces it at the same instant.
class HotRestartStateTest : public ::testing::Test {
 protected:
  Settings settings = basic_settings();
  std::optional<EngineHarness> before, after;
  void start() {
    before.emplace(settings);
    after.emplace(settings, up({"a", "b", "c"}), 8);
  }
  void restart(TimePoint now) { after->step(now, {StateRestored{before->engine().begin_hot_restart(now)}}); }
};

TEST_F(HotRestartStateTest, SpentTokensStaySpentAndTheOldProcessAdmitsNothingMore) {
  start();
  EXPECT_EQ(before->burst(kMillisecond, 6), 6);  // of the even part, ten
  restart(2 * kMillisecond);
  EXPECT_EQ(before->burst(3 * kMillisecond, 5), 0);
  EXPECT_EQ(after->burst(3 * kMillisecond, 10), 4);
}

TEST_F(HotRestartStateTest, TheHardLimitHoldsOverBothProcessesWithQueuedRequests) {
  settings.plans[0].rate = settings.plans[0].burst = 1000;
  settings.plans[0].hard_limit_rate = 0.001;
  settings.plans[0].hard_limit_burst = 1012;  // of what lies beyond the burst, six are our part
  start();
  EXPECT_EQ(before->burst(kMillisecond, 4), 4);
  restart(2 * kMillisecond);
  EXPECT_EQ(after->burst(3 * kMillisecond, 5), 2);
}

TEST_F(HotRestartStateTest, AttemptsOfThePredecessorCountForTheConcurrencyCapUntilTheyEnd) {
  settings.plans[0].rate = settings.plans[0].burst = 1000;
  settings.plans[0].max_concurrent_attempts = 4;  // two of them our part
  start();
  EXPECT_EQ(actions_of<SendAttempt>(before->arrive(kMillisecond, "x")).size(), 1u);
  restart(2 * kMillisecond);
  EXPECT_EQ(actions_of<SendAttempt>(after->arrive(3 * kMillisecond, "y")).size(), 1u);
  EXPECT_EQ(actions_of<SendAttempt>(after->arrive(3 * kMillisecond, "z")).size(), 0u);
  after->step(4 * kMillisecond, {PredecessorAttempts{{}}});
  EXPECT_EQ(actions_of<SendAttempt>(after->arrive(5 * kMillisecond, "w")).size(), 1u);
}

TEST_F(HotRestartStateTest, TheSlowStartBudgetIsNotSpentTwice) {
  enable_slow_start(settings, 0.2, 20 * kSecond, 3, 2 * kSecond);
  auto cold = up({"a"});
  cold[0].started_at = kMillisecond;
  before.emplace(settings, cold);
  after.emplace(settings, cold, 8);
  EXPECT_EQ(before->burst(2 * kMillisecond, 3), 1);
  restart(3 * kMillisecond);
  EXPECT_EQ(after->burst(4 * kMillisecond, 3), 0);
}

TEST_F(HotRestartStateTest, ValuesOfAnotherBuildAreIgnoredAndAnAbortedHotRestartResumesAdmission) {
  start();
  before->burst(kMillisecond, 6);
  HotRestartState state = before->engine().begin_hot_restart(2 * kMillisecond);
  state.customers["c1"].second.pop_back();
  state.endpoints["a"].pop_back();
  state.fleet.clear();
  after->step(2 * kMillisecond, {StateRestored{state}});
  EXPECT_EQ(after->burst(3 * kMillisecond, 12), 10);
  before->step(4 * kMillisecond, {HotRestartAborted{}});
  EXPECT_EQ(before->burst(5 * kMillisecond, 10), 4);
}

}  // namespace
}  // namespace quota_gateway::testing
