// The clock and the timers of one gateway.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <vector>

#include "quota_gateway/decision_engine.hpp"

namespace quota_gateway::net {

// Tells the time by the steady clock, so that all spans are of real time however the wall clock is stepped.
// The two are the same at the start.
class Clock {
 public:
  Clock() : Clock(wall() - steady()) {}
  // Continues the time of another process on this machine, which told it `ahead` of the steady clock.
  explicit Clock(Micros ahead) : ahead_(ahead) {}
  virtual ~Clock() = default;
  [[nodiscard]] virtual Micros now() const { return steady() + ahead_; }
  // The wall clock, by which servers note their starts and gateways name their counts.
  [[nodiscard]] virtual Micros wall_now() const { return wall(); }
  [[nodiscard]] Micros offset_from_steady() const { return ahead_; }

 private:
  template <typename Duration>
  static Micros micros(Duration d) {
    return std::chrono::duration_cast<std::chrono::microseconds>(d).count();
  }
  static Micros wall() { return micros(std::chrono::system_clock::now().time_since_epoch()); }
  static Micros steady() { return micros(std::chrono::steady_clock::now().time_since_epoch()); }

  Micros ahead_ = 0;
};

// All timers on one kernel timer, each at its own time. Danger: the module looks at what it holds with every
// batch; on a grid of 10 ms, which spares wake-ups, held requests went out late and an overloaded day lost
// 0.013 of G. They are not taken back: what fires must check whether it still matters.
class Timers {
 public:
  Timers(boost::asio::io_context& io, const Clock& clock) : clock_(clock), timer_(io) {}

  [[nodiscard]] Micros now() const { return clock_.now(); }
  void schedule_at(Micros when, std::function<void()> what);
  void schedule_after(Micros delay, std::function<void()> what) {
    schedule_at(clock_.now() + delay, std::move(what));
  }

 private:
  struct Entry {
    Micros when;
    std::uint64_t order;  // equal times fire in the order in which they were set
    std::function<void()> what;
    bool operator<(const Entry& o) const { return when != o.when ? when > o.when : order > o.order; }
  };
  void arm();
  void fire();

  const Clock& clock_;
  boost::asio::steady_timer timer_;
  std::vector<Entry> heap_;
  std::uint64_t order_ = 0;
  Micros armed_for_ = 0;  // 0: not armed
};

}  // namespace quota_gateway::net
