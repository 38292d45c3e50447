#include "client/last_byte_estimator.hpp"

#include <algorithm>

namespace quota_gateway::net {
namespace {

// What the client's kernel holds back while the window is closed arrives within this time after it has
// opened.
constexpr Duration kMinQuietTime = 5'000;  // us

}  // namespace

void LastByteEstimator::on_readable(TimePoint now) {
  all_read_at_.reset();
  if (!is_read_suspended_) last_byte_pending_since_ = now;
}

void LastByteEstimator::on_all_read(TimePoint now) {
  if (!all_read_at_) all_read_at_ = now;
  if (!is_read_suspended_) last_byte_pending_since_ = now;
}

void LastByteEstimator::on_nothing_unread(TimePoint now) {
  if (!is_read_suspended_ || !all_read_at_ || now - *all_read_at_ < kMinQuietTime) return;
  is_read_suspended_ = false;
  last_byte_pending_since_ = now;
  previous_.reset();
}

void LastByteEstimator::update(const Observation& observation) {
  const bool has_more_arrived = previous_ && observation.received_bytes > previous_->received_bytes;
  if (has_more_arrived && was_quiet_) advance_to(previous_->now);
  const bool was_empty = previous_ && previous_->unread_bytes == 0;
  was_quiet_ = was_empty && !has_more_arrived && observation.now - previous_->now >= kMinQuietTime;
  if (was_quiet_) advance_to(previous_->now);
  previous_ = observation;
}

void LastByteEstimator::advance_to(TimePoint time) {
  last_byte_pending_since_ = std::max(last_byte_pending_since_, time);
}

}  // namespace quota_gateway::net
