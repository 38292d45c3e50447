// The endpoints that operators have disabled, stored so that they stay disabled across restarts.
#pragma once

#include <functional>
#include <set>
#include <string>
#include <system_error>

#include "quota_gateway/time.hpp"
#include "runtime/timers.hpp"

namespace quota_gateway::net {

// Stores the set of disabled endpoints in disabled.json in the shared directory. Polls that file for changes,
// so that both processes of a hot restart agree. A missing or incomplete file changes nothing.
class DisabledEndpoints {
 public:
  // Called when an endpoint has been disabled or enabled, by this process or by the other one.
  using ChangeCallback = std::function<void(const std::string& endpoint, bool disabled)>;
  // Called with true once a change has been stored and is in effect, with false if it could not be stored.
  using StoredCallback = std::function<void(bool stored)>;

  // If `directory` is empty, the set is not stored and is lost when this process ends.
  DisabledEndpoints(Timers& timers, const std::string& directory, ChangeCallback on_change);

  // Loads the stored set and polls the file for changes from then on.
  void start();

  // Disables or enables an endpoint. The change is on disk before it takes effect and is confirmed.
  // A failed write is retried for a limited time.
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
  const std::string path_;  // empty: the set is not stored
  const ChangeCallback on_change_;
  std::set<std::string> endpoints_;
  std::string stored_content_;  // content of the file when it was last read or written
};

}  // namespace quota_gateway::net
