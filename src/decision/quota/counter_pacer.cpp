// Additive increase, multiplicative decrease of the rate of counter calls.
#include "decision/quota/counter_pacer.hpp"

#include <algorithm>

#include "decision/numeric.hpp"

namespace quota_gateway::decision {

namespace {

constexpr double kInitialRate = 4;    // calls/s
constexpr double kMinRate = 1;        // calls/s; enough to notice that the counter has recovered
constexpr double kMinBucketSize = 4;  // calls

// Increases of the rate, in calls/s, after each successful reply that is not slow. The initial increase
// applies until the first decrease and doubles the rate each second.
constexpr double kInitialIncrease = 1;
constexpr double kAdditiveIncrease = 0.1;

// Factors by which the rate is decreased.
constexpr double kTimeoutDecrease = 0.5;   // after a call without a reply
constexpr double kOverloadDecrease = 0.8;  // after a refused call or a slow reply

// A reply is slow if its duration multiplied by this factor exceeds the reply timeout.
constexpr int kSlowReplyFactor = 2;

// The rate limits the calls while less than this fraction of the bucket is available.
constexpr double kLimitingBucketFraction = 0.75;

// Minimum interval between decreases, in reply timeouts. At half the rate, a queue of three timeouts drains
// within this interval, so replies that were delayed by the queue do not decrease the rate again.
constexpr int kDecreaseIntervalTimeouts = 8;

// Weight of each request after the first that a deferrable call carries.
constexpr double kCarriedRequestWeight = 0.25;

constexpr int kUnavailableAfterFailures = 6;

}  // namespace

CounterPacer::CounterPacer() : state_{.calls_per_second = kInitialRate, .available_calls = kInitialRate} {}

void CounterPacer::refill(TimePoint now) {
  const auto elapsed_micros = static_cast<double>(now - state_.refilled_at);
  const double refill = state_.calls_per_second * elapsed_micros / kMicrosPerSecond;
  state_.available_calls = std::min(max_available_calls(), state_.available_calls + refill);
  state_.refilled_at = now;
}

bool CounterPacer::is_deferrable_call_available(int carried_requests) const {
  if (!is_call_available()) return false;
  const double scarcity = max_available_calls() / state_.available_calls;
  return carried_requests * kCarriedRequestWeight >= scarcity - (1 - kCarriedRequestWeight);
}

void CounterPacer::on_reply(TimePoint now, const CounterReply& reply, Duration reply_timeout) {
  const bool succeeded = reply.outcome == CounterOutcome::kOk;
  const bool recovered = succeeded && is_counter_unavailable();
  state_.consecutive_failures = succeeded ? 0 : state_.consecutive_failures + 1;
  // After an outage the rate resumes at half of its value before the outage, because the failures have
  // decreased it to the minimum.
  if (state_.consecutive_failures == 1) state_.resume_rate = kTimeoutDecrease * state_.calls_per_second;
  if (recovered) state_.calls_per_second = std::max(state_.calls_per_second, state_.resume_rate);
  const bool slow = kSlowReplyFactor * reply.duration > reply_timeout;
  if (succeeded && !slow) {
    increase_rate_if_limiting();
  } else {
    decrease_rate(now, reply.outcome, reply_timeout);
  }
}

bool CounterPacer::is_counter_unavailable() const {
  return state_.consecutive_failures >= kUnavailableAfterFailures;
}

double CounterPacer::max_available_calls() const { return std::max(kMinBucketSize, state_.calls_per_second); }

void CounterPacer::decrease_rate(TimePoint now, CounterOutcome outcome, Duration reply_timeout) {
  if (now - state_.last_decrease_at < kDecreaseIntervalTimeouts * reply_timeout) return;
  const double factor = outcome == CounterOutcome::kUnknown ? kTimeoutDecrease : kOverloadDecrease;
  state_.calls_per_second = std::max(kMinRate, factor * state_.calls_per_second);
  state_.last_decrease_at = now;
}

void CounterPacer::increase_rate_if_limiting() {
  if (state_.available_calls >= kLimitingBucketFraction * max_available_calls()) return;
  const bool never_decreased = state_.last_decrease_at == 0;
  state_.calls_per_second += never_decreased ? kInitialIncrease : kAdditiveIncrease;
}

}  // namespace quota_gateway::decision
