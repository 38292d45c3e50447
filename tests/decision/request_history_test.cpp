// Which requests are remembered, and for how long.
#include "decision/request_history.hpp"

#include <gtest/gtest.h>

#include "support/engine_harness.hpp"

namespace quota_gateway::testing {
namespace {

using decision::DecisionContext;
using decision::RequestHistory;

class RequestHistoryTest : public ::testing::Test {
 protected:
  RequestHistoryTest() {
    booking.name = "booking";
    advance_to(kSecond);
  }
  void advance_to(TimePoint now) { context.begin_batch(now, actions); }
  static RequestArrived request(const std::string& id, const std::string& key = "") {
    RequestArrived arrived;
    arrived.client_request_id = id;
    arrived.idempotency_key = key;
    return arrived;
  }
  void execute(const std::string& id, const std::string& key = "") {
    history.on_ended(history.on_started(request(id, key), booking), true);
  }
  Settings settings = basic_settings();
  ClassSettings booking;
  DecisionContext context{settings};
  std::vector<Action> actions;
  RequestHistory history{context};
};

TEST_F(RequestHistoryTest, RequestInProgressIsNotAdmittedAgain) {
  const auto key = history.on_started(request("a"), booking);
  EXPECT_FALSE(history.is_admissible(request("a"), booking));
  EXPECT_TRUE(history.is_admissible(request("b"), booking));
  history.on_ended(key, false);
  EXPECT_TRUE(history.is_admissible(request("a"), booking));
}

TEST_F(RequestHistoryTest, KeyRecognizedEverywhereIsAdmittedWithinHalfOfItsWindow) {
  booking.idempotency = Idempotency::kByKey;
  booking.dedup_scope = DedupScope::kAll;
  booking.dedup_window = 10 * kSecond;
  execute("a", "k");
  EXPECT_TRUE(history.is_admissible(request("a", "k"), booking));
  EXPECT_FALSE(history.is_admissible(request("a", "another"), booking));
  advance_to(7 * kSecond);
  EXPECT_FALSE(history.is_admissible(request("a", "k"), booking));
}

TEST_F(RequestHistoryTest, SuccessorRemembersRequestsOfThePredecessor) {
  execute("ended");
  history.on_started(request("in progress"), booking);
  RequestHistory successor(context);
  successor.restore(history.save());
  EXPECT_FALSE(successor.is_admissible(request("ended"), booking));
  EXPECT_FALSE(successor.is_admissible(request("in progress"), booking));
  EXPECT_TRUE(successor.is_admissible(request("new"), booking));
}

TEST_F(RequestHistoryTest, ForgetsTheOldestRequestsAtItsLimitAndAllAfterAMinute) {
  settings.max_remembered_requests = 3;
  for (int i = 0; i < 10; ++i) execute(numbered("r", i));
  EXPECT_EQ(history.size(), 3u);
  EXPECT_FALSE(history.is_admissible(request("r9"), booking));
  advance_to(70 * kSecond);
  execute("next");
  EXPECT_EQ(history.size(), 1u);
}

}  // namespace
}  // namespace quota_gateway::testing
