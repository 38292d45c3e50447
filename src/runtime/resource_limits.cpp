#include "runtime/resource_limits.hpp"

#include <algorithm>

namespace quota_gateway::net {
namespace {

constexpr std::size_t kBytesPerMegabyte = 1 << 20;
// File descriptors in addition to those of clients and endpoints: the admin address, the counter, discovery
// and files.
constexpr std::size_t kReservedDescriptors = 24;
constexpr double kUpstreamDescriptorShare = 0.4;  // of the descriptors that are not reserved
constexpr std::size_t kMinClients = 16;
constexpr std::size_t kBytesPerClient = 64 << 10;  // at most, while buffer memory is short
constexpr std::size_t kBodyBufferDivisor = 6;  // of the memory; the socket buffers need the same amount again

constexpr std::size_t kCustomerMemoryDivisor = 10;        // of the memory
constexpr std::size_t kRequestHistoryMemoryDivisor = 16;  // of the memory
constexpr std::size_t kBytesPerRememberedRequest = 128;   // including the allocator's own
constexpr std::size_t kBytesPerCustomer = 512;            // at most, including the allocator's own

}  // namespace

std::size_t memory_bytes(const Configuration& configuration) {
  return configuration.memory_mb * kBytesPerMegabyte;
}

std::size_t max_upstream_connections(const Configuration& configuration) {
  return std::size_t(kUpstreamDescriptorShare * double(configuration.max_sockets - kReservedDescriptors));
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

std::size_t max_remembered_requests(const Configuration& configuration) {
  return memory_bytes(configuration) / kRequestHistoryMemoryDivisor / kBytesPerRememberedRequest;
}

std::size_t max_customers(const Configuration& configuration) {
  return memory_bytes(configuration) / kCustomerMemoryDivisor / kBytesPerCustomer;
}

}  // namespace quota_gateway::net
