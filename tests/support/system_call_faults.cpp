// A library that the tests preload into the gateway process: system calls fail as Linux documents.
//
// INJECTED_FAULTS holds words of three forms, separated by spaces:
//   CALL:ERRNO:TIMES[:AFTER_MS]  the next TIMES calls fail so, once the process has run for AFTER_MS
//   random:SEED:PERMILLE         so many of the calls fail for a moment, or transfer one part only
//   wall:SECONDS:AFTER_MS        the wall clock is stepped by so much
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
Function* real(const char* name) {
  return reinterpret_cast<Function*>(::dlsym(RTLD_NEXT, name));
}

long monotonic_ms() {
  static const auto call = real<int(clockid_t, timespec*)>("clock_gettime");
  timespec now{};
  call(CLOCK_MONOTONIC, &now);
  return now.tv_sec * 1000 + now.tv_nsec / 1'000'000;
}

class Plan {
 public:
  Plan() {
    const char* text = ::getenv("INJECTED_FAULTS");
    std::istringstream words(text ? text : "");
    for (std::string word; words >> word;) read(word);
  }
  // The error with which this call fails now; 0: it does not.
  int error(const std::string& call, const std::vector<int>& transient) {
    for (Fault& f : faults_) {
      if (f.call != call || f.times <= 0 || age_ms() < f.after_ms) continue;
      --f.times;
      return f.error;
    }
    if (!chance() || transient.empty()) return 0;
    return transient[random_() % transient.size()];
  }
  std::size_t part(std::size_t size) { return size > 1 && chance() ? 1 + random_() % (size - 1) : size; }
  long wall_step() const { return age_ms() >= step_after_ms_ ? step_ : 0; }

 private:
  void read(const std::string& word) {
    std::vector<std::string> fields;
    std::istringstream in(word);
    for (std::string field; std::getline(in, field, ':');) fields.push_back(field);
    if (fields.size() < 3) return;
    if (fields[0] == "random") {
      random_.seed(std::stoul(fields[1]));
      permille_ = std::stoul(fields[2]);
    } else if (fields[0] == "wall") {
      step_ = std::stol(fields[1]);
      step_after_ms_ = std::stol(fields[2]);
    } else {
      const long after = fields.size() > 3 ? std::stol(fields[3]) : 0;
      faults_.push_back({fields[0], std::stoi(fields[1]), std::stoi(fields[2]), after});
    }
  }
  bool chance() { return permille_ > 0 && random_() % 1000 < permille_; }
  long age_ms() const { return monotonic_ms() - began_ms_; }

  const long began_ms_ = monotonic_ms();
  std::vector<Fault> faults_;
  std::mt19937 random_;
  unsigned long permille_ = 0;
  long step_ = 0, step_after_ms_ = 0;
};

Plan& plan() {
  static Plan instance;
  return instance;
}

bool readable(int fd) {
  pollfd one{fd, POLLIN, 0};
  return ::poll(&one, 1, 0) > 0;
}

int fail(int error) {
  errno = error;
  return -1;
}

}  // namespace

extern "C" {

int accept(int fd, sockaddr* address, socklen_t* length) {
  static const auto call = real<int(int, sockaddr*, socklen_t*)>("accept");
  if (!readable(fd)) return call(fd, address, length);
  const int error = plan().error("accept", {ECONNABORTED, ENFILE, ENOBUFS, EINTR, EPROTO});
  if (error == 0) return call(fd, address, length);
  if (error == ECONNABORTED && ::getenv("INJECTED_FAULTS_ABORT")) ::close(call(fd, address, length));
  return fail(error);
}

int socket(int domain, int type, int protocol) {
  static const auto call = real<int(int, int, int)>("socket");
  const int error = plan().error("socket", {ENFILE, ENOBUFS});
  return error != 0 ? fail(error) : call(domain, type, protocol);
}

int bind(int fd, const sockaddr* address, socklen_t length) {
  static const auto call = real<int(int, const sockaddr*, socklen_t)>("bind");
  const int error = plan().error("bind", {});
  return error != 0 ? fail(error) : call(fd, address, length);
}

int connect(int fd, const sockaddr* address, socklen_t length) {
  static const auto call = real<int(int, const sockaddr*, socklen_t)>("connect");
  const int error = plan().error("connect", {EADDRNOTAVAIL, ENETUNREACH, ENOBUFS});
  return error != 0 ? fail(error) : call(fd, address, length);
}

ssize_t recv(int fd, void* buffer, size_t size, int flags) {
  static const auto call = real<ssize_t(int, void*, size_t, int)>("recv");
  if (!readable(fd)) return call(fd, buffer, size, flags);
  const int error = plan().error("recv", {EINTR});
  return error != 0 ? fail(error) : call(fd, buffer, plan().part(size), flags);
}

ssize_t recvmsg(int fd, msghdr* message, int flags) {
  static const auto call = real<ssize_t(int, msghdr*, int)>("recvmsg");
  if (!readable(fd)) return call(fd, message, flags);
  const int error = plan().error("recv", {EINTR});
  return error != 0 ? fail(error) : call(fd, message, flags);
}

ssize_t send(int fd, const void* buffer, size_t size, int flags) {
  static const auto call = real<ssize_t(int, const void*, size_t, int)>("send");
  const int error = plan().error("send", {EINTR});
  return error != 0 ? fail(error) : call(fd, buffer, plan().part(size), flags);
}

ssize_t sendmsg(int fd, const msghdr* message, int flags) {
  static const auto call = real<ssize_t(int, const msghdr*, int)>("sendmsg");
  const int error = plan().error("send", {EINTR});
  if (error != 0) return fail(error);
  if (message->msg_iovlen != 1) return call(fd, message, flags);
  iovec part = message->msg_iov[0];
  part.iov_len = plan().part(part.iov_len);
  msghdr shorter = *message;
  shorter.msg_iov = &part;
  return call(fd, &shorter, flags);
}

ssize_t write(int fd, const void* buffer, size_t size) {
  static const auto call = real<ssize_t(int, const void*, size_t)>("write");
  struct stat status {};
  const bool is_file = ::fstat(fd, &status) == 0 && S_ISREG(status.st_mode);
  const int error = is_file ? plan().error("write", {}) : 0;
  return error != 0 ? fail(error) : call(fd, buffer, size);
}

int fsync(int fd) {
  static const auto call = real<int(int)>("fsync");
  const int error = plan().error("fsync", {});
  return error != 0 ? fail(error) : call(fd);
}

int epoll_wait(int fd, epoll_event* events, int most, int timeout) {
  static const auto call = real<int(int, epoll_event*, int, int)>("epoll_wait");
  const int error = plan().error("epoll_wait", {EINTR});
  return error != 0 ? fail(error) : call(fd, events, most, timeout);
}

int clock_gettime(clockid_t clock, timespec* out) {
  static const auto call = real<int(clockid_t, timespec*)>("clock_gettime");
  const int result = call(clock, out);
  if (clock == CLOCK_REALTIME) out->tv_sec += plan().wall_step();
  return result;
}

}  // extern "C"
