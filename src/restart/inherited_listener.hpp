// The listening socket that the platform opens before it starts the gateway.
#pragma once

#include <optional>

namespace quota_gateway::net {

// Returns the descriptor that the environment variable RELAY_LISTEN_FD names; no value if the variable is not
// set or does not name a listening socket.
[[nodiscard]] std::optional<int> inherited_listener();

}  // namespace quota_gateway::net
