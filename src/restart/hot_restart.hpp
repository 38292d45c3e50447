// What a process inherits from the platform and from the process that it replaces.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "quota_gateway/decision_engine.hpp"
#include "runtime/timers.hpp"

namespace quota_gateway::net {

// The time that the process that serves by this directory tells, as an offset to the steady clock; none if
// there is no such process. Its successor goes on by it, so that what it hands over keeps its meaning.
std::optional<Micros> predecessor_clock_offset(const std::string& directory);

// The listening socket that $RELAY_LISTEN_FD names; none if it is not set or names no such socket.
std::optional<int> inherited_listener();

// The servers that staff took out, kept in a file so that they stay out over a restart, and watched so that
// they are out for both processes of an upgrade. Danger: a file that is missing or torn changes nothing.
class DisabledEndpoints {
 public:
  using ChangeCallback = std::function<void(const std::string& server, bool disabled)>;
  // Without a directory they last as long as the process.
  DisabledEndpoints(Timers& timers, const std::string& directory, ChangeCallback on_change);
  void start();
  // Calls `done` once this is in effect and kept, or with false if it could not be kept.
  using Done = std::function<void(bool kept)>;
  void set(const std::string& server, bool disabled, Done done);
  [[nodiscard]] bool contains(const std::string& server) const { return servers_.count(server) > 0; }

 private:
  void set(const std::string& server, bool disabled, Done done, Micros until);
  void load();
  bool keep(const std::set<std::string>& servers);
  void watch();

  Timers& timers_;
  const std::string path_;  // empty: none
  const ChangeCallback on_change_;
  std::set<std::string> servers_;
  std::string seen_;  // the file when last read
};

// Passes the gateway from one process to the next through files in their shared directory. Danger: any of
// them may be missing, torn or left by a process long gone; then a process starts from nothing, as after a
// crash.
class HotRestart {
 public:
  struct Callbacks {
    std::function<void(const HotRestartState*)> on_start;            // take clients now; none: from nothing
    std::function<HotRestartState()> begin;                          // a successor is there
    std::function<std::map<std::string, int>()> attempts_in_flight;  // attempts out, by customer
    std::function<void(const std::map<std::string, int>&)> on_predecessor_attempts;  // its attempts out
    std::function<void()> on_aborted;                                                // the successor is gone
  };
  // Attempts of the predecessor are forgotten after `longest`.
  HotRestart(Timers& timers, const Clock& clock, std::string directory, Micros longest, Callbacks callbacks);
  ~HotRestart();
  void start();

 private:
  bool claim();
  void claim_until_told();
  void await_state();
  void watch();
  void tell_state(const std::string& state);
  void tell_open();
  void hear_open();

  Timers& timers_;
  const Clock& clock_;
  const std::string directory_;
  const Micros longest_;
  const Callbacks callbacks_;
  const std::string token_;  // this process
  std::string successor_;    // empty: none
  int lock_ = -1;            // held as long as this process lives
  bool claimed_ = false;     // owner.json names this process
  bool claim_failed_ = false;
  Micros since_ = 0;  // the claim, or the start
};

}  // namespace quota_gateway::net
