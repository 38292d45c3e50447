// What a process inherits from the platform and from the process that it replaces.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "cottonroad/gateway.hpp"
#include "timers.hpp"

namespace cottonroad::net {

// The time that the process that serves by this directory tells, as an offset to the steady clock; none if
// there is no such process. Its successor goes on by it, so that what it hands over keeps its meaning.
std::optional<Micros> predecessor_clock(const std::string& directory);

// The listening socket that $RELAY_LISTEN_FD names; none if it is not set or names no such socket.
std::optional<int> inherited_listener();

// The servers that staff took out, kept in a file so that they stay out over a restart, and watched so that
// they are out for both processes of an upgrade. Danger: a file that is missing or torn changes nothing.
class Disabled {
 public:
  using Switched = std::function<void(const std::string& server, bool disabled)>;
  // Without a directory they last as long as the process.
  Disabled(Timers& timers, const std::string& directory, Switched switched);
  void start();
  // Calls `done` once this is in effect and kept, or with false if it could not be kept.
  using Done = std::function<void(bool kept)>;
  void set(const std::string& server, bool disabled, Done done);
  bool has(const std::string& server) const { return servers_.count(server) > 0; }

 private:
  void set(const std::string& server, bool disabled, Done done, Micros until);
  void load();
  bool keep(const std::set<std::string>& servers);
  void watch();

  Timers& timers_;
  const std::string path_;  // empty: none
  const Switched switched_;
  std::set<std::string> servers_;
  std::string seen_;  // the file when last read
};

// Passes the gateway from one process to the next through files in their shared directory. Danger: any of
// them may be missing, torn or left by a process long gone; then a process starts from nothing, as after a
// crash.
class Takeover {
 public:
  struct Calls {
    std::function<void(const Handover*)> start;        // take clients now; none: from nothing
    std::function<Handover()> hand_over;               // a successor is there
    std::function<std::map<std::string, int>()> open;  // attempts out, by customer
    std::function<void(const std::map<std::string, int>&)> predecessor;  // its attempts out
    std::function<void()> take_back;                                     // the successor is gone
  };
  // Attempts of the predecessor are forgotten after `longest`.
  Takeover(Timers& timers, const Clock& clock, std::string directory, Micros longest, Calls calls);
  ~Takeover();
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
  const Calls calls_;
  const std::string token_;  // this process
  std::string successor_;    // empty: none
  int lock_ = -1;            // held as long as this process lives
  bool claimed_ = false;     // owner.json names this process
  bool claim_failed_ = false;
  Micros since_ = 0;  // the claim, or the start
};

}  // namespace cottonroad::net
