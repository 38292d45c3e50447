// A request body that is streamed from its client to an endpoint.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "network/counted_buffer.hpp"

namespace quota_gateway::net {

// The queue between the client connection, which appends data, and the endpoint connection, which takes it.
// It holds only about as much of the body as may be buffered at a time. Data that was taken is not kept, so
// an upload that has started cannot be sent again. Every callback is called at most once per assignment and
// never from within the call that assigns it.
class BodyUpload {
 public:
  // `length` in bytes; std::nullopt for a chunked body. The buffered data counts against `budget`.
  BodyUpload(BodyBudget& budget, std::optional<std::uint64_t> length) : length_(length), buffered_(budget) {}

  std::function<void()> on_consumer_ready;  // the endpoint connection waits for data
  std::function<void()> on_drained;         // all buffered data was taken

  [[nodiscard]] std::optional<std::uint64_t> length() const { return length_; }

  // Producer: adds body data.
  void append(const std::string& bytes);
  // Producer: marks the body as complete.
  void finish();

  // Consumer: has `on_data` called at the next append() of data or at finish(), whichever comes first.
  void wait_for_data(std::function<void()> on_data);
  // Consumer: removes and returns all buffered data.
  std::string take_data();

  // Returns the number of bytes that the consumer has not taken yet.
  [[nodiscard]] std::size_t size() const { return buffered_.size(); }
  // Returns whether the whole body has been appended.
  [[nodiscard]] bool is_finished() const { return finished_; }
  // Returns whether the consumer has taken data; after that, no other attempt can send the body.
  [[nodiscard]] bool is_started() const { return started_; }

 private:
  // Clears the callback before calling it, because the call may assign it again.
  static void call_once(std::function<void()>& callback);

  const std::optional<std::uint64_t> length_;
  std::function<void()> on_data_;
  CountedBuffer buffered_;
  bool finished_ = false;
  bool started_ = false;
};

}  // namespace quota_gateway::net
