// The endpoints that operators have disabled by hand, stored so that they stay disabled over a restart.
#pragma once

#include <functional>
#include <set>
#include <string>
#include <system_error>

#include "quota_gateway/time.hpp"
#include "runtime/timers.hpp"

namespace quota_gateway::net {

// Keeps the set of disabled endpoints in disabled.json of the shared directory. It follows changes of that
// file, so that both processes of a hot restart agree. A missing or incomplete file changes nothing.
class DisabledEndpoints {
 public:
  // Reports that an endpoint has been disabled or enabled, here or by the other process.
  using ChangeCallback = std::function<void(const std::string& endpoint, bool disabled)>;
  // Reports whether a change has been stored and is in effect.
  using StoredCallback = std::function<void(bool stored)>;

  // Without a directory the set lasts as long as this process.
  DisabledEndpoints(Timers& timers, const std::string& directory, ChangeCallback on_change);

  // Loads the stored set and follows it from then on.
  void start();

  // Disables or enables an endpoint. The change is on disk before it takes effect and is confirmed.
  void set(const std::string& endpoint, bool disabled, StoredCallback on_stored);

  [[nodiscard]] bool contains(const std::string& endpoint) const { return endpoints_.contains(endpoint); }

 private:
  struct PendingChange {
    std::string endpoint;
    bool disabled = false;
    StoredCallback on_stored;
    TimePoint deadline = 0;
  };

  void store_or_retry(PendingChange change);
  [[nodiscard]] bool is_persistent() const { return !path_.empty(); }
  void check_file();
  void load();
  void apply(const std::set<std::string>& endpoints);
  [[nodiscard]] std::error_code store(const std::set<std::string>& endpoints);

  Timers& timers_;
  const std::string path_;  // empty: not stored
  const ChangeCallback on_change_;
  std::set<std::string> endpoints_;
  std::string stored_content_;  // of the file, when it was last read or written
};

}  // namespace quota_gateway::net
