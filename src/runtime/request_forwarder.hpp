// Forwards requests to endpoints and their final responses to clients.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "client/client_listener.hpp"
#include "network/reason_log.hpp"
#include "progress/request_deadlines.hpp"
#include "quota_gateway/actions.hpp"
#include "runtime/decision_loop.hpp"
#include "runtime/metrics.hpp"
#include "runtime/request_table.hpp"
#include "runtime/timers.hpp"
#include "upstream/upstream.hpp"

namespace quota_gateway::net {

// Reports the events of requests and their attempts to the decision engine and executes the engine's actions
// on them. Enforces the deadlines: each request gets exactly one final response in time. Owns the request
// table.
class RequestForwarder {
 public:
  // Modules that the forwarder uses. It does not use them before the first event, so they may be constructed
  // after it.
  struct Dependencies {
    boost::asio::io_context& io;
    Timers& timers;
    DecisionLoop& decision_loop;
    ClientListener& client_listener;
    Upstream& upstream;
    Metrics& metrics;
  };

  RequestForwarder(const Dependencies& dependencies, const Settings& settings);

  // Events of clients. `last_byte_pending_since` is the latest time at which the last byte of the body was
  // certainly not sent yet; the client's timeout is counted from then.
  RequestId on_request(std::uint64_t client_id, ClientRequest request);
  void on_body_complete(RequestId id, TimePoint last_byte_pending_since);
  void on_body_lagging(RequestId id, TimePoint last_byte_pending_since);
  void on_client_disconnected(RequestId id);
  void on_writable(RequestId id);

  // Events of attempts.
  void on_response_begun(AttemptKey key);
  void on_response_started(AttemptKey key, const AttemptResult& head, std::optional<std::uint64_t> length);
  void on_response_chunk(AttemptKey key, const std::string& bytes);
  void on_attempt_ended(AttemptKey key, AttemptResult result);

  // Actions of the decision engine. Actions on unknown requests are ignored.
  void send_attempt(const SendAttempt& action);
  void cancel_attempt(const CancelAttempt& action);
  void reject_request(const RejectRequest& action);
  void fail_request(const FailRequest& action);
  // Called when all actions of a batch have been executed.
  void on_batch_processed();

  // Limits the deadlines of all present and future requests, see RequestDeadlines.
  void begin_shutdown(TimePoint latest_deadline, TimePoint latest_client_deadline);

  [[nodiscard]] bool has_unanswered_requests() const { return requests_.has_unanswered(); }
  // Returns the number of requests without a complete final response whose client is still connected.
  [[nodiscard]] std::size_t requests_in_progress() const { return requests_in_progress_; }

 private:
  void set_deadline(RequestRecord& request, TimePoint received_at);
  void schedule_deadline(RequestRecord& request, TimePoint time);
  void on_latest_deadline();
  void start_response_if_arriving(RequestRecord& request);
  void mark_answered(RequestRecord& request, ResponseState response);
  void on_deadline(RequestId id);
  [[nodiscard]] TimePoint response_decided_by(const RequestRecord& request) const;
  void fail_overdue(RequestRecord& request);
  void schedule_attempt_timeout(RequestRecord& request, int attempt, TimePoint time);
  void on_attempt_timeout(AttemptKey key);
  void log_timed_out_response(const RequestRecord& request, AttemptKey key) const;
  [[nodiscard]] bool is_attempt_allowed(const RequestRecord& request) const;
  void cancel_unwritten_attempts(const RequestRecord& request, Outcome outcome);
  void cancel_response(const RequestRecord& request);
  void end_response(RequestRecord& request, int attempt, AttemptResult& result);
  void respond(RequestRecord& request, const Response& response);
  void fail(RequestRecord& request);
  void count_response(const RequestRecord& request, int status);

  boost::asio::io_context& io_;
  Timers& timers_;
  DecisionLoop& decision_loop_;
  ClientListener& client_listener_;
  Upstream& upstream_;
  Metrics& metrics_;
  const int max_attempts_;
  const bool allow_hedging_;
  RequestTable requests_;
  std::size_t requests_in_progress_ = 0;
  ReasonLog ended_attempts_{"request forwarder: attempts without a response by reason"};
  RequestDeadlines deadlines_;
};

}  // namespace quota_gateway::net
