// The choice of an endpoint for an attempt.
#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "support/engine_harness.hpp"

namespace quota_gateway::testing {
namespace {

TEST(EndpointPicker, SpreadsPicksOfManyGatewaysWithSameLoadReports) {
  Settings settings = basic_settings();
  settings.gateway_count = 300;
  settings.plans[0].rate = settings.plans[0].burst = 1e6;
  std::map<std::string, int> picked;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    EngineHarness engine(settings, up({"a", "b", "c", "d"}), seed);
    std::set<std::string> reported;
    for (int i = 0; i < 100 && reported.size() < 4; ++i) {
      auto sent = actions_of<SendAttempt>(engine.arrive(kSecond + i * kMillisecond, numbered("r", i)));
      if (sent.empty()) continue;
      AttemptEnded ended;
      ended.id = sent[0].id;
      ended.endpoint = sent[0].endpoint;
      ended.duration = kMillisecond;
      ended.request_finished = true;
      ended.load.in_flight = ended.endpoint == "a" ? 1 : 4;  // "a" looks idle to every gateway
      reported.insert(ended.endpoint);
      engine.step(kSecond + i * kMillisecond, {ended});
    }
    for (const SendAttempt& attempt : actions_of<SendAttempt>(engine.arrive(1200 * kMillisecond, "last")))
      ++picked[attempt.endpoint];
  }
  EXPECT_GT(picked["a"], 15);
  EXPECT_LT(picked["a"], 45);
}

TEST(EndpointPicker, PrefersIdleConnectionsWithManyGateways) {
  Settings settings = basic_settings();
  settings.gateway_count = 40;
  std::vector<std::string> names;
  for (int i = 0; i < 24; ++i) names.push_back(numbered("s", i));
  EngineHarness engine(settings, up(names));
  std::set<std::string> used;
  for (int i = 0; i < 60; ++i) {
    const TimePoint now = i * 200 * kMillisecond;
    for (const SendAttempt& attempt : actions_of<SendAttempt>(engine.arrive(now, numbered("r", i)))) {
      used.insert(attempt.endpoint);
      engine.end_attempt(now + 20 * kMillisecond, attempt, Outcome::kOk, 0, 20 * kMillisecond);
    }
  }
  EXPECT_LE(used.size(), 16u);  // of 24; picks that ignore connections would reach all of them
}

// One of 300 gateways sends eight attempts per second to 160 endpoints. A few sampled candidates seldom
// include an endpoint to which the gateway has had a connection within the last five seconds.
TEST(EndpointPicker, ReusesConnectionsWithManyGatewaysAndEndpoints) {
  Settings settings = basic_settings();
  settings.gateway_count = 300;
  settings.plans[0].rate = settings.plans[0].burst = 1e6;
  std::vector<std::string> names;
  for (int i = 0; i < 160; ++i) names.push_back(numbered("s", i));
  EngineHarness engine(settings, up(names));
  std::map<std::string, Duration> last_used_at;
  int attempts = 0, connected = 0;
  for (int i = 0; i < 400; ++i) {
    const TimePoint now = i * 125 * kMillisecond;
    for (const SendAttempt& attempt : actions_of<SendAttempt>(engine.arrive(now, numbered("r", i)))) {
      const auto last = last_used_at.find(attempt.endpoint);
      if (i >= 80) ++attempts, connected += last != last_used_at.end() && now - last->second < 5 * kSecond;
      last_used_at[attempt.endpoint] = now;
      engine.end_attempt(now + 100 * kMillisecond, attempt, Outcome::kOk, 0, 100 * kMillisecond);
    }
  }
  EXPECT_GT(connected, attempts * 3 / 4);
  EXPECT_GT(last_used_at.size(), 12u);  // not always the same few endpoints
}

}  // namespace
}  // namespace quota_gateway::testing
