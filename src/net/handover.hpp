// What a process inherits from the platform and from the process that it replaces.
#pragma once

#include <functional>
#include <optional>
#include <set>
#include <string>

#include "timers.hpp"

namespace cottonroad::net {

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
  void set(const std::string& server, bool disabled);
  bool has(const std::string& server) const { return servers_.count(server) > 0; }

 private:
  void load();
  void write() const;
  void watch();

  Timers& timers_;
  const std::string path_;  // empty: none
  const Switched switched_;
  std::set<std::string> servers_;
  std::string seen_;  // the file when last read
};

}  // namespace cottonroad::net
