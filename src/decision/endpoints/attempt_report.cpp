#include "decision/endpoints/attempt_report.hpp"

namespace quota_gateway::decision {

bool AttemptReport::is_processed() const { return outcome == Outcome::kOk || outcome == Outcome::kError; }

bool AttemptReport::is_failure() const {
  if (stalled) return true;
  switch (outcome) {
    case Outcome::kError:
    case Outcome::kTimeout:
    case Outcome::kConnectFailed:
    case Outcome::kReset:
      return true;
    case Outcome::kOk:
    case Outcome::kOverloaded:
    case Outcome::kCancelled:
    case Outcome::kNotSent:
      return false;
  }
  return false;
}

bool AttemptReport::has_load_dependent_latency() const {
  return outcome == Outcome::kOk || outcome == Outcome::kTimeout || stalled;
}

}  // namespace quota_gateway::decision
