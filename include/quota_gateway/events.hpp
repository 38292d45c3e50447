// The events that the decision engine reacts to. Plain data only.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "quota_gateway/time.hpp"

namespace quota_gateway {

enum class EndpointState { kUp, kDraining, kRemoved };

// One endpoint in the endpoint list.
struct EndpointEntry {
  std::string endpoint;
  std::string zone;
  std::string hardware;
  std::int64_t cell = 0;
  EndpointState state = EndpointState::kUp;
  double weight = 1;
  TimePoint started_at = 0;  // on the wall clock; 0: not recently
};

// The load that an endpoint reported. A negative value means that it was not reported.
struct LoadReport {
  double in_flight = -1;
  double queued = -1;
  double cpu_utilization = -1;
  double latency_ms = -1;
  double requests_per_s = -1;
  double errors_per_s = -1;
};

// How an attempt ended.
enum class Outcome {
  kOk,
  kError,          // may have executed
  kOverloaded,     // never executed
  kTimeout,        // may have executed or still be executing
  kConnectFailed,  // never executed
  kReset,          // may have executed
  kCancelled,      // may have executed
  kNotSent         // never executed
};

// A new endpoint list, or changes to the last one. kPersisted: the list that was stored before a restart;
// kError: the subscription failed.
struct EndpointListUpdate {
  enum class Kind { kPartial, kComplete, kPersisted, kError } kind = Kind::kComplete;
  std::vector<EndpointEntry> entries;
};

// An operator disabled or re-enabled an endpoint, which overrides the endpoint list. May be repeated.
struct AdminStateChanged {
  std::string endpoint;
  bool disabled = false;
};

// A client's request has arrived. It gets exactly one final response.
struct RequestArrived {
  std::string id;
  std::string customer;
  std::string plan;
  std::string request_class;
  double units = 1;
  TimePoint deadline = 0;       // the client's, for all attempts together
  int gateway_set_size = 1;     // gateways that this customer may use; 0: all
  int first_gateway_index = 0;  // first of that set; the others follow it, modulo the number of gateways
  bool client_retry = false;
  // RequestBodyCompleted follows with the final deadline. Such a body is forwarded as it arrives and not
  // kept, so the request has at most one attempt in flight at a time.
  bool body_pending = false;
  // The client's own ID, and its idempotency key, if it gave them. A request that may not be repeated is not
  // executed again when the same ID arrives again.
  std::string client_request_id;
  std::string idempotency_key;
};

// The body of a request that arrived with `body_pending` is complete.
struct RequestBodyCompleted {
  std::string id;
  TimePoint deadline = 0;
};

// The head of an attempt's successful response has arrived, and its body of unknown length is arriving. It is
// forwarded unless it is complete soon.
struct ResponseBegun {
  std::string id;
  int attempt = 0;
};

// The response of an attempt is being forwarded to the client, so no other response can be sent. The
// AttemptEnded event comes later.
struct ResponseStarted {
  std::string id;
  int attempt = 0;
  std::string endpoint;
  Duration duration = 0;
  double billed_units = 0;  // as in AttemptEnded
  LoadReport load;
};

// An attempt has ended: its response is complete, or the attempt failed or was cancelled.
struct AttemptEnded {
  std::string id;
  int attempt = 0;
  std::string endpoint;
  Outcome outcome = Outcome::kOk;
  Duration duration = 0;
  bool request_finished = false;   // the client has its final response
  int quota_percent_plus_one = 0;  // 1 + percentage of the quota that the customer has used; 0: not reported
  double billed_units = 0;         // actual units, if endpoints bill them
  LoadReport load;
  bool replayable = true;  // false: the request body has been forwarded and is no longer buffered
};

// The client has disconnected or timed out.
struct RequestCancelled {
  std::string id;
};

// A timer that SetTimer requested is due.
struct TimerFired {
  std::int64_t token = 0;
};

// The result of a SendProbe action.
struct ProbeEnded {
  std::string endpoint;
  Outcome outcome = Outcome::kOk;
  Duration duration = 0;
  LoadReport load;
};

enum class CounterOutcome {
  kOk,
  kNotAdded,  // the counter service rejected the increment, or could not be reached
  kUnknown    // no reply in time; the amount may have been added
};

// The reply to an IncrementCounter action, or its failure.
struct CounterReply {
  std::int64_t name = 0;
  double total = 0;
  CounterOutcome outcome = CounterOutcome::kUnknown;
  Duration duration = 0;
};

// The wall clock is now `offset` ahead of the clock that events are timed by. Endpoints report their start
// times, and gateways name their counters, by the wall clock. Until the first such event the clocks agree.
struct WallClockStepped {
  Duration offset = 0;
};

// The state that a predecessor passes to its successor. The values have a fixed order; a list of another
// length was written by another build and is ignored.
struct HotRestartState {
  using Values = std::vector<double>;
  std::map<std::string, std::pair<std::string, Values>> customers;  // plan name and values, by customer
  std::map<std::string, Values> endpoints;                          // by endpoint name
  // Values that belong to no single customer or endpoint: the pace of counter calls, the start time, the
  // concurrency limit, slow start, the latency estimates and the retry budget.
  Values fleet;
  std::vector<std::uint64_t> requests;  // hashes of the clients' IDs of requests that may have been executed
};

// This process is the successor in a hot restart and continues from the predecessor's state.
struct StateRestored {
  HotRestartState state;
};

// The number of attempts that the predecessor still has in flight, by customer.
struct PredecessorAttempts {
  std::map<std::string, int> in_flight;
};

// The successor process has ended. This process admits requests again.
struct HotRestartAborted {};

using Event = std::variant<EndpointListUpdate, RequestArrived, ResponseBegun, ResponseStarted, AttemptEnded,
                           RequestCancelled, TimerFired, ProbeEnded, CounterReply, AdminStateChanged,
                           RequestBodyCompleted, StateRestored, PredecessorAttempts, HotRestartAborted,
                           WallClockStepped>;

}  // namespace quota_gateway
