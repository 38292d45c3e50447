// What a process inherits from the platform and from the process that it replaces.
#pragma once

#include <optional>

namespace cottonroad::net {

// The listening socket that $RELAY_LISTEN_FD names; none if it is not set or names no such socket.
std::optional<int> inherited_listener();

}  // namespace cottonroad::net
