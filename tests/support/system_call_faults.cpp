// A library that the tests preload into the gateway process. It makes system calls fail with errors that
// Linux documents for them.
//
// INJECTED_FAULTS holds entries of three forms, separated by spaces:
//   CALL:ERRNO:TIMES[:AFTER_MS]  the next TIMES calls fail with ERRNO, once the process has run for AFTER_MS
//   random:SEED:PERMILLE         PERMILLE of 1000 calls fail with a transient error or transfer fewer bytes
//   wall:SECONDS:AFTER_MS        the wall clock steps by SECONDS once the process has run for AFTER_MS
// A call that would have nothing to do (no connection to accept, no bytes to read) never fails.
#include <dlfcn.h>
#include <errno.h>
#include <poll.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

#include <random>
#include <sstream>
#include <string>
#include <vector>

namespace {

struct Fault {
  std::string call;
  int error = 0;
  int times = 0;
  long after_ms = 0;
};

template <typename Function>
Function* real_function(const char* name) {
  return reinterpret_cast<Function*>(::dlsym(RTLD_NEXT, name));
}

long monotonic_ms() {
  static const auto call = real_function<int(clockid_t, timespec*)>("clock_gettime");
  timespec now{};
  call(CLOCK_MONOTONIC, &now);
  return now.tv_sec * 1000 + now.tv_nsec / 1'000'000;
}

class FaultPlan {
 public:
  FaultPlan() {
    const char* text = ::getenv("INJECTED_FAULTS");
    std::istringstream entries(text ? text : "");
    for (std::string entry; entries >> entry;) parse(entry);
  }
  // Returns the error with which this call is to fail, or 0 if it is to succeed. A random fault is one of the
  // errors in `transient`.
  int next_error(const std::string& call, const std::vector<int>& transient) {
    for (Fault& fault : faults_) {
      if (fault.call != call || fault.times <= 0 || elapsed_ms() < fault.after_ms) continue;
      --fault.times;
      return fault.error;
    }
    if (!random_fault() || transient.empty()) return 0;
    return transient[random_() % transient.size()];
  }
  // Returns how many of `size` bytes the call is to transfer: at times fewer, never 0.
  std::size_t transfer_size(std::size_t size) {
    return size > 1 && random_fault() ? 1 + random_() % (size - 1) : size;
  }
  // Returns the current step of the wall clock in seconds.
  long wall_step() const { return elapsed_ms() >= wall_step_after_ms_ ? wall_step_seconds_ : 0; }

 private:
  void parse(const std::string& entry) {
    std::vector<std::string> fields;
    std::istringstream in(entry);
    for (std::string field; std::getline(in, field, ':');) fields.push_back(field);
    if (fields.size() < 3) return;
    if (fields[0] == "random") {
      random_.seed(std::stoul(fields[1]));
      permille_ = std::stoul(fields[2]);
    } else if (fields[0] == "wall") {
      wall_step_seconds_ = std::stol(fields[1]);
      wall_step_after_ms_ = std::stol(fields[2]);
    } else {
      const long after_ms = fields.size() > 3 ? std::stol(fields[3]) : 0;
      faults_.push_back({fields[0], std::stoi(fields[1]), std::stoi(fields[2]), after_ms});
    }
  }
  bool random_fault() { return permille_ > 0 && random_() % 1000 < permille_; }
  long elapsed_ms() const { return monotonic_ms() - started_ms_; }

  const long started_ms_ = monotonic_ms();
  std::vector<Fault> faults_;
  std::mt19937 random_;
  unsigned long permille_ = 0;
  long wall_step_seconds_ = 0, wall_step_after_ms_ = 0;
};

FaultPlan& fault_plan() {
  static FaultPlan instance;
  return instance;
}

bool readable(int fd) {
  pollfd descriptor{fd, POLLIN, 0};
  return ::poll(&descriptor, 1, 0) > 0;
}

int fail_with(int error) {
  errno = error;
  return -1;
}

}  // namespace

extern "C" {

int accept(int fd, sockaddr* address, socklen_t* length) {
  static const auto call = real_function<int(int, sockaddr*, socklen_t*)>("accept");
  if (!readable(fd)) return call(fd, address, length);
  const int error = fault_plan().next_error("accept", {ECONNABORTED, ENFILE, ENOBUFS, EINTR, EPROTO});
  if (error == 0) return call(fd, address, length);
  if (error == ECONNABORTED && ::getenv("INJECTED_FAULTS_ABORT")) ::close(call(fd, address, length));
  return fail_with(error);
}

int socket(int domain, int type, int protocol) {
  static const auto call = real_function<int(int, int, int)>("socket");
  const int error = fault_plan().next_error("socket", {ENFILE, ENOBUFS});
  return error != 0 ? fail_with(error) : call(domain, type, protocol);
}

int bind(int fd, const sockaddr* address, socklen_t length) {
  static const auto call = real_function<int(int, const sockaddr*, socklen_t)>("bind");
  const int error = fault_plan().next_error("bind", {});
  return error != 0 ? fail_with(error) : call(fd, address, length);
}

int connect(int fd, const sockaddr* address, socklen_t length) {
  static const auto call = real_function<int(int, const sockaddr*, socklen_t)>("connect");
  const int error = fault_plan().next_error("connect", {EADDRNOTAVAIL, ENETUNREACH, ENOBUFS});
  return error != 0 ? fail_with(error) : call(fd, address, length);
}

ssize_t recv(int fd, void* buffer, size_t size, int flags) {
  static const auto call = real_function<ssize_t(int, void*, size_t, int)>("recv");
  if (!readable(fd)) return call(fd, buffer, size, flags);
  const int error = fault_plan().next_error("recv", {EINTR});
  return error != 0 ? fail_with(error) : call(fd, buffer, fault_plan().transfer_size(size), flags);
}

ssize_t recvmsg(int fd, msghdr* message, int flags) {
  static const auto call = real_function<ssize_t(int, msghdr*, int)>("recvmsg");
  if (!readable(fd)) return call(fd, message, flags);
  const int error = fault_plan().next_error("recv", {EINTR});
  return error != 0 ? fail_with(error) : call(fd, message, flags);
}

ssize_t send(int fd, const void* buffer, size_t size, int flags) {
  static const auto call = real_function<ssize_t(int, const void*, size_t, int)>("send");
  const int error = fault_plan().next_error("send", {EINTR});
  return error != 0 ? fail_with(error) : call(fd, buffer, fault_plan().transfer_size(size), flags);
}

ssize_t sendmsg(int fd, const msghdr* message, int flags) {
  static const auto call = real_function<ssize_t(int, const msghdr*, int)>("sendmsg");
  const int error = fault_plan().next_error("send", {EINTR});
  if (error != 0) return fail_with(error);
  if (message->msg_iovlen != 1) return call(fd, message, flags);
  iovec shorter_part = message->msg_iov[0];
  shorter_part.iov_len = fault_plan().transfer_size(shorter_part.iov_len);
  msghdr shorter_message = *message;
  shorter_message.msg_iov = &shorter_part;
  return call(fd, &shorter_message, flags);
}

ssize_t write(int fd, const void* buffer, size_t size) {
  static const auto call = real_function<ssize_t(int, const void*, size_t)>("write");
  struct stat status {};
  const bool is_file = ::fstat(fd, &status) == 0 && S_ISREG(status.st_mode);
  const int error = is_file ? fault_plan().next_error("write", {}) : 0;
  return error != 0 ? fail_with(error) : call(fd, buffer, size);
}

int fsync(int fd) {
  static const auto call = real_function<int(int)>("fsync");
  const int error = fault_plan().next_error("fsync", {});
  return error != 0 ? fail_with(error) : call(fd);
}

int epoll_wait(int fd, epoll_event* events, int max_events, int timeout) {
  static const auto call = real_function<int(int, epoll_event*, int, int)>("epoll_wait");
  const int error = fault_plan().next_error("epoll_wait", {EINTR});
  return error != 0 ? fail_with(error) : call(fd, events, max_events, timeout);
}

int clock_gettime(clockid_t clock, timespec* time) {
  static const auto call = real_function<int(clockid_t, timespec*)>("clock_gettime");
  const int result = call(clock, time);
  if (clock == CLOCK_REALTIME) time->tv_sec += fault_plan().wall_step();
  return result;
}

}  // extern "C"
