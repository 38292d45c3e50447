// The requests in progress, their attempts and their timers.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "decision/decision_context.hpp"
#include "decision/endpoints/endpoint_pool.hpp"
#include "decision/quota/quota_slices.hpp"
#include "decision/request_history.hpp"
#include "quota_gateway/settings.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway::decision {

// One attempt of a request, at one endpoint.
struct Attempt {
  Endpoint* endpoint = nullptr;
  TimePoint sent_at = 0;  // or, if the body was pending, when the body was complete
  bool in_flight = true;
  bool may_have_executed = true;
  bool cancelled_as_stalled = false;  // its endpoint had stopped responding
  bool is_responding = false;         // its response has begun to arrive
  bool result_recorded = false;       // the response was recorded when it started
};

enum class RequestState {
  kAwaitingTotal,  // waits for the first counter total of its customer
  kActive,         // in admission, or has attempts in flight
  kQueued,         // admitted; waits for endpoint capacity
  kFinished        // has its final response; attempts may still be in flight
};

// A client's request from its arrival until its last attempt has ended.
struct Request {
  std::string id;
  ClientRequestKey history_key = 0;
  const ClassSettings* request_class = nullptr;
  CustomerQuota* customer = nullptr;
  double units = 1;
  double quota_units = 1;       // charged to the slice: units or, if the plan has no rate, expected seconds
  double expected_latency = 0;  // us
  double priority_weight = 1;   // per us of expected latency; orders the admission queue
  TimePoint arrived_at = 0;
  TimePoint deadline = 0;  // a later response earns nothing
  RequestState state = RequestState::kActive;
  bool is_excess = false;     // forwarded beyond its customer's quota
  bool body_pending = false;  // incomplete, so endpoints cannot work on it yet
  // The body is forwarded as it arrives and not kept, so no two attempts can both send it.
  bool is_body_streamed = false;
  int attempts_in_flight = 0;
  std::vector<Attempt> attempts;

  // Returns whether any attempt may have executed the request.
  [[nodiscard]] bool may_have_executed() const;
  [[nodiscard]] bool is_finished() const { return state == RequestState::kFinished; }
};

// Returns the latest time at which a response to a request of this class still earns any weight.
TimePoint useful_deadline(const ClassSettings& request_class, TimePoint client_deadline, TimePoint now);

// A timer of one request.
struct RequestTimer {
  enum class Purpose {
    kCheckSlowAttempt,
    kDecideWithoutTotal,  // the counter has not replied in time
    kQueueDeadline        // only triggers a batch: the admission queue is dispatched after each one
  };
  std::string request_id;
  Purpose purpose = Purpose::kCheckSlowAttempt;
  int attempt = 0;  // index; only for kCheckSlowAttempt
};

// Tokens of the engine's own timers. Request timers have higher tokens.
constexpr std::int64_t kMaintenanceTimer = 0;
constexpr std::int64_t kResubscribeTimer = 1;

// Owns the requests and their timers. References to a request stay valid until it is erased.
class RequestTable {
 public:
  RequestTable(DecisionContext& context, RequestHistory& history) : context_(context), history_(history) {}

  // Returns the request with this ID, which is created if it is not in the table.
  Request& find_or_create(const std::string& id);
  // Returns the request, or null if there is none with this ID.
  [[nodiscard]] Request* find(const std::string& id);
  // Erases a request that has its final response and no attempt in flight.
  void erase_if_complete(const Request& request);

  // Schedules a timer that is due at `at`.
  void schedule(TimePoint at, RequestTimer timer);
  // Removes the timer with this token and returns it; std::nullopt if there is none.
  std::optional<RequestTimer> remove_timer(std::int64_t token);

 private:
  DecisionContext& context_;
  RequestHistory& history_;
  std::unordered_map<std::string, Request> requests_;
  std::unordered_map<std::int64_t, RequestTimer> timers_;
  std::int64_t last_token_ = kResubscribeTimer;
};

}  // namespace quota_gateway::decision
