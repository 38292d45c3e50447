// The memory limit for message bodies that are buffered in this process.
#pragma once

#include <cstddef>
#include <cstdint>

namespace quota_gateway::net {

// A body up to this size is buffered and can be sent again; of a larger one, as much may wait at a time.
constexpr std::size_t kBufferedBodyLimit = 64 << 10;  // bytes
// Replaces kBufferedBodyLimit while all buffered bodies together exceed the budget.
constexpr std::size_t kBufferedBodyLimitUnderPressure = 4 << 10;  // bytes
// Twice the largest body that is expected.
constexpr std::uint64_t kMaxBodySize = 64 << 20;  // bytes

// Counts the buffered bytes of all connections and derives the limit of each from the total.
class BodyBudget {
 public:
  explicit BodyBudget(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  // How many bytes of its body a single message may buffer now.
  [[nodiscard]] std::size_t buffered_body_limit() const;

  // The bytes that one connection has buffered; they are returned to the budget on destruction.
  class Share {
   public:
    explicit Share(BodyBudget& budget) : budget_(budget) {}
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;
    Share(Share&&) = delete;
    Share& operator=(Share&&) = delete;
    ~Share();

    // Reports the present number of buffered bytes.
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
