// The requests that the gateway is working on, their attempts and their timers.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "decision/decision_context.hpp"
#include "decision/endpoints/endpoint_pool.hpp"
#include "decision/quota/quota_slices.hpp"
#include "quota_gateway/settings.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway::decision {

// One try of a request at one endpoint.
struct Attempt {
  Endpoint* endpoint = nullptr;
  TimePoint sent_at = 0;  // when the endpoint could begin; with a pending body, when the body was complete
  bool in_flight = true;
  bool may_have_executed = true;
  bool cancelled_as_stalled = false;  // its endpoint had stopped responding
  bool result_recorded = false;       // a response that is still being forwarded has been recorded already
};

enum class RequestState {
  kAwaitingTotal,  // not decided on before the first counter total of its customer is known
  kActive,         // being decided on, or in flight
  kQueued,         // admitted, waits for endpoint capacity
  kFinished        // has its final response; attempts may still be in flight
};

// A client's request from its arrival until its last attempt has ended.
struct Request {
  std::string id;
  const ClassSettings* request_class = nullptr;
  CustomerQuota* customer = nullptr;
  double units = 1;
  double quota_units = 1;       // charged to the slice: units, or attempt-seconds under a concurrency cap
  double expected_latency = 0;  // us
  double priority_weight = 1;   // by expected work; orders the admission queue
  TimePoint arrived_at = 0;
  TimePoint deadline = 0;  // a later response earns nothing
  RequestState state = RequestState::kActive;
  bool is_excess = false;     // forwarded beyond its customer's quota
  bool body_pending = false;  // endpoints have no work yet
  int attempts_in_flight = 0;
  std::vector<Attempt> attempts;

  [[nodiscard]] bool is_finished() const { return state == RequestState::kFinished; }
};

// The last instant at which a response to a request of this class still earns something.
TimePoint useful_deadline(const ClassSettings& request_class, TimePoint client_deadline, TimePoint now);

// What is due for a request at a certain time.
struct RequestTimer {
  enum class Purpose {
    kCheckSlowAttempt,
    kDecideWithoutTotal,  // the counter has not replied in time
    kQueueExpiry          // only causes a batch: the admission queue is dispatched at the end of each
  };
  std::string request_id;
  Purpose purpose = Purpose::kCheckSlowAttempt;
  int attempt = 0;  // of kCheckSlowAttempt
};

// Tokens of the engine's own timers. Timers of requests have the tokens after these.
constexpr std::int64_t kMaintenanceTimer = 0;
constexpr std::int64_t kResubscribeTimer = 1;

// Owns the requests and their timers. References to a request stay valid until it is erased.
class RequestTable {
 public:
  explicit RequestTable(DecisionContext& context) : context_(context) {}

  // Ids are unique among the requests in the table; one that is in it already is not created anew.
  Request& find_or_create(const std::string& id);
  // Null if there is no such request.
  [[nodiscard]] Request* find(const std::string& id);
  // Erases a request that has its final response and no attempt in flight.
  void erase_if_complete(const Request& request);

  // Emits the action for a timer that is due at `at`.
  void schedule(TimePoint at, RequestTimer timer);
  // Removes the timer of this token and returns it, if there is one.
  std::optional<RequestTimer> remove_timer(std::int64_t token);

 private:
  DecisionContext& context_;
  std::unordered_map<std::string, Request> requests_;
  std::unordered_map<std::int64_t, RequestTimer> timers_;
  std::int64_t last_token_ = kResubscribeTimer;
};

}  // namespace quota_gateway::decision
