// The files in the shared directory through which one gateway process hands its state to the next. Any of
// them may be missing, incomplete or left by a process that ended long ago; readers then return no value.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <system_error>

#include "quota_gateway/events.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

// Attempts in flight, by customer.
using AttemptCounts = std::map<std::string, int>;

// Which process serves from the shared directory, as stored in owner.json.
struct OwnerRecord {
  std::string token;                     // empty: not known
  std::optional<Duration> clock_offset;  // from the steady clock to the clock of that process
};

// Reads and writes the stored records. The names and the JSON of the files are fixed, as processes of two
// versions exchange them. The files need not survive a crash of the machine, which ends both processes.
class StateFiles {
 public:
  explicit StateFiles(std::string directory);

  [[nodiscard]] const std::string& directory() const { return directory_; }

  [[nodiscard]] OwnerRecord read_owner() const;
  [[nodiscard]] std::error_code write_owner(const std::string& token, Duration clock_offset) const;

  // The state that a predecessor has stored for the process named by `recipient`.
  [[nodiscard]] std::optional<HotRestartState> read_state(const std::string& recipient) const;
  [[nodiscard]] std::error_code write_state(const std::string& recipient, const HotRestartState& state) const;
  void remove_state() const;

  // The attempts that the predecessor of the process named by `recipient` still has in flight.
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
