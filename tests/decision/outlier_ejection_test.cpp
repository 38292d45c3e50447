// Ejection of failing endpoints.
#include <gtest/gtest.h>

#include <set>
#include <string>

#include "support/engine_harness.hpp"

namespace quota_gateway::testing {
namespace {

TEST(OutlierEjection, EjectsEndpointAfterConsecutiveFailures) {
  EngineHarness engine;
  std::set<std::string> endpoints_used;
  for (int i = 0; i < 30; ++i) {
    auto actions = engine.arrive(i * 20 * kMillisecond, numbered("r", i));
    for (int attempt_number = 0; attempt_number < 3; ++attempt_number) {
      auto sent = actions_of<SendAttempt>(actions);
      if (sent.empty()) break;
      if (i >= 20) endpoints_used.insert(sent[0].endpoint);
      actions = engine.end_attempt(i * 20 * kMillisecond + 1, sent[0],
                                   sent[0].endpoint == "a" ? Outcome::kConnectFailed : Outcome::kOk,
                                   attempt_number);
    }
  }
  EXPECT_FALSE(endpoints_used.count("a"));
}

TEST(OutlierEjection, DoesNotPreferEndpointThatFailsFast) {
  Settings settings = basic_settings();
  settings.plans[0].rate = settings.plans[0].burst = 1000;
  EngineHarness engine(settings);
  int failed = 0;
  for (int i = 0; i < 100; ++i) {
    const TimePoint now = i * 20 * kMillisecond;
    auto actions = engine.arrive(now, numbered("r", i));
    for (int attempt_number = 0; attempt_number < 3; ++attempt_number) {
      const auto sent = actions_of<SendAttempt>(actions);
      if (sent.empty()) break;
      const bool fails = sent[0].endpoint == "a";
      failed += fails;
      actions = engine.end_attempt(now + (fails ? kMillisecond : 15 * kMillisecond), sent[0],
                                   fails ? Outcome::kError : Outcome::kOk, attempt_number,
                                   fails ? kMillisecond : 15 * kMillisecond);
    }
  }
  EXPECT_LE(failed, 4);  // of 100: three until it is ejected, and one probe
}

}  // namespace
}  // namespace quota_gateway::testing
