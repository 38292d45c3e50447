// Counts the requests that got no response from an endpoint, by reason.
#pragma once

#include <map>

#include "decision/decision_context.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway::decision {

enum class RejectionReason {
  kSlice,              // beyond this gateway's slice of the quota
  kConcurrencyCap,     // too many attempts of the customer in flight
  kHardLimit,          // beyond the hard limit, which also applies to excess requests
  kNoCapacity,         // no endpoint had capacity in time
  kAttemptsExhausted,  // sent, but no endpoint responded
  kRepeatedRequest,    // its ID has been seen before, and it may not be repeated
  kCustomerLimit       // the state of too many customers is kept already
};

// Logs the counts since the last report in one line.
class RejectionLog {
 public:
  explicit RejectionLog(DecisionContext& context) : context_(context) {}

  void count(RejectionReason reason) { ++counts_[reason]; }
  // Writes the line if there are counts to report and the last report is at least kLogInterval old.
  void report_if_due();

 private:
  DecisionContext& context_;
  std::map<RejectionReason, int> counts_;
  TimePoint reported_at_ = 0;
};

}  // namespace quota_gateway::decision
