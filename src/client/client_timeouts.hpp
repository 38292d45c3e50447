// Timeouts shared by the modules that handle client connections.
#pragma once

#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

// How long a closing connection is kept at most because its client goes on sending.
constexpr Duration kMaxLingerTime = 10'000'000;  // us
// How long a client may take to read its last response before the connection is closed.
constexpr Duration kLingerTimeout = 1'000'000;  // us

}  // namespace quota_gateway::net
