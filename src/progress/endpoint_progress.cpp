#include "progress/endpoint_progress.hpp"

#include <algorithm>

namespace quota_gateway::net {
namespace {

constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;

// Returns how long a response stays on pace because of `bytes`.
Duration credit_of(std::uint64_t bytes) {
  return Duration(bytes) * kMicrosecondsPerSecond / kLongResponsePace.bytes_per_second;
}

}  // namespace

void EndpointProgress::start(TimePoint now, std::optional<std::uint64_t> length) {
  length_ = length;
  received_bytes_ = 0;
  received_at_ = now;
  on_pace_until_ = now;
  paused_at_.reset();
}

void EndpointProgress::on_body_received(TimePoint now, std::uint64_t bytes) {
  if (bytes == 0) return;
  const bool was_long = is_long();
  received_bytes_ += bytes;
  received_at_ = now;
  // One of unknown length that has not become long yet may still trickle on as a short one.
  const Duration max_credit = is_long() ? kLongResponsePace.max_credit : kMaxSteadyPause;
  // What arrived before the response turned out to be long counts in full, too.
  const std::uint64_t credited_bytes = is_long() && !was_long ? received_bytes_ : bytes;
  on_pace_until_ = std::max(on_pace_until_, now) + credit_of(credited_bytes);
  on_pace_until_ = std::min(on_pace_until_, now + max_credit);
}

void EndpointProgress::pause(TimePoint now) {
  if (!paused_at_) paused_at_ = now;
}

void EndpointProgress::resume(TimePoint now) {
  if (!paused_at_) return;
  const Duration pause = now - *paused_at_;
  received_at_ += pause;
  on_pace_until_ += pause;
  paused_at_.reset();
}

TimePoint EndpointProgress::ends_at(const ResponseDeadlines& deadlines) const {
  const bool is_short = length_ && !is_long();
  if (is_short) return deadlines.short_response + kLateResponseGrace;
  const TimePoint due_at = deadlines.long_response + kLateResponseGrace;
  const TimePoint too_slow_at = std::max(due_at, on_pace_until_);
  const bool has_paused_by_then = too_slow_at >= received_at_ + kMaxSteadyPause;
  if (!has_paused_by_then) return too_slow_at;
  return std::max(due_at, received_at_ + kEndpointStallTimeout);
}

bool EndpointProgress::is_long() const {
  return std::max(length_.value_or(0), received_bytes_) > kMaxShortResponseSize;
}

}  // namespace quota_gateway::net
