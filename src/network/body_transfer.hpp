// Bodies too large to hold, and the bound on those that are held.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/error.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace quota_gateway::net {

// Bytes; a body up to this is held and can be sent again, and of a larger one so much may wait here.
constexpr std::size_t kBufferedBodyLimit = 64 << 10;
constexpr std::size_t kBufferedBodyLimitUnderPressure =
    4 << 10;                                 // in its place while all bodies together take too much
constexpr std::size_t kReadSize = 32 << 10;  // bytes read at once, into a buffer that all connections share
constexpr std::uint64_t kMaxBodySize = 64 << 20;  // bytes; twice the largest that is expected

// What all bodies held here come to, over all connections.
class BodyBudget {
 public:
  explicit BodyBudget(std::size_t most) : most_(most) {}
  [[nodiscard]] std::size_t buffered_body_limit() const {
    return used_ < most_ ? kBufferedBodyLimit : kBufferedBodyLimitUnderPressure;
  }

  // One connection's part of it.
  class Share {
   public:
    explicit Share(BodyBudget& budget) : budget_(budget) {}
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;
    ~Share() { set(0); }
    void set(std::size_t bytes) { budget_.used_ += bytes - std::exchange(bytes_, bytes); }

   private:
    BodyBudget& budget_;
    std::size_t bytes_ = 0;
  };

 private:
  const std::size_t most_;
  std::size_t used_ = 0;
};

// The body of one request on its way from its client to a server; about a window of it is here at the most.
// What was taken is gone: such a request can't be sent again. None of the functions that wait here is called
// from within the call that sets it.
class BodyUpload {
 public:
  explicit BodyUpload(std::optional<std::uint64_t> length) : length_(length) {}
  std::function<void()> on_consumer_ready;  // told once, when a server is there to take it
  std::function<void()> on_drained;         // told once, when some was taken

  [[nodiscard]] std::optional<std::uint64_t> length() const { return length_; }  // none: chunked
  void append(const std::string& bytes) {
    waiting_ += bytes;
    if (!bytes.empty()) tell(more_);
  }
  void finish() {
    finished_ = true;
    tell(more_);
  }
  // Calls `more` once there is something to take, or nothing more comes.
  void wait_for_data(std::function<void()> more) {
    more_ = std::move(more);
    tell(on_consumer_ready);
  }
  std::string take_data() {
    begun_ = true;
    std::string out = std::exchange(waiting_, {});
    tell(on_drained);
    return out;
  }
  [[nodiscard]] std::size_t size() const { return waiting_.size(); }
  [[nodiscard]] bool is_finished() const { return finished_; }
  [[nodiscard]] bool is_started() const { return begun_; }

 private:
  static void tell(std::function<void()>& whom) {
    if (const auto told = std::exchange(whom, nullptr)) told();
  }
  const std::optional<std::uint64_t> length_;
  std::function<void()> more_;
  std::string waiting_;
  bool finished_ = false, begun_ = false;
};

// Puts what came into a parser and the body's part of it into `body`; returns how much was used.
template <typename Parser>
std::size_t put(Parser& parser, const std::string& bytes, std::string& body, boost::system::error_code& ec) {
  static thread_local std::vector<char> scratch(kReadSize);
  auto& into = parser.get().body();
  into.data = scratch.data();
  into.size = scratch.size();
  const std::size_t used = parser.put(boost::asio::buffer(bytes), ec);
  body.append(scratch.data(), scratch.size() - into.size);
  if (ec == boost::beast::http::error::need_buffer) ec = {};
  return used;
}

}  // namespace quota_gateway::net
