#include "progress/client_progress.hpp"

#include <algorithm>

namespace quota_gateway::net {

void ClientProgress::on_written(TimePoint now, std::uint64_t bytes) {
  if (has_taken_all()) progress_at_ = now;
  written_bytes_ += bytes;
}

void ClientProgress::on_unacknowledged(TimePoint now, std::uint64_t bytes) {
  // The end of the connection counts as one unacknowledged byte, which was not written as data.
  const std::uint64_t acknowledged_bytes = written_bytes_ - std::min(bytes, written_bytes_);
  if (acknowledged_bytes <= acknowledged_bytes_) return;
  acknowledged_bytes_ = acknowledged_bytes;
  progress_at_ = now;
}

}  // namespace quota_gateway::net
