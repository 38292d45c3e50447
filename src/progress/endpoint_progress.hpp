// Decides how long an endpoint may take over a response that is forwarded while it arrives.
#pragma once

#include <cstdint>
#include <optional>

#include "progress/progress_limits.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

// When a response is due. Both are the client's timeout, unless a shutdown has begun.
struct ResponseDeadlines {
  TimePoint short_response = 0;  // when a short one has to be complete
  TimePoint long_response = 0;   // from when on the endpoint of a long one must not pause
};

// Tracks the body of one response. Only bytes of the body count as progress, because the client receives
// nothing else. Time in which the gateway does not read, because the client takes the response slowly, is not
// the endpoint's.
class EndpointProgress {
 public:
  // The head of a response has arrived; `length` is the length of its body, or std::nullopt if it is unknown.
  // One of unknown length is forwarded only if it is taken for long, see UndecidedResponse.
  void start(TimePoint now, std::optional<std::uint64_t> length);
  // `bytes` of the body have arrived.
  void on_body_received(TimePoint now, std::uint64_t bytes);
  // The gateway stops reading. Further calls until resume() have no effect.
  void pause(TimePoint now);
  // The gateway reads again. Has no effect if it has not stopped.
  void resume(TimePoint now);

  // Returns when the response has to end unless more of its body arrives. An endpoint that still sends is
  // judged by its pace, one that has paused by the length of the pause. The caller asks again when more has
  // arrived after the deadline, and after a pause of its own.
  [[nodiscard]] TimePoint ends_at(const ResponseDeadlines& deadlines) const;

  // Returns the length of the body, or std::nullopt if it is unknown.
  [[nodiscard]] std::optional<std::uint64_t> length() const { return length_; }
  // Returns how many bytes of the body have arrived.
  [[nodiscard]] std::uint64_t received_bytes() const { return received_bytes_; }
  // Returns when the latest of them arrived, or the response started.
  [[nodiscard]] TimePoint received_at() const { return received_at_; }

 private:
  [[nodiscard]] bool is_long() const;

  std::optional<std::uint64_t> length_;
  std::uint64_t received_bytes_ = 0;
  TimePoint received_at_ = 0;    // when the latest bytes arrived
  TimePoint on_pace_until_ = 0;  // without further bytes
  std::optional<TimePoint> paused_at_;
};

}  // namespace quota_gateway::net
