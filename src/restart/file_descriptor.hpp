// RAII wrapper for a file descriptor.
#pragma once

#include <unistd.h>

#include <utility>

namespace quota_gateway::net {

// Owns a file descriptor and closes it on destruction.
class FileDescriptor {
 public:
  FileDescriptor() = default;
  explicit FileDescriptor(int descriptor) : descriptor_(descriptor) {}
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;
  FileDescriptor(FileDescriptor&& other) noexcept : descriptor_(std::exchange(other.descriptor_, kNone)) {}
  FileDescriptor& operator=(FileDescriptor&& other) noexcept {
    std::swap(descriptor_, other.descriptor_);
    return *this;
  }
  ~FileDescriptor() { close(); }

  [[nodiscard]] bool is_open() const { return descriptor_ != kNone; }
  [[nodiscard]] int get() const { return descriptor_; }

  // Returns false and leaves the error in errno if close(2) fails. The descriptor is released in either case.
  bool close() {
    if (!is_open()) return true;
    return ::close(std::exchange(descriptor_, kNone)) == 0;
  }

 private:
  static constexpr int kNone = -1;

  int descriptor_ = kNone;
};

}  // namespace quota_gateway::net
