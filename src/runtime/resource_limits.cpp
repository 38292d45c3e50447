#include "runtime/resource_limits.hpp"

#include <algorithm>

namespace quota_gateway::net {
namespace {

constexpr std::size_t kBytesPerMegabyte = 1 << 20;
// Descriptors beside those of clients and endpoints: the admin address, the counter, discovery and files.
constexpr std::size_t kReservedDescriptors = 24;
constexpr double kUpstreamShare = 0.4;  // of the descriptors that are not reserved
constexpr std::size_t kMinClients = 16;
constexpr std::size_t kBytesPerClient = 64 << 10;  // at the most, while buffers are short
constexpr std::size_t kBodyBufferDivisor = 6;      // of the memory; buffers of the sockets need as much again

std::size_t memory_bytes(const Configuration& configuration) {
  return configuration.memory_mb * kBytesPerMegabyte;
}

}  // namespace

std::size_t max_upstream_connections(const Configuration& configuration) {
  return std::size_t(kUpstreamShare * double(configuration.max_sockets - kReservedDescriptors));
}

std::size_t max_clients(const Configuration& configuration) {
  const std::size_t by_descriptors =
      configuration.max_sockets - kReservedDescriptors - max_upstream_connections(configuration);
  const std::size_t by_memory = memory_bytes(configuration) / kBytesPerClient;
  return std::max(kMinClients, std::min(by_descriptors, by_memory));
}

std::size_t body_buffer_bytes(const Configuration& configuration) {
  return memory_bytes(configuration) / kBodyBufferDivisor;
}

}  // namespace quota_gateway::net
