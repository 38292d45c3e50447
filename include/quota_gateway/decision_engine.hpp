// The decision engine of one gateway: admission, endpoint selection, retries and final responses. It holds no
// sockets and no clock; events go in, actions come out.
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

// Deterministic: the same settings, seed, times and events give the same actions.
class DecisionEngine {
 public:
  DecisionEngine(Settings settings, std::uint64_t seed);
  ~DecisionEngine();
  DecisionEngine(const DecisionEngine&) = delete;
  DecisionEngine& operator=(const DecisionEngine&) = delete;
  DecisionEngine(DecisionEngine&&) noexcept;
  DecisionEngine& operator=(DecisionEngine&&) noexcept;

  // The endpoints in the list, and how many of these get no requests now though they run.
  struct EndpointCounts {
    std::size_t listed = 0;
    std::size_t excluded = 0;
  };
  [[nodiscard]] EndpointCounts count_endpoints(TimePoint now) const;

  // The state for the process that replaces this one. From here on nothing is admitted unless the hot restart
  // is aborted; requests in flight and queued ones are still finished.
  HotRestartState begin_hot_restart(TimePoint now);

  // Attempts in flight, by customer.
  [[nodiscard]] std::map<std::string, int> attempts_in_flight() const;

  // Processes what happened at `now`, in order, and appends what is to be done at once, in order.
  void handle(TimePoint now, const std::vector<Event>& events, std::vector<Action>& actions);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace quota_gateway
