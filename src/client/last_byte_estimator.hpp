// Estimates when a client sent the last byte of a streamed body that the gateway reads with a delay.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

// A client's timeout starts when the client sends the last byte of its request. Under backpressure this byte
// may wait unread in the kernel, so the estimate is the latest instant at which the client had certainly not
// sent the whole body.
class LastByteEstimator {
 public:
  struct Observation {
    std::uint64_t received_bytes = 0;  // on this connection, including those that wait in the kernel
    std::size_t unread_bytes = 0;      // those that wait in the kernel
    TimePoint now = 0;
  };

  // Reading is suspended; from now on data may wait in the kernel.
  void on_read_suspended() {
    is_read_suspended_ = true;
    all_read_at_.reset();
  }
  // The socket became readable.
  void on_readable(TimePoint now);
  // All data that the kernel had received has been read. After a suspension, the client's kernel may hold
  // more, so this is no evidence by itself.
  void on_all_read(TimePoint now);
  // The kernel has no data either. That is evidence if all data was read a while ago and nothing has come
  // since.
  void on_nothing_unread(TimePoint now);
  // Observes the socket while reading is suspended and the body incomplete. If nothing was unread and nothing
  // has come since the previous observation, the client's kernel held nothing either. How much it can hold is
  // not known, so bytes that come prove nothing.
  void update(const Observation& observation);

  // Whether the client's kernel may hold data back, because reading was suspended.
  [[nodiscard]] bool is_read_suspended() const { return is_read_suspended_; }
  // The estimate. The last byte may have waited in the kernel since this instant.
  [[nodiscard]] TimePoint last_byte_pending_since() const { return last_byte_pending_since_; }

 private:
  void advance_to(TimePoint time);

  bool is_read_suspended_ = false;
  TimePoint last_byte_pending_since_ = 0;
  std::optional<TimePoint> all_read_at_;  // nothing has arrived since
  std::optional<Observation> previous_;
  bool was_quiet_ = false;  // at the previous observation
};

}  // namespace quota_gateway::net
