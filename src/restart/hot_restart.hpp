// Hot restart: a running gateway process hands its state and its clients to the process that replaces it.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <system_error>

#include "quota_gateway/events.hpp"
#include "quota_gateway/time.hpp"
#include "restart/liveness_lock.hpp"
#include "restart/state_file.hpp"
#include "runtime/timers.hpp"

namespace quota_gateway::net {

// Returns the offset in microseconds from the steady clock to the clock of the process that owns `directory`;
// std::nullopt if there is no such process. The successor continues that clock, so that the time points in
// the restored state stay valid.
[[nodiscard]] std::optional<Duration> predecessor_clock_offset(const std::string& directory);

// Implements the protocol between predecessor and successor, which uses files in their shared directory:
// - A new process writes its token to owner.json. The predecessor reads the token, stops accepting clients
//   and stores its state in state.json. The new process reads the state and starts accepting clients.
// - The predecessor reports its attempts in flight in open.json until there are none or it ends.
// - If the successor ends, the predecessor claims owner.json again and accepts clients again, unless it is
//   shutting down.
// If these files cannot be used, the new process starts without restored state, as after a crash.
class HotRestart {
 public:
  struct Callbacks {
    // Called when this process may accept clients, with the restored state or null if there is none.
    std::function<void(const HotRestartState*)> on_start;
    // Called when a successor has started. Stops accepting clients and returns the state for the successor.
    std::function<HotRestartState()> begin_handover;
    // Returns the attempts that this process still has in flight, by customer.
    std::function<AttemptCounts()> attempts_in_flight;
    // Receives the attempts that the predecessor still has in flight, by customer.
    std::function<void(const AttemptCounts&)> on_predecessor_attempts;
    // Called when the successor has ended. Starts accepting clients again.
    std::function<void()> on_aborted;
  };

  HotRestart(Timers& timers, const Clock& clock, std::string directory, Callbacks callbacks);

  // Claims the directory and, if a predecessor is running, waits for its state.
  void start();
  // From now on this process does not serve again if its successor ends, since it is ending itself.
  void begin_shutdown() { is_shutting_down_ = true; }

 private:
  [[nodiscard]] bool has_successor() const { return !successor_.empty(); }
  [[nodiscard]] std::error_code claim();
  void claim_or_retry();
  void await_state();
  void start_without_state();
  void check_owner();
  void check_for_successor();
  void hand_over_to(const std::string& successor);
  void resume_serving();
  void write_state_or_retry(const std::string& recipient, const HotRestartState& state);
  void report_attempts();
  void check_predecessor_attempts();

  Timers& timers_;
  const Clock& clock_;
  const StateFiles files_;
  const Callbacks callbacks_;
  const std::string token_;           // identifies this process
  std::string predecessor_;           // identifies the predecessor; empty: none
  std::string successor_;             // identifies the successor; empty: none
  std::optional<LivenessLock> lock_;  // held from the first claim until this process ends
  bool is_owner_ = false;             // whether the last write of owner.json succeeded
  bool is_shutting_down_ = false;
  bool claim_failure_logged_ = false;
  TimePoint claimed_at_ = 0;  // time of the last successful claim; before the first one, time of start()
};

}  // namespace quota_gateway::net
