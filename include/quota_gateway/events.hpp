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
  TimePoint started_at = 0;  // by the wall clock; 0: not recently
};

// The load that an endpoint reported; a negative value was not reported.
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
  kTimeout,        // may have executed, may be executing
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

// An operator disabled an endpoint or enabled it again; may be repeated. It overrides the endpoint list.
struct AdminStateChanged {
  std::string endpoint;
  bool disabled = false;
};

// A client's request, which needs exactly one final response.
struct RequestArrived {
  std::string id;
  std::string customer;
  std::string plan;
  std::string request_class;
  double units = 1;
  TimePoint deadline = 0;       // the client's, over all attempts
  int gateway_set_size = 1;     // gateways that this customer may use
  int first_gateway_index = 0;  // of that set; the others follow, modulo the number of gateways
  bool client_retry = false;
  bool body_pending = false;  // RequestBodyCompleted will follow with the final deadline
};

// All of a request whose body was pending has arrived.
struct RequestBodyCompleted {
  std::string id;
  TimePoint deadline = 0;
};

// A response is being forwarded to the client; no other can follow. The attempt's end comes later.
struct ResponseStarted {
  std::string id;
  int attempt = 0;
  std::string endpoint;
  Duration duration = 0;
  double billed_units = 0;  // as in AttemptEnded
  LoadReport load;
};

// An attempt has ended: its response is complete, it failed, or it was cancelled.
struct AttemptEnded {
  std::string id;
  int attempt = 0;
  std::string endpoint;
  Outcome outcome = Outcome::kOk;
  Duration duration = 0;
  bool request_finished = false;   // the client has its final response
  int quota_percent_plus_one = 0;  // 1 + percent of the quota that its customer used; 0: not reported
  double billed_units = 0;         // true units, where units are settled later
  LoadReport load;
  bool replayable = true;  // false: its body has been forwarded and is no longer buffered
};

// The client has disconnected or timed out.
struct RequestCancelled {
  std::string id;
};

// A timer of SetTimer is due.
struct TimerFired {
  std::int64_t token = 0;
};

// The result of a SendProbe.
struct ProbeEnded {
  std::string endpoint;
  Outcome outcome = Outcome::kOk;
  Duration duration = 0;
  LoadReport load;
};

enum class CounterOutcome {
  kOk,
  kNotAdded,  // the counter service rejected the increment, or could not be reached
  kUnknown    // no reply in time: the amount may have been added
};

// The reply to an IncrementCounter, or its failure.
struct CounterReply {
  std::int64_t name = 0;
  double total = 0;
  CounterOutcome outcome = CounterOutcome::kUnknown;
  Duration duration = 0;
};

// The wall clock, by which endpoints report their starts and gateways name their counters, is `offset` ahead
// of the clock by which events are reported. Before the first of these events the two are equal.
struct WallClockStepped {
  Duration offset = 0;
};

// The state that a process passes to the one that replaces it. The values are in a fixed order; a list of
// another length was written by another build and is ignored.
struct HotRestartState {
  using Values = std::vector<double>;
  std::map<std::string, std::pair<std::string, Values>> customers;  // with the name of their plan
  std::map<std::string, Values> endpoints;
  Values fleet;
};

// This process replaces another one and continues from its state.
struct StateRestored {
  HotRestartState state;
};

// Attempts that the predecessor of this process still has in flight, by customer.
struct PredecessorAttempts {
  std::map<std::string, int> in_flight;
};

// The process that was to replace this one has ended. This one continues to admit requests.
struct HotRestartAborted {};

using Event =
    std::variant<EndpointListUpdate, RequestArrived, ResponseStarted, AttemptEnded, RequestCancelled,
                 TimerFired, ProbeEnded, CounterReply, AdminStateChanged, RequestBodyCompleted, StateRestored,
                 PredecessorAttempts, HotRestartAborted, WallClockStepped>;

}  // namespace quota_gateway
