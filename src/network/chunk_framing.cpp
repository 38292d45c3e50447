#include "network/chunk_framing.hpp"

#include <array>
#include <cstddef>
#include <cstdio>
#include <string_view>

namespace quota_gateway::net {
namespace {

constexpr std::size_t kMaxChunkHeaderSize = 24;  // bytes; a 64-bit size in hexadecimal and a line end
constexpr std::string_view kLineEnd = "\r\n";

}  // namespace

std::string frame_as_chunk(const std::string& data) {
  if (data.empty()) return {};
  std::array<char, kMaxChunkHeaderSize> header{};
  std::snprintf(header.data(), header.size(), "%zx\r\n", data.size());
  std::string chunk;
  // One allocation, also if the last chunk follows.
  chunk.reserve(header.size() + data.size() + kLineEnd.size() + std::string_view(kLastChunk).size());
  return chunk.append(header.data()).append(data).append(kLineEnd);
}

}  // namespace quota_gateway::net
