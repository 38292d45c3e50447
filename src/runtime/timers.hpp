// The timers of one gateway.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <tuple>
#include <utility>
#include <vector>

#include "quota_gateway/time.hpp"
#include "runtime/clock.hpp"

namespace quota_gateway::net {

// Identifies a scheduled callback. The default value identifies none.
struct TimerId {
  TimePoint due_at = 0;
  std::uint64_t sequence_number = 0;
  bool operator<(const TimerId& other) const {
    return std::tie(due_at, sequence_number) < std::tie(other.due_at, other.sequence_number);
  }
};

// Runs callbacks at scheduled times, all of them with one kernel timer.
class Timers {
 public:
  using Callback = std::function<void()>;

  Timers(boost::asio::io_context& io, const Clock& clock) : clock_(clock), timer_(io) {}

  [[nodiscard]] TimePoint now() const { return clock_.now(); }
  // Callbacks that are due at the same time run in the order in which they were scheduled.
  TimerId schedule_at(TimePoint due_at, Callback callback);
  TimerId schedule_after(Duration delay, Callback callback);
  // Frees a callback that is not needed any more. One that is due already may still run, so it has to check
  // whether it is needed.
  void cancel(TimerId id) { pending_.erase(id); }
  // Returns the number of callbacks that are scheduled.
  [[nodiscard]] std::size_t size() const { return pending_.size(); }

 private:
  using Entry = std::pair<TimerId, Callback>;

  void arm_timer();
  void run_due_callbacks();
  std::vector<Entry> take_due_entries();
  void run_callbacks(std::vector<Entry> entries);

  const Clock& clock_;
  boost::asio::steady_timer timer_;
  std::map<TimerId, Callback> pending_;  // the earliest one is first
  std::uint64_t last_sequence_number_ = 0;
  std::optional<TimePoint> armed_for_;
};

}  // namespace quota_gateway::net
