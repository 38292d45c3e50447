#include "decision/retry_policy.hpp"

#include <algorithm>

namespace quota_gateway::decision {
namespace {

constexpr Duration kMaxWriteDelay = 150'000;  // us from reading the clock to writing to the socket

// Returns whether both endpoints recognize the same idempotency key.
bool are_in_same_dedup_scope(const ClassSettings& request_class, const EndpointEntry& first,
                             const EndpointEntry& second) {
  switch (request_class.dedup_scope) {
    case DedupScope::kAll:
      return true;
    case DedupScope::kZone:
      return first.zone == second.zone;
    case DedupScope::kCell:
      return first.cell == second.cell;
  }
  return false;
}

// Returns whether an attempt sent now arrives while the endpoint still recognizes the earlier attempt's key.
bool is_within_dedup_window(const DecisionContext& context, const ClassSettings& request_class,
                            const Attempt& earlier) {
  const Settings& settings = context.settings();
  const Duration max_delivery_delay = settings.connect_timeout + kMaxWriteDelay + 2 * settings.tick;
  return context.now() - earlier.sent_at < request_class.dedup_window - max_delivery_delay;
}

bool is_repetition_safe(const DecisionContext& context, const ClassSettings& request_class,
                        const Attempt& earlier, const Endpoint& endpoint) {
  if (!earlier.may_have_executed) return true;
  switch (request_class.idempotency) {
    case Idempotency::kIdempotent:
      return true;
    case Idempotency::kNonIdempotent:
      return false;
    case Idempotency::kByKey:
      return are_in_same_dedup_scope(request_class, endpoint.entry, earlier.endpoint->entry) &&
             is_within_dedup_window(context, request_class, earlier);
  }
  return false;
}

}  // namespace

bool may_have_executed(Outcome outcome) {
  return outcome != Outcome::kOverloaded && outcome != Outcome::kConnectFailed &&
         outcome != Outcome::kNotSent;
}

bool is_repeatable(const ClassSettings& request_class) {
  return request_class.idempotency != Idempotency::kNonIdempotent;
}

bool is_attempt_allowed(const DecisionContext& context, const Request& request, const Endpoint& endpoint) {
  return std::all_of(request.attempts.begin(), request.attempts.end(), [&](const Attempt& earlier) {
    const bool was_attempted = earlier.endpoint == &endpoint;  // an endpoint that failed once may fail again
    return !was_attempted && is_repetition_safe(context, *request.request_class, earlier, endpoint);
  });
}

bool is_rejection_safe(const Request& request) {
  const ClassSettings& request_class = *request.request_class;
  if (request_class.idempotency == Idempotency::kIdempotent) return true;
  if (request_class.idempotency == Idempotency::kByKey && request_class.dedup_scope == DedupScope::kAll)
    return true;
  return !request.may_have_executed();
}

}  // namespace quota_gateway::decision
