// The pace of calls to an overloaded or unresponsive counter.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "support/quota_simulation.hpp"

namespace quota_gateway::testing {
namespace {

TEST(CounterPacer, AnUnresponsiveCounterIsCalledLessOften) {
  EXPECT_LT(run_admission({.other_rate = 36, .failure = CounterOutcome::kUnknown}).calls,
            run_admission({.other_rate = 36}).calls * 2);
  Settings settings = settings_with_counter();
  EngineHarness engine(settings);
  std::size_t early = 0, late = 0;
  for (int i = 0; i < 4000; ++i) {
    RequestArrived request = EngineHarness::request(numbered("x", i), i * 5 * kMillisecond);
    request.customer = numbered("c", i);
    for (const IncrementCounter& call :
         actions_of<IncrementCounter>(engine.step(i * 5 * kMillisecond, {request}))) {
      ++(i < 2000 ? early : late);
      CounterReply reply;
      reply.name = call.name;
      reply.outcome = CounterOutcome::kUnknown;
      engine.step(i * 5 * kMillisecond, {reply});
    }
  }
  EXPECT_GT(late, 5u);  // calls go on, to notice its recovery
  EXPECT_LT(late, 25u);
  EXPECT_GT(early, late);
}

// A hundred gateways want twice as many calls as their counter can serve. It serves them in order, including
// those that have timed out, and rejects calls that would wait for three timeouts.
TEST(CounterPacer, AFleetOfGatewaysKeepsTheQueueOfTheCounterShort) {
  const Settings settings = settings_with_counter();
  constexpr int kGateways = 100, kAsks = 16, kSeconds = 20;
  constexpr Duration kService = kSecond / 800, kStep = 5 * kMillisecond;
  std::vector<EngineHarness> fleet;
  for (int g = 0; g < kGateways; ++g) fleet.emplace_back(settings, up({"a", "b", "c"}), g + 1);
  std::multimap<Duration, std::pair<int, CounterReply>> answers;
  Duration free_at = 0;
  std::size_t calls = 0, answered = 0, late = 0;
  const auto settle = [&](TimePoint now, int g, const std::vector<Action>& todo) {
    for (const SendAttempt& attempt : actions_of<SendAttempt>(todo))
      fleet[std::size_t(g)].end(now, attempt, Outcome::kOk);
    for (const IncrementCounter& call : actions_of<IncrementCounter>(todo)) {
      CounterReply reply;
      reply.name = call.name;
      reply.total = call.amount;
      reply.outcome = CounterOutcome::kNotAdded;
      reply.duration = 2 * kMillisecond;
      if (free_at - now < 3 * settings.counter_timeout) {
        free_at = std::max(free_at, now) + kService;
        reply.outcome =
            free_at - now < settings.counter_timeout ? CounterOutcome::kOk : CounterOutcome::kUnknown;
        reply.duration = std::min(free_at - now, settings.counter_timeout);
      }
      answers.emplace(now + reply.duration, std::pair(g, reply));
      if (now < kSeconds / 2 * kSecond) continue;
      ++calls;
      answered += reply.outcome == CounterOutcome::kOk;
      late += reply.outcome == CounterOutcome::kUnknown;
    }
  };
  int asked = 0;
  for (TimePoint now = kStep; now < kSeconds * kSecond; now += kStep) {
    while (!answers.empty() && answers.begin()->first <= now) {
      const auto [gateway, reply] = answers.begin()->second;
      answers.erase(answers.begin());
      settle(now, gateway, fleet[std::size_t(gateway)].step(now, {reply}));
    }
    for (int g = 0; g < kGateways; ++g) settle(now, g, fleet[std::size_t(g)].run(now));
    for (; asked < now * kGateways * kAsks / kSecond; ++asked) {
      RequestArrived request = EngineHarness::request(numbered("r", asked), now);
      request.customer = numbered("c", asked);
      settle(now, asked % kGateways, fleet[std::size_t(asked % kGateways)].step(now, {request}));
    }
  }
  EXPECT_LT(late, calls / 10);
  EXPECT_GT(answered, 800 * kSeconds / 2 * 6 / 10);
}

}  // namespace
}  // namespace quota_gateway::testing
