// A client's request as it is forwarded to an endpoint.
#pragma once

#include <memory>
#include <string>

#include "network/body_transfer.hpp"

namespace quota_gateway::net {

// The content that all attempts of a request have in common.
struct OutgoingRequest {
  std::string method;
  std::string target;
  std::string host;
  std::string trace_id;
  std::string idempotency_key;
  std::shared_ptr<const CountedBuffer> body;  // null if there is none
  std::shared_ptr<BodyUpload> upload;  // replaces `body` if that is too large to buffer; otherwise null
};

}  // namespace quota_gateway::net
