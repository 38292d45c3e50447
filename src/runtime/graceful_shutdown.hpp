// The graceful shutdown of one gateway.
#pragma once

#include <functional>

#include "client/client_listener.hpp"
#include "quota_gateway/time.hpp"
#include "runtime/request_forwarder.hpp"
#include "runtime/timers.hpp"

namespace quota_gateway::net {

// Accepts clients until they have moved to another gateway, and finishes the requests in progress before the
// platform kills the process.
class GracefulShutdown {
 public:
  GracefulShutdown(Timers& timers, ClientListener& client_listener, RequestForwarder& forwarder,
                   Duration max_client_timeout);

  // Calls `on_drained`, once, when no request is left. A second start has no effect.
  void start(std::function<void()> on_drained);

  [[nodiscard]] bool is_started() const { return on_drained_ != nullptr; }

 private:
  void check_drained();

  Timers& timers_;
  ClientListener& client_listener_;
  RequestForwarder& forwarder_;
  const Duration max_client_timeout_;
  std::function<void()> on_drained_;
  TimePoint deadline_ = 0;  // when the process exits at the latest
};

}  // namespace quota_gateway::net
