// Tests of the chunked transfer encoding.
#include "network/chunk_framing.hpp"

#include <gtest/gtest.h>

namespace quota_gateway::net::testing {
namespace {

TEST(ChunkFraming, FramesDataWithItsHexadecimalSize) {
  EXPECT_EQ(frame_as_chunk("x"), "1\r\nx\r\n");
  EXPECT_EQ(frame_as_chunk(std::string(26, 'x')), "1a\r\n" + std::string(26, 'x') + "\r\n");
}

// Guards against an empty part that ends the body early.
TEST(ChunkFraming, LeavesEmptyDataEmpty) { EXPECT_EQ(frame_as_chunk(""), ""); }

}  // namespace
}  // namespace quota_gateway::net::testing
