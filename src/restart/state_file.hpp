// The files in the shared directory through which a gateway process passes its state to its successor. Any of
// them may be missing, incomplete or left by a process that ended long ago; such files are ignored.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <system_error>

#include "quota_gateway/events.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

// Number of attempts in flight, by customer.
using AttemptCounts = std::map<std::string, int>;

// The process that owns the shared directory, as stored in owner.json.
struct OwnerRecord {
  std::string token;                     // identifies the process; empty: unknown
  std::optional<Duration> clock_offset;  // us, from the steady clock to the clock of the process
};

// Reads and writes the files. Their names and JSON fields are fixed, as processes of two versions exchange
// them. The files need not survive a crash of the machine, as that ends both processes.
class StateFiles {
 public:
  explicit StateFiles(std::string directory);

  [[nodiscard]] const std::string& directory() const { return directory_; }

  // Returns the owner; members that cannot be read are empty.
  [[nodiscard]] OwnerRecord read_owner() const;
  [[nodiscard]] std::error_code write_owner(const std::string& token, Duration clock_offset) const;

  // Returns the state that a predecessor has stored for the process identified by `recipient`; std::nullopt
  // if there is none or it cannot be read.
  [[nodiscard]] std::optional<HotRestartState> read_state(const std::string& recipient) const;
  [[nodiscard]] std::error_code write_state(const std::string& recipient, const HotRestartState& state) const;
  void remove_state() const;

  // Returns the attempts that the predecessor of the process identified by `recipient` still has in flight;
  // std::nullopt if they have not been reported or cannot be read.
  [[nodiscard]] std::optional<AttemptCounts> read_attempts(const std::string& recipient) const;
  [[nodiscard]] std::error_code write_attempts(const std::string& recipient,
                                               const AttemptCounts& attempts) const;

 private:
  std::string directory_;
  std::string owner_path_;
  std::string state_path_;
  std::string attempts_path_;
};

}  // namespace quota_gateway::net
