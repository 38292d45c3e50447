#include "decision/admission_queue.hpp"

#include <algorithm>
#include <utility>

namespace quota_gateway::decision {
namespace {

constexpr double kMaxWaitFraction = 0.25;          // of the latency objective, since arrival
constexpr double kMinExpectedLatenciesLeft = 1.5;  // from the end of the wait to the request's deadline

TimePoint compute_queue_deadline(const Request& request, Duration tick) {
  const Duration time_needed = std::max(tick, Duration(kMinExpectedLatenciesLeft * request.expected_latency));
  const auto max_wait = Duration(kMaxWaitFraction * double(request.request_class->latency_objective));
  return std::min(request.deadline - time_needed, request.arrived_at + max_wait);
}

}  // namespace

AdmissionQueue::AdmissionQueue(DecisionContext& context, RequestTable& requests,
                               AttemptDispatcher& dispatcher, RequestCompletion& completion,
                               RateLimitedLog& log)
    : context_(context), requests_(requests), dispatcher_(dispatcher), completion_(completion), log_(log) {}

void AdmissionQueue::enqueue(Request& request) {
  request.state = RequestState::kQueued;
  const TimePoint queue_deadline = compute_queue_deadline(request, context_.settings().tick);
  entries_.push_back({request.id, request.priority_weight, queue_deadline});
  log_.write(LogKind::kRequestsQueued, "admission: requests queued: no endpoint has capacity");
  requests_.schedule(queue_deadline,
                     {.request_id = request.id, .purpose = RequestTimer::Purpose::kQueueDeadline});
}

void AdmissionQueue::dispatch() {
  if (entries_.empty()) return;
  std::stable_sort(entries_.begin(), entries_.end(), [](const Entry& first, const Entry& second) {
    return first.priority_weight > second.priority_weight;
  });
  std::vector<Entry> still_queued;
  for (Entry& entry : entries_) {
    Request* request = requests_.find(entry.request_id);
    if (request == nullptr) continue;
    if (try_remove(*request, entry.queue_deadline))
      requests_.erase_if_complete(*request);
    else
      still_queued.push_back(std::move(entry));
  }
  entries_.swap(still_queued);
}

bool AdmissionQueue::try_remove(Request& request, TimePoint queue_deadline) {
  if (request.state != RequestState::kQueued) return true;
  if (dispatcher_.send(request)) {
    request.state = RequestState::kActive;
    return true;
  }
  if (context_.now() < queue_deadline) return false;
  completion_.reject_or_fail(request);
  return true;
}

std::vector<const Request*> AdmissionQueue::unsent_requests() const {
  std::vector<const Request*> unsent;
  for (const Entry& entry : entries_) {
    const Request* request = requests_.find(entry.request_id);
    const bool is_queued = request != nullptr && request->state == RequestState::kQueued;
    if (is_queued && request->attempts.empty()) unsent.push_back(request);
  }
  return unsent;
}

}  // namespace quota_gateway::decision
