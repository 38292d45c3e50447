// A complete response to a client.
#pragma once

#include <string>

#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

struct Response {
  int status = 502;
  Duration retry_after = 0;  // us, sent as Retry-After; 0 omits the header
  std::string body;
};

}  // namespace quota_gateway::net
