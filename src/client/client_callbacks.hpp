// What the client side reports to the owner of the requests.
#pragma once

#include <cstdint>
#include <functional>

#include "client/client_request.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

// A client is named by the id of its connection, a request by the id that on_request() returned for it.
struct ClientCallbacks {
  // Takes over a client's request and returns its id.
  std::function<std::uint64_t(std::uint64_t client, ClientRequest)> on_request;
  // The streamed body is complete. Its last byte was still pending at `last_byte_pending_since`.
  std::function<void(std::uint64_t request, TimePoint last_byte_pending_since)> on_body_complete;
  // The streamed body is not complete, because its endpoint reads slowly, but the client may have sent all of
  // it since `last_byte_pending_since`.
  std::function<void(std::uint64_t request, TimePoint last_byte_pending_since)> on_body_lagging;
  // The client closed its connection before it had the response.
  std::function<void(std::uint64_t request)> on_client_disconnected;
  // All chunks of a streamed response are written; the next one is welcome.
  std::function<void(std::uint64_t request)> on_writable;
  // The listening socket is open.
  std::function<void()> on_listening;
};

}  // namespace quota_gateway::net
