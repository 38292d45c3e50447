// What clients with one permanent connection share to reconnect it: the delay between attempts, the telling
// apart of successive connections, and a log that a failing peer can't flood.
#pragma once

#include <cstdint>
#include <string>
#include <utility>

#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

// The delay before each attempt to reconnect. The first attempt is made at once; then the delay doubles with
// each one until `reset`.
class ReconnectBackoff {
 public:
  // Bounds of the delay before the next but one attempt.
  struct Limits {
    Duration min = 0;
    Duration max = 0;
  };

  // Returns the delay before the next attempt and raises the one after it, within `limits`.
  Duration next_delay(const Limits& limits);

  // Sets the delay before the next attempt.
  void set_delay(Duration delay) { delay_ = delay; }

  // The peer is in order again, or another one: the next attempt is made at once.
  void reset() { delay_ = 0; }

 private:
  Duration delay_ = 0;
};

// Numbers the successive incarnations of a connection. A completion handler that belongs to an earlier one
// must not touch the present one.
class ConnectionIncarnation {
 public:
  using Id = std::uint64_t;

  // Begins a new incarnation, which makes all earlier ones obsolete, and returns its id.
  Id begin() { return ++current_; }

  [[nodiscard]] Id current() const { return current_; }
  [[nodiscard]] bool is_current(Id incarnation) const { return incarnation == current_; }

 private:
  Id current_ = 0;
};

// Writes the log lines of one subsystem, at most one in each interval; the others are dropped.
class RateLimitedLog {
 public:
  explicit RateLimitedLog(std::string subsystem) : subsystem_(std::move(subsystem)) {}

  void write(TimePoint now, const std::string& message);

 private:
  std::string subsystem_;
  TimePoint last_written_at_ = 0;
};

}  // namespace quota_gateway::net
