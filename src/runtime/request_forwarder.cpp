#include "runtime/request_forwarder.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <cctype>
#include <iostream>
#include <string_view>
#include <utility>

namespace quota_gateway::net {
namespace {

// The decision engine gives the final response by the deadline. If it has not, the forwarder does so after
// this delay.
constexpr Duration kFallbackResponseDelay = 10'000;  // us
// Deadline of a request while its body is uploaded: the client's timeout starts only with the last byte of
// the body, and the client listener ends uploads that stall.
constexpr Duration kUploadTimeout = 3'600'000'000;  // us

// Returns the client's ID as it may stand in a log line.
std::string printable_id(const std::string& id) {
  constexpr std::size_t kMaxLoggedSize = 64;  // bytes
  std::string printable = id.substr(0, kMaxLoggedSize);
  std::replace_if(
      printable.begin(), printable.end(), [](unsigned char c) { return std::isgraph(c) == 0; }, '?');
  return printable;
}

std::string_view describe(Outcome outcome) {
  switch (outcome) {
    case Outcome::kOk:
      return "served";
    case Outcome::kError:
      return "error response";
    case Outcome::kOverloaded:
      return "turned away";
    case Outcome::kTimeout:
      return "timeout";
    case Outcome::kConnectFailed:
      return "connection not established";
    case Outcome::kReset:
      return "connection lost";
    case Outcome::kCancelled:
      return "cancelled";
    case Outcome::kNotSent:
      return "not sent";
  }
  return "unknown";
}

// How often the progress of a response is looked at that goes on after its deadline.
constexpr Duration kProgressCheckInterval = 100'000;  // us

constexpr int kStatusOk = 200;
constexpr int kStatusTooManyRequests = 429;
constexpr int kStatusBadGateway = 502;
constexpr int kStatusServiceUnavailable = 503;
constexpr int kStatusGatewayTimeout = 504;

}  // namespace

RequestForwarder::RequestForwarder(const Dependencies& dependencies, const Settings& settings)
    : io_(dependencies.io),
      timers_(dependencies.timers),
      decision_loop_(dependencies.decision_loop),
      client_listener_(dependencies.client_listener),
      upstream_(dependencies.upstream),
      metrics_(dependencies.metrics),
      max_attempts_(settings.max_attempts),
      allow_hedging_(settings.allow_hedging) {}

void RequestForwarder::on_batch_processed() {
  requests_.erase_finished();
  ended_attempts_.report_if_due(timers_.now());
}

// ---- Clients --------------------------------------------------------------------------------------------
RequestId RequestForwarder::on_request(std::uint64_t client_id, ClientRequest client_request) {
  RequestRecord& request = requests_.create();
  request.client_id = client_id;
  request.timeout = client_request.timeout;
  request.outgoing = std::move(client_request.outgoing);
  request.request_class = client_request.arrived.request_class;
  ++requests_in_progress_;
  const bool body_pending = request.outgoing.upload != nullptr;
  if (body_pending) {
    request.client_deadline = request.deadline = timers_.now() + kUploadTimeout;
  } else {
    set_deadline(request, client_request.received_at);
    schedule_deadline(request, request.deadline);
  }
  RequestArrived arrived = std::move(client_request.arrived);
  arrived.client_request_id = request.outgoing.trace_id;
  arrived.idempotency_key = request.outgoing.idempotency_key;
  arrived.id = std::to_string(request.id);  // A client may reuse its own request ID.
  arrived.body_pending = body_pending;
  arrived.deadline = request.deadline;
  decision_loop_.push(std::move(arrived));
  return request.id;
}

void RequestForwarder::on_body_complete(RequestId id, TimePoint last_byte_pending_since) {
  RequestRecord* request = requests_.find(id);
  if (request == nullptr || request->is_answered()) return;
  set_deadline(*request, last_byte_pending_since);
  schedule_deadline(*request, request->deadline);
  for (int index = 0; index <= request->last_attempt(); ++index) {
    AttemptRecord& attempt = request->attempt(index);
    if (!attempt.in_flight) continue;
    attempt.sent_at = timers_.now();  // The endpoint can process the request only from now on.
    schedule_attempt_timeout(*request, index, request->deadline);
  }
  decision_loop_.push(RequestBodyCompleted{std::to_string(id), request->deadline});
}

void RequestForwarder::on_body_lagging(RequestId id, TimePoint last_byte_pending_since) {
  RequestRecord* request = requests_.find(id);
  if (request == nullptr || request->is_answered()) return;
  const TimePoint client_deadline =
      RequestDeadlines::client_deadline(last_byte_pending_since, request->timeout);
  if (timers_.now() < deadlines_.request_deadline(client_deadline)) return;
  start_response_if_arriving(*request);
  if (!request->is_answered()) fail_overdue(*request);
}

void RequestForwarder::on_client_disconnected(RequestId id) {
  RequestRecord* request = requests_.find(id);
  if (request == nullptr) return;
  const bool is_streaming = request->is_stream_open();
  if (request->is_answered() && !is_streaming) return;
  decision_loop_.push(RequestCancelled{std::to_string(id)});
  if (is_streaming) {
    cancel_response(*request);
  } else {
    mark_answered(*request, ResponseState::kClosed);
    --requests_in_progress_;
  }
  cancel_unwritten_attempts(*request, Outcome::kNotSent);
  requests_.retire_if_finished(*request);
}

void RequestForwarder::on_writable(RequestId id) {
  const RequestRecord* request = requests_.find(id);
  if (request != nullptr && request->is_streamed())
    upstream_.resume_reading({id, request->streaming_attempt});
}

// ---- Deadlines ------------------------------------------------------------------------------------------
void RequestForwarder::set_deadline(RequestRecord& request, TimePoint received_at) {
  request.client_deadline = RequestDeadlines::client_deadline(received_at, request.timeout);
  request.deadline = deadlines_.request_deadline(request.client_deadline);
}

void RequestForwarder::schedule_deadline(RequestRecord& request, TimePoint time) {
  timers_.cancel(request.deadline_timer);
  request.deadline_timer =
      timers_.schedule_at(time + kFallbackResponseDelay, [this, id = request.id] { on_deadline(id); });
}

void RequestForwarder::mark_answered(RequestRecord& request, ResponseState response) {
  request.response = response;
  timers_.cancel(request.deadline_timer);
}

void RequestForwarder::on_deadline(RequestId id) {
  RequestRecord* request = requests_.find(id);
  if (request == nullptr || request->is_answered()) return;
  const TimePoint decided_by = response_decided_by(*request);
  if (timers_.now() < decided_by) return schedule_deadline(*request, decided_by);
  fail_overdue(*request);
}

// Returns when the last response in flight is decided that may still turn out to be long, or 0 if there is
// none.
TimePoint RequestForwarder::response_decided_by(const RequestRecord& request) const {
  TimePoint decided_by = 0;
  for (int index = 0; index <= request.last_attempt(); ++index) {
    const auto time = upstream_.decides_by({request.id, index}, request.deadline);
    decided_by = std::max(decided_by, time.value_or(0));
  }
  return decided_by;
}

void RequestForwarder::fail_overdue(RequestRecord& request) {
  std::cerr << "request forwarder: request " << request.id << " (" << printable_id(request.outgoing.trace_id)
            << ") failed: no final response by its deadline\n";
  request.last_attempt_timed_out = true;
  decision_loop_.push(RequestCancelled{std::to_string(request.id)});
  fail(request);
  // Stops waiting for the rest of a body that no endpoint has received completely.
  cancel_unwritten_attempts(request, Outcome::kConnectFailed);
}

void RequestForwarder::begin_shutdown(TimePoint latest_deadline, TimePoint latest_client_deadline) {
  deadlines_.begin_shutdown(latest_deadline, latest_client_deadline);
  timers_.schedule_at(latest_deadline, [this] { on_latest_deadline(); });
}

void RequestForwarder::on_latest_deadline() {
  for (const RequestId id : requests_.unanswered()) {
    RequestRecord& request = *requests_.find(id);
    start_response_if_arriving(request);
    if (!request.is_answered()) fail_overdue(request);
  }
  for (const RequestId id : requests_.open_streams())
    on_attempt_timeout({id, requests_.find(id)->streaming_attempt});
}

// Decides at once whether a response of unknown length is begun.
void RequestForwarder::start_response_if_arriving(RequestRecord& request) {
  for (int index = 0; index <= request.last_attempt() && !request.is_answered(); ++index)
    if (request.attempt(index).in_flight) upstream_.start_streaming_if_arriving({request.id, index});
}

void RequestForwarder::schedule_attempt_timeout(RequestRecord& request, int attempt, TimePoint time) {
  TimerId& timer = request.attempt(attempt).timeout_timer;
  timers_.cancel(timer);
  timer =
      timers_.schedule_at(time, [this, key = AttemptKey{request.id, attempt}] { on_attempt_timeout(key); });
}

// A response that is forwarded in chunks may continue after its deadline while its endpoint makes progress.
// One that may still turn out to be long is waited for a little longer than the deadline.
void RequestForwarder::on_attempt_timeout(AttemptKey key) {
  RequestRecord* request = requests_.find(key.request_id);
  if (request == nullptr || !request->attempt(key.attempt).in_flight) return;
  const TimePoint now = timers_.now();
  if (!request->is_answered()) {
    upstream_.start_streaming_if_long(key);
    const TimePoint decided_by = upstream_.decides_by(key, request->deadline).value_or(0);
    if (now < decided_by) return schedule_attempt_timeout(*request, key.attempt, decided_by);
  }
  if (request->is_streamed_from(key.attempt)) {
    const TimePoint ends_at =
        upstream_.response_ends_at(key, deadlines_.response_deadlines(request->client_deadline));
    const TimePoint next_check_at = std::min(ends_at, now + kProgressCheckInterval);
    if (now < ends_at) return schedule_attempt_timeout(*request, key.attempt, next_check_at);
    log_timed_out_response(*request, key);
  }
  const bool may_be_written = upstream_.cancel(key);
  on_attempt_ended(key,
                   result_without_response(may_be_written ? Outcome::kTimeout : Outcome::kConnectFailed));
}

void RequestForwarder::log_timed_out_response(const RequestRecord& request, AttemptKey key) const {
  constexpr Duration kMicrosecondsPerMillisecond = 1000;
  const TimePoint now = timers_.now();
  const EndpointProgress progress = upstream_.response_progress(key);
  const std::string length = progress.length() ? std::to_string(*progress.length()) : "an unknown number of";
  std::cerr << "request forwarder: response to request " << request.id << " ("
            << printable_id(request.outgoing.trace_id) << ") ended "
            << (now - request.client_deadline) / kMicrosecondsPerMillisecond
            << " ms after its deadline: " << request.attempts.at(std::size_t(key.attempt)).endpoint
            << " has sent " << progress.received_bytes() << " of " << length << " bytes, and nothing for "
            << (now - progress.received_at()) / kMicrosecondsPerMillisecond << " ms\n";
}

// ---- Attempts -------------------------------------------------------------------------------------------
void RequestForwarder::on_response_begun(AttemptKey key) {
  decision_loop_.push(ResponseBegun{std::to_string(key.request_id), key.attempt});
}

void RequestForwarder::on_response_started(AttemptKey key, const AttemptResult& head,
                                           std::optional<std::uint64_t> length) {
  RequestRecord* request = requests_.find(key.request_id);
  if (request == nullptr || request->is_answered()) return;
  const AttemptRecord& attempt = request->attempt(key.attempt);
  mark_answered(*request, ResponseState::kStreamed);
  request->streaming_attempt = key.attempt;
  // An endpoint may respond before it has received the complete body, but not before the client has sent it.
  if (request->is_uploading()) {
    set_deadline(*request, client_listener_.last_byte_pending_since(request->client_id));
    schedule_attempt_timeout(*request, key.attempt, request->deadline);
  }
  decision_loop_.push(ResponseStarted{.id = std::to_string(key.request_id),
                                      .attempt = key.attempt,
                                      .endpoint = attempt.endpoint,
                                      .duration = timers_.now() - attempt.sent_at,
                                      .billed_units = head.billed_units,
                                      .load = head.load});
  client_listener_.start_response(request->client_id, length);
  cancel_unwritten_attempts(*request, Outcome::kNotSent);
}

void RequestForwarder::on_response_chunk(AttemptKey key, const std::string& bytes) {
  const RequestRecord* request = requests_.find(key.request_id);
  if (request != nullptr && request->is_streamed_from(key.attempt)) {
    client_listener_.write_chunk(request->client_id, bytes);
  } else {
    // The request was answered by another attempt. The rest of this response is read and dropped.
    upstream_.resume_reading(key);
  }
}

void RequestForwarder::on_attempt_ended(AttemptKey key, AttemptResult result) {
  RequestRecord* request = requests_.find(key.request_id);
  if (request == nullptr) return;
  AttemptRecord& attempt = request->attempt(key.attempt);
  if (!attempt.in_flight) return;
  attempt.in_flight = false;
  timers_.cancel(attempt.timeout_timer);
  --request->attempts_in_flight;
  request->last_attempt_timed_out = result.outcome == Outcome::kTimeout;
  if (result.outcome != Outcome::kOk) ended_attempts_.count(describe(result.outcome));
  AttemptEnded ended;
  ended.id = std::to_string(key.request_id);
  ended.attempt = key.attempt;
  ended.endpoint = attempt.endpoint;
  ended.outcome = result.outcome;
  ended.duration = timers_.now() - attempt.sent_at;
  ended.load = result.load;
  ended.billed_units = result.billed_units;
  ended.replayable = request->is_replayable();
  end_response(*request, key.attempt, result);
  ended.request_finished = request->is_answered();
  decision_loop_.push(std::move(ended));
  // Attempts that no endpoint can have started are cancelled even if the settings do not allow cancelling.
  if (request->is_answered()) cancel_unwritten_attempts(*request, Outcome::kNotSent);
  requests_.retire_if_finished(*request);
}

// Sends, completes or aborts the client's response, according to the result of the attempt that has ended. A
// failed attempt without a streamed response leaves the request pending. An attempt has no effect on a
// response that is streamed from another one.
void RequestForwarder::end_response(RequestRecord& request, int attempt, AttemptResult& result) {
  const bool is_complete = result.outcome == Outcome::kOk;
  if (!request.is_streamed()) {
    if (!is_complete) return;
    Response response;
    response.status = kStatusOk;
    response.body = std::move(result.body);
    respond(request, response);
    return;
  }
  if (!request.is_streamed_from(attempt)) return;
  count_response(request, is_complete ? kStatusOk : kStatusBadGateway);
  if (is_complete) {
    client_listener_.finish_response(request.client_id);
    return;
  }
  const bool has_timed_out = result.outcome == Outcome::kTimeout;
  const bool has_client_left = result.outcome == Outcome::kCancelled;
  if (!has_client_left)
    metrics_.count_broken_response(has_timed_out ? BrokenResponse::kTimedOut : BrokenResponse::kByEndpoint);
  client_listener_.abort_response(
      request.client_id, has_timed_out ? CloseReason::kResponseTimedOut : CloseReason::kResponseBrokeOff);
}

void RequestForwarder::cancel_response(const RequestRecord& request) {
  const AttemptKey key{request.id, request.streaming_attempt};
  upstream_.cancel(key);
  on_attempt_ended(key, result_without_response(Outcome::kCancelled));
}

void RequestForwarder::cancel_unwritten_attempts(const RequestRecord& request, Outcome outcome) {
  for (int index = 0; index <= request.last_attempt(); ++index) {
    const AttemptKey key{request.id, index};
    if (upstream_.cancel_unless_written(key)) on_attempt_ended(key, result_without_response(outcome));
  }
}

// ---- Actions --------------------------------------------------------------------------------------------
void RequestForwarder::send_attempt(const SendAttempt& action) {
  RequestRecord* request = requests_.find(action.id);
  if (request == nullptr) return;
  const TimePoint now = timers_.now();
  request->attempts.push_back(
      {.endpoint = action.endpoint, .sent_at = now, .in_flight = true, .timeout_timer = {}});
  ++request->attempts_in_flight;
  const AttemptKey key{request->id, request->last_attempt()};
  const TimePoint deadline =
      action.timeout == 0 ? request->deadline : std::min(request->deadline, now + action.timeout);
  if (deadline <= now || !is_attempt_allowed(*request)) {
    boost::asio::post(io_,
                      [this, key] { on_attempt_ended(key, result_without_response(Outcome::kNotSent)); });
    return;
  }
  const bool is_uploading = request->is_uploading();
  if (!is_uploading) schedule_attempt_timeout(*request, key.attempt, deadline);
  upstream_.send(key, action.endpoint, request->outgoing, is_uploading ? now + request->timeout : deadline);
}

// Returns whether the latest attempt may be sent. The client may have disconnected since the batch of events.
// A streamed body is sent by one attempt at a time, and only from its first byte.
bool RequestForwarder::is_attempt_allowed(const RequestRecord& request) const {
  if (request.is_answered() || !request.is_replayable()) return false;
  if (request.attempts_in_flight > 1 && request.outgoing.upload) return false;
  if (request.attempts_in_flight > 1 && !allow_hedging_) return false;
  return int(request.attempts.size()) <= max_attempts_;
}

void RequestForwarder::cancel_attempt(const CancelAttempt& action) {
  RequestRecord* request = requests_.find(action.id);
  if (request == nullptr || action.attempt < 0 || action.attempt > request->last_attempt()) return;
  if (!request->attempt(action.attempt).in_flight) return;
  const AttemptKey key{request->id, action.attempt};
  const bool may_be_written = upstream_.cancel(key);
  on_attempt_ended(key, result_without_response(may_be_written ? Outcome::kCancelled : Outcome::kNotSent));
}

void RequestForwarder::reject_request(const RejectRequest& action) {
  RequestRecord* request = requests_.find(action.id);
  if (request == nullptr) return;
  Response response;
  response.status = request->attempts.empty() ? kStatusTooManyRequests : kStatusServiceUnavailable;
  response.retry_after = action.retry_after;
  respond(*request, response);
  requests_.retire_if_finished(*request);
}

void RequestForwarder::fail_request(const FailRequest& action) {
  RequestRecord* request = requests_.find(action.id);
  if (request != nullptr) fail(*request);
}

void RequestForwarder::fail(RequestRecord& request) {
  Response response;
  response.status = request.last_attempt_timed_out ? kStatusGatewayTimeout : kStatusBadGateway;
  respond(request, response);
  requests_.retire_if_finished(request);
}

// Sends the final response unless the request is already answered.
void RequestForwarder::respond(RequestRecord& request, const Response& response) {
  if (request.is_answered()) return;
  mark_answered(request, ResponseState::kClosed);
  count_response(request, response.status);
  client_listener_.respond(request.client_id, response);
}

void RequestForwarder::count_response(const RequestRecord& request, int status) {
  --requests_in_progress_;
  metrics_.count_response(request.request_class, status);
}

}  // namespace quota_gateway::net
