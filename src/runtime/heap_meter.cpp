// Replaces the global operators new and delete, so that every allocation is counted when it is made.
#include "runtime/heap_meter.hpp"

#include <malloc.h>

#include <atomic>
#include <cstdlib>
#include <new>

namespace {

constexpr std::size_t kBlockHeaderSize = sizeof(std::size_t);  // of the allocator, for each block

std::atomic<std::size_t> allocated_bytes{0};

std::size_t counted_size(void* block) { return ::malloc_usable_size(block) + kBlockHeaderSize; }

void* count_allocation(void* block) {
  if (block == nullptr) throw std::bad_alloc();
  allocated_bytes.fetch_add(counted_size(block), std::memory_order_relaxed);
  return block;
}

void* try_allocate(std::size_t size) noexcept {
  void* block = std::malloc(size == 0 ? 1 : size);
  if (block != nullptr) allocated_bytes.fetch_add(counted_size(block), std::memory_order_relaxed);
  return block;
}

void count_and_free(void* block) {
  if (block == nullptr) return;
  allocated_bytes.fetch_sub(counted_size(block), std::memory_order_relaxed);
  std::free(block);
}

}  // namespace

namespace quota_gateway::net {

std::size_t heap_bytes() { return allocated_bytes.load(std::memory_order_relaxed); }

}  // namespace quota_gateway::net

// All forms that are used, because a sanitizer's own forms do not call these.
void* operator new(std::size_t size) { return count_allocation(std::malloc(size == 0 ? 1 : size)); }
void* operator new[](std::size_t size) { return operator new(size); }
void* operator new(std::size_t size, const std::nothrow_t&) noexcept { return try_allocate(size); }
void* operator new[](std::size_t size, const std::nothrow_t&) noexcept { return try_allocate(size); }
void* operator new(std::size_t size, std::align_val_t alignment) {
  void* block = nullptr;
  if (::posix_memalign(&block, std::size_t(alignment), size == 0 ? 1 : size) != 0) block = nullptr;
  return count_allocation(block);
}
void operator delete(void* block) noexcept { count_and_free(block); }
void operator delete(void* block, std::size_t) noexcept { count_and_free(block); }
void operator delete[](void* block) noexcept { count_and_free(block); }
void operator delete[](void* block, std::size_t) noexcept { count_and_free(block); }
void operator delete(void* block, const std::nothrow_t&) noexcept { count_and_free(block); }
void operator delete[](void* block, const std::nothrow_t&) noexcept { count_and_free(block); }
void operator delete(void* block, std::align_val_t) noexcept { count_and_free(block); }
void operator delete(void* block, std::size_t, std::align_val_t) noexcept { count_and_free(block); }
