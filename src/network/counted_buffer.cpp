#include "network/counted_buffer.hpp"

#include <utility>

namespace quota_gateway::net {
namespace {

// A buffer that has to grow gets this fraction of its contents in addition, so that a body that arrives in
// many small pieces is not copied for each of them.
constexpr std::size_t kGrowthDivisor = 4;
// Unused memory that is not worth a copy of the contents.
constexpr std::size_t kToleratedSlack = 2 << 10;  // bytes

}  // namespace

CountedBuffer::CountedBuffer(BodyBudget& budget, std::string bytes)
    : bytes_(std::move(bytes)), share_(budget) {
  count();
}

void CountedBuffer::append(std::string_view bytes) {
  const std::size_t size = bytes_.size() + bytes.size();
  if (size > bytes_.capacity()) reallocate(size + bytes_.size() / kGrowthDivisor);
  bytes_.append(bytes);
  count();
}

void CountedBuffer::assign(std::string bytes) {
  bytes_ = std::move(bytes);
  count();
}

void CountedBuffer::remove_prefix(std::size_t size) {
  bytes_.erase(0, size);
  if (bytes_.empty()) return clear();
  if (bytes_.capacity() <= 2 * bytes_.size() + kToleratedSlack) return;
  reallocate(bytes_.size());
  count();
}

std::string CountedBuffer::take() {
  std::string bytes = std::exchange(bytes_, std::string());
  count();
  return bytes;
}

// Assigning an empty string or `{}` would keep the memory.
void CountedBuffer::clear() {
  std::string().swap(bytes_);
  count();
}

// std::string::reserve() would at least double the capacity.
void CountedBuffer::reallocate(std::size_t capacity) {
  std::string moved;
  moved.reserve(capacity);
  moved.append(bytes_);
  bytes_.swap(moved);
}

void CountedBuffer::count() {
  const std::size_t inline_capacity = std::string().capacity();  // needs no memory of its own
  share_.set(bytes_.capacity() > inline_capacity ? bytes_.capacity() : 0);
}

}  // namespace quota_gateway::net
