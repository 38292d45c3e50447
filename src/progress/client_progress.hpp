// Decides whether a client still takes the responses that are written to it.
#pragma once

#include <cstdint>

#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

// Tracks one connection. A client has taken what its kernel has acknowledged: a socket becomes writable again
// only once much of a large send buffer is free, which takes a slow reader long.
class ClientProgress {
 public:
  // The gateway's kernel has accepted `bytes` for the client.
  void on_written(TimePoint now, std::uint64_t bytes);
  // The client has not acknowledged `bytes` of what was written.
  void on_unacknowledged(TimePoint now, std::uint64_t bytes);

  // Returns whether the client had taken everything when this was last reported.
  [[nodiscard]] bool has_taken_all() const { return acknowledged_bytes_ == written_bytes_; }
  // Returns whether the client has taken nothing for longer than `timeout`, although there was something.
  [[nodiscard]] bool is_stalled(TimePoint now, Duration timeout) const {
    return !has_taken_all() && now - progress_at_ > timeout;
  }

 private:
  std::uint64_t written_bytes_ = 0;
  std::uint64_t acknowledged_bytes_ = 0;
  TimePoint progress_at_ = 0;  // when the client last took something or, later, had something to take again
};

}  // namespace quota_gateway::net
