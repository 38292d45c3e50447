// Encodes actions as JSON messages of the simulator's line protocol.
#include <variant>

#include "adapter/codec.hpp"

namespace quota_gateway::wire {
namespace {

struct ActionWriter {
  Json operator()(const SendAttempt& action) const {
    return {{"what", "Send"}, {"Id", action.id}, {"Server", action.endpoint}, {"TryForUs", action.timeout}};
  }
  Json operator()(const CancelAttempt& action) const {
    return {{"what", "Withdraw"}, {"Id", action.id}, {"Go", action.attempt}};
  }
  Json operator()(const RejectRequest& action) const {
    Json message = {{"what", "Reject"}, {"Id", action.id}};
    if (action.retry_after > 0) message["StayAwayUs"] = action.retry_after;
    return message;
  }
  Json operator()(const FailRequest& action) const { return {{"what", "Fail"}, {"Id", action.id}}; }
  Json operator()(const SetTimer& action) const {
    return {{"what", "Arm"}, {"AtUs", action.at}, {"Label", action.token}};
  }
  Json operator()(const SendProbe& action) const {
    return {{"what", "Inspect"}, {"Server", action.endpoint}};
  }
  Json operator()(const IncrementCounter& action) const {
    return {
        {"what", "Tally"}, {"Cname", action.name}, {"Amount", action.amount}, {"ForgetAfterUs", action.ttl}};
  }
  Json operator()(const SubscribeToEndpoints& /*action*/) const {
    return {{"what", "Subscribe"}, {"Enable", true}};
  }
  Json operator()(const LogMessage& action) const {
    return {{"what", "NoteDown"}, {"BodyText", action.text}};
  }
};

}  // namespace

Json write_action(const Action& action) { return std::visit(ActionWriter{}, action); }

}  // namespace quota_gateway::wire
