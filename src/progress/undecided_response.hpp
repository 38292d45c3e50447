// Decides whether a response of unknown length is a long one, before any of it is forwarded to the client.
#pragma once

#include <cstdint>

#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

// Tracks the body of a successful response of unknown length while it is buffered. A short response has to be
// complete in time, and a long one must not be cut off, so only what is certainly or probably long is started
// before it is complete.
class UndecidedResponse {
 public:
  // The head of the response has arrived.
  void start(TimePoint now);
  // `bytes` of the body have arrived.
  void on_body_received(TimePoint now, std::uint64_t bytes);

  // Returns how many bytes of the body have arrived.
  [[nodiscard]] std::uint64_t received_bytes() const { return received_bytes_; }
  // Returns whether the response is taken for a long one: much of it has arrived, or it arrives steadily, at
  // the pace of a long one.
  [[nodiscard]] bool is_long(TimePoint now) const;
  // Returns whether its body has begun and arrives at the pace of a long one, without a pause.
  [[nodiscard]] bool is_arriving(TimePoint now) const;
  // Returns when the response is given up, unless it is complete or taken for a long one by then. Its client
  // waits until `client_deadline`.
  [[nodiscard]] TimePoint decide_by(TimePoint client_deadline) const;

 private:
  [[nodiscard]] bool is_on_pace(TimePoint now) const;

  TimePoint started_at_ = 0;
  TimePoint body_started_at_ = 0;  // when the first byte of the body arrived, if there is one
  TimePoint received_at_ = 0;      // when the latest bytes of the body arrived, if there are any
  Duration longest_pause_ = 0;     // between two arrivals
  std::uint64_t received_bytes_ = 0;
};

}  // namespace quota_gateway::net
