// Graceful shutdown of a gateway.
#pragma once

#include <functional>

#include "client/client_listener.hpp"
#include "quota_gateway/time.hpp"
#include "runtime/request_forwarder.hpp"
#include "runtime/timers.hpp"

namespace quota_gateway::net {

// Keeps accepting clients while they move to other gateways, and gives each request its final response before
// the platform may kill the process. The kill may come later, so a response that has begun goes on.
class GracefulShutdown {
 public:
  GracefulShutdown(Timers& timers, ClientListener& client_listener, RequestForwarder& forwarder,
                   Duration max_client_timeout);

  // Starts the shutdown. Calls `on_drained` once, when no request is left and every client has taken its
  // response. Once all timeouts have passed, waits only for responses in progress. Has no effect if the
  // shutdown is already started.
  void start(std::function<void()> on_drained);

  [[nodiscard]] bool is_started() const { return on_drained_ != nullptr; }

 private:
  void check_drained();
  [[nodiscard]] bool is_drained() const;

  Timers& timers_;
  ClientListener& client_listener_;
  RequestForwarder& forwarder_;
  const Duration max_client_timeout_;
  std::function<void()> on_drained_;
  TimePoint requests_end_at_ = 0;  // the timeouts of all requests have passed then
};

}  // namespace quota_gateway::net
