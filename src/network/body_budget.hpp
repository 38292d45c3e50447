// The memory limit for message bodies that are buffered in this process.
#pragma once

#include <cstddef>
#include <cstdint>

namespace quota_gateway::net {

// A body of at most this size is buffered whole, so that it can be sent again. A larger one is streamed, with
// at most about this much of it buffered at a time.
constexpr std::size_t kBufferedBodyLimit = 64 << 10;  // bytes
// Replaces kBufferedBodyLimit while the buffered bytes of all connections reach or exceed the budget.
constexpr std::size_t kBufferedBodyLimitUnderPressure = 4 << 10;  // bytes
// The limit for any body: twice the largest one expected.
constexpr std::uint64_t kMaxBodySize = 64 << 20;  // bytes

// Counts the buffered bytes of all connections and derives the limit per message from the total.
class BodyBudget {
 public:
  explicit BodyBudget(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  // Returns how many bytes of its body a single message may buffer at present.
  [[nodiscard]] std::size_t buffered_body_limit() const;

  // The bytes that one connection has buffered. Releases them to the budget on destruction.
  class Share {
   public:
    explicit Share(BodyBudget& budget) : budget_(budget) {}
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;
    Share(Share&&) = delete;
    Share& operator=(Share&&) = delete;
    ~Share();

    // Sets the number of bytes that are buffered now.
    void set(std::size_t bytes);

   private:
    BodyBudget& budget_;
    std::size_t bytes_ = 0;
  };

 private:
  const std::size_t max_bytes_;
  std::size_t used_bytes_ = 0;
};

}  // namespace quota_gateway::net
