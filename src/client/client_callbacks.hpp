// Events that the client listener reports to the owner of the requests.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "client/client_request.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

// `client_id` identifies a client's connection; `request_id` is the ID that on_request() returned.
struct ClientCallbacks {
  // Takes over a client's request and returns its ID.
  std::function<std::uint64_t(std::uint64_t client_id, ClientRequest)> on_request;
  // The streamed body is complete. Its last byte was not yet sent at `last_byte_pending_since`.
  std::function<void(std::uint64_t request_id, TimePoint last_byte_pending_since)> on_body_complete;
  // The streamed body is incomplete because its endpoint reads slowly, but the client may have sent all of it
  // after `last_byte_pending_since`.
  std::function<void(std::uint64_t request_id, TimePoint last_byte_pending_since)> on_body_lagging;
  // A request was rejected before on_request(), because the gateway is short of memory.
  std::function<void(const std::string& request_class, int status)> on_request_rejected;
  // The client's connection was closed before the response was complete.
  std::function<void(std::uint64_t request_id)> on_client_disconnected;
  // All chunks of a streamed response so far are written; the next one may follow.
  std::function<void(std::uint64_t request_id)> on_writable;
  // The listening socket is open.
  std::function<void()> on_listening;
};

}  // namespace quota_gateway::net
