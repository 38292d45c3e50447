// Paces this gateway's calls to the shared counter, so that all gateways together do not overload it.
#pragma once

#include "quota_gateway/events.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway::decision {

// A token bucket of calls whose rate is controlled by additive increase and multiplicative decrease. An
// overloaded counter replies to almost nobody, and many gateways fill its queue within a tenth of a second;
// so each slows down at the first failed or slow reply, and speeds up only while the pace limits its calls.
class CounterPacer {
 public:
  // What a hot restart passes on.
  struct State {
    double calls_per_second = 0;
    double available_calls = 0;
    double resume_rate = 0;          // calls a second to resume at once an outage ends
    TimePoint last_decrease_at = 0;  // of the rate; 0: never
    TimePoint refilled_at = 0;
    int consecutive_failures = 0;
  };

  CounterPacer();

  // Adds the calls that the pace has allowed since the last refill.
  void refill(TimePoint now);

  // Whether the next call may be made, by the calls available as of the last refill.
  [[nodiscard]] bool is_call_available() const { return state_.available_calls >= 1; }

  // The same for a call that can also wait: the fewer calls are available, the more requests it has to carry.
  // Otherwise customers that are met now and then by each of many gateways would use up the counter's
  // capacity.
  [[nodiscard]] bool is_deferrable_call_available(int carried_requests) const;

  void consume_call() { state_.available_calls -= 1; }

  // Adapts the pace to the outcome of a call. `reply_timeout` is the time after which a call is given up.
  void on_reply(TimePoint now, const CounterReply& reply, Duration reply_timeout);

  // Whether the counter has failed so often in a row that waiting for a reply is pointless.
  [[nodiscard]] bool is_counter_unavailable() const;

  State& state() { return state_; }

 private:
  [[nodiscard]] double max_available_calls() const;
  void decrease_rate(TimePoint now, CounterOutcome outcome, Duration reply_timeout);
  void increase_rate_if_limiting();

  State state_;
};

}  // namespace quota_gateway::decision
