// Tests of hedged attempts: which requests get one, and what happens to the slower attempt.
#include <gtest/gtest.h>

#include <string>

#include "support/engine_harness.hpp"

namespace quota_gateway::testing {
namespace {

class Hedging : public ::testing::Test {
 protected:
  static Settings settings() {
    Settings settings = basic_settings();
    settings.allow_hedging = true;
    settings.plans[0].rate = settings.plans[0].burst = 1000;
    return settings;
  }
  // Teaches the engine a usual latency of 20 ms and earns retry tokens.
  void warm_up() {
    for (int i = 0; i < 30; ++i) {
      const TimePoint sent_at = i * 50 * kMillisecond;
      const auto sent = actions_of<SendAttempt>(engine.arrive(sent_at, numbered("usual", i)));
      engine.end_attempt(sent_at + 20 * kMillisecond, sent.at(0), Outcome::kOk, 0, 20 * kMillisecond);
    }
  }
  // Returns the attempts of a request that its endpoints leave without a response for 450 ms.
  std::vector<SendAttempt> attempts_of_slow_request(bool is_body_streamed) {
    RequestArrived arrived = EngineHarness::request("r", kSentAt);
    arrived.body_pending = is_body_streamed;
    auto sent = actions_of<SendAttempt>(engine.step(kSentAt, {arrived}));
    if (is_body_streamed) engine.step(kSentAt, {RequestBodyCompleted{"r", arrived.deadline}});
    for (const SendAttempt& attempt : actions_of<SendAttempt>(engine.run_until(kSentAt + 450 * kMillisecond)))
      sent.push_back(attempt);
    return sent;
  }
  static ResponseStarted response_started(const SendAttempt& sent, int attempt) {
    ResponseStarted started;
    started.id = sent.id;
    started.endpoint = sent.endpoint;
    started.attempt = attempt;
    started.duration = 400 * kMillisecond;
    return started;
  }
  static AttemptEnded attempt_ended(const SendAttempt& sent, int attempt, Outcome outcome) {
    AttemptEnded ended;
    ended.id = sent.id;
    ended.endpoint = sent.endpoint;
    ended.attempt = attempt;
    ended.outcome = outcome;
    ended.duration = 400 * kMillisecond;
    ended.request_finished = true;
    return ended;
  }
  static constexpr TimePoint kSentAt = 2 * kSecond;  // of the slow request
  EngineHarness engine{settings()};
};

TEST_F(Hedging, SendsSecondAttemptOfSlowRequestElsewhere) {
  warm_up();
  const auto sent = attempts_of_slow_request(false);
  ASSERT_EQ(sent.size(), 2u);
  EXPECT_NE(sent[0].endpoint, sent[1].endpoint);
}

// Guards against a second attempt that can't send a body that the first one has taken.
TEST_F(Hedging, SendsOneAttemptAtATimeOfRequestWithStreamedBody) {
  warm_up();
  const auto sent = attempts_of_slow_request(true);
  ASSERT_EQ(sent.size(), 1u);
  const auto retries = actions_of<SendAttempt>(engine.end_attempt(
      kSentAt + 460 * kMillisecond, sent[0], Outcome::kConnectFailed, 0, 400 * kMillisecond));
  EXPECT_EQ(retries.size(), 1u);  // no part of the body was taken
}

// Guards against a slower attempt that goes on while the response of the other one is being forwarded.
TEST_F(Hedging, CancelsOtherAttemptOnceResponseStarts) {
  warm_up();
  const auto sent = attempts_of_slow_request(false);
  ASSERT_EQ(sent.size(), 2u);
  const auto cancelled =
      actions_of<CancelAttempt>(engine.step(kSentAt + 460 * kMillisecond, {response_started(sent[0], 0)}));
  ASSERT_EQ(cancelled.size(), 1u);
  EXPECT_EQ(cancelled[0].attempt, 1);
}

// Guards against the end of one attempt that cuts off the response of the other one.
TEST_F(Hedging, DoesNotCancelAttemptWhoseResponseIsForwardedWhenOtherOneEnds) {
  for (const Outcome outcome : {Outcome::kOk, Outcome::kReset, Outcome::kCancelled}) {
    engine = EngineHarness(settings());
    warm_up();
    const auto sent = attempts_of_slow_request(false);
    ASSERT_EQ(sent.size(), 2u);
    engine.step(kSentAt + 460 * kMillisecond, {response_started(sent[0], 0)});
    const auto actions = engine.step(kSentAt + 470 * kMillisecond, {attempt_ended(sent[1], 1, outcome)});
    EXPECT_TRUE(actions_of<CancelAttempt>(actions).empty());
    EXPECT_TRUE(actions_of<SendAttempt>(actions).empty());
  }
}

}  // namespace
}  // namespace quota_gateway::testing
