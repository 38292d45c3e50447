// Records of the requests that a gateway handles and of their attempts.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "network/outgoing_request.hpp"
#include "quota_gateway/time.hpp"
#include "runtime/timers.hpp"

namespace quota_gateway::net {

using RequestId = std::uint64_t;

enum class ResponseState {
  kPending,   // no final response yet
  kStreamed,  // an attempt's response has started to be forwarded in chunks; it may be complete
  kClosed,    // the final response was sent as a whole, or the client has disconnected
};

struct AttemptRecord {
  std::string endpoint;
  TimePoint sent_at = 0;  // for a streamed request body: when its last byte arrived
  bool in_flight = true;
  TimerId timeout_timer;
};

struct RequestRecord {
  RequestId id = 0;
  std::uint64_t client_id = 0;  // ID of the client's connection
  std::string request_class;
  Duration timeout = 0;  // how long the client waits for the final response
  TimePoint client_deadline =
      0;                   // until when the client waits, less the time that a response takes to reach it
  TimePoint deadline = 0;  // for the final response; in a shutdown at most the latest one
  TimerId deadline_timer;
  OutgoingRequest outgoing;
  std::vector<AttemptRecord> attempts;
  int attempts_in_flight = 0;
  bool last_attempt_timed_out = false;
  ResponseState response = ResponseState::kPending;
  int streaming_attempt = -1;  // index of the attempt whose response is forwarded in chunks; -1 if none

  // Returns whether the request needs no further response: its final response has been sent or has started,
  // or the client has disconnected.
  [[nodiscard]] bool is_answered() const { return response != ResponseState::kPending; }
  [[nodiscard]] bool is_streamed() const { return response == ResponseState::kStreamed; }
  // Returns whether the response of the attempt is the one that is forwarded in chunks.
  [[nodiscard]] bool is_streamed_from(int index) const { return is_streamed() && index == streaming_attempt; }
  // Returns whether a response is forwarded in chunks and its attempt has not ended.
  [[nodiscard]] bool is_stream_open() const;
  // Returns whether the body is still being received from the client.
  [[nodiscard]] bool is_uploading() const;
  // Returns whether a new attempt can send the whole body: no attempt has taken a part of it.
  [[nodiscard]] bool is_replayable() const;
  [[nodiscard]] AttemptRecord& attempt(int index) { return attempts.at(std::size_t(index)); }
  // Returns the index of the latest attempt, or -1 if there is none.
  [[nodiscard]] int last_attempt() const { return int(attempts.size()) - 1; }
};

// Owns the records. References to a record stay valid until it is erased.
class RequestTable {
 public:
  // Adds a record with a new ID.
  RequestRecord& create();

  // Both return nullptr if there is no such request. The second overload takes the ID in the form that the
  // decision engine uses.
  [[nodiscard]] RequestRecord* find(RequestId id);
  [[nodiscard]] RequestRecord* find(const std::string& id);

  // Marks a request as finished if it is answered and has no attempt in flight. The record is kept until
  // erase_finished(), because the decision engine may still send an attempt for the request in the batch that
  // reports its end, and the end of that attempt must be reported too.
  void retire_if_finished(const RequestRecord& request);
  // Erases the requests marked as finished that still have no attempt in flight. To be called after each
  // batch.
  void erase_finished();

  // Returns whether any request is unanswered.
  [[nodiscard]] bool has_unanswered() const;
  // Returns the IDs of the unanswered requests.
  [[nodiscard]] std::vector<RequestId> unanswered() const;
  // Returns the IDs of the requests whose response is being forwarded in chunks.
  [[nodiscard]] std::vector<RequestId> open_streams() const;

 private:
  std::unordered_map<RequestId, RequestRecord> records_;
  std::vector<RequestId> finished_;
  RequestId last_id_ = 0;
};

}  // namespace quota_gateway::net
