// The log lines of the decision engine: their texts and their rate limit.
#include "decision/rejection_log.hpp"

#include <gtest/gtest.h>

#include <string>
#include <variant>
#include <vector>

#include "decision/rate_limited_log.hpp"

namespace quota_gateway::decision {
namespace {

constexpr TimePoint kStart = 100'000'000;  // us

class DecisionLogTest : public testing::Test {
 protected:
  DecisionLogTest() { set_time(kStart); }
  void set_time(TimePoint now) { context.begin_batch(now, actions); }
  // Returns the lines logged since the last call.
  std::vector<std::string> lines() {
    std::vector<std::string> texts;
    for (const Action& action : actions) texts.push_back(std::get<LogMessage>(action).text);
    actions.clear();
    return texts;
  }

  Settings settings;
  DecisionContext context{settings};
  std::vector<Action> actions;
};

using Lines = std::vector<std::string>;

TEST_F(DecisionLogTest, WritesOneLineOfAKindPerInterval) {
  RateLimitedLog log(context);
  log.write(LogKind::kEndpointEjected, "first");
  set_time(kStart + kLogInterval - 1);
  log.write(LogKind::kEndpointEjected, "too early");
  EXPECT_EQ(lines(), Lines{"first"});
  set_time(kStart + kLogInterval);
  log.write(LogKind::kEndpointEjected, "second");
  EXPECT_EQ(lines(), Lines{"second"});
}

TEST_F(DecisionLogTest, DoesNotSuppressLinesOfAnotherKind) {
  RateLimitedLog log(context);
  log.write(LogKind::kEndpointDisabled, "disabled");
  log.write(LogKind::kEndpointEnabled, "enabled");
  EXPECT_EQ(lines(), (Lines{"disabled", "enabled"}));
}

TEST_F(DecisionLogTest, ReportsRejectionsByReason) {
  RejectionLog log(context);
  log.count(RejectionReason::kAttemptsExhausted);
  log.count(RejectionReason::kSlice);
  log.count(RejectionReason::kSlice);
  log.count(RejectionReason::kConcurrencyCap);
  log.count(RejectionReason::kHardLimit);
  log.count(RejectionReason::kNoCapacity);
  log.report_if_due();
  EXPECT_EQ(lines(),
            Lines{"admission: requests rejected or failed by reason: quota slice 2, concurrency cap 1, "
                  "hard limit 1, no endpoint capacity 1, attempts exhausted 1"});
}

TEST_F(DecisionLogTest, ReportsEachRejectionOnceAndLimitsTheRate) {
  RejectionLog log(context);
  log.report_if_due();
  EXPECT_EQ(lines(), Lines{});
  log.count(RejectionReason::kSlice);
  log.report_if_due();
  EXPECT_EQ(lines().size(), 1U);
  log.count(RejectionReason::kSlice);
  set_time(kStart + kLogInterval - 1);
  log.report_if_due();
  EXPECT_EQ(lines(), Lines{});
  set_time(kStart + kLogInterval);
  log.report_if_due();
  EXPECT_EQ(lines(), Lines{"admission: requests rejected or failed by reason: quota slice 1"});
}

}  // namespace
}  // namespace quota_gateway::decision
