#include "client/last_byte_estimator.hpp"

namespace quota_gateway::net {
namespace {

// Upper limit for the part of a body that the send buffer of the client's kernel may still hold after the
// client has written all of it.
constexpr std::size_t kMaxClientSendBuffer = 4 << 20;  // bytes

}  // namespace

void LastByteEstimator::on_readable(TimePoint now) {
  if (!is_read_suspended_) last_byte_pending_since_ = now;
}

void LastByteEstimator::on_all_read(TimePoint now) {
  is_read_suspended_ = false;
  last_byte_pending_since_ = now;
}

void LastByteEstimator::update(const Observation& observation) {
  if (!observation.remaining_bytes) {
    last_byte_pending_since_ = observation.last_read_at;
    return;
  }
  const std::uint64_t max_sent_bytes = observation.unread_bytes + kMaxClientSendBuffer;
  if (*observation.remaining_bytes > max_sent_bytes) last_byte_pending_since_ = observation.now;
}

}  // namespace quota_gateway::net
