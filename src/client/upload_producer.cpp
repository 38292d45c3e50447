#include "client/upload_producer.hpp"

#include <utility>

namespace quota_gateway::net {

UploadProducer::UploadProducer(const Clock& clock, const BodyBudget& budget, BodyBudget::Share& buffer_share,
                               StallDetector& stall_detector)
    : clock_(clock), budget_(budget), buffer_share_(buffer_share), stall_detector_(stall_detector) {}

std::shared_ptr<BodyUpload> UploadProducer::start(std::optional<std::uint64_t> length,
                                                  const std::string& body, Callbacks callbacks) {
  upload_ = std::make_shared<BodyUpload>(length);
  upload_->append(body);
  buffer_share_.set(upload_->size());
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
  buffer_share_.set(0);
  await_drained();
}

void UploadProducer::append(const std::string& data) {
  upload_->append(data);
  buffer_share_.set(upload_->size());
  report_backpressure();
}

void UploadProducer::finish() {
  const std::shared_ptr<BodyUpload> upload = release();
  buffer_share_.set(0);
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
