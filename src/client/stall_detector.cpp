#include "client/stall_detector.hpp"

#include <algorithm>

namespace quota_gateway::net {
namespace {

// Limit for the head of a request, which may take 2 s, and for the time between any two of its bytes. A
// client that stops sending must see an error or a close within 3 s; the interval of the checks and the
// delays of a busy gateway use up part of these.
constexpr Duration kClientStallTimeout = 2'400'000;  // us
// The slowest permitted body. The protocol requires 64 kB per second.
constexpr double kMinBodyRate = 60e3;  // bytes per second
constexpr double kMicrosecondsPerSecond = 1e6;

}  // namespace

StallDetector::StallDetector(TimePoint now)
    : request_awaited_since_(now), waiting_since_(now), last_read_at_(now), request_started_at_(now) {}

void StallDetector::on_request_started(TimePoint now) {
  body_bytes_ = 0;
  request_started_at_ = now;
  backpressure_time_ = 0;
}

void StallDetector::on_backpressure_started(TimePoint now) {
  if (backpressure_since_ == 0) backpressure_since_ = now;
}

void StallDetector::on_backpressure_ended(TimePoint now) {
  if (backpressure_since_ > 0) {
    backpressure_time_ += now - backpressure_since_;
    backpressure_since_ = 0;
  }
  waiting_since_ = now;
}

bool StallDetector::is_silent(TimePoint now) const {
  return now - std::max(last_read_at_, waiting_since_) > kClientStallTimeout;
}

bool StallDetector::is_request_overdue(TimePoint now, bool has_sent_request) const {
  const auto min_rate_body_time = Duration(double(body_bytes_) / kMinBodyRate * kMicrosecondsPerSecond);
  const TimePoint started_at = has_sent_request ? request_started_at_ : request_awaited_since_;
  return now - started_at > kClientStallTimeout + backpressure_time_ + min_rate_body_time;
}

}  // namespace quota_gateway::net
