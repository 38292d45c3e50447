#include "restart/hot_restart.hpp"

#include <unistd.h>

#include <iostream>
#include <utility>

namespace quota_gateway::net {
namespace {

constexpr Duration kClaimRetryInterval = 20'000;       // us
constexpr Duration kOwnerCheckInterval = 20'000;       // us; clients of a successor wait for this check
constexpr Duration kStateCheckInterval = 2'000;        // us
constexpr Duration kStateWriteRetryInterval = 10'000;  // us
constexpr Duration kAttemptReportInterval = 50'000;    // us

// How long a new process waits for the state of its predecessor, counted from the claim. While no claim has
// succeeded, the predecessor cannot know of the new process and the time is counted from start().
constexpr Duration kStateTimeout = 300'000;             // us
constexpr Duration kStateTimeoutUnclaimed = 5'000'000;  // us

std::string make_token(const Clock& clock) {
  return std::to_string(::getpid()) + "-" + std::to_string(clock.now());
}

}  // namespace

std::optional<Duration> predecessor_clock_offset(const std::string& directory) {
  if (directory.empty()) return std::nullopt;
  const OwnerRecord owner = StateFiles(directory).read_owner();
  if (!owner.clock_offset || !is_process_alive(directory, owner.token)) return std::nullopt;
  return owner.clock_offset;
}

HotRestart::HotRestart(Timers& timers, const Clock& clock, std::string directory, Callbacks callbacks)
    : timers_(timers),
      clock_(clock),
      files_(std::move(directory)),
      callbacks_(std::move(callbacks)),
      token_(make_token(clock)) {}

void HotRestart::start() {
  predecessor_ = files_.read_owner().token;
  claimed_at_ = clock_.now();
  const bool has_predecessor = is_process_alive(files_.directory(), predecessor_);
  claim_or_retry();
  if (has_predecessor) {
    await_state();
  } else {
    start_without_state();
  }
}

std::error_code HotRestart::claim() {
  if (!lock_) {
    std::error_code error;
    std::optional<LivenessLock> lock = LivenessLock::acquire(files_.directory(), token_, error);
    if (!lock) return error;
    lock_.emplace(std::move(*lock));
  }
  return files_.write_owner(token_, clock_.offset_from_steady());
}

void HotRestart::claim_or_retry() {
  const std::error_code error = claim();
  is_owner_ = !error;
  if (is_owner_) {
    claimed_at_ = clock_.now();
    return;
  }
  if (!claim_failure_logged_) {
    claim_failure_logged_ = true;
    std::cerr << "hot restart: cannot write to " << files_.directory() << ": " << error.message() << '\n';
  }
  timers_.schedule_after(kClaimRetryInterval, [this] { claim_or_retry(); });
}

// ---- As the successor -----------------------------------------------------------------------------------
void HotRestart::await_state() {
  const std::optional<HotRestartState> state = files_.read_state(token_);
  if (state) {
    files_.remove_state();
    callbacks_.on_start(&*state);
    check_predecessor_attempts();
    check_owner();
    return;
  }
  const Duration timeout = is_owner_ ? kStateTimeout : kStateTimeoutUnclaimed;
  if (clock_.now() - claimed_at_ < timeout) {
    timers_.schedule_after(kStateCheckInterval, [this] { await_state(); });
    return;
  }
  std::cerr << "hot restart: the predecessor does not answer; starting without its state\n";
  start_without_state();
}

void HotRestart::start_without_state() {
  callbacks_.on_start(nullptr);
  check_owner();
}

void HotRestart::check_predecessor_attempts() {
  // A long response may keep an attempt in flight for as long as the predecessor lives.
  std::optional<AttemptCounts> attempts;
  if (is_process_alive(files_.directory(), predecessor_)) {
    attempts = files_.read_attempts(token_);
  } else {
    attempts.emplace();
  }
  if (attempts) callbacks_.on_predecessor_attempts(*attempts);
  const bool predecessor_has_finished = attempts && attempts->empty();
  if (predecessor_has_finished) return;
  timers_.schedule_after(kAttemptReportInterval, [this] { check_predecessor_attempts(); });
}

// ---- As the predecessor ---------------------------------------------------------------------------------
void HotRestart::check_owner() {
  // Until a claim has succeeded, owner.json may still hold the token of the predecessor.
  if (is_owner_) check_for_successor();
  timers_.schedule_after(kOwnerCheckInterval, [this] { check_owner(); });
}

void HotRestart::check_for_successor() {
  if (has_successor()) {
    if (!is_shutting_down_ && !is_process_alive(files_.directory(), successor_)) resume_serving();
    return;
  }
  const OwnerRecord owner = files_.read_owner();
  if (owner.token != token_ && is_process_alive(files_.directory(), owner.token)) hand_over_to(owner.token);
}

void HotRestart::hand_over_to(const std::string& successor) {
  successor_ = successor;
  write_state_or_retry(successor, callbacks_.begin_handover());
  report_attempts();
}

void HotRestart::resume_serving() {
  successor_.clear();
  claim_or_retry();
  callbacks_.on_aborted();
}

void HotRestart::write_state_or_retry(const std::string& recipient, const HotRestartState& state) {
  if (!has_successor()) return;
  const std::error_code error = files_.write_state(recipient, state);
  if (!error) return;
  timers_.schedule_after(kStateWriteRetryInterval,
                         [this, recipient, state] { write_state_or_retry(recipient, state); });
}

void HotRestart::report_attempts() {
  if (!has_successor()) return;
  const AttemptCounts attempts = callbacks_.attempts_in_flight();
  const std::error_code error = files_.write_attempts(successor_, attempts);
  if (!error && attempts.empty()) return;
  timers_.schedule_after(kAttemptReportInterval, [this] { report_attempts(); });
}

}  // namespace quota_gateway::net
