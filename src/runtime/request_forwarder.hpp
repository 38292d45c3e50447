// The way of a request from its arrival to its one final response.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "client/client_listener.hpp"
#include "quota_gateway/actions.hpp"
#include "runtime/decision_loop.hpp"
#include "runtime/metrics.hpp"
#include "runtime/request_table.hpp"
#include "runtime/timers.hpp"
#include "upstream/upstream.hpp"

namespace quota_gateway::net {

// Reports to the decision engine what happens to requests and their attempts, and carries out its actions on
// them. Sees to the deadlines: each request gets exactly one final response in time. Owns the request table.
class RequestForwarder {
 public:
  // The parts of the gateway between which requests are forwarded. They are used from the first event on and
  // may be constructed after the forwarder.
  struct Parts {
    boost::asio::io_context& io;
    Timers& timers;
    DecisionLoop& decision_loop;
    ClientListener& client_listener;
    Upstream& upstream;
    Metrics& metrics;
  };

  RequestForwarder(const Parts& parts, const Settings& settings);

  // Events of clients. An instant `last_byte_pending_since` is one since which the last bytes of the body may
  // have been on their way.
  RequestId on_request(std::uint64_t client, ClientRequest request);
  void on_body_complete(RequestId id, TimePoint last_byte_pending_since);
  void on_body_lagging(RequestId id, TimePoint last_byte_pending_since);
  void on_client_disconnected(RequestId id);
  void on_writable(RequestId id);

  // Events of attempts.
  void on_response_started(AttemptKey key, const AttemptResult& head, std::optional<std::uint64_t> length);
  void on_response_chunk(AttemptKey key, const std::string& bytes);
  void on_attempt_ended(AttemptKey key, AttemptResult result);

  // Actions of the decision engine. Those on an unknown request have no effect.
  void send_attempt(const SendAttempt& action);
  void cancel_attempt(const CancelAttempt& action);
  void reject_request(const RejectRequest& action);
  void fail_request(const FailRequest& action);
  void on_batch_processed() { requests_.erase_finished(); }

  // From now on no request has a deadline after `time`.
  void limit_deadlines(TimePoint time);

  [[nodiscard]] bool has_unanswered_requests() const { return requests_.has_unanswered(); }
  // Requests without a complete final response whose client is still connected.
  [[nodiscard]] std::size_t requests_in_progress() const { return requests_in_progress_; }

 private:
  [[nodiscard]] TimePoint deadline_of(const RequestRecord& request, TimePoint received_at) const;
  void start_deadline(RequestRecord& request, TimePoint received_at);
  void on_deadline(RequestId id);
  void schedule_attempt_timeout(AttemptKey key, TimePoint time);
  void on_attempt_timeout(AttemptKey key);
  [[nodiscard]] bool is_attempt_allowed(const RequestRecord& request) const;
  void cancel_unwritten_attempts(const RequestRecord& request, Outcome outcome);
  void cancel_response(const RequestRecord& request);
  void end_response(RequestRecord& request, AttemptResult& result);
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
  std::optional<TimePoint> latest_deadline_;  // of all requests; none unless the gateway shuts down
};

}  // namespace quota_gateway::net
