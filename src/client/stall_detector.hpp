// Detects clients that stop sending in the middle of a request, or send it too slowly.
#pragma once

#include <cstdint>

#include "client/client_timeouts.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

// Tracks the progress of the requests on one client connection. Time in which the gateway does not read,
// because the endpoint accepts the body slowly, does not count towards the client's timeouts.
class StallDetector {
 public:
  explicit StallDetector(TimePoint now);

  // The session entered another state.
  void on_state_entered(TimePoint now) { waiting_since_ = now; }
  // Data arrived from the client.
  void on_read(TimePoint now) { last_read_at_ = now; }
  // The response is written, and the client's next request is awaited from now on.
  void on_response_written(TimePoint now) { request_awaited_since_ = now; }
  // The first byte of a request arrived.
  void on_request_started(TimePoint now);
  // `bytes` of the request's body were decoded.
  void on_body_data(std::uint64_t bytes) { body_bytes_ += bytes; }
  // The buffer of the streamed body is full. Further calls until on_backpressure_ended() have no effect.
  void on_backpressure_started(TimePoint now);
  // The endpoint has accepted the buffered data, so time counts towards the client's timeouts again.
  void on_backpressure_ended(TimePoint now);

  // Whether the client has sent nothing for longer than the stall timeout.
  [[nodiscard]] bool is_silent(TimePoint now) const;
  // Whether the request takes longer than the stall timeout plus the time that the body received so far needs
  // at the minimum rate. `has_sent_request` is false while the client's first request is awaited; the time
  // then counts from the start of the wait, not from the first byte.
  [[nodiscard]] bool is_request_overdue(TimePoint now, bool has_sent_request) const;
  // Whether a closing connection has exceeded the linger timeout.
  [[nodiscard]] bool is_linger_expired(TimePoint now) const { return now - waiting_since_ > kLingerTimeout; }
  // Whether a closing connection must be closed even if the client goes on sending.
  [[nodiscard]] bool is_close_overdue(TimePoint now) const { return now - waiting_since_ > kMaxLingerTime; }
  // Whether the client sent data within the linger timeout.
  [[nodiscard]] bool has_read_recently(TimePoint now) const { return now - last_read_at_ <= kLingerTimeout; }

  [[nodiscard]] TimePoint last_read_at() const { return last_read_at_; }

 private:
  TimePoint request_awaited_since_;  // connection accepted, or the last response written
  TimePoint waiting_since_;          // entry into the current state, or the last end of backpressure in it
  TimePoint last_read_at_;
  TimePoint request_started_at_;
  TimePoint backpressure_since_ = 0;  // 0: none
  Duration backpressure_time_ = 0;    // of the current request
  std::uint64_t body_bytes_ = 0;      // received of the current request
};

}  // namespace quota_gateway::net
