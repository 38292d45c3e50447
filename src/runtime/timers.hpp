// The timers of one gateway.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "quota_gateway/time.hpp"
#include "runtime/clock.hpp"

namespace quota_gateway::net {

// Runs callbacks at scheduled times, all of them with one kernel timer. A callback cannot be cancelled: when
// it runs, it checks whether it is still needed.
class Timers {
 public:
  using Callback = std::function<void()>;

  Timers(boost::asio::io_context& io, const Clock& clock) : clock_(clock), timer_(io) {}

  [[nodiscard]] TimePoint now() const { return clock_.now(); }
  // Callbacks that are due at the same time run in the order in which they were scheduled.
  void schedule_at(TimePoint due_at, Callback callback);
  void schedule_after(Duration delay, Callback callback);

 private:
  struct Entry {
    TimePoint due_at = 0;
    std::uint64_t sequence_number = 0;
    Callback callback;
    // Orders the heap so that the earliest entry is on top.
    bool operator<(const Entry& other) const;
  };

  void arm_timer();
  void run_due_callbacks();
  std::vector<Entry> take_due_entries();
  void run_callbacks(std::vector<Entry> entries);

  const Clock& clock_;
  boost::asio::steady_timer timer_;
  std::vector<Entry> heap_;
  std::uint64_t last_sequence_number_ = 0;
  std::optional<TimePoint> armed_for_;
};

}  // namespace quota_gateway::net
