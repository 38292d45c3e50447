// How a gateway divides its descriptors and its memory.
#pragma once

#include <cstddef>

#include "runtime/configuration.hpp"

namespace quota_gateway::net {

[[nodiscard]] std::size_t max_upstream_connections(const Configuration& configuration);
[[nodiscard]] std::size_t max_clients(const Configuration& configuration);
// Bytes for all request and response bodies that are buffered at the same time.
[[nodiscard]] std::size_t body_buffer_bytes(const Configuration& configuration);

}  // namespace quota_gateway::net
