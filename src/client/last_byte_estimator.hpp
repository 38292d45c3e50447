// Estimates when a client sent the last byte of a streamed body that is read with a delay.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

// A client counts its timeout from the last byte that it sent. Under backpressure this byte may wait unread
// in the kernel, so the estimate is the latest instant at which part of the body was certainly not sent yet.
class LastByteEstimator {
 public:
  struct Observation {
    // Of the declared length; without one (a chunked body), the last read is the only evidence.
    std::optional<std::uint64_t> remaining_bytes;
    std::size_t unread_bytes = 0;  // in the kernel
    TimePoint last_read_at = 0;
    TimePoint now = 0;
  };

  // Reading was suspended; data may wait in the kernel from now on.
  void on_read_suspended() { is_read_suspended_ = true; }
  // The socket became readable.
  void on_readable(TimePoint now);
  // Everything that the kernel had received was read.
  void on_all_read(TimePoint now);
  // Compares the rest of the body with the data that waits unread in the kernel.
  void update(const Observation& observation);

  [[nodiscard]] bool is_read_suspended() const { return is_read_suspended_; }
  [[nodiscard]] TimePoint last_byte_pending_since() const { return last_byte_pending_since_; }

 private:
  bool is_read_suspended_ = false;  // since the last time that everything was read
  TimePoint last_byte_pending_since_ = 0;
};

}  // namespace quota_gateway::net
