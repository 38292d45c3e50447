// Timeouts that several modules of the client side share.
#pragma once

#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

// How long a client may accept no data of a response before its connection is reset, and the upper limit of
// the time that a connection takes to close.
constexpr Duration kClientWriteTimeout = 10'000'000;  // us
// How long a client may take to read its last response before the connection is closed.
constexpr Duration kLingerTimeout = 1'000'000;  // us

}  // namespace quota_gateway::net
