// Outlier ejection: an endpoint receives no requests for a few seconds after several consecutive failures.
// Afterwards it is half open: it receives one attempt at a time until one succeeds.
#pragma once

#include <vector>

#include "decision/endpoints/endpoint.hpp"

namespace quota_gateway::decision {

struct AttemptReport;

// Counts failures and keeps the list of ejected endpoints.
class OutlierEjection {
 public:
  // Records the result of an attempt. Returns true if it causes the ejection of the endpoint.
  bool on_attempt_ended(TimePoint now, Endpoint& endpoint, const AttemptReport& report);

  // Adds an endpoint to the list if its state, restored by a hot restart, says that it was ejected.
  void restore(Endpoint& endpoint);

  // Removes the endpoints whose ejection has ended from the list and returns them.
  std::vector<Endpoint*> take_expired(TimePoint now);

  // Returns the endpoints that were ejected and not yet returned by take_expired(), in order of ejection.
  [[nodiscard]] const std::vector<Endpoint*>& ejected() const { return ejected_; }

  // Returns how many of the endpoints in ejected() are up in the endpoint list and not disabled.
  [[nodiscard]] int count_available_ejected() const;

 private:
  std::vector<Endpoint*> ejected_;
};

// True if so large a fraction of the fleet is ejected that the fault more likely lies in the network or in
// this gateway.
bool is_ejected_fraction_exceeded(const FleetStatus& fleet);

}  // namespace quota_gateway::decision
