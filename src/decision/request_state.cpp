#include "decision/request_state.hpp"

#include <algorithm>
#include <utility>

namespace quota_gateway::decision {

TimePoint useful_deadline(const ClassSettings& request_class, TimePoint client_deadline, TimePoint now) {
  if (request_class.late_weight_fraction > 0) return client_deadline;
  return std::min(client_deadline, now + request_class.latency_objective);
}

bool Request::may_have_executed() const {
  return std::any_of(attempts.begin(), attempts.end(),
                     [](const Attempt& attempt) { return attempt.may_have_executed; });
}

Request& RequestTable::find_or_create(const std::string& id) {
  Request& request = requests_[id];
  request.id = id;
  return request;
}

Request* RequestTable::find(const std::string& id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

void RequestTable::erase_if_complete(const Request& request) {
  if (!request.is_finished() || request.attempts_in_flight > 0) return;
  --request.customer->requests_in_progress;
  history_.on_ended(request.history_key, request.may_have_executed());
  requests_.erase(requests_.find(request.id));
}

void RequestTable::schedule(TimePoint at, RequestTimer timer) {
  ++last_token_;
  timers_[last_token_] = std::move(timer);
  context_.emit(SetTimer{at, last_token_});
}

std::optional<RequestTimer> RequestTable::remove_timer(std::int64_t token) {
  const auto found = timers_.find(token);
  if (found == timers_.end()) return std::nullopt;
  RequestTimer timer = std::move(found->second);
  timers_.erase(found);
  return timer;
}

}  // namespace quota_gateway::decision
