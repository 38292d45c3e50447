// The listening socket that the platform opens before it starts the gateway.
#pragma once

#include <optional>

namespace quota_gateway::net {

// Returns the file descriptor given by the environment variable RELAY_LISTEN_FD; std::nullopt if the variable
// is not set or does not refer to a listening socket.
[[nodiscard]] std::optional<int> inherited_listener();

}  // namespace quota_gateway::net
