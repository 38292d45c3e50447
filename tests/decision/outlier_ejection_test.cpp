// Ejection of failing endpoints.
#include <gtest/gtest.h>

#include <set>
#include <string>

#include "support/engine_harness.hpp"

namespace quota_gateway::testing {
namespace {

TEST(OutlierEjection, ConsecutiveFailuresEjectAnEndpoint) {
  EngineHarness engine;
  std::set<std::string> seen;
  for (int i = 0; i < 30; ++i) {
    auto out = engine.arrive(i * 20 * kMillisecond, numbered("r", i));
    for (int n = 0; n < 3; ++n) {
      auto sent = actions_of<SendAttempt>(out);
      if (sent.empty()) break;
      if (i >= 20) seen.insert(sent[0].endpoint);
      out = engine.end(i * 20 * kMillisecond + 1, sent[0],
                       sent[0].endpoint == "a" ? Outcome::kConnectFailed : Outcome::kOk, n);
    }
  }
  EXPECT_FALSE(seen.count("a"));
}

TEST(OutlierEjection, AnEndpointThatFailsFastIsNotTakenForAFastOne) {
  Settings settings = basic_settings();
  settings.plans[0].rate = settings.plans[0].burst = 1000;
  EngineHarness engine(settings);
  int failed = 0;
  for (int i = 0; i < 100; ++i) {
    const TimePoint now = i * 20 * kMillisecond;
    auto out = engine.arrive(now, numbered("r", i));
    for (int n = 0; n < 3; ++n) {
      const auto sent = actions_of<SendAttempt>(out);
      if (sent.empty()) break;
      const bool fails = sent[0].endpoint == "a";
      failed += fails;
      out = engine.end(now + (fails ? kMillisecond : 15 * kMillisecond), sent[0],
                       fails ? Outcome::kError : Outcome::kOk, n, fails ? kMillisecond : 15 * kMillisecond);
    }
  }
  EXPECT_LE(failed, 4);  // of 100: three until it is ejected, and one probe
}

}  // namespace
}  // namespace quota_gateway::testing
