// Builds a client request from the head of an HTTP message.
#pragma once

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <stdexcept>
#include <string>

#include "network/outgoing_request.hpp"
#include "quota_gateway/decision_engine.hpp"

namespace quota_gateway::net {

using RequestParser = boost::beast::http::request_parser<boost::beast::http::buffer_body>;
using RequestMessage = RequestParser::value_type;

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

// Validates the head of a message and returns the request. Throws BadRequest if the protocol or the settings
// do not permit it.
ClientRequest parse_request(const RequestMessage& message, const Settings& settings);

}  // namespace quota_gateway::net
