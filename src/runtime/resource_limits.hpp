// Divides the file descriptors and the memory of a gateway between their uses.
#pragma once

#include <cstddef>

#include "runtime/configuration.hpp"

namespace quota_gateway::net {

// Returns the maximum number of connections to endpoints.
[[nodiscard]] std::size_t max_upstream_connections(const Configuration& configuration);
// Returns the maximum number of client connections.
[[nodiscard]] std::size_t max_clients(const Configuration& configuration);
// Returns the memory limit of the process in bytes.
[[nodiscard]] std::size_t memory_bytes(const Configuration& configuration);
// Returns the memory budget in bytes for all request and response bodies that are buffered at the same time.
[[nodiscard]] std::size_t body_buffer_bytes(const Configuration& configuration);

// Returns the maximum number of ended requests that are remembered because they must not be repeated.
[[nodiscard]] std::size_t max_remembered_requests(const Configuration& configuration);
// Returns the maximum number of customers whose quota state is kept at the same time.
[[nodiscard]] std::size_t max_customers(const Configuration& configuration);

}  // namespace quota_gateway::net
