// The decision engine of one gateway: admission, endpoint selection, retries and final responses. It uses no
// sockets and no clock: it takes events and returns actions.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "quota_gateway/actions.hpp"
#include "quota_gateway/events.hpp"
#include "quota_gateway/settings.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway {

// Deterministic: the same settings, seed, times and events produce the same actions.
class DecisionEngine {
 public:
  DecisionEngine(Settings settings, std::uint64_t seed);
  ~DecisionEngine();
  DecisionEngine(const DecisionEngine&) = delete;
  DecisionEngine& operator=(const DecisionEngine&) = delete;
  DecisionEngine(DecisionEngine&&) noexcept;
  DecisionEngine& operator=(DecisionEngine&&) noexcept;

  // The number of endpoints in the endpoint list, and of those that are disabled or ejected.
  struct EndpointCounts {
    std::size_t listed = 0;
    std::size_t excluded = 0;
  };
  // Counts the endpoints as of `now`.
  [[nodiscard]] EndpointCounts count_endpoints(TimePoint now) const;

  // Returns the state for the successor process and stops admitting requests until HotRestartAborted, if it
  // comes. Requests in flight and queued requests are still completed.
  HotRestartState begin_hot_restart(TimePoint now);

  // Returns the number of attempts in flight by customer.
  [[nodiscard]] std::map<std::string, int> attempts_in_flight() const;

  // Processes the events that happened at `now`, in order, and appends the resulting actions, to be executed
  // at once and in order.
  void handle(TimePoint now, const std::vector<Event>& events, std::vector<Action>& actions);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace quota_gateway
