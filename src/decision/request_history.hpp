// Remembers which requests may have been executed, so that none is executed again when its ID comes again.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

#include "decision/decision_context.hpp"
#include "quota_gateway/events.hpp"
#include "quota_gateway/settings.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway::decision {

// Identifies a request by its client's ID. 0: the request is not remembered.
using ClientRequestKey = std::uint64_t;

// Holds the requests in progress, and those that may have been executed for a while after their end. Requests
// of idempotent classes, and those without a client's ID, are not remembered.
class RequestHistory {
 public:
  explicit RequestHistory(DecisionContext& context) : context_(context) {}

  // Returns whether the request may be admitted: no other request with its ID is in progress or may have been
  // executed, or endpoints recognize its idempotency key as that of the other one.
  [[nodiscard]] bool is_admissible(const RequestArrived& request, const ClassSettings& request_class) const;
  // Remembers a request that is in progress from now on. Returns its key for on_ended().
  ClientRequestKey on_started(const RequestArrived& request, const ClassSettings& request_class);
  // The request has ended. It is forgotten if it was certainly not executed.
  void on_ended(ClientRequestKey key, bool may_have_executed);

  // Returns the remembered requests, for the successor process.
  [[nodiscard]] std::vector<ClientRequestKey> save() const;
  // Remembers the requests of the predecessor process.
  void restore(const std::vector<ClientRequestKey>& keys);

  [[nodiscard]] std::size_t size() const { return entries_.size(); }

 private:
  using EndedList = std::list<ClientRequestKey>;
  struct Entry {
    int in_progress = 0;
    bool may_have_executed = false;
    TimePoint started_at = 0;                // of the first request with this ID
    std::uint64_t idempotency_key_hash = 0;  // 0: unknown
    TimePoint ended_at = 0;                  // of the last one
    EndedList::iterator position;            // in `ended_`; valid only if `is_listed`
    bool is_listed = false;
  };
  using Entries = std::unordered_map<ClientRequestKey, Entry>;

  void list_as_ended(Entries::iterator entry);
  void forget_oldest();

  DecisionContext& context_;
  Entries entries_;
  EndedList ended_;  // the request that ended first is first
};

}  // namespace quota_gateway::decision
