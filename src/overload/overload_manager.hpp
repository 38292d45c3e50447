// Decides what a gateway does when its memory runs short, step by step.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

// The steps, in the order in which they are taken. Each one applies in addition to those before it.
enum class OverloadAction {
  kReduceReads,              // read little at a time and buffer little of each message
  kStopAccepting,            // leave new connections in the backlog
  kRejectRequests,           // answer new requests with 503
  kCloseUnfinished,          // close connections whose request has not been received completely
  kResetRequestsInProgress,  // close connections of requests in progress, the latest first
};
constexpr std::size_t kOverloadActionCount = 5;

// Activates each action when the memory in use reaches the action's share of the limit, and deactivates it
// once the use has fallen somewhat below that. Uses no clock: the caller passes the time.
class OverloadManager {
 public:
  explicit OverloadManager(std::size_t memory_limit) : memory_limit_(memory_limit) {}

  // Updates the actions to the memory in use. Returns a line for the log if an action has changed and no line
  // was returned within the log interval.
  std::optional<std::string> update(TimePoint now, std::size_t used_bytes);

  [[nodiscard]] bool is_active(OverloadAction action) const { return state_of(action).is_active; }
  // Returns how many bytes have to be freed until the action is deactivated; 0 if it is not active.
  [[nodiscard]] std::size_t excess_bytes(OverloadAction action) const;
  // Counts that an action was applied: to a connection or a request.
  void count(OverloadAction action) { ++state_of(action).applied; }
  // Returns how often the action was applied.
  [[nodiscard]] std::uint64_t applied(OverloadAction action) const { return state_of(action).applied; }

 private:
  struct ActionState {
    bool is_active = false;
    std::uint64_t activations = 0;
    std::uint64_t applied = 0;
  };

  [[nodiscard]] std::size_t activation_bytes(OverloadAction action) const;
  [[nodiscard]] std::size_t deactivation_bytes(OverloadAction action) const;
  bool update_action(OverloadAction action);
  [[nodiscard]] std::string describe() const;
  [[nodiscard]] const ActionState& state_of(OverloadAction action) const {
    return states_.at(std::size_t(action));
  }
  [[nodiscard]] ActionState& state_of(OverloadAction action) { return states_.at(std::size_t(action)); }

  const std::size_t memory_limit_;
  std::size_t used_bytes_ = 0;
  std::array<ActionState, kOverloadActionCount> states_;
  bool has_unreported_change_ = false;
  std::optional<TimePoint> reported_at_;
};

}  // namespace quota_gateway::net
