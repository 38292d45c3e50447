// Requests to endpoints in slow start, from a whole fleet of gateways.
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

TEST(SlowStart, AFreshEndpointGetsOneRequestAWindowBeforePeersAreObserved) {
  Settings settings = basic_settings();
  settings.slow_start_min_capacity = 0.2;
  settings.slow_start_duration = 15 * kSecond;
  settings.slow_start_overload_factor = 2;
  settings.slow_start_window = kSecond;
  auto servers = up({"a"});
  servers[0].started_at = 1;
  EngineHarness engine(settings, servers);
  engine.burst(kMillisecond, 5);
  EXPECT_EQ(actions_of<SendAttempt>(engine.log()).size(), 1u);
}

// What a fleet of gateways, each with little to send, sends to 12 cold servers over what would be their part
// by the capacity that they have at the least, beside 8 warm ones. Each answer takes 100 ms.
double fresh_endpoint_share(int gateways, Duration between) {
  Settings settings = basic_settings();
  settings.gateway_count = gateways;
  settings.plans[0].rate = settings.plans[0].burst = 1e6;
  settings.slow_start_min_capacity = 0.21;
  settings.slow_start_duration = 18 * kSecond;
  settings.slow_start_overload_factor = 3;
  settings.slow_start_window = 2 * kSecond;
  constexpr TimePoint kJoin = 5 * kSecond, kEnd = 11 * kSecond;
  std::vector<EndpointEntry> fresh;
  for (int i = 0; i < 12; ++i) {
    fresh.push_back({});
    fresh.back().endpoint = numbered("new", i);
    fresh.back().started_at = kJoin;
  }
  std::vector<std::string> old;
  for (int i = 0; i < 8; ++i) old.push_back(numbered("old", i));
  double to_cold = 0, all_sent = 0, fair = 0;
  for (int g = 0; g < gateways; ++g) {
    settings.gateway_index = g;
    EngineHarness engine(settings, up(old), std::uint64_t(g + 1));
    bool joined = false;
    for (TimePoint now = kSecond + g * between / gateways; now < kEnd; now += between) {
      if (now >= kJoin && !std::exchange(joined, true)) {
        EndpointListUpdate list;
        list.kind = EndpointListUpdate::Kind::kPartial;
        list.entries = fresh;
        engine.step(now, {list});
      }
      auto sent = engine.run(now);
      auto more = engine.arrive(now, numbered("r", now));
      append(sent, more);
      for (const SendAttempt& attempt : actions_of<SendAttempt>(sent)) {
        const double warmth = 0.21 + 0.79 * double(now - kJoin) / double(settings.slow_start_duration);
        if (joined) {
          ++all_sent;
          to_cold += attempt.endpoint[0] == 'n';
          fair += 12 * warmth / (12 * warmth + 8);
        }
        engine.end(now + 100 * kMillisecond, attempt, Outcome::kOk, 0, 100 * kMillisecond);
      }
    }
  }
  EXPECT_GT(all_sent, 0.9 * gateways * double(kEnd - kJoin) / double(between));
  return to_cold / fair;
}

TEST(SlowStart, AFleetSendsFreshEndpointsTheirFairPart) {
  const double part = fresh_endpoint_share(300, 2 * kSecond);
  EXPECT_GT(part, 0.5);  // idle ones beside full warm ones
  EXPECT_LT(part, 1.5);
}

// So many gateways with traffic of one to some ten requests a second for each thirty, six warm servers and
// two that start cold; two in three gateways start anew right after that and know of no load yet; one attempt
// in four is turned away and tried again, of those at warm servers the given share from then on. The most
// that a cold server got in a window, against what it may get from all together, its budget being reckoned
// from what a warm one bears.
double peak_use_of_slow_start_budget(int gateways, std::uint64_t seed, Duration restart, double turned_away,
                                     Duration quiet = 0) {
  constexpr int kWarm = 6;
  constexpr TimePoint kQuietFrom = 8 * kSecond;
  const TimePoint kJoin = kQuietFrom + quiet, kEnd = kJoin + 12 * kSecond;
  Settings settings = basic_settings();
  settings.gateway_count = gateways;
  settings.plans[0].rate = settings.plans[0].burst = 1e6;
  settings.slow_start_min_capacity = 0.21;
  settings.slow_start_duration = 18 * kSecond;
  settings.slow_start_overload_factor = 3;
  settings.slow_start_window = 2 * kSecond;
  std::vector<EndpointEntry> fresh = up({"new1", "new2"});
  for (EndpointEntry& e : fresh) e.started_at = kJoin;
  std::vector<EndpointEntry> old = up({"old1", "old2", "old3", "old4", "old5", "old6"}), all_of = old;
  all_of.insert(all_of.end(), fresh.begin(), fresh.end());
  std::mt19937_64 random(seed);
  std::uniform_real_distribution<double> chance(0, 1);
  std::map<std::string, std::vector<Duration>> to_cold;
  int to_warm = 0;
  for (int g = 0; g < gateways; ++g) {
    settings.gateway_index = g;
    const double rate = std::exp(2.3 * chance(random)) * 30 / gateways;
    std::optional<EngineHarness> engine;
    engine.emplace(settings, old, seed * 1000 + std::uint64_t(g));
    bool joined = false, anew = false;
    for (TimePoint now = kSecond; now < kEnd;
         now += Duration(-std::log(1 - chance(random)) / rate * double(kSecond))) {
      if (now >= kQuietFrom && now < kJoin) now = kJoin + Duration(chance(random) * double(kSecond));
      if (now >= kJoin && !std::exchange(joined, true)) {
        EndpointListUpdate list;
        list.kind = EndpointListUpdate::Kind::kPartial;
        list.entries = fresh;
        engine->run(now - 1);
        engine->step(now, {list});
      }
      if (g % 3 && now >= kJoin + restart && !std::exchange(anew, true))
        engine.emplace(settings, all_of, seed * 1000 + 500 + std::uint64_t(g));
      auto out = engine->run(now);
      auto more = engine->arrive(now, numbered("r", now));
      append(out, more);
      std::map<std::string, int> attempts;
      for (std::size_t i = 0; i < out.size(); ++i) {
        const auto* const found = std::get_if<SendAttempt>(&out[i]);
        if (!found) continue;
        const SendAttempt attempt = *found;
        if (attempt.endpoint[0] == 'n') to_cold[attempt.endpoint].push_back(now);
        to_warm += attempt.endpoint[0] == 'o' && now < kJoin;
        const double share = attempt.endpoint[0] == 'o' && now >= kJoin ? turned_away : 0.25;
        const Outcome o = chance(random) < share ? Outcome::kOverloaded : Outcome::kOk;
        auto next =
            engine->end(now + 100 * kMillisecond, attempt, o, attempts[attempt.id]++, 100 * kMillisecond);
        append(out, next);
      }
    }
  }
  const double bears = double(to_warm) / kWarm / (double(kQuietFrom - kSecond) / kSecond);  // a second
  double worst = 0;
  for (auto& [server, sends] : to_cold) {
    std::sort(sends.begin(), sends.end());
    for (std::size_t i = 0, first = 0; i < sends.size(); ++i) {
      while (sends[i] - sends[first] >= settings.slow_start_window) ++first;
      const double warmth = 0.21 + 0.79 * double(sends[first] - kJoin) / double(settings.slow_start_duration);
      const double n =
          settings.slow_start_overload_factor * warmth * bears * double(settings.slow_start_window) / kSecond;
      worst = std::max(worst, double(i - first + 1) / (n + 2 * std::sqrt(n) + 2));
    }
  }
  return worst;
}

TEST(SlowStart, AFleetKeepsToTheBudgetOfAFreshEndpointAlsoWhileGatewaysRestart) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed)
    for (const Duration restart : {300 * kMillisecond, 2 * kSecond})
      for (const double turned_away : {0.25, 0.9}) {
        const double worst = peak_use_of_slow_start_budget(30, seed, restart, turned_away);
        EXPECT_LE(worst, 1) << seed << " " << restart << " " << turned_away;
        EXPECT_GT(worst, 0.2) << seed << " " << restart << " " << turned_away;  // and it is not left alone
      }
}

TEST(SlowStart, AFleetThatWakesAfterALongIdleTimeKeepsToTheBudgetOfAFreshEndpoint) {
  for (const int gateways : {30, 300, 900})
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      const double worst = peak_use_of_slow_start_budget(gateways, seed, 2 * kSecond, 0.25, 60 * kSecond);
      EXPECT_LE(worst, 1) << gateways << " " << seed;
      std::printf("%d gateways, seed %d: %.2f of the budget\n", gateways, int(seed), worst);
    }
}

TEST(SlowStart, AFleetRejectedElsewhereKeepsToTheBudgetOfAFreshEndpoint) {
  for (const int gateways : {300, 900})
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      const double worst = peak_use_of_slow_start_budget(gateways, seed, 300 * kMillisecond, 0.9);
      EXPECT_LE(worst, 1) << gateways << " " << seed;
      EXPECT_GT(worst, 0.1) << gateways << " " << seed;  // and it is not left alone
    }
}

// Whether a server that is told of at `told` with this note of its start is spared at `at`, as one in slow
// start is whose budget has nothing observed behind it.
bool is_in_slow_start(Duration wall_offset, TimePoint note, TimePoint told, TimePoint at) {
  Settings settings = basic_settings();
  settings.plans[0].rate = settings.plans[0].burst = 1e6;
  settings.slow_start_min_capacity = 0.2;
  settings.slow_start_duration = 15 * kSecond;
  settings.slow_start_overload_factor = 2;
  settings.slow_start_window = kSecond;
  EngineHarness engine(settings, up({"old"}));
  engine.step(20 * kSecond, {EndpointListUpdate{EndpointListUpdate::Kind::kPartial, {}}});
  engine.step(told - 1, {WallClockStepped{wall_offset}});
  EndpointListUpdate list;
  list.entries = up({"new"});
  list.entries[0].started_at = note;
  engine.step(told, {list});
  std::size_t sent = 0;
  for (int i = 0; i < 5; ++i) sent += actions_of<SendAttempt>(engine.arrive(at + i, numbered("r", i))).size();
  return sent < 2;
}

TEST(SlowStart, SlowStartFollowsRealTimeHoweverTheWallClockIsStepped) {
  constexpr Duration kHour = 3600 * kSecond, kTold = kHour;
  for (const Duration step : {-kHour, -5 * kSecond, Duration(0), 5 * kSecond, kHour}) {
    const TimePoint note = kTold - kSecond;  // by the clock before it was stepped
    EXPECT_TRUE(is_in_slow_start(step, note, kTold, kTold + kSecond)) << step;
    EXPECT_TRUE(is_in_slow_start(step, note, kTold, kTold + 10 * kSecond)) << step;
    EXPECT_FALSE(is_in_slow_start(step, note, kTold, kTold + 15 * kSecond)) << step;
  }
}

}  // namespace
}  // namespace quota_gateway::testing
