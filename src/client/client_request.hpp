// Builds a client request from the head of an HTTP message.
#pragma once

#include <array>
#include <stdexcept>
#include <string>
#include <string_view>

#include "network/message_parser.hpp"
#include "network/outgoing_request.hpp"
#include "quota_gateway/decision_engine.hpp"

namespace quota_gateway::net {

using RequestParser = MessageParser<true>;

// The header fields of a request that the gateway uses.
constexpr std::array<std::string_view, 8> kRequestFields = {
    "Host", "Expect", "X-Trace-Id", "Plan", "Idempotency-Key", "X-Expires-In", "Quota-Info", "X-Second-Try"};

// A validated client request.
struct ClientRequest {
  RequestArrived arrived;     // the receiver sets `id`, `deadline` and `body_pending`
  Duration timeout = 0;       // how long the client waits for the final response
  TimePoint received_at = 0;  // when the last byte arrived; 0 if the body is incomplete
  OutgoingRequest outgoing;
};

// A message violates the protocol or names an unknown class. It is answered with 400 and what() as the
// reason.
class BadRequest : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Validates the head of a message, which must be complete, and returns the request. Throws BadRequest if the
// protocol or the settings do not permit it.
ClientRequest parse_request(const RequestParser& message, const Settings& settings);

}  // namespace quota_gateway::net
