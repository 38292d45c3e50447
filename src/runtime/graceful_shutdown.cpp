#include "runtime/graceful_shutdown.hpp"

#include <algorithm>
#include <utility>

namespace quota_gateway::net {
namespace {

// Clients may still connect up to 0.4 s after the platform has announced the shutdown.
constexpr Duration kAcceptDuration = 1'000'000;   // us
constexpr Duration kDrainCheckInterval = 20'000;  // us
// The platform kills the process once the longest client timeout, capped at this value, and then a grace
// period have passed.
constexpr Duration kMaxTimeoutBeforeKill = 3'000'000;  // us
constexpr Duration kKillGracePeriod = 700'000;         // us
// Final responses are due this long before the kill, because the process may be descheduled in the meantime.
constexpr Duration kResponseMargin = 250'000;  // us

}  // namespace

GracefulShutdown::GracefulShutdown(Timers& timers, ClientListener& client_listener,
                                   RequestForwarder& forwarder, Duration max_client_timeout)
    : timers_(timers),
      client_listener_(client_listener),
      forwarder_(forwarder),
      max_client_timeout_(max_client_timeout) {}

void GracefulShutdown::start(std::function<void()> on_drained) {
  if (is_started()) return;
  on_drained_ = std::move(on_drained);
  const TimePoint now = timers_.now();
  const TimePoint killed_at = now + std::min(max_client_timeout_, kMaxTimeoutBeforeKill) + kKillGracePeriod;
  requests_end_at_ = now + kAcceptDuration + max_client_timeout_;
  forwarder_.begin_shutdown(killed_at - kResponseMargin, now + max_client_timeout_);
  client_listener_.drain();
  timers_.schedule_after(kAcceptDuration, [this] {
    client_listener_.stop_accepting();
    check_drained();
  });
}

void GracefulShutdown::check_drained() {
  if (is_drained()) {
    on_drained_();
    return;
  }
  timers_.schedule_after(kDrainCheckInterval, [this] { check_drained(); });
}

// Responses in progress end by the limits of progress_limits.hpp, so that the process waits for no endpoint
// or client that has stopped.
bool GracefulShutdown::is_drained() const {
  if (timers_.now() >= requests_end_at_) return !client_listener_.has_responses_in_progress();
  return !forwarder_.has_unanswered_requests() && client_listener_.is_idle();
}

}  // namespace quota_gateway::net
