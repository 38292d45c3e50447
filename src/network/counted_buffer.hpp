// A byte buffer whose memory is counted against the memory budget.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "network/body_budget.hpp"

namespace quota_gateway::net {

// Counts the memory that it holds, which may be more than its contents need. Holds none while it is empty.
class CountedBuffer {
 public:
  explicit CountedBuffer(BodyBudget& budget, std::string bytes = {});

  // Adds bytes at the end. Grows in smaller steps than std::string, so that little memory stays unused.
  void append(std::string_view bytes);
  // Replaces the contents, and takes over the memory of `bytes`.
  void assign(std::string bytes);
  // Removes the first `size` bytes, and frees memory that the others do not need.
  void remove_prefix(std::size_t size);
  // Returns the contents together with their memory, and leaves the buffer empty.
  [[nodiscard]] std::string take();
  // Removes the contents and frees the memory.
  void clear();

  [[nodiscard]] const std::string& bytes() const { return bytes_; }
  [[nodiscard]] std::size_t size() const { return bytes_.size(); }
  [[nodiscard]] bool empty() const { return bytes_.empty(); }

 private:
  void reallocate(std::size_t capacity);
  void count();

  std::string bytes_;
  BodyBudget::Share share_;
};

}  // namespace quota_gateway::net
