// Limits the rate of this gateway's calls to the shared counter, so that all gateways together do not
// overload it.
#pragma once

#include "quota_gateway/events.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway::decision {

// A token bucket for calls whose rate follows additive increase, multiplicative decrease (AIMD). An
// overloaded counter replies to hardly any calls, and many gateways fill its queue within a tenth of a
// second. Each gateway therefore lowers its rate at the first failed or slow reply, and raises it only while
// the rate limits its calls.
class CounterPacer {
 public:
  // The state that a hot restart passes to the successor.
  struct State {
    double calls_per_second = 0;
    double available_calls = 0;
    double resume_rate = 0;          // calls per second after an outage
    TimePoint last_decrease_at = 0;  // when the rate was last decreased; 0: never
    TimePoint refilled_at = 0;
    int consecutive_failures = 0;
  };

  CounterPacer();

  // Adds the calls that have become available since the last refill.
  void refill(TimePoint now);

  // Returns whether a call may be made with the calls available as of the last refill.
  [[nodiscard]] bool is_call_available() const { return state_.available_calls >= 1; }

  // The same for a call that can be deferred: the fewer calls are available, the more requests it must carry.
  // Otherwise customers whose requests are rare at each of many gateways would use up the counter's capacity.
  [[nodiscard]] bool is_deferrable_call_available(int carried_requests) const;

  void consume_call() { state_.available_calls -= 1; }

  // Adapts the rate to the outcome of a call. `reply_timeout` is the time after which a call is abandoned.
  void on_reply(TimePoint now, const CounterReply& reply, Duration reply_timeout);

  // Returns whether so many consecutive calls have failed that waiting for a reply is pointless.
  [[nodiscard]] bool is_counter_unavailable() const;

  State& state() { return state_; }

 private:
  [[nodiscard]] double max_available_calls() const;
  void decrease_rate(TimePoint now, CounterOutcome outcome, Duration reply_timeout);
  void increase_rate_if_limiting();

  State state_;
};

}  // namespace quota_gateway::decision
