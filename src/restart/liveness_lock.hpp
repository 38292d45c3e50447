// Lock files that show which gateway processes are running. The kernel releases a lock when its process ends,
// for whatever reason. A process ID would not show this reliably, as it may be reused.
#pragma once

#include <optional>
#include <string>
#include <system_error>

#include "restart/file_descriptor.hpp"

namespace quota_gateway::net {

// Shows that the process identified by a token is running, for as long as this object exists.
class LivenessLock {
 public:
  // Returns std::nullopt and sets `error` if the lock file cannot be created.
  static std::optional<LivenessLock> acquire(const std::string& directory, const std::string& token,
                                             std::error_code& error);

  LivenessLock(const LivenessLock&) = delete;
  LivenessLock& operator=(const LivenessLock&) = delete;
  LivenessLock(LivenessLock&&) noexcept = default;
  LivenessLock& operator=(LivenessLock&&) = delete;
  ~LivenessLock();

 private:
  LivenessLock(std::string path, FileDescriptor file);

  std::string path_;
  FileDescriptor file_;
};

// Returns whether the process identified by `token` is running. Removes the lock file of a killed process.
[[nodiscard]] bool is_process_alive(const std::string& directory, const std::string& token);

}  // namespace quota_gateway::net
