// Counts the heap memory of the program.
#pragma once

#include <cstddef>

namespace quota_gateway::net {

// Returns the bytes that operator new has allocated in this process and that are not freed, including the
// allocator's own per block. The program links the operators that count them.
[[nodiscard]] std::size_t heap_bytes();

}  // namespace quota_gateway::net
