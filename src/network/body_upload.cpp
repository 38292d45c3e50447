#include "network/body_upload.hpp"

#include <utility>

namespace quota_gateway::net {

void BodyUpload::append(const std::string& bytes) {
  buffered_.append(bytes);
  if (!bytes.empty()) call_once(on_data_);
}

void BodyUpload::finish() {
  finished_ = true;
  call_once(on_data_);
}

void BodyUpload::wait_for_data(std::function<void()> on_data) {
  on_data_ = std::move(on_data);
  call_once(on_consumer_ready);
}

std::string BodyUpload::take_data() {
  started_ = true;
  std::string data = buffered_.take();
  call_once(on_drained);
  return data;
}

void BodyUpload::call_once(std::function<void()>& callback) {
  const std::function<void()> current = std::exchange(callback, nullptr);
  if (current) current();
}

}  // namespace quota_gateway::net
