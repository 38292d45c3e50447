// Lock files that show which gateway processes are running. The kernel releases a lock when its process ends,
// however that happens, whereas a process identifier may be reused.
#pragma once

#include <optional>
#include <string>
#include <system_error>

#include "restart/file_descriptor.hpp"

namespace quota_gateway::net {

// Shows, for as long as it exists, that the process named by a token is running.
class LivenessLock {
 public:
  // Returns no value, and sets `error`, if the lock file cannot be created.
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

// Whether the process named by `token` is running. Removes the lock file of a process that has been killed.
[[nodiscard]] bool is_process_alive(const std::string& directory, const std::string& token);

}  // namespace quota_gateway::net
