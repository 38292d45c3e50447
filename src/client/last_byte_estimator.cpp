#include "client/last_byte_estimator.hpp"

#include <algorithm>

namespace quota_gateway::net {
namespace {

// Upper limit for the part of a body that the send buffer of the client's kernel may still hold after the
// client has written all of it.
constexpr std::size_t kMaxClientSendBuffer = 4 << 20;  // bytes
// What the client's kernel holds back while the window is closed arrives within this time after it has
// opened.
constexpr Duration kMinQuietTime = 5'000;  // us
// Distance between two samples of the bytes received.
constexpr std::uint64_t kSampleBytes = 64 << 10;

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
  samples_.clear();
  previous_.reset();
}

void LastByteEstimator::update(const Observation& observation) {
  if (!observation.remaining_bytes) return update_chunked(observation);
  const std::uint64_t max_sent_bytes = observation.unread_bytes + kMaxClientSendBuffer;
  if (*observation.remaining_bytes > max_sent_bytes) advance_to(observation.now);
}

void LastByteEstimator::update_chunked(const Observation& observation) {
  const std::uint64_t received = observation.received_bytes;
  if (previous_ && received > previous_->received_bytes && was_quiet_) advance_to(previous_->at);
  was_quiet_ = previous_ && received == previous_->received_bytes && observation.unread_bytes == 0;
  previous_ = Sample{observation.now, received};
  // What arrived since a sample cannot all have been in the client's kernel at its time.
  while (!samples_.empty() && received - samples_.front().received_bytes > kMaxClientSendBuffer) {
    advance_to(samples_.front().at);
    samples_.erase(samples_.begin());
  }
  if (samples_.empty() || received - samples_.back().received_bytes >= kSampleBytes)
    samples_.push_back({observation.now, received});
}

void LastByteEstimator::advance_to(TimePoint time) {
  last_byte_pending_since_ = std::max(last_byte_pending_since_, time);
}

}  // namespace quota_gateway::net
