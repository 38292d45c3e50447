// Detects clients that stop in the middle of a request, or send it too slowly.
#pragma once

#include <cstdint>

#include "client/client_timeouts.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

// Measures the progress of one client's requests. Time in which the gateway itself did not read, because the
// endpoint was slow to take the body, does not count against the client.
class StallDetector {
 public:
  explicit StallDetector(TimePoint now);

  // The connection entered another state.
  void on_state_entered(TimePoint now) { waiting_since_ = now; }
  // Data arrived from the client.
  void on_read(TimePoint now) { last_read_at_ = now; }
  // The response is written, so that the client may send its next request.
  void on_response_written(TimePoint now) { request_awaited_since_ = now; }
  // The first byte of a request arrived.
  void on_request_started(TimePoint now);
  // A part of the request's body was decoded.
  void on_body_data(std::uint64_t bytes) { body_bytes_ += bytes; }
  // The streamed body has filled its buffer. Repeated calls keep the first instant.
  void on_backpressure_started(TimePoint now);
  // The endpoint has accepted the buffered data; from now on the client's time counts.
  void on_backpressure_ended(TimePoint now);

  // Whether the client has sent nothing for longer than the stall timeout.
  [[nodiscard]] bool is_silent(TimePoint now) const;
  // Whether the request takes longer than the stall timeout plus the time that its body needs at the minimum
  // rate. `has_sent_request`: false for a client whose first request is still awaited.
  [[nodiscard]] bool is_request_overdue(TimePoint now, bool has_sent_request) const;
  // Whether a closing connection is past its linger timeout.
  [[nodiscard]] bool is_linger_expired(TimePoint now) const { return now - waiting_since_ > kLingerTimeout; }
  // Whether a closing connection has to end even if data is under way.
  [[nodiscard]] bool is_close_overdue(TimePoint now) const {
    return now - waiting_since_ > kClientWriteTimeout;
  }
  // Whether the client sent data within the linger timeout.
  [[nodiscard]] bool has_read_recently(TimePoint now) const { return now - last_read_at_ <= kLingerTimeout; }

  [[nodiscard]] TimePoint last_read_at() const { return last_read_at_; }

 private:
  TimePoint request_awaited_since_;
  TimePoint waiting_since_;  // entry into the present state, or the end of backpressure in it
  TimePoint last_read_at_;
  TimePoint request_started_at_;
  TimePoint backpressure_since_ = 0;  // 0: none
  Duration backpressure_time_ = 0;    // of the present request
  std::uint64_t body_bytes_ = 0;      // of the present request
};

}  // namespace quota_gateway::net
