#include "restart/liveness_lock.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

namespace quota_gateway::net {
namespace {

constexpr mode_t kFileMode = 0600;

std::string lock_path(const std::string& directory, const std::string& token) {
  return directory + "/alive-" + token;
}

bool try_lock(const FileDescriptor& file) { return ::flock(file.get(), LOCK_EX | LOCK_NB) == 0; }

}  // namespace

std::optional<LivenessLock> LivenessLock::acquire(const std::string& directory, const std::string& token,
                                                  std::error_code& error) {
  std::string path = lock_path(directory, token);
  FileDescriptor file(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode));
  if (!file.is_open()) {
    error.assign(errno, std::generic_category());
    return std::nullopt;
  }
  try_lock(file);  // The token is unique to this process, so no other process can hold this lock.
  return LivenessLock(std::move(path), std::move(file));
}

LivenessLock::LivenessLock(std::string path, FileDescriptor file)
    : path_(std::move(path)), file_(std::move(file)) {}

LivenessLock::~LivenessLock() {
  if (!file_.is_open()) return;
  file_.close();
  ::unlink(path_.c_str());
}

bool is_process_alive(const std::string& directory, const std::string& token) {
  const bool is_file_name = !token.empty() && token.find('/') == std::string::npos;
  if (!is_file_name) return false;
  const std::string path = lock_path(directory, token);
  const FileDescriptor file(::open(path.c_str(), O_RDWR | O_CLOEXEC));
  if (!file.is_open()) return false;
  if (!try_lock(file)) return true;
  ::unlink(path.c_str());
  return false;
}

}  // namespace quota_gateway::net
