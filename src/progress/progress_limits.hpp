// When a response in progress may be ended: the limits of all rules of the table "What ends a response in
// progress" in docs/architecture.md.
#pragma once

#include <cstdint>

#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

// ---- Endpoints ------------------------------------------------------------------------------------------
// A body of at most this size has to be complete in time; of a longer one, only the first bytes have to.
constexpr std::uint64_t kMaxShortResponseSize = 64 << 10;  // bytes
// A response that is due may end this much later. Clients are owed it within 500 ms of their timeout, and the
// process may be suspended for 150 ms at its start and at its end.
constexpr Duration kLateResponseGrace = 200'000;  // us
// How long an endpoint may pause in a long response that is due. Clients are owed its next bytes within 2 s.
constexpr Duration kEndpointStallTimeout = 1'800'000;  // us

// An endpoint that has sent nothing for this long has paused; before, it is judged by its pace. The gateway
// may be suspended for 150 ms between two arrivals.
constexpr Duration kMaxSteadyPause = 200'000;  // us
// The pace that an endpoint has to keep in a response that is due.
struct ResponsePace {
  std::int64_t bytes_per_second = 0;
  // How long a pause may get at most when the endpoint has sent much before.
  Duration max_credit = 0;
};
// Of a long response. A slower one is taken for endless.
constexpr ResponsePace kLongResponsePace{.bytes_per_second = 4'000, .max_credit = 10'000'000};

// ---- Responses of unknown length that have not started ---------------------------------------------------
// How long one is buffered at least, so that the request can be retried if the response breaks off.
constexpr Duration kMinBufferingTime = 100'000;  // us
// The pace since the first byte of its body at which one is taken for long: a quarter of the pace that the
// protocol asks of request bodies, since endpoints may be slow.
constexpr std::int64_t kMinUndecidedPace = 16'000;  // bytes per second
// How much has to have arrived at that pace: a quarter of the longest short response.
constexpr std::uint64_t kProbablyLongSize = 16'000;  // bytes
// Or for how long it has to have been arriving, without a pause.
constexpr Duration kMinSteadyTime = 100'000;  // us
// How long a body that begins just before it is due is observed for that, so that its client gets an error
// within 500 ms of its timeout even if the process is suspended for 150 ms.
constexpr Duration kMaxObservationTime = 150'000;  // us

// ---- Clients --------------------------------------------------------------------------------------------
// How long a client may take nothing of what was written to it.
constexpr Duration kClientReadTimeout = 10'000'000;  // us
// The same once a shutdown has begun.
constexpr Duration kClientReadTimeoutInShutdown = 5'000'000;  // us

}  // namespace quota_gateway::net
