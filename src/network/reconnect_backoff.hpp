// Helpers for clients that keep one connection open and reconnect when it is lost: the delay before each
// attempt, IDs of successive connections, and a log that a failing peer cannot flood.
#pragma once

#include <cstdint>
#include <string>
#include <utility>

#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

// Exponential backoff for reconnecting. The first attempt is made at once; after that, the delay doubles with
// each attempt until reset() is called.
class ReconnectBackoff {
 public:
  // The range of the delay that next_delay() computes for the attempt after the next one.
  struct Limits {
    Duration min = 0;
    Duration max = 0;
  };

  // Returns the delay before the next attempt. Doubles it for the attempt after that, within `limits`.
  Duration next_delay(const Limits& limits);

  // Sets the delay before the next attempt.
  void set_delay(Duration delay) { delay_ = delay; }

  // Makes the next attempt immediate, for when the peer has recovered or has been replaced by another one.
  void reset() { delay_ = 0; }

 private:
  Duration delay_ = 0;
};

// Numbers the successive incarnations of a connection, so that a completion handler of an earlier incarnation
// can tell that it must not touch the current one.
class ConnectionIncarnation {
 public:
  using Id = std::uint64_t;

  // Starts a new incarnation, which makes all earlier ones obsolete, and returns its ID.
  Id begin() { return ++current_; }

  [[nodiscard]] Id current() const { return current_; }
  [[nodiscard]] bool is_current(Id incarnation) const { return incarnation == current_; }

 private:
  Id current_ = 0;
};

// Writes the log lines of one subsystem to standard error, at most one per 10 s, and drops the others.
class RateLimitedLog {
 public:
  explicit RateLimitedLog(std::string subsystem) : subsystem_(std::move(subsystem)) {}

  void write(TimePoint now, const std::string& message);

 private:
  std::string subsystem_;
  TimePoint last_written_at_ = 0;
};

}  // namespace quota_gateway::net
