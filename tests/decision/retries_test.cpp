// Retries by idempotency, and the cancellation of stalled attempts.
#include <gtest/gtest.h>

#include <string>

#include "support/engine_harness.hpp"

namespace quota_gateway::testing {
namespace {

Settings settings_with_idempotency(Idempotency idempotency) {
  Settings settings = basic_settings();
  settings.classes[0].idempotency = idempotency;
  settings.classes[0].dedup_scope = DedupScope::kCell;
  settings.classes[0].dedup_window = 8 * kSecond;
  settings.classes[0].late_weight_fraction = 0.2;
  return settings;
}

TEST(Retries, RetriesKeyedRequestThatMayHaveExecutedOnlyInItsCell) {
  auto endpoints = up({"a", "b", "c", "d"});
  for (int i = 0; i < 4; ++i) endpoints[std::size_t(i)].cell = i / 2;
  EngineHarness engine(settings_with_idempotency(Idempotency::kByKey), endpoints);
  auto first = actions_of<SendAttempt>(engine.arrive(kMillisecond, "r"));
  ASSERT_EQ(first.size(), 1u);
  auto out = engine.end_attempt(50 * kMillisecond, first[0], Outcome::kReset);
  auto second = actions_of<SendAttempt>(out);
  ASSERT_EQ(second.size(), 1u);
  auto is_in_first_cell = [](const std::string& endpoint) { return endpoint == "a" || endpoint == "b"; };
  EXPECT_EQ(is_in_first_cell(first[0].endpoint), is_in_first_cell(second[0].endpoint));
}

TEST(Retries, FailsRatherThanRejectsKeyedRequestThatMayHaveExecuted) {
  Settings settings = settings_with_idempotency(Idempotency::kByKey);
  settings.max_attempts = 1;
  EngineHarness engine(settings);
  auto sent = actions_of<SendAttempt>(engine.arrive(kMillisecond, "r"));
  auto out = engine.end_attempt(50 * kMillisecond, sent.at(0), Outcome::kReset);
  EXPECT_EQ(actions_of<FailRequest>(out).size(), 1u);
  EXPECT_TRUE(actions_of<RejectRequest>(out).empty());
}

TEST(Retries, KeyedRetryArrivesWithinDedupWindowDespiteDelays) {
  // Between reading its clock and writing the request, a gateway may be delayed by 150 ms, in addition to a
  // connection that takes the whole connect timeout.
  Settings settings = basic_settings();
  settings.classes[0].idempotency = Idempotency::kByKey;
  settings.classes[0].dedup_scope = DedupScope::kAll;
  settings.classes[0].dedup_window = kSecond;
  settings.classes[0].latency_objective = settings.classes[0].client_timeout = 2 * kSecond;
  settings.connect_timeout = 250 * kMillisecond;
  for (const TimePoint failed_after : {550 * kMillisecond, 650 * kMillisecond}) {
    EngineHarness engine(settings);
    const auto first = actions_of<SendAttempt>(engine.arrive(kMillisecond, "r"));
    const auto retries = actions_of<SendAttempt>(
        engine.end_attempt(kMillisecond + failed_after, first.at(0), Outcome::kReset));
    EXPECT_EQ(retries.size(),
              failed_after + settings.connect_timeout + 150 * kMillisecond < settings.classes[0].dedup_window
                  ? 1u
                  : 0u)
        << failed_after;
  }
}

TEST(Retries, RetriesNonIdempotentRequestOnlyIfItNeverExecuted) {
  for (Outcome outcome : {Outcome::kTimeout, Outcome::kReset, Outcome::kError, Outcome::kCancelled}) {
    EngineHarness engine(settings_with_idempotency(Idempotency::kNonIdempotent));
    auto sent = actions_of<SendAttempt>(engine.arrive(kMillisecond, "r"));
    auto out = engine.end_attempt(50 * kMillisecond, sent.at(0), outcome);
    EXPECT_TRUE(actions_of<SendAttempt>(out).empty());
    EXPECT_EQ(actions_of<FailRequest>(out).size(), 1u);
  }
  EngineHarness engine(settings_with_idempotency(Idempotency::kNonIdempotent));
  auto sent = actions_of<SendAttempt>(engine.arrive(kMillisecond, "r"));
  EXPECT_EQ(
      actions_of<SendAttempt>(engine.end_attempt(50 * kMillisecond, sent.at(0), Outcome::kConnectFailed))
          .size(),
      1u);
}

TEST(Retries, CancelsStalledAttemptAndRetriesElsewhereWithinLatencyObjective) {
  Settings settings = basic_settings();
  settings.plans[0].rate = settings.plans[0].burst = 1000;
  EngineHarness engine(settings);
  for (int i = 0; i < 30; ++i)
    engine.end_attempt(0, actions_of<SendAttempt>(engine.arrive(0, numbered("usual", i))).at(0), Outcome::kOk,
                       0, 20 * kMillisecond);
  auto sent = actions_of<SendAttempt>(engine.arrive(kMillisecond, "r"));
  auto out = engine.run_until(450 * kMillisecond);
  ASSERT_EQ(actions_of<CancelAttempt>(out).size(), 1u);
  auto retries =
      actions_of<SendAttempt>(engine.end_attempt(451 * kMillisecond, sent.at(0), Outcome::kCancelled));
  ASSERT_EQ(retries.size(), 1u);
  EXPECT_NE(retries[0].endpoint, sent[0].endpoint);
}

TEST(Retries, OneFastResponseDoesNotMakeNextAttemptsLookStalled) {
  EngineHarness engine;
  auto quick = actions_of<SendAttempt>(engine.arrive(0, "quick"));
  engine.end_attempt(0, quick.at(0), Outcome::kOk, 0, 5 * kMillisecond);
  ASSERT_EQ(actions_of<SendAttempt>(engine.arrive(kMillisecond, "r")).size(), 1u);
  // A request may well take five times the prior mean latency, a sixth of the latency objective.
  EXPECT_TRUE(actions_of<CancelAttempt>(engine.run_until(400 * kMillisecond)).empty());
}

}  // namespace
}  // namespace quota_gateway::testing
