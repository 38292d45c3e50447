// Stand-ins for the clients, the booking servers and the platform of a gateway, and the start and end of the
// gateway itself. Everything stays on 127.0.0.1. Used by the scenario programs in review/6 to review/10.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/ioctl.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace review {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

// Seconds since the first call.
inline double now() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

inline void sleep_for(double seconds) { std::this_thread::sleep_for(std::chrono::duration<double>(seconds)); }

inline void sleep_until(double time) {
  if (const double left = time - now(); left > 0) sleep_for(left);
}

inline void ignore_pipe_signals() { ::signal(SIGPIPE, SIG_IGN); }

// The file record.txt of a case: what was sent, answered and run, with the time in seconds.
class Record {
 public:
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {}
  ~Record() {
    if (file_ != nullptr) std::fclose(file_);
  }
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  void line(const std::string& who, const std::string& text) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (file_ == nullptr) return;
    std::fprintf(file_, "%9.4f  %-9s %s\n", now(), who.c_str(), text.c_str());
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_;
};

inline sockaddr_in loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

// Returns a listening socket on a free port, which is stored in `port`.
inline int listen_on_free_port(std::uint16_t& port) {
  const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = loopback(0);
  socklen_t size = sizeof address;
  if (::bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) return -1;
  if (::listen(listener, 1024) != 0) return -1;
  ::getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return listener;
}

// Returns a port that is free now.
inline std::uint16_t free_port() {
  std::uint16_t port = 0;
  ::close(listen_on_free_port(port));
  return port;
}

inline std::string address_text(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

// One TCP connection with buffered, timed reads.
class Connection {
 public:
  explicit Connection(int socket = -1) : socket_(socket) {}
  ~Connection() { close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Connects to a port. `receive_buffer`, unless 0, limits the kernel's buffer, as at a slow reader.
  bool connect(std::uint16_t port, int receive_buffer = 0) {
    close();
    socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (receive_buffer != 0)
      ::setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    const sockaddr_in address = loopback(port);
    return ::connect(socket_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
  }

  bool write(std::string_view bytes) const {
    while (!bytes.empty()) {
      const ssize_t written = ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (written < 0 && errno == EINTR) continue;
      if (written <= 0) return false;
      bytes.remove_prefix(std::size_t(written));
    }
    return true;
  }

  // Reads more bytes into the buffer, at most `limit`. Returns false at the end, a reset or the deadline, and
  // then end() tells which.
  bool read_more(double deadline, std::size_t limit = 65536) {
    const int left_ms = int(std::max(0.0, deadline - now()) * 1000) + 1;
    pollfd request{socket_, POLLIN, 0};
    if (::poll(&request, 1, left_ms) <= 0) {
      end_ = "nothing more came";
      return false;
    }
    std::string bytes(limit, '\0');
    const ssize_t size = ::recv(socket_, bytes.data(), bytes.size(), 0);
    if (size > 0) {
      buffer_.append(bytes, 0, std::size_t(size));
      return true;
    }
    is_reset_ = size < 0;
    end_ = size == 0 ? "closed by the other side" : "reset by the other side";
    return false;
  }

  // Takes bytes up to and including `mark`.
  bool take_until(const std::string& mark, double deadline, std::string& taken) {
    std::size_t position = buffer_.find(mark);
    while (position == std::string::npos) {
      if (!read_more(deadline)) return false;
      position = buffer_.find(mark);
    }
    taken = take(position + mark.size());
    return true;
  }
  std::string take(std::size_t size) {
    std::string taken = buffer_.substr(0, size);
    buffer_.erase(0, taken.size());
    return taken;
  }

  // Whether the other machine has acknowledged all that was written.
  [[nodiscard]] bool is_all_delivered() const {
    int bytes = 0;
    return ::ioctl(socket_, SIOCOUTQ, &bytes) == 0 && bytes == 0;
  }
  void reset() {
    const linger abort{1, 0};
    ::setsockopt(socket_, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
    close();
  }
  void close() {
    if (socket_ >= 0) ::close(socket_);
    socket_ = -1;
    buffer_.clear();
  }
  [[nodiscard]] int socket() const { return socket_; }
  [[nodiscard]] std::string& buffer() { return buffer_; }
  [[nodiscard]] const std::string& end() const { return end_; }
  [[nodiscard]] bool is_reset() const { return is_reset_; }

 private:
  int socket_;
  std::string buffer_;
  std::string end_;
  bool is_reset_ = false;
};

struct Message {
  std::string first_line;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
  bool has_head = false;
  bool is_whole = false;
  std::string end;  // why it is not whole
  double ended_at = 0;

  [[nodiscard]] std::string header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
  [[nodiscard]] int status() const { return first_line.size() < 12 ? 0 : std::atoi(first_line.c_str() + 9); }
};

inline void parse_head(const std::string& head, Message& message) {
  std::size_t start = head.find("\r\n");
  message.first_line = head.substr(0, start);
  start += 2;
  while (start < head.size()) {
    const std::size_t end = head.find("\r\n", start);
    const std::string line = head.substr(start, end - start);
    start = end + 2;
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    message.headers[name] = value == std::string::npos ? "" : line.substr(value);
  }
  message.has_head = true;
}

// Reads `size` bytes of a body. `pace`, unless 0, is the number of bytes that are read in a second.
inline bool read_body(Connection& connection, std::size_t size, double deadline, double pace,
                      Message& message) {
  const double started_at = now();
  std::size_t read = 0;
  while (read < size) {
    if (connection.buffer().empty()) {
      if (pace > 0) sleep_until(started_at + double(read) / pace);
      if (!connection.read_more(deadline, pace > 0 ? 16384 : 65536)) return false;
    }
    const std::string part = connection.take(size - read);
    read += part.size();
    message.body += part;
  }
  return true;
}

inline bool read_chunked_body(Connection& connection, double deadline, Message& message) {
  while (true) {
    std::string line;
    if (!connection.take_until("\r\n", deadline, line)) return false;
    const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
    if (!read_body(connection, size, deadline, 0, message)) return false;
    if (!connection.take_until("\r\n", deadline, line)) return false;
    if (size == 0) return true;
  }
}

inline bool read_rest(Connection& connection, bool is_request, double deadline, double pace,
                      Message& message) {
  std::string head;
  do {
    if (!connection.take_until("\r\n\r\n", deadline, head)) return false;
    message.headers.clear();
    parse_head(head, message);
  } while (!is_request && message.status() >= 100 && message.status() < 200);
  if (message.header("transfer-encoding") == "chunked")
    return read_chunked_body(connection, deadline, message);
  const std::string length = message.header("content-length");
  if (is_request || !length.empty())
    return read_body(connection, std::strtoul(length.c_str(), nullptr, 10), deadline, pace, message);
  while (connection.read_more(deadline)) message.body += connection.take(connection.buffer().size());
  return connection.end().starts_with("closed");
}

// Reads a request or a response. `pace` is that of read_body().
inline Message read_message(Connection& connection, bool is_request, double deadline, double pace = 0) {
  Message message;
  message.is_whole = read_rest(connection, is_request, deadline, pace, message);
  if (!message.is_whole) message.end = connection.end();
  message.ended_at = now();
  return message;
}

// Accepts connections and serves each in a thread of its own.
class Listener {
 public:
  using Handler = std::function<void(Connection&)>;
  explicit Listener(Handler handler) : handler_(std::move(handler)) {
    listener_ = listen_on_free_port(port_);
    std::thread([this] { accept_all(); }).detach();
  }
  [[nodiscard]] std::uint16_t port() const { return port_; }

 private:
  void accept_all() {
    while (true) {
      const int socket = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0) continue;
      const int on = 1;
      ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread([this, socket] {
        Connection connection(socket);
        handler_(connection);
      }).detach();
    }
  }

  Handler handler_;
  int listener_ = -1;
  std::uint16_t port_ = 0;
};

// A booking server: reads requests one after another and passes each to `answer`, which writes the answer and
// returns whether the connection stays open.
class BookingServer {
 public:
  using Answer = std::function<bool(Connection&, const Message&)>;
  BookingServer(std::string name, Record& record, Answer answer)
      : name_(std::move(name)),
        record_(record),
        answer_(std::move(answer)),
        listener_([this](Connection& c) { serve(c); }) {}
  [[nodiscard]] std::uint16_t port() const { return listener_.port(); }
  [[nodiscard]] const std::string& name() const { return name_; }
  [[nodiscard]] int requests() const { return requests_; }

 private:
  void serve(Connection& connection) {
    while (true) {
      const Message request = read_message(connection, true, now() + 15);
      if (!request.is_whole) return;
      ++requests_;
      record_.line(name_, "ran " + request.header("x-trace-id") + ": " + request.first_line);
      if (!answer_(connection, request)) return;
    }
  }

  std::string name_;
  Record& record_;
  Answer answer_;
  std::atomic<int> requests_{0};
  Listener listener_;
};

inline std::string ok_response(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string member_list(const std::vector<const BookingServer*>& servers) {
  std::string members;
  int cell = 0;
  for (const BookingServer* server : servers) {
    if (!members.empty()) members += ",";
    members += R"({"id":")" + server->name() + R"(","host_port":")" + address_text(server->port()) +
               R"(","locality":"north-bldg","flavor":"std-3core","cell":)" + std::to_string(cell++) +
               R"(,"phase":"up","size":1.0,"up_since_ms":0})";
  }
  return R"({"revision":41,"complete":true,"members":[)" + members + "]}";
}

// The discovery agent: writes the whole list to each watch, then an empty line every 2 s.
class Discovery {
 public:
  explicit Discovery(std::string list)
      : list_(std::move(list)), listener_([this](Connection& connection) { serve(connection); }) {}
  [[nodiscard]] std::uint16_t port() const { return listener_.port(); }

 private:
  static std::string chunk(const std::string& bytes) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
  }
  void serve(Connection& connection) const {
    if (!read_message(connection, true, now() + 5).is_whole) return;
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    if (!connection.write(head + chunk(list_ + "\n"))) return;
    do sleep_for(2);
    while (connection.write(chunk("\n")));
  }

  const std::string list_;
  Listener listener_;
};

// What run.sh passes: the command of the deploy file, the root of the project, the case's folder, whether the
// disruption takes place.
struct Arguments {
  std::string run;
  std::string root;
  std::string folder;
  bool trouble = true;
};

inline Arguments parse_arguments(int argc, char** argv) {
  if (argc != 4) {
    std::fprintf(stderr, "usage: %s RUN ROOT FOLDER\n", argv[0]);
    std::exit(kCouldNotRun);
  }
  const char* trouble = std::getenv("TROUBLE");
  return {argv[1], argv[2], argv[3], trouble == nullptr || std::string(trouble) != "0"};
}

// One gateway process, started with the command of the deploy file. It ends with this object.
class Gateway {
 public:
  Gateway(const Arguments& arguments, Record& record) : arguments_(arguments), record_(record) {
    std::string name = std::filesystem::temp_directory_path() / "quota-gateway-review-XXXXXX";
    folder_ = ::mkdtemp(name.data());
    temporary_folder_ = folder_ + "/tmp";
    std::filesystem::create_directory(temporary_folder_);
  }
  ~Gateway() {
    end();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  // Starts the process and waits until its admin address says that it is ready.
  bool start(const std::string& known, std::uint16_t discovery_port, const std::string& settings,
             const std::string& limits = R"({"cores":1.0,"memory_mb":192,"sockets":1024})") {
    port_ = free_port();
    admin_port_ = free_port();
    std::ofstream(folder_ + "/config.json")
        << R"({"name":"n0","listen":")" << address_text(port_) << R"(","admin_addr":")"
        << address_text(admin_port_) << R"(","discovery":")" << address_text(discovery_port)
        << R"(","seed":"8c1f30d27a5be964","limits":)" << limits << R"(,"known":)" << known
        << R"(,"settings":)" << settings << "}";
    pid_ = ::fork();
    if (pid_ == 0) run();
    record_.line("platform", "started the gateway: " + arguments_.run);
    for (const double deadline = now() + 15; now() < deadline; sleep_for(0.05)) {
      Connection connection;
      if (!connection.connect(admin_port_)) continue;
      connection.write("GET /-/ready HTTP/1.1\r\nHost: admin\r\n\r\n");
      if (read_message(connection, false, now() + 1).status() != 200) continue;
      record_.line("platform", "the gateway is ready");
      return true;
    }
    record_.line("platform", "the gateway did not become ready");
    return false;
  }

  void send_signal(int signal) {
    record_.line("platform",
                 "sends signal " + std::to_string(signal) + (signal == SIGTERM ? " (SIGTERM)" : ""));
    ::kill(pid_, signal);
  }
  // Whether the process has ended by itself; records how.
  bool has_exited() {
    if (pid_ <= 0) return true;
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) != pid_) return false;
    pid_ = 0;
    record_.line("platform", WIFEXITED(status)
                                 ? "the gateway ended by itself, code " + std::to_string(WEXITSTATUS(status))
                                 : "the gateway was ended by signal " + std::to_string(WTERMSIG(status)));
    return true;
  }
  void end() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = 0;
    record_.line("platform", "SIGKILL: the gateway has ended");
  }
  [[nodiscard]] std::uint16_t port() const { return port_; }

 private:
  [[noreturn]] void run() const {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // nothing is left behind if this program is stopped
    const int log = ::open((arguments_.folder + "/gateway.log").c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    ::setenv("RELAY_NAME", "n0", 1);
    ::setenv("RELAY_CONFIG", (folder_ + "/config.json").c_str(), 1);
    ::setenv("RELAY_LISTEN", address_text(port_).c_str(), 1);
    ::setenv("RELAY_ADMIN_ADDR", address_text(admin_port_).c_str(), 1);
    ::setenv("TMPDIR", temporary_folder_.c_str(), 1);

    if (::chdir(arguments_.root.c_str()) == 0)
      ::execl("/bin/sh", "sh", "-c", arguments_.run.c_str(), static_cast<char*>(nullptr));
    ::_exit(127);
  }

  const Arguments& arguments_;
  Record& record_;
  std::string folder_;
  std::string temporary_folder_;
  pid_t pid_ = 0;
  std::uint16_t port_ = 0;
  std::uint16_t admin_port_ = 0;
};

// Settings like those of the example on the page WIRE: one gateway, two classes, no limit of a plan in reach.
inline std::string settings() {
  return R"({"Az":"north-bldg","ReplicasOfMe":1,"Position":0,"Zones":["north-bldg"],
    "Classes":[
      {"Name":"space-lookup","Repeat":"safe","DedupScope":"all","ObjectiveUs":750000,"GiveUpUs":2000000,
       "WindowUs":5000000,"Importance":2.0,"LateValue":0.2,"Stream":false},
      {"Name":"space-booking","Repeat":"keyed","DedupScope":"all","ObjectiveUs":1200000,"GiveUpUs":5000000,
       "WindowUs":10000000,"Importance":5.0,"LateValue":0.2,"Stream":false}],
    "Limits":{"ConnIdleUs":15000000,"DialTimeoutUs":250000,"MaxAttempts":5,"MaxOpen":20000,
      "MaxRetryAfterUs":2000000,"MayCancel":true,"MayDuplicate":false,"Probes":false,"RetryAfter":true},
    "MembershipMode":"pushed","Extra":{"SharedCounter":false,"Largest":4},
    "Obligations":{"GraceToAnswerUs":8000,"StopSendingWithinUs":250000,"ColdShare":0.21,"ColdUs":18000000,
      "TipAfterUs":2000000,"TipMultiple":3.0},
    "TiersOfService":[{"Name":"fleet","QuotaRate":200.0,"Depth":400.0,"ValueFactor":1.6,"OverrunCost":0.6}],
    "TickUs":2000,"Weights":"off"})";
}

// A request of a customer on the plan `fleet`. `body` stays empty for a class that is safe to repeat.
inline std::string request_text(const std::string& request_class, const std::string& id, int timeout_ms,
                                const std::string& body = "", int customer = 7) {
  char customer_id[17];
  std::snprintf(customer_id, sizeof customer_id, "%016x", customer);
  const bool has_body = request_class == "space-booking";
  std::string text = (has_body ? "POST /" : "GET /") + request_class + "/" + customer_id + " HTTP/1.1\r\n";
  text += "Host: origin.svc\r\nX-Trace-Id: " + id +
          "\r\nPlan: fleet\r\nX-Expires-In: " + std::to_string(timeout_ms) +
          "m\r\nQuota-Info: units=1,spread=1,first=0\r\n";
  if (has_body) {
    text += "Idempotency-Key: key-" + id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

inline int report(Record& record, int lost, int refused_or_failed, int served) {
  record.line("result", std::to_string(served) + " served, " + std::to_string(refused_or_failed) +
                            " refused or failed, " + std::to_string(lost) + " broken");
  return lost > 0 ? kBroken : kHeld;
}

}  // namespace review
