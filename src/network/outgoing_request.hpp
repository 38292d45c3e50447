// A client's request as it is forwarded to an endpoint.
#pragma once

#include <memory>
#include <string>

#include "network/body_transfer.hpp"

namespace quota_gateway::net {

// The same for each attempt of a request.
struct OutgoingRequest {
  std::string method;
  std::string target;
  std::string host;
  std::string trace_id;
  std::string idempotency_key;
  std::string body;
  std::shared_ptr<BodyUpload> upload;  // in place of a body that is too large to buffer
};

}  // namespace quota_gateway::net
