// Reads a client's request from the head of its HTTP message.
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

// A validated request of a client.
struct ClientRequest {
  RequestArrived arrived;     // `id` and `deadline` are filled in by the receiver
  Duration timeout = 0;       // how long the client waits for the response
  TimePoint received_at = 0;  // arrival of the last byte; 0 while the body is still to come
  OutgoingRequest outgoing;
};

// The client's message violates the protocol or names something unknown; it is answered with 400.
class BadRequest : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Validates the head of a message. Throws BadRequest if the protocol or the settings do not allow it.
ClientRequest parse_request(const RequestMessage& message, const Settings& settings);

}  // namespace quota_gateway::net
