// When gateways call the shared counter, and what they make of its totals.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "support/quota_simulation.hpp"

namespace quota_gateway::testing {
namespace {

TEST(CounterSync, WithoutDemandTheCounterIsNotCalled) {
  EngineHarness engine(settings_with_counter());
  engine.run(5 * kSecond);
  EXPECT_TRUE(actions_of<IncrementCounter>(engine.log()).empty());
}

TEST(CounterSync, TheFirstRequestOfACustomerWaitsForItsTotalButNotLongerThanTheTimeout) {
  EngineHarness engine(settings_with_counter());
  auto out = engine.arrive(100 * kMillisecond, "r");
  auto calls = actions_of<IncrementCounter>(out);
  ASSERT_EQ(calls.size(), 1u);
  EXPECT_GE(calls[0].amount, 1);
  EXPECT_LE(calls[0].ttl, 60 * kSecond);
  EXPECT_TRUE(actions_of<SendAttempt>(out).empty());
  EXPECT_EQ(actions_of<SendAttempt>(engine.run(160 * kMillisecond)).size(), 1u);  // no reply came
}

TEST(CounterSync, ARequestWaitsForAFreshTotalWhenTheLastOneIsStale) {
  EngineHarness engine(settings_with_counter());
  SharedCounter counter;
  const auto call = actions_of<IncrementCounter>(engine.arrive(kSecond, "first")).at(0);
  EXPECT_EQ(actions_of<SendAttempt>(engine.step(kSecond + kMillisecond, {counter.increment(call)})).size(),
            1u);
  EXPECT_EQ(actions_of<SendAttempt>(engine.arrive(2 * kSecond, "soon")).size(),
            1u);  // its total is still fresh
  engine.run(29 * kSecond);
  EXPECT_TRUE(actions_of<SendAttempt>(engine.arrive(30 * kSecond, "late")).empty());
  EXPECT_EQ(actions_of<SendAttempt>(engine.run(30 * kSecond + 60 * kMillisecond)).size(),
            1u);  // no reply came
}

TEST(CounterSync, ARequestNearItsDeadlineDoesNotWaitForATotal) {
  EngineHarness engine(settings_with_counter());
  RequestArrived request = EngineHarness::request("r", kSecond);
  request.deadline = kSecond;  // its gateway was suspended meanwhile
  auto out = engine.step(kSecond, {request});
  EXPECT_EQ(actions_of<RejectRequest>(out).size(), 1u);
  EXPECT_TRUE(actions_of<SendAttempt>(out).empty());
}

TEST(CounterSync, TheLastCounterCallsGoToCustomersWithoutATotal) {
  EngineHarness engine(settings_with_counter());
  SharedCounter counter;
  const auto ask = [&](TimePoint now, const std::string& customer) {
    RequestArrived request = EngineHarness::request(numbered(customer + "-", now), now);
    request.customer = customer;
    const auto calls = actions_of<IncrementCounter>(engine.step(now, {request}));
    for (const IncrementCounter& call : calls) engine.step(now, {counter.increment(call)});
    return calls.size();
  };
  EXPECT_EQ(ask(21 * kSecond / 2, "known"), 1u);
  engine.run(12 * kSecond - 1);
  for (int i = 0; i < 3; ++i) EXPECT_EQ(ask(12 * kSecond + i, numbered("new", i)), 1u) << i;
  EXPECT_EQ(ask(12 * kSecond + 3, "known"),
            0u);  // its total is fresh enough, and one call is left in the budget
  EXPECT_EQ(ask(12 * kSecond + 4, "new3"), 1u);
  EXPECT_EQ(ask(12 * kSecond + 5, "new4"), 0u);
}

// Each of twenty gateways reports its demand to the counter once a period, so that part of it is in no total
// yet.
TEST(CounterSync, UnreportedDemandOfOtherGatewaysIsAllowedFor) {
  Settings settings = settings_with_counter();
  settings.gateway_count = 20;
  std::vector<EngineHarness> fleet;
  for (int g = 0; g < settings.gateway_count; ++g) fleet.emplace_back(settings, up({"a", "b", "c"}), g + 1);
  SharedCounter counter;
  int sent = 0;
  constexpr int kAsked = 80, kFrom = 10, kSeconds = 60;  // requests a second for a quota of ten
  for (int i = 0; i < kAsked * kSeconds; ++i) {
    const TimePoint now = 1000 * kSecond + Duration(i) * kSecond / kAsked;
    EngineHarness& engine = fleet[std::size_t(i * 7 % settings.gateway_count)];
    RequestArrived request = EngineHarness::request(numbered("r", i), now);
    request.gateway_set_size = settings.gateway_count;
    auto todo = engine.run(now);
    const auto more = engine.step(now, {request});
    append(todo, more);
    for (std::size_t k = 0; k < todo.size(); ++k) {
      if (const auto* call = std::get_if<IncrementCounter>(&todo[k])) {
        const auto then = engine.step(now, {counter.increment(*call)});
        append(todo, then);
      } else if (const auto* a = std::get_if<SendAttempt>(&todo[k])) {
        if (i >= kAsked * kFrom) ++sent;
        engine.end(now, SendAttempt(*a), Outcome::kOk);
      }
    }
  }
  EXPECT_NEAR(double(sent) / (kSeconds - kFrom), 10, 1);
}

TEST(CounterSync, GatewaysAgreeOnCounterNames) {
  EngineHarness one(settings_with_counter(), up({"a"}), 1), two(settings_with_counter(), up({"a"}), 2);
  auto a = actions_of<IncrementCounter>(one.arrive(kSecond, "r")),
       b = actions_of<IncrementCounter>(two.arrive(1050 * kMillisecond, "r"));
  ASSERT_EQ(a.size(), 1u);
  ASSERT_EQ(b.size(), 1u);
  EXPECT_EQ(a[0].name, b[0].name);
}

TEST(CounterSync, AnUnresponsiveOrRejectingCounterLeavesTheLastTotals) {
  for (CounterOutcome outcome : {CounterOutcome::kUnknown, CounterOutcome::kNotAdded})
    EXPECT_NEAR(run_admission({.other_rate = 36, .failure = outcome, .failure_from_s = 8}).share, 10.0 / 48,
                0.08);
}

TEST(CounterSync, ATotalBelowOurOwnAdditionsIsIgnored) {
  // A total below our own additions proves that the counter lost some; if used, it would give us the whole
  // quota.
  EXPECT_NEAR(run_admission({.other_rate = 36, .counter_forgets = true}).share, 10.0 / 48, 0.08);
}

TEST(CounterSync, ACustomerWithinItsQuotaIsAdmittedAfterAWallClockStep) {
  // Amounts of a counter name grow with the wall clock; after a step back they would look many times as
  // large.
  for (const Duration step : {-3600 * kSecond, -5 * kSecond, 5 * kSecond, 3600 * kSecond}) {
    Settings settings = settings_with_counter();
    EngineHarness engine(settings);
    SharedCounter counter;
    int asked = 0, let_in = 0;
    for (TimePoint now = kSecond; now < 40 * kSecond; now += 250 * kMillisecond) {
      std::vector<Action> out = engine.run(now);
      if (now == 10 * kSecond) engine.step(now, {WallClockStepped{step}});
      const auto arrived = engine.arrive(now, numbered("r", now), 2);
      append(out, arrived);
      for (std::size_t i = 0; i < out.size(); ++i) {
        const auto* const call = std::get_if<IncrementCounter>(&out[i]);
        if (!call) continue;
        const auto next = engine.step(now, {counter.increment(*call)});
        append(out, next);
      }
      ++asked;
      for (const SendAttempt& attempt : actions_of<SendAttempt>(out)) {
        ++let_in;
        engine.end(now, attempt, Outcome::kOk);
      }
    }
    EXPECT_GT(let_in, asked * 9 / 10) << step;
  }
}

}  // namespace
}  // namespace quota_gateway::testing
