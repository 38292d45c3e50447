#include "runtime/request_table.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace quota_gateway::net {

bool RequestRecord::is_stream_open() const {
  return is_streamed() && attempts.at(std::size_t(streaming_attempt)).in_flight;
}

bool RequestRecord::is_uploading() const { return outgoing.upload && !outgoing.upload->is_finished(); }

bool RequestRecord::is_replayable() const { return !outgoing.upload || !outgoing.upload->is_started(); }

RequestRecord& RequestTable::create() {
  const RequestId id = ++last_id_;
  RequestRecord& request = records_[id];
  request.id = id;
  return request;
}

RequestRecord* RequestTable::find(RequestId id) {
  const auto record = records_.find(id);
  return record != records_.end() ? &record->second : nullptr;
}

RequestRecord* RequestTable::find(const std::string& id) {
  RequestId number = 0;
  std::from_chars(id.data(), id.data() + id.size(), number);
  return find(number);
}

void RequestTable::retire_if_finished(const RequestRecord& request) {
  if (request.is_answered() && request.attempts_in_flight == 0) finished_.push_back(request.id);
}

void RequestTable::erase_finished() {
  for (const RequestId id : std::exchange(finished_, {})) {
    const auto record = records_.find(id);
    if (record != records_.end() && record->second.attempts_in_flight == 0) records_.erase(record);
  }
}

bool RequestTable::has_unanswered() const {
  return std::any_of(records_.begin(), records_.end(),
                     [](const auto& entry) { return !entry.second.is_answered(); });
}

std::vector<RequestId> RequestTable::unanswered() const {
  std::vector<RequestId> ids;
  for (const auto& [id, request] : records_) {
    if (!request.is_answered()) ids.push_back(id);
  }
  return ids;
}

std::vector<RequestId> RequestTable::open_streams() const {
  std::vector<RequestId> ids;
  for (const auto& [id, request] : records_) {
    if (request.is_stream_open()) ids.push_back(id);
  }
  return ids;
}

}  // namespace quota_gateway::net
