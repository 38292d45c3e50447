// Admission control: forwards requests within their customer's quota or beyond it, or rejects them.
#pragma once

#include "decision/admission_queue.hpp"
#include "decision/attempt_dispatcher.hpp"
#include "decision/decision_context.hpp"
#include "decision/quota/quota_slices.hpp"
#include "decision/rejection_log.hpp"
#include "decision/request_completion.hpp"
#include "decision/request_state.hpp"
#include "quota_gateway/events.hpp"

namespace quota_gateway::decision {

// The modules that Admission uses.
struct AdmissionDependencies {
  RequestTable& requests;
  QuotaSlices& slices;
  AttemptDispatcher& dispatcher;
  AdmissionQueue& queue;
  RequestCompletion& completion;
  RejectionLog& rejections;
};

// Decides once about each request. A request within the quota is queued if no endpoint has capacity.
class Admission {
 public:
  Admission(DecisionContext& context, const AdmissionDependencies& dependencies)
      : context_(context), dependencies_(dependencies) {}

  // Decides about a new request: immediately, or once the first counter total of its customer is known.
  void on_request(const RequestArrived& event, Request& request);
  // Fails a request that must not be executed again. It is not rejected, which would tell the client that it
  // has had no effect.
  void fail_repeated_request(const RequestArrived& event);
  // Rejects a request whose customer is one too many to keep its state.
  void reject_excess_customer(const RequestArrived& event);
  // Decides about the requests that were waiting for the total in this reply.
  void on_counter_reply(const CounterReply& event);
  // Decides about a request whose total did not arrive in time.
  void on_total_timeout(Request& request);

  // While suspended, all requests are rejected, because another process admits requests from these slices.
  void suspend() { is_suspended_ = true; }
  void resume() { is_suspended_ = false; }
  [[nodiscard]] bool is_suspended() const { return is_suspended_; }

 private:
  // The limits that a request is within.
  struct LimitCheck {
    bool within_slice = false;
    bool within_concurrency_cap = false;
    bool within_hard_limit = false;
    [[nodiscard]] bool within_quota() const { return within_slice && within_concurrency_cap; }
  };

  bool should_await_total(const RequestArrived& event, Request& request);
  void await_total(Request& request);
  void decide(Request& request);
  void admit_or_reject(Request& request);
  [[nodiscard]] LimitCheck check_limits(Request& request);
  [[nodiscard]] bool is_excess_allowed(const PlanSettings& plan);
  void admit(Request& request, bool within_quota);
  void reject(Request& request, const LimitCheck& limits);
  [[nodiscard]] double time_until_admissible(const Request& request, const LimitCheck& limits) const;

  DecisionContext& context_;
  AdmissionDependencies dependencies_;
  bool is_suspended_ = false;
};

}  // namespace quota_gateway::decision
