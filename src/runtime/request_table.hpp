// The requests of one gateway and their attempts.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "network/outgoing_request.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

using RequestId = std::uint64_t;

enum class ResponseState {
  kPending,   // no final response yet
  kStreamed,  // the response of an attempt is forwarded in chunks; it has started and may be complete
  kClosed,    // the final response was sent at once, or the client has disconnected
};

struct AttemptRecord {
  std::string endpoint;
  TimePoint sent_at = 0;  // for an uploaded body: when its last byte came
  bool in_flight = true;
};

struct RequestRecord {
  RequestId id = 0;
  std::uint64_t client = 0;
  std::string request_class;
  Duration timeout = 0;    // how long the client waits
  TimePoint deadline = 0;  // of the final response
  OutgoingRequest outgoing;
  std::vector<AttemptRecord> attempts;
  int attempts_in_flight = 0;
  bool last_attempt_timed_out = false;
  ResponseState response = ResponseState::kPending;

  [[nodiscard]] bool is_answered() const { return response != ResponseState::kPending; }
  [[nodiscard]] bool is_streamed() const { return response == ResponseState::kStreamed; }
  // Whether the body is still being received from the client.
  [[nodiscard]] bool is_uploading() const;
  [[nodiscard]] AttemptRecord& attempt(int index) { return attempts.at(std::size_t(index)); }
  [[nodiscard]] int last_attempt() const { return int(attempts.size()) - 1; }
};

// Owns the records. A record stays in place until it is erased.
class RequestTable {
 public:
  // Adds a record under the next identifier.
  RequestRecord& create();

  // Both return null if there is no such request. The second form takes the identifier that the decision
  // engine uses.
  [[nodiscard]] RequestRecord* find(RequestId id);
  [[nodiscard]] RequestRecord* find(const std::string& id);

  // Marks a request as finished if it has been answered and has no attempt in flight. It is not erased at
  // once, as the decision engine may still send an attempt for it in the batch that reports its end, and the
  // end of that attempt must be reported too.
  void retire_if_finished(const RequestRecord& request);
  // Erases the finished requests, once a batch has been processed.
  void erase_finished();

  [[nodiscard]] bool has_unanswered() const;
  // Identifiers of the requests without a final response whose deadline is after `time`.
  [[nodiscard]] std::vector<RequestId> unanswered_after(TimePoint time) const;

 private:
  std::unordered_map<RequestId, RequestRecord> records_;
  std::vector<RequestId> finished_;
  RequestId last_id_ = 0;
};

}  // namespace quota_gateway::net
