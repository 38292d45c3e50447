#include "restart/atomic_file.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <string_view>

#include "restart/file_descriptor.hpp"

namespace quota_gateway::net {
namespace {

constexpr mode_t kFileMode = 0600;

std::error_code last_error() { return {errno, std::generic_category()}; }

std::error_code write_all(const FileDescriptor& file, std::string_view content) {
  while (!content.empty()) {
    const ssize_t written = ::write(file.get(), content.data(), content.size());
    if (written < 0 && errno == EINTR) continue;
    if (written < 0) return last_error();
    if (written == 0) return std::make_error_code(std::errc::io_error);
    content.remove_prefix(std::size_t(written));
  }
  return {};
}

std::error_code sync(const FileDescriptor& file) {
  while (::fsync(file.get()) != 0) {
    if (errno != EINTR) return last_error();
  }
  return {};
}

// A new directory entry survives a crash of the machine only once its directory has been synced.
std::error_code sync_directory_of(const std::string& path) {
  const std::string directory = path.substr(0, path.rfind('/') + 1);
  const FileDescriptor file(::open(directory.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (!file.is_open()) return last_error();
  return sync(file);
}

std::error_code write_file(const std::string& path, const std::string& content, Durability durability) {
  FileDescriptor file(::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kFileMode));
  if (!file.is_open()) return last_error();
  std::error_code error = write_all(file, content);
  if (!error && durability == Durability::kSynced) error = sync(file);
  if (!file.close() && !error) error = last_error();
  return error;
}

}  // namespace

std::error_code replace_file(const std::string& path, const std::string& content, Durability durability) {
  const std::string temporary_path = path + "." + std::to_string(::getpid());
  std::error_code error = write_file(temporary_path, content, durability);
  if (!error && std::rename(temporary_path.c_str(), path.c_str()) != 0) error = last_error();
  if (error) {
    ::unlink(temporary_path.c_str());
    return error;
  }
  if (durability == Durability::kSynced) return sync_directory_of(path);
  return {};
}

std::string read_file(const std::string& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

}  // namespace quota_gateway::net
