#include "decision/admission_queue.hpp"

#include <algorithm>
#include <utility>

namespace quota_gateway::decision {
namespace {

constexpr double kMaxWaitFraction = 0.25;  // of the latency objective, from arrival
constexpr double kMinTimeLeft = 1.5;       // expected latencies that are left before the deadline on expiry

TimePoint queue_expiry(const Request& request, Duration tick) {
  const Duration time_needed = std::max(tick, Duration(kMinTimeLeft * request.expected_latency));
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
  const TimePoint expires_at = queue_expiry(request, context_.settings().tick);
  entries_.push_back({request.id, request.priority_weight, expires_at});
  log_.write(LogKind::kRequestsQueued, "admission: requests queued: no endpoint has capacity");
  requests_.schedule(expires_at, {.request_id = request.id, .purpose = RequestTimer::Purpose::kQueueExpiry});
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
    if (try_remove(*request, entry.expires_at))
      requests_.erase_if_complete(*request);
    else
      still_queued.push_back(std::move(entry));
  }
  entries_.swap(still_queued);
}

bool AdmissionQueue::try_remove(Request& request, TimePoint expires_at) {
  if (request.state != RequestState::kQueued) return true;
  if (dispatcher_.send(request)) {
    request.state = RequestState::kActive;
    return true;
  }
  if (context_.now() < expires_at) return false;
  completion_.give_final_response(request);
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
