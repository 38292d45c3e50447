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

// Runs callbacks at their time, all of them by one timer of the kernel. A callback cannot be cancelled: it
// checks whether it still matters.
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
    // Orders a heap with the earliest entry on top.
    bool operator<(const Entry& other) const;
  };

  void arm();
  void run_due();
  std::vector<Entry> take_due();
  void run(std::vector<Entry> entries);

  const Clock& clock_;
  boost::asio::steady_timer timer_;
  std::vector<Entry> heap_;
  std::uint64_t last_sequence_number_ = 0;
  std::optional<TimePoint> armed_for_;
};

}  // namespace quota_gateway::net
