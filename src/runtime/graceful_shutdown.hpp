// Graceful shutdown of a gateway.
#pragma once

#include <functional>

#include "client/client_listener.hpp"
#include "quota_gateway/time.hpp"
#include "runtime/request_forwarder.hpp"
#include "runtime/timers.hpp"

namespace quota_gateway::net {

// Keeps accepting clients while they move to other gateways, and completes the requests in progress before
// the platform kills the process.
class GracefulShutdown {
 public:
  GracefulShutdown(Timers& timers, ClientListener& client_listener, RequestForwarder& forwarder,
                   Duration max_client_timeout);

  // Starts the shutdown. Calls `on_drained` once, when no request is left or the deadline has passed. Has no
  // effect if the shutdown is already started.
  void start(std::function<void()> on_drained);

  [[nodiscard]] bool is_started() const { return on_drained_ != nullptr; }

 private:
  void check_drained();

  Timers& timers_;
  ClientListener& client_listener_;
  RequestForwarder& forwarder_;
  const Duration max_client_timeout_;
  std::function<void()> on_drained_;
  TimePoint deadline_ = 0;  // the shutdown ends then, even if requests are left
};

}  // namespace quota_gateway::net
