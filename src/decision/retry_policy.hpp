// Which repetitions of a request are safe, by the idempotency of its class.
#pragma once

#include "decision/decision_context.hpp"
#include "decision/request_state.hpp"
#include "quota_gateway/events.hpp"
#include "quota_gateway/settings.hpp"

namespace quota_gateway::decision {

// Whether an attempt of this outcome may have executed the request.
bool may_have_executed(Outcome outcome);

// Whether requests of the class may be executed more than once at all.
bool is_repeatable(const ClassSettings& request_class);

// Whether the next attempt of the request may go to the endpoint without a risk of a second effect.
bool is_attempt_allowed(const DecisionContext& context, const Request& request, const Endpoint& endpoint);

// Whether the final response may be a rejection, which invites the client to send the request again.
bool is_rejection_safe(const Request& request);

}  // namespace quota_gateway::decision
