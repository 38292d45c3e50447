// Outlier ejection: an endpoint whose attempts fail several times in a row gets no requests for a while.
// After that it is half open: one attempt at a time until one succeeds.
#pragma once

#include <vector>

#include "decision/endpoints/endpoint.hpp"

namespace quota_gateway::decision {

struct AttemptReport;

// Counts failures and keeps the list of ejected endpoints.
class OutlierEjection {
 public:
  // Counts the result of an attempt. Returns true if the endpoint is ejected for it.
  bool on_attempt_ended(TimePoint now, Endpoint& endpoint, const AttemptReport& report);

  // Takes an endpoint over whose state has been restored from a hot restart.
  void restore(Endpoint& endpoint);

  // Removes the endpoints whose ejection is over from the list and returns them.
  std::vector<Endpoint*> take_expired(TimePoint now);

  // The endpoints that were ejected and that take_expired() has not returned since, in order of ejection.
  [[nodiscard]] const std::vector<Endpoint*>& ejected() const { return ejected_; }

  // Counts those of them that an operator or the list does not exclude anyway.
  [[nodiscard]] int count_available_ejected() const;

 private:
  std::vector<Endpoint*> ejected_;
};

// True if so large a part of the fleet is ejected that the fault is likely the network's or this gateway's
// own.
bool is_ejected_fraction_exceeded(const FleetStatus& fleet);

}  // namespace quota_gateway::decision
