// A request body that is streamed from its client to an endpoint.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace quota_gateway::net {

// The queue between the client connection, which appends, and the endpoint connection, which takes data. It
// holds about one window of the body. Data that was taken is not kept, so a started upload cannot be sent
// again. Every callback is called at most once per assignment and never from within the call that assigns it.
class BodyUpload {
 public:
  // Without a length the body is chunked.
  explicit BodyUpload(std::optional<std::uint64_t> length) : length_(length) {}

  std::function<void()> on_consumer_ready;  // the endpoint connection waits for data
  std::function<void()> on_drained;         // all waiting data was taken

  [[nodiscard]] std::optional<std::uint64_t> length() const { return length_; }

  // Producer: adds body data.
  void append(const std::string& bytes);
  // Producer: declares the body complete.
  void finish();

  // Consumer: calls `on_data` at the next append() of data, or at finish().
  void wait_for_data(std::function<void()> on_data);
  // Consumer: removes and returns all waiting data.
  std::string take_data();

  // Bytes that wait for the consumer.
  [[nodiscard]] std::size_t size() const { return waiting_.size(); }
  // Whether all of the body has been appended.
  [[nodiscard]] bool is_finished() const { return finished_; }
  // Whether the consumer has taken data, after which no other attempt can send the body.
  [[nodiscard]] bool is_started() const { return started_; }

 private:
  // Resets the callback before the call, which may assign it again.
  static void call_once(std::function<void()>& callback);

  const std::optional<std::uint64_t> length_;
  std::function<void()> on_data_;
  std::string waiting_;
  bool finished_ = false;
  bool started_ = false;
};

}  // namespace quota_gateway::net
