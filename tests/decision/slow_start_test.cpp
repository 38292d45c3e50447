// Slow start: the requests that a fleet of gateways sends to endpoints that have just started.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "support/engine_harness.hpp"

namespace quota_gateway::testing {
namespace {

TEST(SlowStart, SendsOneRequestPerWindowBeforeLoadIsObserved) {
  Settings settings = basic_settings();
  enable_slow_start(settings, 0.2, 15 * kSecond, 2, kSecond);
  auto endpoints = up({"a"});
  endpoints[0].started_at = 1;
  EngineHarness engine(settings, endpoints);
  engine.burst(kMillisecond, 5);
  EXPECT_EQ(actions_of<SendAttempt>(engine.all_actions()).size(), 1u);
}

// Simulates a fleet of gateways, each with one request per `interval`, 12 fresh endpoints in slow start and 8
// warm ones. Each response takes 100 ms. Returns the load of the fresh endpoints as a multiple of their fair
// share, which follows from their minimum capacity.
double fresh_endpoint_load_ratio(int gateways, Duration interval) {
  Settings settings = basic_settings();
  settings.gateway_count = gateways;
  settings.plans[0].rate = settings.plans[0].burst = 1e6;
  enable_slow_start(settings, 0.21, 18 * kSecond, 3, 2 * kSecond);
  constexpr TimePoint kJoin = 5 * kSecond, kEnd = 11 * kSecond;
  std::vector<EndpointEntry> fresh;
  for (int i = 0; i < 12; ++i) {
    fresh.push_back({});
    fresh.back().endpoint = numbered("new", i);
    fresh.back().started_at = kJoin;
  }
  std::vector<std::string> old;
  for (int i = 0; i < 8; ++i) old.push_back(numbered("old", i));
  double sent_to_fresh = 0, all_sent = 0, fair_sent_to_fresh = 0;
  for (int gateway = 0; gateway < gateways; ++gateway) {
    settings.gateway_index = gateway;
    EngineHarness engine(settings, up(old), std::uint64_t(gateway + 1));
    bool joined = false;
    for (TimePoint now = kSecond + gateway * interval / gateways; now < kEnd; now += interval) {
      if (now >= kJoin && !std::exchange(joined, true)) {
        EndpointListUpdate list;
        list.kind = EndpointListUpdate::Kind::kPartial;
        list.entries = fresh;
        engine.step(now, {list});
      }
      auto sent = engine.run_until(now);
      auto more = engine.arrive(now, numbered("r", now));
      append(sent, more);
      for (const SendAttempt& attempt : actions_of<SendAttempt>(sent)) {
        const double capacity_fraction =
            0.21 + 0.79 * double(now - kJoin) / double(settings.slow_start_duration);
        if (joined) {
          ++all_sent;
          sent_to_fresh += attempt.endpoint[0] == 'n';
          fair_sent_to_fresh += 12 * capacity_fraction / (12 * capacity_fraction + 8);
        }
        engine.end_attempt(now + 100 * kMillisecond, attempt, Outcome::kOk, 0, 100 * kMillisecond);
      }
    }
  }
  EXPECT_GT(all_sent, 0.9 * gateways * double(kEnd - kJoin) / double(interval));
  return sent_to_fresh / fair_sent_to_fresh;
}

TEST(SlowStart, FleetSendsFreshEndpointsTheirFairShare) {
  const double load_ratio = fresh_endpoint_load_ratio(300, 2 * kSecond);
  EXPECT_GT(load_ratio, 0.5);  // the fresh endpoints do not idle while the warm ones are loaded
  EXPECT_LT(load_ratio, 1.5);
}

// Simulates a fleet with 1 to 10 requests per second for every 30 gateways, six warm endpoints and two fresh
// ones that join in slow start, after `idle_time` without requests. Two of three gateways restart
// `restart_delay` after the join and have then observed no load. One of four attempts is rejected as
// overloaded and retried; after the join, the fraction at warm endpoints is `rejected_share`. Returns the
// peak load of a fresh endpoint in a window, as a multiple of its budget for all gateways together.
double peak_use_of_slow_start_budget(int gateways, std::uint64_t seed, Duration restart_delay,
                                     double rejected_share, Duration idle_time = 0) {
  constexpr int kWarm = 6;
  constexpr TimePoint kIdleFrom = 8 * kSecond;
  const TimePoint kJoin = kIdleFrom + idle_time, kEnd = kJoin + 12 * kSecond;
  Settings settings = basic_settings();
  settings.gateway_count = gateways;
  settings.plans[0].rate = settings.plans[0].burst = 1e6;
  enable_slow_start(settings, 0.21, 18 * kSecond, 3, 2 * kSecond);
  std::vector<EndpointEntry> fresh = up({"new1", "new2"});
  for (EndpointEntry& entry : fresh) entry.started_at = kJoin;
  std::vector<EndpointEntry> old = up({"old1", "old2", "old3", "old4", "old5", "old6"}), all_endpoints = old;
  all_endpoints.insert(all_endpoints.end(), fresh.begin(), fresh.end());
  std::mt19937_64 random(seed);
  std::uniform_real_distribution<double> chance(0, 1);
  std::map<std::string, std::vector<Duration>> sent_to_fresh;
  int sent_to_warm = 0;
  for (int gateway = 0; gateway < gateways; ++gateway) {
    settings.gateway_index = gateway;
    const double rate = std::exp(2.3 * chance(random)) * 30 / gateways;
    std::optional<EngineHarness> engine;
    engine.emplace(settings, old, seed * 1000 + std::uint64_t(gateway));
    bool joined = false, restarted = false;
    for (TimePoint now = kSecond; now < kEnd;
         now += Duration(-std::log(1 - chance(random)) / rate * double(kSecond))) {
      if (now >= kIdleFrom && now < kJoin) now = kJoin + Duration(chance(random) * double(kSecond));
      if (now >= kJoin && !std::exchange(joined, true)) {
        EndpointListUpdate list;
        list.kind = EndpointListUpdate::Kind::kPartial;
        list.entries = fresh;
        engine->run_until(now - 1);
        engine->step(now, {list});
      }
      if (gateway % 3 && now >= kJoin + restart_delay && !std::exchange(restarted, true))
        engine.emplace(settings, all_endpoints, seed * 1000 + 500 + std::uint64_t(gateway));
      auto actions = engine->run_until(now);
      auto more = engine->arrive(now, numbered("r", now));
      append(actions, more);
      std::map<std::string, int> attempts;
      for (std::size_t i = 0; i < actions.size(); ++i) {
        const auto* const found = std::get_if<SendAttempt>(&actions[i]);
        if (!found) continue;
        const SendAttempt attempt = *found;
        if (attempt.endpoint[0] == 'n') sent_to_fresh[attempt.endpoint].push_back(now);
        sent_to_warm += attempt.endpoint[0] == 'o' && now < kJoin;
        const double share = attempt.endpoint[0] == 'o' && now >= kJoin ? rejected_share : 0.25;
        const Outcome outcome = chance(random) < share ? Outcome::kOverloaded : Outcome::kOk;
        auto next = engine->end_attempt(now + 100 * kMillisecond, attempt, outcome, attempts[attempt.id]++,
                                        100 * kMillisecond);
        append(actions, next);
      }
    }
  }
  const double warm_rate =
      double(sent_to_warm) / kWarm / (double(kIdleFrom - kSecond) / kSecond);  // requests per second
  double worst = 0;
  for (auto& [endpoint, sends] : sent_to_fresh) {
    std::sort(sends.begin(), sends.end());
    for (std::size_t i = 0, first = 0; i < sends.size(); ++i) {
      while (sends[i] - sends[first] >= settings.slow_start_window) ++first;
      const double capacity_fraction =
          0.21 + 0.79 * double(sends[first] - kJoin) / double(settings.slow_start_duration);
      const double budget = settings.slow_start_overload_factor * capacity_fraction * warm_rate *
                            double(settings.slow_start_window) / kSecond;
      worst = std::max(worst, double(i - first + 1) / (budget + 2 * std::sqrt(budget) + 2));
    }
  }
  return worst;
}

TEST(SlowStart, FleetStaysWithinBudgetWhileGatewaysRestart) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed)
    for (const Duration restart_delay : {300 * kMillisecond, 2 * kSecond})
      for (const double rejected_share : {0.25, 0.9}) {
        const double worst = peak_use_of_slow_start_budget(30, seed, restart_delay, rejected_share);
        EXPECT_LE(worst, 1) << seed << " " << restart_delay << " " << rejected_share;
        EXPECT_GT(worst, 0.2) << seed << " " << restart_delay << " " << rejected_share;  // and is not starved
      }
}

TEST(SlowStart, FleetStaysWithinBudgetAfterLongIdleTime) {
  for (const int gateways : {30, 300, 900})
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      const double worst = peak_use_of_slow_start_budget(gateways, seed, 2 * kSecond, 0.25, 60 * kSecond);
      EXPECT_LE(worst, 1) << gateways << " " << seed;
      std::printf("%d gateways, seed %d: %.2f of the budget\n", gateways, int(seed), worst);
    }
}

TEST(SlowStart, FleetStaysWithinBudgetWhenWarmEndpointsReject) {
  for (const int gateways : {300, 900})
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      const double worst = peak_use_of_slow_start_budget(gateways, seed, 300 * kMillisecond, 0.9);
      EXPECT_LE(worst, 1) << gateways << " " << seed;
      EXPECT_GT(worst, 0.1) << gateways << " " << seed;  // and is not starved
    }
}

// Returns whether an endpoint that is announced at `announced_at` with the start time `started_at` is in slow
// start at `checked_at`. Slow start limits it to one request until the load of other endpoints is observed.
bool is_in_slow_start(Duration wall_offset, TimePoint started_at, TimePoint announced_at,
                      TimePoint checked_at) {
  Settings settings = basic_settings();
  settings.plans[0].rate = settings.plans[0].burst = 1e6;
  enable_slow_start(settings, 0.2, 15 * kSecond, 2, kSecond);
  EngineHarness engine(settings, up({"old"}));
  engine.step(20 * kSecond, {EndpointListUpdate{EndpointListUpdate::Kind::kPartial, {}}});
  engine.step(announced_at - 1, {WallClockStepped{wall_offset}});
  EndpointListUpdate list;
  list.entries = up({"new"});
  list.entries[0].started_at = started_at;
  engine.step(announced_at, {list});
  std::size_t sent = 0;
  for (int i = 0; i < 5; ++i)
    sent += actions_of<SendAttempt>(engine.arrive(checked_at + i, numbered("r", i))).size();
  return sent < 2;
}

TEST(SlowStart, FollowsElapsedTimeWhenWallClockIsStepped) {
  constexpr Duration kHour = 3600 * kSecond, kAnnouncedAt = kHour;
  for (const Duration step : {-kHour, -5 * kSecond, Duration(0), 5 * kSecond, kHour}) {
    const TimePoint started_at = kAnnouncedAt - kSecond;  // by the wall clock before the step
    EXPECT_TRUE(is_in_slow_start(step, started_at, kAnnouncedAt, kAnnouncedAt + kSecond)) << step;
    EXPECT_TRUE(is_in_slow_start(step, started_at, kAnnouncedAt, kAnnouncedAt + 10 * kSecond)) << step;
    EXPECT_FALSE(is_in_slow_start(step, started_at, kAnnouncedAt, kAnnouncedAt + 15 * kSecond)) << step;
  }
}

}  // namespace
}  // namespace quota_gateway::testing
