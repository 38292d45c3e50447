// The functions of the gateway that the admin server calls.
#pragma once

#include <functional>
#include <string>

namespace quota_gateway::net {

// The outcome of a call that disables or enables an endpoint.
enum class DisableResult {
  kDone,
  kUnknownEndpoint,
  kNotStored  // the change could not be written to the file that preserves it across restarts
};

// Provided by the coordinator. Must outlive the sessions of the admin server.
struct AdminHandlers {
  std::function<bool()> is_ready;
  std::function<std::string()> metrics_json;
  // Disables or enables an endpoint and then calls `on_result` once with the outcome.
  std::function<void(const std::string& endpoint, bool disabled,
                     std::function<void(DisableResult)> on_result)>
      set_disabled;
};

}  // namespace quota_gateway::net
