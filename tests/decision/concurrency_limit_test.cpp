// The adaptive limit of attempts in flight.
#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "support/engine_harness.hpp"

namespace quota_gateway::testing {
namespace {

TEST(ConcurrencyLimit, EndpointsAreNotSentMoreThanTheLimit) {
  Settings settings = basic_settings();
  settings.plans[0].rate = settings.plans[0].burst = 1000;
  EngineHarness engine(settings);
  std::size_t sent = 0;
  for (int i = 0; i < 200; ++i)
    sent += actions_of<SendAttempt>(engine.arrive(kMillisecond, numbered("r", i))).size();
  EXPECT_LE(sent, 8u);  // five per endpoint over two gateways
  auto out = engine.run(2 * kSecond);
  EXPECT_EQ(actions_of<RejectRequest>(out).size() + sent + actions_of<CancelAttempt>(out).size(),
            200u + actions_of<CancelAttempt>(out).size());
}

// Plays far more demand than the endpoints of one gateway can serve, for `steps` of 10 ms. `latency` gives
// the duration of each attempt by its number. Returns the peak of attempts in flight during the last tenth.
template <typename Latency>
int peak_attempts_in_flight(EngineHarness& engine, int steps, Latency latency) {
  struct Out {
    SendAttempt attempt;
    TimePoint sent, until;
  };
  std::vector<Out> out;
  int number = 0, most = 0;
  auto take = [&](TimePoint now, const std::vector<Action>& actions) {
    for (const SendAttempt& attempt : actions_of<SendAttempt>(actions))
      out.push_back({attempt, now, now + latency(number++)});
  };
  for (int i = 1; i <= steps; ++i) {
    const TimePoint now = kSecond + i * 10 * kMillisecond;  // the endpoints were idle before
    take(now, engine.run(now));
    std::vector<Out> due;
    for (const Out& o : out)
      if (o.until <= now) due.push_back(o);
    std::erase_if(out, [&](const Out& o) { return o.until <= now; });
    for (const Out& o : due) take(now, engine.end(now, o.attempt, Outcome::kOk, 0, now - o.sent));
    for (int k = 0; k < 8; ++k) take(now, engine.arrive(now, numbered("m", i) + numbered("-", k)));
    if (i > steps * 9 / 10) most = std::max(most, int(out.size()));
  }
  return most;
}

TEST(ConcurrencyLimit, SlowResponsesCutTheLimitBeforeTheIdleLatencyIsKnown) {
  Settings settings = basic_settings();
  settings.gateway_count = 1;
  settings.plans[0].rate = settings.plans[0].burst = 1e6;
  EngineHarness late(settings), idle(settings);
  // At most 120 responses in six seconds, after 0.8 of the latency objective, and after a tenth of it.
  const int most = peak_attempts_in_flight(late, 600, [](int) { return 400 * kMillisecond; });
  EXPECT_LE(most, 12);
  EXPECT_GT(peak_attempts_in_flight(idle, 150, [](int) { return 50 * kMillisecond; }), most);
}

TEST(ConcurrencyLimit, TheFirstAndFastestResponsesAreNotTakenForTheIdleLatency) {
  Settings settings = basic_settings();
  settings.gateway_count = 1;
  settings.plans[0].rate = settings.plans[0].burst = 1e6;
  EngineHarness engine(settings);
  // The fast requests of the first moment complete first; the usual one takes twice as long.
  EXPECT_GT(peak_attempts_in_flight(engine, 600, [](int n) { return (n < 40 ? 20 : 40) * kMillisecond; }),
            18);
}

TEST(ConcurrencyLimit, EndpointsThatAllLookSlowByTheirUnitsKeepTheirPartsOfTheLimit) {
  Settings settings = basic_settings();
  settings.gateway_count = 2;
  settings.plans[0].rate = settings.plans[0].burst = 1e6;
  EngineHarness engine(settings, up({"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}));
  // Small requests take as long as large ones, so latencies over the expected ones are above one on average.
  TimePoint now = kSecond;
  for (int i = 0; i < 400; ++i, now += 50 * kMillisecond) {
    engine.run(now);
    for (const SendAttempt& attempt :
         actions_of<SendAttempt>(engine.arrive(now, numbered("r", i), i % 2 ? 1 : 3)))
      engine.end(now + 40 * kMillisecond, attempt, Outcome::kOk, 0, 40 * kMillisecond);
  }
  std::size_t sent = 0;
  for (int i = 0; i < 40; ++i)
    sent += actions_of<SendAttempt>(engine.arrive(now, numbered("f", i), 2)).size();
  EXPECT_GT(sent, 15u);  // ten on average and some more by chance, not one per endpoint
}

TEST(ConcurrencyLimit, AnOverloadedResponseIsRetriedElsewhereAndDoesNotCutTheLimit) {
  Settings settings = basic_settings();
  settings.plans[0].rate = settings.plans[0].burst = 1000;
  EngineHarness engine(settings);
  int served = 0;
  for (int i = 0; i < 100; ++i) {
    auto out = engine.arrive(i * 50 * kMillisecond, numbered("r", i));
    for (int n = 0; n < 3; ++n) {
      auto sent = actions_of<SendAttempt>(out);
      if (sent.empty()) break;
      const bool full = sent[0].endpoint != "c";  // a and b are overloaded for this plan
      served += !full;
      out = engine.end(i * 50 * kMillisecond + 1 + n, sent[0], full ? Outcome::kOverloaded : Outcome::kOk, n);
    }
  }
  EXPECT_EQ(served, 100);
}

TEST(ConcurrencyLimit, APauseOfTheGatewayItselfIsNotTakenForSlowEndpoints) {
  Settings settings = basic_settings();
  settings.plans[0].rate = settings.plans[0].burst = 1e6;
  EngineHarness engine(settings);
  TimePoint now = kSecond;
  std::size_t sent = 0;
  for (int k = 0; k < 200; ++k, now += 20 * kMillisecond) {
    auto out = actions_of<SendAttempt>(engine.arrive(now, numbered("r", k)));
    sent += out.size();
    // Every second response is processed a second late, and reports a duration of 10 ms.
    for (const SendAttempt& attempt : out) {
      if (k % 2) now += kSecond;
      engine.end(now, attempt, Outcome::kOk, 0, 10 * kMillisecond);
    }
  }
  EXPECT_EQ(sent, 200u);
}

TEST(ConcurrencyLimit, WithMoreGatewaysThanEndpointsAGatewayMayHaveSeveralAttemptsInFlight) {
  Settings settings = basic_settings();
  settings.gateway_count = 300;
  settings.plans[0].rate = settings.plans[0].burst = 1e6;
  EngineHarness engine(settings);
  EXPECT_EQ(actions_of<SendAttempt>(engine.arrive(kSecond, "one")).size(), 1u);
  EXPECT_EQ(actions_of<SendAttempt>(engine.arrive(kSecond, "two")).size(), 1u);
}

}  // namespace
}  // namespace quota_gateway::testing
