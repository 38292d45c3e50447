// Computes when requests and their responses are due.
#pragma once

#include <optional>

#include "progress/endpoint_progress.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

// Derives deadlines from clients' timeouts and, once a shutdown has begun, from the time of the kill.
class RequestDeadlines {
 public:
  // From now on requests are due at `latest_deadline` at the latest. A short response that has begun may go
  // on until its client's deadline, or until `latest_client_deadline` if that is earlier.
  void begin_shutdown(TimePoint latest_deadline, TimePoint latest_client_deadline);

  // Returns until when a client waits that sent its request at `received_at`, less the time that a response
  // takes to reach it.
  [[nodiscard]] static TimePoint client_deadline(TimePoint received_at, Duration timeout);
  // Returns when a request is due whose client waits until `client_deadline`.
  [[nodiscard]] TimePoint request_deadline(TimePoint client_deadline) const;
  // Returns when its response is due if it has begun.
  [[nodiscard]] ResponseDeadlines response_deadlines(TimePoint client_deadline) const;

 private:
  // std::nullopt before a shutdown.
  std::optional<TimePoint> latest_deadline_;
  std::optional<TimePoint> latest_client_deadline_;
};

}  // namespace quota_gateway::net
