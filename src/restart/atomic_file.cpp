#include "restart/atomic_file.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <string_view>

namespace quota_gateway::net {
namespace {

bool write_whole(int file, std::string_view text) {
  while (!text.empty()) {
    const ssize_t size = ::write(file, text.data(), text.size());
    if (size < 0 && errno == EINTR) continue;
    if (size <= 0) return false;
    text.remove_prefix(std::size_t(size));
  }
  return true;
}

bool sync(int file) {
  int result = 0;
  do result = ::fsync(file);
  while (result != 0 && errno == EINTR);
  return result == 0;
}

// A new name is on disk once its directory is.
bool sync_directory_of(const std::string& path) {
  const std::string directory = path.substr(0, path.rfind('/') + 1);
  const int file = ::open(directory.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (file < 0) return false;
  const bool synced = sync(file);
  ::close(file);
  return synced;
}

}  // namespace

bool replace_file(const std::string& path, const std::string& text, Durability durability) {
  const bool durable = durability == Durability::kDurable;
  const std::string fresh = path + "." + std::to_string(::getpid());
  const int file = ::open(fresh.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (file < 0) return false;
  bool written = write_whole(file, text) && (!durable || sync(file));
  written = ::close(file) == 0 && written;
  if (!written || ::rename(fresh.c_str(), path.c_str()) != 0) {
    ::unlink(fresh.c_str());
    return false;
  }
  return !durable || sync_directory_of(path);
}

}  // namespace quota_gateway::net
