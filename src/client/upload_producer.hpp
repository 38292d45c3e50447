// The producer of a streamed request body, on the side of the client connection.
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

// Appends a request body to a BodyUpload as it arrives, and reports the backpressure of a full buffer to the
// stall detector. At most one upload is active at a time.
class UploadProducer {
 public:
  struct Callbacks {
    std::function<void()> on_consumer_ready;  // an endpoint connection waits for data; called once
    std::function<void()> on_drained;         // the endpoint connection took all buffered data
  };
  UploadProducer(const Clock& clock, BodyBudget& budget, StallDetector& stall_detector);

  // Begins an upload with the part of the body that has arrived, and returns the consumer's end of it.
  // `length` is std::nullopt for a chunked body. callbacks.on_drained is called only after await_drained().
  std::shared_ptr<BodyUpload> start(std::optional<std::uint64_t> length, const std::string& body,
                                    Callbacks callbacks);
  // Requests a call of callbacks.on_drained when the buffer is next drained.
  void await_drained();
  // The buffer was drained, so more data can be read from the client. Awaits the next time.
  void on_drained();
  // Appends data that the client sent.
  void append(const std::string& data);
  // Ends the upload after its last byte.
  void finish();
  // Ends the upload before its last byte; the consumer is not notified.
  void abandon();

  // Whether an upload has begun and is neither finished nor abandoned.
  [[nodiscard]] bool is_active() const { return upload_ != nullptr; }
  // Whether an upload is active and its buffer has reached the limit.
  [[nodiscard]] bool is_full() const;

 private:
  void report_backpressure();
  // Detaches the upload, so that its consumer no longer calls back into this connection.
  std::shared_ptr<BodyUpload> release();

  const Clock& clock_;
  BodyBudget& budget_;
  StallDetector& stall_detector_;
  std::shared_ptr<BodyUpload> upload_;
  std::function<void()> on_drained_;
};

}  // namespace quota_gateway::net
