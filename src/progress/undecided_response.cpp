#include "progress/undecided_response.hpp"

#include <algorithm>

#include "progress/progress_limits.hpp"

namespace quota_gateway::net {
namespace {

constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;

}  // namespace

void UndecidedResponse::start(TimePoint now) {
  *this = UndecidedResponse();
  started_at_ = now;
}

void UndecidedResponse::on_body_received(TimePoint now, std::uint64_t bytes) {
  if (bytes == 0) return;
  if (received_bytes_ == 0) {
    body_started_at_ = now;
  } else {
    longest_pause_ = std::max(longest_pause_, now - received_at_);
  }
  received_at_ = now;
  received_bytes_ += bytes;
}

bool UndecidedResponse::is_long(TimePoint now) const {
  if (received_bytes_ > kMaxShortResponseSize) return true;
  if (now - started_at_ < kMinBufferingTime) return false;
  if (received_bytes_ >= kProbablyLongSize) return is_on_pace(now);
  return received_at_ - body_started_at_ >= kMinSteadyTime && is_arriving(now);
}

bool UndecidedResponse::is_arriving(TimePoint now) const {
  const Duration longest_pause = std::max(longest_pause_, now - received_at_);
  return received_bytes_ > 0 && longest_pause <= kMaxSteadyPause && is_on_pace(now);
}

bool UndecidedResponse::is_on_pace(TimePoint now) const {
  const Duration body_time = now - body_started_at_;
  return Duration(received_bytes_) * kMicrosecondsPerSecond >= body_time * kMinUndecidedPace;
}

TimePoint UndecidedResponse::decide_by(TimePoint client_deadline) const {
  const TimePoint due_at = client_deadline + kLateResponseGrace;
  const bool has_body_begun = received_bytes_ > 0 && body_started_at_ <= due_at;
  return has_body_begun ? std::max(due_at, body_started_at_ + kMaxObservationTime) : due_at;
}

}  // namespace quota_gateway::net
