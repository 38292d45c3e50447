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

struct ClientRequest {
  RequestArrived arrived;  // `id` and `deadline` are the driver's to fill in
  Micros timeout = 0;      // how long the client waits
  Micros received_at = 0;  // its last byte, unless its body is still to come
  OutgoingRequest outgoing;
};

// What a client sent that is no request of ours; answered 400.
class BadRequest : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Throws BadRequest on what the protocol does not allow, or the settings do not name.
ClientRequest parse_request(const RequestMessage& message, const Settings& settings);

}  // namespace quota_gateway::net
