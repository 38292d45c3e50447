// The adaptive limit on attempts in flight.
#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "support/engine_harness.hpp"

namespace quota_gateway::testing {
namespace {

TEST(ConcurrencyLimit, BoundsAttemptsInFlight) {
  Settings settings = basic_settings();
  settings.plans[0].rate = settings.plans[0].burst = 1000;
  EngineHarness engine(settings);
  std::size_t sent = 0;
  for (int i = 0; i < 200; ++i)
    sent += actions_of<SendAttempt>(engine.arrive(kMillisecond, numbered("r", i))).size();
  EXPECT_LE(sent, 8u);  // five per endpoint, shared by two gateways
  auto actions = engine.run_until(2 * kSecond);
  EXPECT_EQ(actions_of<RejectRequest>(actions).size() + sent + actions_of<CancelAttempt>(actions).size(),
            200u + actions_of<CancelAttempt>(actions).size());
}

// Simulates far more demand on one gateway than its endpoints can serve, in `steps` steps of 10 ms. `latency`
// returns the duration of an attempt by its number. Returns the peak number of attempts in flight during the
// last tenth of the steps.
template <typename Latency>
int peak_attempts_in_flight(EngineHarness& engine, int steps, Latency latency) {
  struct AttemptInFlight {
    SendAttempt attempt;
    TimePoint sent_at, ends_at;
  };
  std::vector<AttemptInFlight> in_flight;
  int sent_count = 0, peak = 0;
  auto record_sent = [&](TimePoint now, const std::vector<Action>& actions) {
    for (const SendAttempt& attempt : actions_of<SendAttempt>(actions))
      in_flight.push_back({attempt, now, now + latency(sent_count++)});
  };
  for (int i = 1; i <= steps; ++i) {
    const TimePoint now = kSecond + i * 10 * kMillisecond;  // the endpoints were idle before
    record_sent(now, engine.run_until(now));
    std::vector<AttemptInFlight> due;
    for (const AttemptInFlight& entry : in_flight)
      if (entry.ends_at <= now) due.push_back(entry);
    std::erase_if(in_flight, [&](const AttemptInFlight& entry) { return entry.ends_at <= now; });
    for (const AttemptInFlight& entry : due)
      record_sent(now, engine.end_attempt(now, entry.attempt, Outcome::kOk, 0, now - entry.sent_at));
    for (int k = 0; k < 8; ++k) record_sent(now, engine.arrive(now, numbered("m", i) + numbered("-", k)));
    if (i > steps * 9 / 10) peak = std::max(peak, int(in_flight.size()));
  }
  return peak;
}

TEST(ConcurrencyLimit, FallsOnSlowResponsesBeforeIdleLatencyIsKnown) {
  Settings settings = basic_settings();
  settings.gateway_count = 1;
  settings.plans[0].rate = settings.plans[0].burst = 1e6;
  EngineHarness late(settings), idle(settings);
  // At most 120 responses in six seconds. They take 0.8 of the latency objective in `late` and a tenth of it
  // in `idle`.
  const int peak = peak_attempts_in_flight(late, 600, [](int) { return 400 * kMillisecond; });
  EXPECT_LE(peak, 12);
  EXPECT_GT(peak_attempts_in_flight(idle, 150, [](int) { return 50 * kMillisecond; }), peak);
}

TEST(ConcurrencyLimit, IgnoresFastFirstResponsesInIdleLatency) {
  Settings settings = basic_settings();
  settings.gateway_count = 1;
  settings.plans[0].rate = settings.plans[0].burst = 1e6;
  EngineHarness engine(settings);
  // The fastest requests complete first: the first 40 take half as long as the later ones.
  EXPECT_GT(
      peak_attempts_in_flight(
          engine, 600, [](int attempt_number) { return (attempt_number < 40 ? 20 : 40) * kMillisecond; }),
      18);
}

TEST(ConcurrencyLimit, KeepsEndpointSharesWhenAllLatenciesExceedExpected) {
  Settings settings = basic_settings();
  settings.gateway_count = 2;
  settings.plans[0].rate = settings.plans[0].burst = 1e6;
  EngineHarness engine(settings, up({"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}));
  // Small requests take as long as large ones, so the ratio of actual to expected latency averages above one.
  TimePoint now = kSecond;
  for (int i = 0; i < 400; ++i, now += 50 * kMillisecond) {
    engine.run_until(now);
    for (const SendAttempt& attempt :
         actions_of<SendAttempt>(engine.arrive(now, numbered("r", i), i % 2 ? 1 : 3)))
      engine.end_attempt(now + 40 * kMillisecond, attempt, Outcome::kOk, 0, 40 * kMillisecond);
  }
  std::size_t sent = 0;
  for (int i = 0; i < 40; ++i)
    sent += actions_of<SendAttempt>(engine.arrive(now, numbered("f", i), 2)).size();
  EXPECT_GT(sent, 15u);  // ten on average, with random variation, and not one per endpoint
}

TEST(ConcurrencyLimit, DoesNotFallOnOverloadedResponsesThatAreRetried) {
  Settings settings = basic_settings();
  settings.plans[0].rate = settings.plans[0].burst = 1000;
  EngineHarness engine(settings);
  int served = 0;
  for (int i = 0; i < 100; ++i) {
    auto actions = engine.arrive(i * 50 * kMillisecond, numbered("r", i));
    for (int attempt_number = 0; attempt_number < 3; ++attempt_number) {
      auto sent = actions_of<SendAttempt>(actions);
      if (sent.empty()) break;
      const bool is_overloaded = sent[0].endpoint != "c";  // a and b are overloaded for this plan
      served += !is_overloaded;
      actions = engine.end_attempt(i * 50 * kMillisecond + 1 + attempt_number, sent[0],
                                   is_overloaded ? Outcome::kOverloaded : Outcome::kOk, attempt_number);
    }
  }
  EXPECT_EQ(served, 100);
}

TEST(ConcurrencyLimit, IgnoresPausesOfTheGateway) {
  Settings settings = basic_settings();
  settings.plans[0].rate = settings.plans[0].burst = 1e6;
  EngineHarness engine(settings);
  TimePoint now = kSecond;
  std::size_t sent = 0;
  for (int k = 0; k < 200; ++k, now += 20 * kMillisecond) {
    auto attempts = actions_of<SendAttempt>(engine.arrive(now, numbered("r", k)));
    sent += attempts.size();
    // Every second response is processed one second late but reports a duration of 10 ms.
    for (const SendAttempt& attempt : attempts) {
      if (k % 2) now += kSecond;
      engine.end_attempt(now, attempt, Outcome::kOk, 0, 10 * kMillisecond);
    }
  }
  EXPECT_EQ(sent, 200u);
}

TEST(ConcurrencyLimit, AllowsSeveralAttemptsInFlightWithMoreGatewaysThanEndpoints) {
  Settings settings = basic_settings();
  settings.gateway_count = 300;
  settings.plans[0].rate = settings.plans[0].burst = 1e6;
  EngineHarness engine(settings);
  EXPECT_EQ(actions_of<SendAttempt>(engine.arrive(kSecond, "one")).size(), 1u);
  EXPECT_EQ(actions_of<SendAttempt>(engine.arrive(kSecond, "two")).size(), 1u);
}

}  // namespace
}  // namespace quota_gateway::testing
