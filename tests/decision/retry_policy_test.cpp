// Rules for safe retries and rejections, by the idempotency of the request's class.
#include "decision/retry_policy.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace quota_gateway::decision {
namespace {

constexpr Duration kMillisecond = 1'000;
constexpr Duration kSecond = 1'000'000;

Endpoint make_endpoint(const std::string& name, const std::string& zone, std::int64_t cell) {
  Endpoint endpoint;
  endpoint.entry.endpoint = name;
  endpoint.entry.zone = zone;
  endpoint.entry.cell = cell;
  return endpoint;
}

// A request with one failed attempt at `first`, sent at time 0.
class RetryPolicyTest : public testing::Test {
 protected:
  RetryPolicyTest() {
    settings.tick = kMillisecond;
    settings.connect_timeout = 100 * kMillisecond;
    request.request_class = &request_class;
    request.attempts.push_back({.endpoint = &first, .in_flight = false});
    context.begin_batch(kMillisecond, actions);
  }
  void set_idempotent_by_key(DedupScope scope, Duration window) {
    request_class.idempotency = Idempotency::kByKey;
    request_class.dedup_scope = scope;
    request_class.dedup_window = window;
  }
  bool is_allowed(const Endpoint& endpoint) { return is_attempt_allowed(context, request, endpoint); }

  Settings settings;
  DecisionContext context{settings};
  std::vector<Action> actions;
  ClassSettings request_class;
  Endpoint first = make_endpoint("first", "zone-a", 1);
  Endpoint same_cell = make_endpoint("same-cell", "zone-a", 1);
  Endpoint same_zone = make_endpoint("same-zone", "zone-a", 2);
  Endpoint other_zone = make_endpoint("other-zone", "zone-b", 3);
  Request request;
};

TEST_F(RetryPolicyTest, OnlyOutcomesBeforeExecutionRuleOutExecution) {
  for (const Outcome outcome : {Outcome::kOverloaded, Outcome::kConnectFailed, Outcome::kNotSent})
    EXPECT_FALSE(may_have_executed(outcome));
  for (const Outcome outcome :
       {Outcome::kOk, Outcome::kError, Outcome::kTimeout, Outcome::kReset, Outcome::kCancelled})
    EXPECT_TRUE(may_have_executed(outcome));
}

TEST_F(RetryPolicyTest, DoesNotSendToTheSameEndpointTwice) {
  request_class.idempotency = Idempotency::kIdempotent;
  request.attempts.front().may_have_executed = false;
  EXPECT_FALSE(is_allowed(first));
  EXPECT_TRUE(is_allowed(same_cell));
}

TEST_F(RetryPolicyTest, RepeatsNonIdempotentRequestOnlyIfNotExecuted) {
  request_class.idempotency = Idempotency::kNonIdempotent;
  EXPECT_FALSE(is_repeatable(request_class));
  EXPECT_FALSE(is_allowed(same_cell));
  request.attempts.front().may_have_executed = false;
  EXPECT_TRUE(is_allowed(same_cell));
}

TEST_F(RetryPolicyTest, AllowsKeyedRetryOnlyWithinDedupScope) {
  set_idempotent_by_key(DedupScope::kCell, kSecond);
  EXPECT_TRUE(is_allowed(same_cell));
  EXPECT_FALSE(is_allowed(same_zone));
  EXPECT_FALSE(is_allowed(other_zone));
  set_idempotent_by_key(DedupScope::kZone, kSecond);
  EXPECT_TRUE(is_allowed(same_zone));
  EXPECT_FALSE(is_allowed(other_zone));
  set_idempotent_by_key(DedupScope::kAll, kSecond);
  EXPECT_TRUE(is_allowed(other_zone));
}

TEST_F(RetryPolicyTest, KeyedRetryMustArriveWithinDedupWindowDespiteDelays) {
  set_idempotent_by_key(DedupScope::kAll, kSecond);
  // 1 s minus the connect timeout, two ticks, and 150 ms between reading the clock and writing to the socket.
  const TimePoint last_safe_at = kSecond - 252 * kMillisecond - 1;
  context.begin_batch(last_safe_at, actions);
  EXPECT_TRUE(is_allowed(other_zone));
  context.begin_batch(last_safe_at + 1, actions);
  EXPECT_FALSE(is_allowed(other_zone));
}

TEST_F(RetryPolicyTest, RetryMustBeSafeWithRespectToEveryEarlierAttempt) {
  set_idempotent_by_key(DedupScope::kCell, kSecond);
  request.attempts.push_back({.endpoint = &same_zone, .in_flight = false, .may_have_executed = false});
  EXPECT_TRUE(is_allowed(same_cell));
  request.attempts.back().may_have_executed = true;
  EXPECT_FALSE(is_allowed(same_cell));
}

TEST_F(RetryPolicyTest, RejectionIsSafeOnlyIfTheClientMayRetry) {
  request_class.idempotency = Idempotency::kIdempotent;
  EXPECT_TRUE(is_rejection_safe(request));
  set_idempotent_by_key(DedupScope::kAll, kSecond);
  EXPECT_TRUE(is_rejection_safe(request));
  set_idempotent_by_key(DedupScope::kZone, kSecond);  // the client's next request may reach another zone
  EXPECT_FALSE(is_rejection_safe(request));
  request_class.idempotency = Idempotency::kNonIdempotent;
  EXPECT_FALSE(is_rejection_safe(request));
  request.attempts.front().may_have_executed = false;
  EXPECT_TRUE(is_rejection_safe(request));
}

}  // namespace
}  // namespace quota_gateway::decision
