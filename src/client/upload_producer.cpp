#include "client/upload_producer.hpp"

#include <utility>

namespace quota_gateway::net {

UploadProducer::UploadProducer(const Clock& clock, BodyBudget& budget, StallDetector& stall_detector)
    : clock_(clock), budget_(budget), stall_detector_(stall_detector) {}

std::shared_ptr<BodyUpload> UploadProducer::start(std::optional<std::uint64_t> length,
                                                  const std::string& body, Callbacks callbacks) {
  upload_ = std::make_shared<BodyUpload>(budget_, length);
  upload_->append(body);
  upload_->on_consumer_ready = std::move(callbacks.on_consumer_ready);
  on_drained_ = std::move(callbacks.on_drained);
  return upload_;
}

void UploadProducer::await_drained() {
  upload_->on_drained = on_drained_;
  report_backpressure();
}

void UploadProducer::on_drained() {
  stall_detector_.on_backpressure_ended(clock_.now());
  await_drained();
}

void UploadProducer::append(const std::string& data) {
  upload_->append(data);
  report_backpressure();
}

void UploadProducer::finish() {
  const std::shared_ptr<BodyUpload> upload = release();
  upload->finish();
}

void UploadProducer::abandon() { release(); }

std::shared_ptr<BodyUpload> UploadProducer::release() {
  std::shared_ptr<BodyUpload> upload = std::exchange(upload_, nullptr);
  upload->on_consumer_ready = nullptr;
  upload->on_drained = nullptr;
  return upload;
}

bool UploadProducer::is_full() const { return upload_ && upload_->size() >= budget_.buffered_body_limit(); }

void UploadProducer::report_backpressure() {
  if (is_full()) stall_detector_.on_backpressure_started(clock_.now());
}

}  // namespace quota_gateway::net
