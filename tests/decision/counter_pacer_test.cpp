// The rate of calls to an overloaded or unresponsive counter.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "support/quota_simulation.hpp"

namespace quota_gateway::testing {
namespace {

TEST(CounterPacer, ReducesCallRateWhenCounterIsUnresponsive) {
  EXPECT_LT(run_admission({.remote_rate = 36, .counter_failure = CounterOutcome::kUnknown}).counter_calls,
            run_admission({.remote_rate = 36}).counter_calls * 2);
  Settings settings = settings_with_counter();
  EngineHarness engine(settings);
  std::size_t early_calls = 0, late_calls = 0;
  for (int i = 0; i < 4000; ++i) {
    RequestArrived request = EngineHarness::request(numbered("x", i), i * 5 * kMillisecond);
    request.customer = numbered("c", i);
    for (const IncrementCounter& call :
         actions_of<IncrementCounter>(engine.step(i * 5 * kMillisecond, {request}))) {
      ++(i < 2000 ? early_calls : late_calls);
      CounterReply reply;
      reply.name = call.name;
      reply.outcome = CounterOutcome::kUnknown;
      engine.step(i * 5 * kMillisecond, {reply});
    }
  }
  EXPECT_GT(late_calls, 5u);  // calls continue, to notice when the counter recovers
  EXPECT_LT(late_calls, 25u);
  EXPECT_GT(early_calls, late_calls);
}

// A hundred gateways request twice as many calls as the counter can serve. The counter serves calls in order,
// including those that have timed out, and rejects calls that would wait for three timeouts or longer.
TEST(CounterPacer, KeepsCounterQueueShortWithManyGateways) {
  const Settings settings = settings_with_counter();
  constexpr int kGateways = 100, kGatewayRequestRate = 16, kSeconds = 20;
  constexpr Duration kServiceTime = kSecond / 800, kStep = 5 * kMillisecond;
  std::vector<EngineHarness> engines;
  for (int g = 0; g < kGateways; ++g) engines.emplace_back(settings, up({"a", "b", "c"}), g + 1);
  std::multimap<Duration, std::pair<int, CounterReply>> replies;
  Duration counter_free_at = 0;
  std::size_t calls = 0, succeeded = 0, timed_out = 0;
  const auto handle_actions = [&](TimePoint now, int gateway, const std::vector<Action>& actions) {
    for (const SendAttempt& attempt : actions_of<SendAttempt>(actions))
      engines[std::size_t(gateway)].end_attempt(now, attempt, Outcome::kOk);
    for (const IncrementCounter& call : actions_of<IncrementCounter>(actions)) {
      CounterReply reply;
      reply.name = call.name;
      reply.total = call.amount;
      reply.outcome = CounterOutcome::kNotAdded;
      reply.duration = 2 * kMillisecond;
      if (counter_free_at - now < 3 * settings.counter_timeout) {
        counter_free_at = std::max(counter_free_at, now) + kServiceTime;
        reply.outcome =
            counter_free_at - now < settings.counter_timeout ? CounterOutcome::kOk : CounterOutcome::kUnknown;
        reply.duration = std::min(counter_free_at - now, settings.counter_timeout);
      }
      replies.emplace(now + reply.duration, std::pair(gateway, reply));
      if (now < kSeconds / 2 * kSecond) continue;
      ++calls;
      succeeded += reply.outcome == CounterOutcome::kOk;
      timed_out += reply.outcome == CounterOutcome::kUnknown;
    }
  };
  int requests = 0;
  for (TimePoint now = kStep; now < kSeconds * kSecond; now += kStep) {
    while (!replies.empty() && replies.begin()->first <= now) {
      const auto [gateway, reply] = replies.begin()->second;
      replies.erase(replies.begin());
      handle_actions(now, gateway, engines[std::size_t(gateway)].step(now, {reply}));
    }
    for (int g = 0; g < kGateways; ++g) handle_actions(now, g, engines[std::size_t(g)].run_until(now));
    for (; requests < now * kGateways * kGatewayRequestRate / kSecond; ++requests) {
      RequestArrived request = EngineHarness::request(numbered("r", requests), now);
      request.customer = numbered("c", requests);
      handle_actions(now, requests % kGateways,
                     engines[std::size_t(requests % kGateways)].step(now, {request}));
    }
  }
  EXPECT_LT(timed_out, calls / 10);
  EXPECT_GT(succeeded, 800 * kSeconds / 2 * 6 / 10);
}

}  // namespace
}  // namespace quota_gateway::testing
