// The client connection's side of a streamed request body.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "client/stall_detector.hpp"
#include "network/body_transfer.hpp"
#include "runtime/timers.hpp"

namespace quota_gateway::net {

// Appends the body to a BodyUpload as it arrives, and accounts for the buffered bytes and for the time in
// which the buffer is full. One upload is active at a time.
class UploadProducer {
 public:
  struct Callbacks {
    std::function<void()> on_consumer_ready;  // an endpoint is ready for the body; called once
    std::function<void()> on_drained;         // all buffered data was taken
  };
  UploadProducer(const Clock& clock, const BodyBudget& budget, BodyBudget::Share& share,
                 StallDetector& stall_detector);

  // Begins an upload with the part of the body that has arrived. on_drained is first called after
  // await_drained().
  std::shared_ptr<BodyUpload> start(std::optional<std::uint64_t> length, const std::string& body,
                                    Callbacks callbacks);
  // Awaits the next time that the buffer is drained.
  void await_drained();
  // The buffer was drained, so the client may send more.
  void on_drained();
  // Adds data that the client sent.
  void append(const std::string& data);
  // The last byte is appended.
  void finish();
  // Ends the upload before its last byte; the consumer is not notified.
  void abandon();

  // Whether an upload has begun and is neither finished nor abandoned.
  [[nodiscard]] bool is_active() const { return upload_ != nullptr; }
  // Whether an upload is active and no more data may be buffered for it.
  [[nodiscard]] bool is_full() const;

 private:
  void note_backpressure();
  std::shared_ptr<BodyUpload> release();

  const Clock& clock_;
  const BodyBudget& budget_;
  BodyBudget::Share& share_;
  StallDetector& stall_detector_;
  std::shared_ptr<BodyUpload> upload_;
  std::function<void()> on_drained_;
};

}  // namespace quota_gateway::net
