// Rules for safe retries and rejections of a request, by the idempotency of its class.
#pragma once

#include "decision/decision_context.hpp"
#include "decision/request_state.hpp"
#include "quota_gateway/events.hpp"
#include "quota_gateway/settings.hpp"

namespace quota_gateway::decision {

// Returns whether an attempt with this outcome may have executed the request.
bool may_have_executed(Outcome outcome);

// Returns whether requests of the class may ever be executed more than once.
bool is_repeatable(const ClassSettings& request_class);

// Returns whether the next attempt of the request may be sent to the endpoint: no earlier attempt went there,
// and there is no risk of a second effect.
bool is_attempt_allowed(const DecisionContext& context, const Request& request, const Endpoint& endpoint);

// Returns whether the final response may be a rejection, which tells the client that it may retry.
bool is_rejection_safe(const Request& request);

}  // namespace quota_gateway::decision
