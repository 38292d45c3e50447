// The program itself, started and ended by a test.
#pragma once

#include <fcntl.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>

#include "support/loopback.hpp"

namespace quota_gateway::net::testing {

class Process {
 public:
  // `listener`, if any, is what the platform hands down as descriptor 5.
  struct ConfigurationPath {
    std::string path;  // of a configuration that is the test's own
  };
  explicit Process(const ConfigurationPath& configuration) {
    path_ = configuration.path;
    start(-1, "");
  }
  // `faults`: how its system calls fail, in the words of tests/support/system_call_faults.cpp.
  explicit Process(const std::string& config, int listener = -1, const std::string& shared = "",
                   const std::string& faults = "") {
    char name[] = "/tmp/quota-gateway-test-XXXXXX";
    const int file = ::mkstemp(name);
    path_ = name;
    EXPECT_EQ(::write(file, config.data(), config.size()), ssize_t(config.size()));
    ::close(file);
    start(listener, shared, faults);
  }
  void start(int listener, const std::string& shared, const std::string& faults = "") {
    int ends[2];
    EXPECT_EQ(::pipe(ends), 0);
    pid_ = ::fork();
    if (pid_ == 0) {
      ::dup2(ends[1], STDERR_FILENO);
      ::close(ends[0]);
      ::close(ends[1]);
      ::setenv("RELAY_CONFIG", path_.c_str(), 1);
      ::setenv("TMPDIR", shared.c_str(), 1);
      if (!faults.empty()) {
        ::setenv("LD_PRELOAD", FAULT_INJECTION_LIBRARY, 1);
        ::setenv("INJECTED_FAULTS", faults.c_str(), 1);
        ::setenv("ASAN_OPTIONS", "verify_asan_link_order=0", 1);  // the library comes before the sanitizer's
      }
      if (listener >= 0) {
        ::dup2(listener, 5);
        ::setenv("RELAY_LISTEN_FD", "5", 1);
      }
      ::execl(GATEWAY_PROGRAM, GATEWAY_PROGRAM, nullptr);
      ::_exit(127);
    }
    ::close(ends[1]);
    errors_ = ends[0];
  }
  ~Process() {
    if (pid_ > 0) {
      ::kill(pid_, SIGKILL);
      ::waitpid(pid_, nullptr, 0);
    }
    ::close(errors_);
    ::unlink(path_.c_str());
  }
  // Reads its log up to a line that holds `text`, or to its end.
  std::string log_until(const std::string& text) {
    std::string log;
    char byte;
    while (::read(errors_, &byte, 1) == 1) {
      log += byte;
      if (byte == '\n' && log.find(text) != std::string::npos) break;
    }
    return log;
  }
  void terminate() { ::kill(pid_, SIGTERM); }
  // Holds the process up, as a machine does that is short of processor time.
  void suspend() {
    ::kill(pid_, SIGSTOP);
    ::waitpid(pid_, nullptr, WUNTRACED);
  }
  void resume() { ::kill(pid_, SIGCONT); }
  // Seconds of processor time that it has used.
  double cpu_seconds() const {
    std::ifstream stat("/proc/" + std::to_string(pid_) + "/stat");
    std::string field;
    double ticks = 0;
    constexpr int kUserTime = 14, kSystemTime = 15;
    for (int i = 1; i <= kSystemTime && stat >> field; ++i)
      if (i >= kUserTime) ticks += std::stod(field);
    return ticks / double(::sysconf(_SC_CLK_TCK));
  }
  // Kilobytes of memory that it holds.
  long resident_kilobytes() const {
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(status, line);)
      if (line.starts_with("VmRSS:")) return std::stol(line.substr(6));
    return -1;
  }
  void kill() {
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = 0;
  }
  void replace_config(const std::string& config) { std::ofstream(path_, std::ios::trunc) << config; }
  void reconfigure(const std::string& config) {
    replace_config(config);
    ::kill(pid_, SIGHUP);
  }
  int exit_code() {
    int status = 0;
    ::waitpid(pid_, &status, 0);
    pid_ = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }

 private:
  std::string path_;
  pid_t pid_ = 0;
  int errors_ = -1;
};

inline std::uint16_t free_port(asio::io_context& io) {
  return tcp::acceptor(io, {asio::ip::address_v4::loopback(), 0}).local_endpoint().port();
}

inline std::string configuration_json(std::uint16_t port, const LoopbackServer& server,
                                      const LoopbackServer& discovery, const std::string& more = "") {
  return R"({"name":"n0",)" + more + R"("listen":"127.0.0.1:)" + std::to_string(port) + R"(","discovery":")" +
         discovery.address_text() +
         R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
    "known":)" +
         update_json(41, true, endpoint_json("s1", server.address_text())) + R"(,
    "settings":{"Az":"a","ReplicasOfMe":1,"Position":0,"Classes":[{"Name":"profile-read","Repeat":"safe",
      "ObjectiveUs":3000000,"GiveUpUs":4000000,"Importance":1.0}],
      "TiersOfService":[{"Name":"plan-group","QuotaRate":9,"Depth":9}],"Limits":{"MaxAttempts":4}}})";
}

}  // namespace quota_gateway::net::testing
