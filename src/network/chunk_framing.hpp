// The chunked transfer encoding of message bodies.
#pragma once

#include <string>

namespace quota_gateway::net {

// Ends a chunked body.
constexpr const char* kLastChunk = "0\r\n\r\n";

// Returns the data as one chunk; empty data stays empty, because an empty chunk would end the body.
std::string frame_as_chunk(const std::string& data);

}  // namespace quota_gateway::net
