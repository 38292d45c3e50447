// The memory limit for the buffers of all connections.
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

// Maximum size of one read from a socket. All connections of a module share one buffer of this size.
constexpr std::size_t kReadSize = 32 << 10;  // bytes
// Replaces kReadSize while memory is short, because most of what is read has to be buffered.
constexpr std::size_t kReadSizeUnderPressure = 4 << 10;  // bytes

// Counts the memory of the buffers of all connections and derives the limit per message from the total.
class BodyBudget {
 public:
  explicit BodyBudget(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  // Returns how many bytes of its body a single message may buffer at present.
  [[nodiscard]] std::size_t buffered_body_limit() const;
  // Returns how many bytes a single read from a socket may return at present.
  [[nodiscard]] std::size_t read_size() const;
  // Returns the memory that is counted at present, in bytes.
  [[nodiscard]] std::size_t used_bytes() const { return used_bytes_; }
  // Returns the highest value of used_bytes() since the last call.
  std::size_t take_peak_bytes();

  // Sets whether the limits are reduced although the buffers themselves are within the budget.
  void set_under_pressure(bool is_under_pressure) { is_process_under_pressure_ = is_under_pressure; }

  // The memory that one buffer holds. Releases it to the budget on destruction.
  class Share {
   public:
    explicit Share(BodyBudget& budget) : budget_(budget) {}
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;
    Share(Share&&) = delete;
    Share& operator=(Share&&) = delete;
    ~Share();

    // Sets the number of bytes that are held now.
    void set(std::size_t bytes);

   private:
    BodyBudget& budget_;
    std::size_t bytes_ = 0;
  };

 private:
  [[nodiscard]] bool is_under_pressure() const {
    return is_process_under_pressure_ || used_bytes_ >= max_bytes_;
  }

  const std::size_t max_bytes_;
  std::size_t used_bytes_ = 0;
  std::size_t peak_bytes_ = 0;
  bool is_process_under_pressure_ = false;
};

}  // namespace quota_gateway::net
