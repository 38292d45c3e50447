// When gateways call the shared counter, and how they use its totals.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "support/quota_simulation.hpp"

namespace quota_gateway::testing {
namespace {

TEST(CounterSync, MakesNoCallsWithoutDemand) {
  EngineHarness engine(settings_with_counter());
  engine.run_until(5 * kSecond);
  EXPECT_TRUE(actions_of<IncrementCounter>(engine.all_actions()).empty());
}

TEST(CounterSync, DelaysFirstRequestUntilTotalOrTimeout) {
  EngineHarness engine(settings_with_counter());
  auto actions = engine.arrive(100 * kMillisecond, "r");
  auto calls = actions_of<IncrementCounter>(actions);
  ASSERT_EQ(calls.size(), 1u);
  EXPECT_GE(calls[0].amount, 1);
  EXPECT_LE(calls[0].ttl, 60 * kSecond);
  EXPECT_TRUE(actions_of<SendAttempt>(actions).empty());
  // No reply has arrived by the timeout.
  EXPECT_EQ(actions_of<SendAttempt>(engine.run_until(160 * kMillisecond)).size(), 1u);
}

TEST(CounterSync, DelaysRequestWhenLastTotalIsStale) {
  EngineHarness engine(settings_with_counter());
  SharedCounter counter;
  const auto call = actions_of<IncrementCounter>(engine.arrive(kSecond, "first")).at(0);
  EXPECT_EQ(actions_of<SendAttempt>(engine.step(kSecond + kMillisecond, {counter.increment(call)})).size(),
            1u);
  // The total is still recent.
  EXPECT_EQ(actions_of<SendAttempt>(engine.arrive(2 * kSecond, "soon")).size(), 1u);
  engine.run_until(29 * kSecond);
  EXPECT_TRUE(actions_of<SendAttempt>(engine.arrive(30 * kSecond, "late")).empty());
  // No reply has arrived by the timeout.
  EXPECT_EQ(actions_of<SendAttempt>(engine.run_until(30 * kSecond + 60 * kMillisecond)).size(), 1u);
}

TEST(CounterSync, RejectsRequestAtDeadlineWithoutWaitingForTotal) {
  EngineHarness engine(settings_with_counter());
  RequestArrived request = EngineHarness::request("r", kSecond);
  request.deadline = kSecond;  // the gateway was suspended until then
  auto actions = engine.step(kSecond, {request});
  EXPECT_EQ(actions_of<RejectRequest>(actions).size(), 1u);
  EXPECT_TRUE(actions_of<SendAttempt>(actions).empty());
}

TEST(CounterSync, ReservesLastCallsForCustomersWithoutTotal) {
  EngineHarness engine(settings_with_counter());
  SharedCounter counter;
  const auto send_request = [&](TimePoint now, const std::string& customer) {
    RequestArrived request = EngineHarness::request(numbered(customer + "-", now), now);
    request.customer = customer;
    const auto calls = actions_of<IncrementCounter>(engine.step(now, {request}));
    for (const IncrementCounter& call : calls) engine.step(now, {counter.increment(call)});
    return calls.size();
  };
  EXPECT_EQ(send_request(21 * kSecond / 2, "known"), 1u);
  engine.run_until(12 * kSecond - 1);
  for (int i = 0; i < 3; ++i) EXPECT_EQ(send_request(12 * kSecond + i, numbered("new", i)), 1u) << i;
  // The total of this customer is recent, and only one call is left in the bucket.
  EXPECT_EQ(send_request(12 * kSecond + 3, "known"), 0u);
  EXPECT_EQ(send_request(12 * kSecond + 4, "new3"), 1u);
  EXPECT_EQ(send_request(12 * kSecond + 5, "new4"), 0u);
}

// Each of twenty gateways reports its demand to the counter once per period, so no total includes the demand
// since the last report.
TEST(CounterSync, AccountsForUnreportedDemandOfOtherGateways) {
  Settings settings = settings_with_counter();
  settings.gateway_count = 20;
  std::vector<EngineHarness> engines;
  for (int gateway = 0; gateway < settings.gateway_count; ++gateway)
    engines.emplace_back(settings, up({"a", "b", "c"}), gateway + 1);
  SharedCounter counter;
  int admitted = 0;
  // The request rate is in requests per second; the quota is ten.
  constexpr int kRequestRate = 80, kWarmupSeconds = 10, kSeconds = 60;
  for (int i = 0; i < kRequestRate * kSeconds; ++i) {
    const TimePoint now = 1000 * kSecond + Duration(i) * kSecond / kRequestRate;
    EngineHarness& engine = engines[std::size_t(i * 7 % settings.gateway_count)];
    RequestArrived request = EngineHarness::request(numbered("r", i), now);
    request.gateway_set_size = settings.gateway_count;
    auto actions = engine.run_until(now);
    const auto request_actions = engine.step(now, {request});
    append(actions, request_actions);
    for (std::size_t k = 0; k < actions.size(); ++k) {
      if (const auto* call = std::get_if<IncrementCounter>(&actions[k])) {
        const auto reply_actions = engine.step(now, {counter.increment(*call)});
        append(actions, reply_actions);
      } else if (const auto* attempt = std::get_if<SendAttempt>(&actions[k])) {
        if (i >= kRequestRate * kWarmupSeconds) ++admitted;
        engine.end_attempt(now, SendAttempt(*attempt), Outcome::kOk);
      }
    }
  }
  EXPECT_NEAR(double(admitted) / (kSeconds - kWarmupSeconds), 10, 1);
}

TEST(CounterSync, UsesSameCounterNameOnAllGateways) {
  EngineHarness first(settings_with_counter(), up({"a"}), 1), second(settings_with_counter(), up({"a"}), 2);
  auto first_calls = actions_of<IncrementCounter>(first.arrive(kSecond, "r")),
       second_calls = actions_of<IncrementCounter>(second.arrive(1050 * kMillisecond, "r"));
  ASSERT_EQ(first_calls.size(), 1u);
  ASSERT_EQ(second_calls.size(), 1u);
  EXPECT_EQ(first_calls[0].name, second_calls[0].name);
}

TEST(CounterSync, KeepsLastTotalWhenCounterFails) {
  for (CounterOutcome outcome : {CounterOutcome::kUnknown, CounterOutcome::kNotAdded})
    EXPECT_NEAR(run_admission({.remote_rate = 36, .counter_failure = outcome, .failure_start_seconds = 8})
                    .admitted_fraction,
                10.0 / 48, 0.08);
}

// A total below the gateway's own increments proves that the counter has lost units. If used, it would give
// the gateway the whole quota.
TEST(CounterSync, IgnoresTotalBelowOwnIncrements) {
  EXPECT_NEAR(run_admission({.remote_rate = 36, .counter_loses_units = true}).admitted_fraction, 10.0 / 48,
              0.08);
}

// The scale of the increments grows with the wall clock. After a step back, earlier increments under the same
// counter name would appear many times as large.
TEST(CounterSync, AdmitsCustomerWithinQuotaAfterWallClockStep) {
  for (const Duration step : {-3600 * kSecond, -5 * kSecond, 5 * kSecond, 3600 * kSecond}) {
    Settings settings = settings_with_counter();
    EngineHarness engine(settings);
    SharedCounter counter;
    int requests = 0, admitted = 0;
    for (TimePoint now = kSecond; now < 40 * kSecond; now += 250 * kMillisecond) {
      std::vector<Action> actions = engine.run_until(now);
      if (now == 10 * kSecond) engine.step(now, {WallClockStepped{step}});
      const auto request_actions = engine.arrive(now, numbered("r", now), 2);
      append(actions, request_actions);
      for (std::size_t i = 0; i < actions.size(); ++i) {
        const auto* const call = std::get_if<IncrementCounter>(&actions[i]);
        if (!call) continue;
        const auto reply_actions = engine.step(now, {counter.increment(*call)});
        append(actions, reply_actions);
      }
      ++requests;
      for (const SendAttempt& attempt : actions_of<SendAttempt>(actions)) {
        ++admitted;
        engine.end_attempt(now, attempt, Outcome::kOk);
      }
    }
    EXPECT_GT(admitted, requests * 9 / 10) << step;
  }
}

}  // namespace
}  // namespace quota_gateway::testing
