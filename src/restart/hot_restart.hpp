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

// The offset from the steady clock to the clock of the process that serves from `directory`; no value if
// there is no such process. Its successor continues that clock, so that the instants in the restored state
// keep their meaning.
[[nodiscard]] std::optional<Duration> predecessor_clock_offset(const std::string& directory);

// The protocol between two processes, which runs over files in their shared directory:
// - A new process writes its token to owner.json. Its predecessor finds it there, stops accepting clients and
//   stores its state in state.json. The new process reads this and starts to serve.
// - The predecessor reports its remaining attempts in open.json until there are none.
// - If the successor ends, the predecessor claims owner.json again and continues to serve.
// Where the files of a predecessor cannot be used, a process starts without restored state, as after a crash.
class HotRestart {
 public:
  struct Callbacks {
    // This process may accept clients now, from the restored state if there is one, else null.
    std::function<void(const HotRestartState*)> on_start;
    // A successor has started: stops accepting clients and returns the state for it.
    std::function<HotRestartState()> begin_handover;
    // Attempts that this process still has in flight, by customer.
    std::function<AttemptCounts()> attempts_in_flight;
    // Attempts that the predecessor still has in flight, by customer.
    std::function<void(const AttemptCounts&)> on_predecessor_attempts;
    // The successor has ended: accept clients again.
    std::function<void()> on_aborted;
  };

  // Attempts of the predecessor are no longer counted after `max_attempt_duration`.
  HotRestart(Timers& timers, const Clock& clock, std::string directory, Duration max_attempt_duration,
             Callbacks callbacks);

  // Claims the directory, and waits for the state of the predecessor if there is one.
  void start();

 private:
  [[nodiscard]] bool has_successor() const { return !successor_.empty(); }
  [[nodiscard]] std::error_code claim();
  void claim_or_retry();
  void await_state();
  void start_without_state();
  void check_owner();
  void check_for_successor();
  void hand_over_to(const std::string& successor);
  void resume();
  void write_state_or_retry(const std::string& recipient, const HotRestartState& state);
  void report_attempts();
  void check_predecessor_attempts();

  Timers& timers_;
  const Clock& clock_;
  const StateFiles files_;
  const Duration max_attempt_duration_;
  const Callbacks callbacks_;
  const std::string token_;           // names this process
  std::string successor_;             // names the process that replaces this one; empty: none
  std::optional<LivenessLock> lock_;  // from the first claim until this process ends
  bool is_owner_ = false;             // owner.json has named this process since the last claim
  bool claim_failure_logged_ = false;
  TimePoint claimed_at_ = 0;  // until the first claim: when this process started
};

}  // namespace quota_gateway::net
