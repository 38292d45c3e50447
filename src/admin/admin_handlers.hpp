// What the admin calls need from the gateway.
#pragma once

#include <functional>
#include <string>

namespace quota_gateway::net {

// The outcome of a call that disables or enables an endpoint.
enum class DisableResult {
  kDone,
  kUnknownEndpoint,
  kNotStored  // the change could not be written to the file that keeps it over a restart
};

// The coordinator provides these functions; they must outlive the server's sessions.
struct AdminHandlers {
  std::function<bool()> is_ready;
  std::function<std::string()> metrics_json;
  // Disables or enables an endpoint and reports the outcome to `on_result` once.
  std::function<void(const std::string& endpoint, bool disabled,
                     std::function<void(DisableResult)> on_result)>
      set_disabled;
};

}  // namespace quota_gateway::net
