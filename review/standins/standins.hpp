// Stand-ins for the platform around a gateway: booking servers, discovery, the quota counter, clients, and
// the gateway's own process. They follow PROTOCOL and run as threads of one driver; the gateway is a separate
// process, started with the command of the deploy file. Everything is on 127.0.0.1 and in real time.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Json = nlohmann::json;

inline std::int64_t steady_ms() {
  using namespace std::chrono;
  return duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count();
}
inline void sleep_ms(std::int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

// ---- Record -----------------------------------------------------------------------------------------------

// What was sent, answered and run, one line each, with the milliseconds since the start.
class Record {
 public:
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")), start_(steady_ms()) {
    if (!file_) std::exit(2);
  }
  __attribute__((format(printf, 2, 3))) void line(const char* format, ...) {
    const std::lock_guard lock(mutex_);
    std::fprintf(file_, "%7lld ", static_cast<long long>(now()));
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }
  [[nodiscard]] std::int64_t now() const { return steady_ms() - start_; }

 private:
  std::mutex mutex_;
  std::FILE* file_;
  std::int64_t start_;
};

// Exit code 2: the case could not run.
[[noreturn]] inline void cannot_run(const std::string& why) {
  std::fprintf(stderr, "cannot run: %s\n", why.c_str());
  std::_Exit(2);
}

// ---- Sockets ----------------------------------------------------------------------------------------------

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}
inline std::string address_text(int port) { return "127.0.0.1:" + std::to_string(port); }

inline int listen_on_free_port(int& port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = loopback(0);
  socklen_t size = sizeof address;
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || ::listen(fd, 512) != 0 ||
      ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0)
    cannot_run("no free port");
  port = ntohs(address.sin_port);
  return fd;
}
inline int free_port() {
  int port = 0;
  ::close(listen_on_free_port(port));
  return port;
}
// Returns -1 if the connection is refused or does not come up.
inline int connect_to(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = loopback(port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    ::close(fd);
    return -1;
  }
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}
inline bool write_all(int fd, const char* data, std::size_t size) {
  while (size > 0) {
    const ssize_t written = ::send(fd, data, size, MSG_NOSIGNAL);
    if (written < 0 && errno == EINTR) continue;
    if (written <= 0) return false;
    data += written;
    size -= static_cast<std::size_t>(written);
  }
  return true;
}
inline bool write_all(int fd, const std::string& text) { return write_all(fd, text.data(), text.size()); }
inline bool wait_readable(int fd, std::int64_t until) {
  while (true) {
    const std::int64_t left = until - steady_ms();
    if (left <= 0) return false;
    pollfd poll_request{fd, POLLIN, 0};
    const int ready = ::poll(&poll_request, 1, static_cast<int>(left));
    if (ready > 0) return true;
    if (ready < 0 && errno != EINTR) return false;
  }
}
// Accepts connections for ever, each in a thread of its own that owns the descriptor.
inline void serve(int listener, std::function<void(int)> on_connection) {
  std::thread([listener, on_connection = std::move(on_connection)] {
    while (true) {
      const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        sleep_ms(5);
        continue;
      }
      const int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread([fd, on_connection] {
        on_connection(fd);
        ::close(fd);
      }).detach();
    }
  }).detach();
}

// ---- HTTP -------------------------------------------------------------------------------------------------

struct Message {
  std::string start_line;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
  [[nodiscard]] std::string header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
  [[nodiscard]] std::string word(int index) const {
    std::size_t start = 0;
    for (; index > 0; --index) start = start_line.find(' ', start) + 1;
    return start_line.substr(start, start_line.find(' ', start) - start);
  }
};

enum class ReadEnd { kWhole, kNothing, kCut, kTimeout };

// Reads messages from one connection.
class HttpReader {
 public:
  explicit HttpReader(int fd) : fd_(fd) {}

  // The most bytes per second that this reader takes; 0: as fast as it can.
  std::size_t pace = 0;

  // kNothing: the connection ended before the first byte. kCut: it ended inside the message.
  ReadEnd read(Message& message, std::int64_t until) {
    message = {};
    std::size_t head_end = std::string::npos;
    while ((head_end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      const ReadEnd end = fill(until);
      if (end != ReadEnd::kWhole) return end == ReadEnd::kCut && buffer_.empty() ? ReadEnd::kNothing : end;
    }
    parse_head(message, buffer_.substr(0, head_end));
    buffer_.erase(0, head_end + 4);
    const bool is_response = message.start_line.rfind("HTTP/", 0) == 0;
    if (message.header("transfer-encoding").find("chunked") != std::string::npos)
      return read_chunked(message, until);
    if (!message.header("content-length").empty()) {
      const std::size_t length = std::stoull(message.header("content-length"));
      while (buffer_.size() < length) {
        const ReadEnd end = fill(until);
        if (end != ReadEnd::kWhole) return partial(message, end);
      }
      message.body = buffer_.substr(0, length);
      buffer_.erase(0, length);
      return ReadEnd::kWhole;
    }
    if (!is_response) return ReadEnd::kWhole;
    while (true) {
      const ReadEnd end = fill(until);
      if (end == ReadEnd::kWhole) continue;
      partial(message, end);
      return end == ReadEnd::kCut && last_errno_ == 0 ? ReadEnd::kWhole : end;
    }
  }
  [[nodiscard]] int last_errno() const { return last_errno_; }  // 0: orderly end
  [[nodiscard]] bool has_more() const { return !buffer_.empty(); }

 private:
  ReadEnd partial(Message& message, ReadEnd end) {
    message.body += buffer_;
    buffer_.clear();
    return end;
  }
  ReadEnd fill(std::int64_t until) {
    char chunk[32768];
    std::size_t most = sizeof chunk;
    if (pace > 0) {
      // Takes as many bytes at a time as the pace gives in a tenth of a second, or less.
      most = std::min(most, pace / 10);
      const std::int64_t due = last_fill_ + static_cast<std::int64_t>(1000 * most / pace);
      if (const std::int64_t left = due - steady_ms(); left > 0) sleep_ms(left);
    }
    if (!wait_readable(fd_, until)) return ReadEnd::kTimeout;
    const ssize_t size = ::recv(fd_, chunk, most, 0);
    last_fill_ = steady_ms();
    last_errno_ = size < 0 ? errno : 0;
    if (size <= 0) return ReadEnd::kCut;
    buffer_.append(chunk, static_cast<std::size_t>(size));
    return ReadEnd::kWhole;
  }
  static void parse_head(Message& message, const std::string& head) {
    std::size_t start = 0;
    while (start <= head.size()) {
      std::size_t end = head.find("\r\n", start);
      if (end == std::string::npos) end = head.size();
      const std::string line = head.substr(start, end - start);
      if (start == 0) {
        message.start_line = line;
      } else if (const auto colon = line.find(':'); colon != std::string::npos) {
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return std::tolower(c); });
        const auto value = line.find_first_not_of(' ', colon + 1);
        message.headers[name] = value == std::string::npos ? "" : line.substr(value);
      }
      start = end + 2;
    }
  }
  ReadEnd read_chunked(Message& message, std::int64_t until) {
    while (true) {
      std::size_t line_end = std::string::npos;
      while ((line_end = buffer_.find("\r\n")) == std::string::npos) {
        const ReadEnd end = fill(until);
        if (end != ReadEnd::kWhole) return end;
      }
      const std::size_t size = std::strtoull(buffer_.c_str(), nullptr, 16);
      while (buffer_.size() < line_end + 2 + size + 2) {
        const ReadEnd end = fill(until);
        if (end != ReadEnd::kWhole) {
          message.body += buffer_.substr(std::min(buffer_.size(), line_end + 2));
          return end;
        }
      }
      message.body.append(buffer_, line_end + 2, size);
      buffer_.erase(0, line_end + 2 + size + 2);
      if (size == 0) return ReadEnd::kWhole;
    }
  }

  int fd_;
  std::string buffer_;
  std::int64_t last_fill_ = 0;
  int last_errno_ = 0;
};

// ---- Requests that clients sent ---------------------------------------------------------------------------

struct SentRequest {
  std::string method, target, key, body;
};

// The requests that clients sent in the protocol's form, by X-Trace-Id. Booking servers look them up.
class Ledger {
 public:
  void add(const std::string& id, SentRequest request) {
    const std::lock_guard lock(mutex_);
    sent_[id] = std::move(request);
  }
  bool find(const std::string& id, SentRequest& request) const {
    const std::lock_guard lock(mutex_);
    const auto found = sent_.find(id);
    if (found == sent_.end()) return false;
    request = found->second;
    return true;
  }

 private:
  mutable std::mutex mutex_;
  std::map<std::string, SentRequest> sent_;
};

inline std::string new_id() {
  static std::atomic<std::uint64_t> last{0x9b1f03aa00000000ULL + static_cast<std::uint64_t>(::getpid())};
  char text[32];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(last += 0x10001));
  return text;
}

// The body that a booking server makes for a request: every 40 bytes name the server and the request.
inline std::string answer_body(const std::string& server, const std::string& id, std::size_t size) {
  std::string body;
  body.reserve(size + 40);
  char unit[64];
  for (std::size_t i = 0; body.size() < size; ++i) {
    std::snprintf(unit, sizeof unit, "%-6.6s %16.16s %015zu\n", server.c_str(), id.c_str(), i);
    body += unit;
  }
  body.resize(size);
  return body;
}

// ---- Booking servers --------------------------------------------------------------------------------------

class BookingServer {
 public:
  // Serves one whole request: returns false if the connection must end.
  using Handler = std::function<bool(BookingServer&, int fd, const Message& request)>;

  BookingServer(std::string name, Record& record, const Ledger& ledger, Handler handler)
      : id(std::move(name)), record_(record), ledger_(ledger), handler_(std::move(handler)) {
    serve(listen_on_free_port(port), [this](int fd) { on_connection(fd); });
  }

  const std::string id;
  int port = 0;
  std::atomic<int> unknown_requests{0};  // whole requests that no client sent in this form

 private:
  void on_connection(int fd) {
    HttpReader reader(fd);
    while (true) {
      Message request;
      // Idle connections are closed after the 15 s of the settings.
      if (reader.read(request, steady_ms() + 15'000) != ReadEnd::kWhole) return;
      const std::string trace = request.header("x-trace-id");
      record_.line("run      %s %s %s body=%zu key=%s expires=%s", id.c_str(), trace.c_str(),
                   request.start_line.c_str(), request.body.size(), request.header("idempotency-key").c_str(),
                   request.header("x-expires-in").c_str());
      SentRequest sent;
      const bool is_known = ledger_.find(trace, sent) && sent.method == request.word(0) &&
                            sent.target == request.word(1) && sent.body == request.body &&
                            sent.key == request.header("idempotency-key");
      if (!is_known) {
        ++unknown_requests;
        record_.line("UNKNOWN  %s %s: no client sent this request in this form", id.c_str(), trace.c_str());
        const char* status = trace.empty() ? "404 Not Found" : "400 Bad Request";
        if (!write_all(fd, std::string("HTTP/1.1 ") + status + "\r\nContent-Length: 0\r\n\r\n")) return;
        continue;
      }
      if (!handler_(*this, fd, request)) return;
    }
  }

  Record& record_;
  const Ledger& ledger_;
  const Handler handler_;
};

inline std::string answer_head(std::size_t length) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}

// ---- Discovery --------------------------------------------------------------------------------------------

struct Member {
  std::string id, phase = "up", zone = "north-bldg";
  int port = 0, cell = 0;
};

// The agent of discovery on the gateway's machine.
class Discovery {
 public:
  Discovery() {
    serve(listen_on_free_port(port), [this](int fd) { on_connection(fd); });
  }
  int port = 0;
  std::atomic<int> answer_delay_ms{0};  // from a call to the first byte of its answer
  std::atomic<int> calls{0};

  void set(const Member& member) {
    const std::lock_guard lock(mutex_);
    members_[member.id] = {member, ++revision_};
  }
  [[nodiscard]] Json whole_list() {
    const std::lock_guard lock(mutex_);
    return list(-1);
  }

 private:
  struct Entry {
    Member member;
    int revision = 0;
  };
  Json list(int after) {
    Json members = Json::array();
    for (const auto& [id, entry] : members_) {
      if (entry.revision <= after) continue;
      members.push_back({{"id", id},
                         {"host_port", address_text(entry.member.port)},
                         {"locality", entry.member.zone},
                         {"flavor", "std-3core"},
                         {"cell", entry.member.cell},
                         {"phase", entry.member.phase},
                         {"size", 1.0},
                         {"up_since_ms", 0}});
    }
    return {{"revision", revision_}, {"complete", after < 0}, {"members", members}};
  }
  static std::string chunk(const std::string& text) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
  }
  void on_connection(int fd) {
    HttpReader reader(fd);
    Message call;
    if (reader.read(call, steady_ms() + 15'000) != ReadEnd::kWhole) return;
    ++calls;
    if (answer_delay_ms > 0) sleep_ms(answer_delay_ms);
    const std::string target = call.word(1);
    const auto position = target.find("after=");
    int known = position == std::string::npos ? -1 : std::atoi(target.c_str() + position + 6);
    std::string text;
    {
      const std::lock_guard lock(mutex_);
      text = list(known).dump() + "\n";
      known = revision_;
    }
    if (target.find("watch=1") == std::string::npos) {
      write_all(fd, answer_head(text.size()) + text);
      return;
    }
    if (!write_all(fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(text))) return;
    std::int64_t heartbeat_at = steady_ms() + 2000;
    while (true) {
      if (wait_readable(fd, steady_ms() + 10)) return;  // the gateway has closed the watch
      text.clear();
      {
        const std::lock_guard lock(mutex_);
        if (revision_ > known) text = list(known).dump() + "\n";
        known = revision_;
      }
      if (text.empty() && steady_ms() >= heartbeat_at) text = "\n";
      if (text.empty()) continue;
      heartbeat_at = steady_ms() + 2000;
      if (!write_all(fd, chunk(text))) return;
    }
  }

  std::mutex mutex_;
  std::map<std::string, Entry> members_;
  int revision_ = 40;
};

// ---- The quota counter ------------------------------------------------------------------------------------

class Counter {
 public:
  Counter() {
    serve(listen_on_free_port(port), [this](int fd) { on_connection(fd); });
  }
  int port = 0;

 private:
  struct Count {
    double total = 0;
    std::int64_t ends_at = 0;
  };
  void on_connection(int fd) {
    std::string buffer;
    while (true) {
      if (!wait_readable(fd, steady_ms() + 10'000)) return;
      char chunk[4096];
      const ssize_t size = ::recv(fd, chunk, sizeof chunk, 0);
      if (size <= 0) return;
      buffer.append(chunk, static_cast<std::size_t>(size));
      std::vector<std::string> words;
      while (take_command(buffer, words))
        if (!write_all(fd, reply(words))) return;
    }
  }
  static bool take_line(const std::string& buffer, std::size_t& at, std::string& line) {
    const auto end = buffer.find("\r\n", at);
    if (end == std::string::npos) return false;
    line = buffer.substr(at, end - at);
    at = end + 2;
    return true;
  }
  static bool take_command(std::string& buffer, std::vector<std::string>& words) {
    std::size_t at = 0;
    std::string line;
    words.clear();
    if (!take_line(buffer, at, line)) return false;
    const int count = std::atoi(line.c_str() + 1);
    for (int i = 0; i < count; ++i) {
      if (!take_line(buffer, at, line)) return false;
      const std::size_t length = std::strtoull(line.c_str() + 1, nullptr, 10);
      if (buffer.size() < at + length + 2) return false;
      words.push_back(buffer.substr(at, length));
      at += length + 2;
    }
    buffer.erase(0, at);
    return true;
  }
  std::string reply(const std::vector<std::string>& words) {
    if (words.size() == 1 && words[0] == "PING") return "+PONG\r\n";
    if (words.size() != 4 || words[0] != "CNT.ADD") return "-ERR no such call\r\n";
    const std::lock_guard lock(mutex_);
    Count& count = counts_[words[1]];
    if (steady_ms() >= count.ends_at)
      count = {0, steady_ms() + std::clamp<std::int64_t>(std::atoll(words[3].c_str()), 1, 60'000)};
    count.total += std::atof(words[2].c_str());
    char text[64];
    const int length = std::snprintf(text, sizeof text, "%.7g", count.total);
    return "$" + std::to_string(length) + "\r\n" + text + "\r\n";
  }

  std::mutex mutex_;
  std::map<std::string, Count> counts_;
};

// ---- The gateway ------------------------------------------------------------------------------------------

// Settings like those of a small deployment: two gateways, a safe and a keyed class, three plans.
inline Json small_deployment(int gateways, int position) {
  return {
      {"Az", "north-bldg"},
      {"ReplicasOfMe", gateways},
      {"Position", position},
      {"TickUs", 2000},
      {"MembershipMode", "pushed"},
      {"Weights", "rough"},
      {"Zones", {"north-bldg", "south-bldg"}},
      {"Classes",
       {{{"Name", "space-lookup"},
         {"Repeat", "safe"},
         {"DedupScope", "all"},
         {"WindowUs", 5'000'000},
         {"ObjectiveUs", 750'000},
         {"GiveUpUs", 2'000'000},
         {"Importance", 2.0},
         {"LateValue", 0.0}},
        {{"Name", "space-booking"},
         {"Repeat", "keyed"},
         {"DedupScope", "all"},
         {"WindowUs", 10'000'000},
         {"ObjectiveUs", 1'200'000},
         {"GiveUpUs", 5'000'000},
         {"Importance", 5.0},
         {"LateValue", 0.2}}}},
      {"TiersOfService",
       {{{"Name", "basic"}, {"QuotaRate", 2.0}, {"Depth", 8.0}, {"OverrunCost", 1.0}, {"ValueFactor", 0.72}},
        {{"Name", "standard"},
         {"QuotaRate", 8.0},
         {"Depth", 43.0},
         {"MaxOut", 3},
         {"NeverOverRate", 16.0},
         {"HardBurst", 86.0},
         {"CapSlack", 8.6},
         {"OverrunCost", 1.0},
         {"ValueFactor", 1.1}},
        {{"Name", "fleet"},
         {"QuotaRate", 30.0},
         {"Depth", 68.0},
         {"OverrunCost", 0.6},
         {"ValueFactor", 1.6}}}},
      {"Limits",
       {{"MaxAttempts", 5},
        {"MayCancel", true},
        {"MayDuplicate", false},
        {"Peers", false},
        {"Probes", true},
        {"RetryAfter", true},
        {"MaxRetryAfterUs", 2'000'000},
        {"ConnIdleUs", 15'000'000},
        {"DialTimeoutUs", 250'000},
        {"MaxOpen", 20'000},
        {"MaxStreams", 32}}},
      {"Extra",
       {{"SharedCounter", true}, {"CounterTimeoutUs", 50'000}, {"Largest", 4}, {"CostAfter", false}}},
      {"Obligations",
       {{"ColdShare", 0.21},
        {"ColdUs", 18'000'000},
        {"GraceToAnswerUs", 8000},
        {"StopSendingWithinUs", 250'000},
        {"TipAfterUs", 2'000'000},
        {"TipMultiple", 3.0},
        {"AskWithinUs", 10'000'000}}},
  };
}

// One gateway, started with the deploy file's `run`. `folder` is a temporary folder of the script.
class Gateway {
 public:
  Gateway(const std::string& folder, int number, const Json& settings, Discovery& discovery, Counter& counter,
          int memory_mb = 192)
      : name_("n" + std::to_string(number)), port(free_port()), admin_port(free_port()) {
    const std::string own = folder + "/" + name_;
    const std::string temporary = own + "-tmp";
    if (::mkdir(temporary.c_str(), 0700) != 0) cannot_run("no temporary folder");
    const Json configuration = {{"name", name_},
                                {"listen", address_text(port)},
                                {"admin_addr", address_text(admin_port)},
                                {"discovery", address_text(discovery.port)},
                                {"counter", address_text(counter.port)},
                                {"seed", "8c1f30d27a5be96" + std::to_string(number)},
                                {"limits", {{"cores", 1.0}, {"memory_mb", memory_mb}, {"sockets", 1024}}},
                                {"known", discovery.whole_list()},
                                {"settings", settings}};
    std::ofstream(own + ".json") << configuration.dump(1);
    const char* command = std::getenv("REVIEW_RUN");
    if (!command) cannot_run("REVIEW_RUN, the deploy file's run, is not set");
    pid_ = ::fork();
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const rlimit descriptors{1024, 1024};
      ::setrlimit(RLIMIT_NOFILE, &descriptors);
      ::setenv("RELAY_NAME", name_.c_str(), 1);
      ::setenv("RELAY_LISTEN", address_text(port).c_str(), 1);
      ::setenv("RELAY_DISCOVERY", address_text(discovery.port).c_str(), 1);
      ::setenv("RELAY_CONFIG", (own + ".json").c_str(), 1);
      ::setenv("TMPDIR", temporary.c_str(), 1);
      if (!std::freopen((own + ".log").c_str(), "w", stderr)) ::_exit(2);
      ::execl("/bin/sh", "sh", "-c", command, nullptr);
      ::_exit(127);
    }
  }
  ~Gateway() { end(); }
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  // Waits until the front may admit the gateway.
  void await_ready() const {
    const std::int64_t until = steady_ms() + 10'000;
    while (steady_ms() < until) {
      const int fd = connect_to(port);
      if (fd >= 0) {
        write_all(fd, "GET /_health HTTP/1.1\r\nHost: origin.svc\r\n\r\n");
        HttpReader reader(fd);
        Message answer;
        const bool is_up =
            reader.read(answer, steady_ms() + 1000) == ReadEnd::kWhole && answer.word(1) == "200";
        ::close(fd);
        if (is_up) return;
      }
      sleep_ms(20);
    }
    cannot_run("a gateway did not become ready");
  }
  [[nodiscard]] bool has_ended() {
    if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_) pid_ = -1;
    return pid_ <= 0;
  }
  void end() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
  [[nodiscard]] pid_t pid() const { return pid_; }

 private:
  std::string name_;
  pid_t pid_ = -1;

 public:
  const int port;
  const int admin_port;
};

// ---- Clients ----------------------------------------------------------------------------------------------

struct RequestForm {
  std::string request_class = "space-lookup";
  std::string customer = "00000000b4d65521";
  std::string plan = "fleet";
  std::string query;
  int expires_ms = 2000;
  int units = 1;
  int spread = 2;
  std::string more_headers;  // each ends in CRLF
};

// A request in the form of PROTOCOL without a body, entered into the ledger.
inline std::string lookup_request(Ledger& ledger, const std::string& id, const RequestForm& form) {
  const std::string target =
      "/" + form.request_class + "/" + form.customer + (form.query.empty() ? "" : "?" + form.query);
  ledger.add(id, {"GET", target, "", ""});
  return "GET " + target + " HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: " + id + "\r\nPlan: " + form.plan +
         "\r\nX-Expires-In: " + std::to_string(form.expires_ms) +
         "m\r\nQuota-Info: units=" + std::to_string(form.units) + ",spread=" + std::to_string(form.spread) +
         ",first=0\r\n" + form.more_headers + "\r\n";
}

// A booking in the form of PROTOCOL, with its body's length or in chunks of 16 KiB; entered into the ledger.
inline std::string booking_request(Ledger& ledger, const std::string& id, const std::string& customer,
                                   const std::string& body, bool is_chunked = false) {
  const std::string target = "/space-booking/" + customer;
  const std::string key = "5c0f6e1a2b3d4c59" + id;
  ledger.add(id, {"POST", target, key, body});
  std::string text = "POST " + target + " HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: " + id +
                     "\r\nPlan: fleet\r\nX-Expires-In: 5000m\r\nIdempotency-Key: " + key +
                     "\r\nQuota-Info: units=1,spread=2,first=0\r\n";
  if (!is_chunked) return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  text += "Transfer-Encoding: chunked\r\n\r\n";
  for (std::size_t at = 0; at < body.size(); at += 16'384) {
    const std::string part = body.substr(at, 16'384);
    char size[24];
    std::snprintf(size, sizeof size, "%zx\r\n", part.size());
    text += size + part + "\r\n";
  }
  return text + "0\r\n\r\n";
}

inline bool trouble() {
  const char* text = std::getenv("TROUBLE");
  return !text || std::string(text) != "0";
}

}  // namespace review
