// Long answers to hedged requests. See claim.txt.
#include <set>

#include "standins.hpp"

using namespace review;

namespace {

constexpr int kServers = 8;
constexpr int kClients = 16;
constexpr std::int64_t kDurationMs = 30'000;
constexpr int kUsualLatencyMs = 60;
constexpr int kSlowFromMs = 450, kSlowToMs = 650;  // of one answer in three of one server
constexpr std::size_t kAnswerSize = 400'000;       // bytes; the pages allow 32 MB
constexpr std::size_t kPace = 2'000'000;           // bytes per second that a client reads

using Servers = std::vector<std::unique_ptr<BookingServer>>;

// The requests that arrived whole at a booking server.
class Runs {
 public:
  void add(const std::string& id) {
    const std::lock_guard lock(mutex_);
    ids_.insert(id);
  }
  bool contain(const std::string& id) const {
    const std::lock_guard lock(mutex_);
    return ids_.contains(id);
  }

 private:
  mutable std::mutex mutex_;
  std::set<std::string> ids_;
};

struct Verdict {
  std::atomic<int> requests{0}, served{0}, refused_or_failed{0}, wrong{0}, cut{0}, unanswered{0};
};

// Whether a booking server made this body, or one that begins with it.
bool is_of_a_server(const Servers& servers, const std::string& id, const std::string& body, bool is_whole) {
  for (const auto& server : servers) {
    const std::string made = answer_body(server->id, id, kAnswerSize);
    if (is_whole ? made == body : made.compare(0, body.size(), body) == 0) return true;
  }
  return false;
}

// Judges one answer. Returns whether the connection can be used again.
bool judge(Record& record, Verdict& verdict, const Servers& servers, const Runs& runs, const std::string& id,
           ReadEnd end, const Message& answer) {
  if (answer.start_line.empty()) {
    // A close that crosses a request which the gateway has not read: the client may send it once more.
    if (end != ReadEnd::kTimeout && !runs.contain(id)) {
      record.line("excused  %s: the connection was closed between two requests", id.c_str());
      return false;
    }
    ++verdict.unanswered;
    record.line("LOST     %s: it has run and got no answer", id.c_str());
    return false;
  }
  if (answer.word(1) != "200") {
    ++verdict.refused_or_failed;
    record.line("answer   %s %s", id.c_str(), answer.start_line.c_str());
    return end == ReadEnd::kWhole && answer.header("connection") != "close";
  }
  const bool is_whole = end == ReadEnd::kWhole;
  if (!is_of_a_server(servers, id, answer.body, is_whole)) {
    ++verdict.wrong;
    const std::string begun = answer_body(answer.body.substr(0, 3), id, kAnswerSize);
    std::size_t same = 0;
    while (same < std::min(begun.size(), answer.body.size()) && begun[same] == answer.body[same]) ++same;
    record.line("WRONG    %s: the answer of %.3s is mixed with another from byte %zu on: '%.24s'", id.c_str(),
                begun.c_str(), same, answer.body.c_str() + same);
    return false;
  }
  if (!is_whole) {
    ++verdict.cut;
    record.line("LOST     %s: a 200 answer ends after %zu of %zu bytes: %s", id.c_str(), answer.body.size(),
                kAnswerSize, end == ReadEnd::kTimeout ? "nothing more" : "the gateway ended the connection");
    return false;
  }
  ++verdict.served;
  record.line("answer   %s %s, all bytes of %.3s", id.c_str(), answer.start_line.c_str(),
              answer.body.c_str());
  return answer.header("connection") != "close";
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  Record record(argv[2]);
  Ledger ledger;
  Runs runs;
  Discovery discovery;
  Counter counter;
  Servers servers;
  for (int i = 0; i < kServers; ++i) {
    const bool is_slow = i == 0 && trouble();
    const auto handle = [is_slow, &runs](BookingServer& self, int fd, const Message& request) {
      const std::string id = request.header("x-trace-id");
      runs.add(id);
      static std::atomic<unsigned> count{0};
      const int spread = int(count * 2654435761U >> 16) % (kSlowToMs - kSlowFromMs);
      sleep_ms(is_slow && ++count % 3 == 0 ? kSlowFromMs + spread : kUsualLatencyMs);
      return write_all(fd, answer_head(kAnswerSize) + answer_body(self.id, id, kAnswerSize));
    };
    servers.push_back(std::make_unique<BookingServer>("s-" + std::to_string(i), record, ledger, handle));
    discovery.set({.id = servers.back()->id,
                   .zone = i % 2 ? "south-bldg" : "north-bldg",
                   .port = servers.back()->port,
                   .cell = i / 4});
  }
  std::vector<std::unique_ptr<Gateway>> gateways;
  for (int i = 0; i < 2; ++i) {
    Json settings = small_deployment(2, i);
    settings["Limits"]["MayDuplicate"] = true;
    gateways.push_back(std::make_unique<Gateway>(argv[1], i, settings, discovery, counter));
  }
  for (const auto& gateway : gateways) gateway->await_ready();

  Verdict verdict;
  const std::int64_t end_at = steady_ms() + kDurationMs;
  std::vector<std::thread> clients;
  for (int client = 0; client < kClients; ++client) {
    clients.emplace_back([&, client] {
      const Gateway& gateway = *gateways[std::size_t(client % 2)];
      int fd = -1;
      std::unique_ptr<HttpReader> reader;
      while (steady_ms() < end_at) {
        if (fd < 0) {
          fd = connect_to(gateway.port);
          if (fd < 0) cannot_run("a gateway refuses connections");
          reader = std::make_unique<HttpReader>(fd);
          reader->pace = kPace;
        }
        RequestForm form;
        form.customer = "00000000b4d655" + std::to_string(10 + client);
        const std::string id = new_id();
        ++verdict.requests;
        record.line("send     %s through n%d", id.c_str(), client % 2);
        const std::int64_t sent_at = steady_ms();
        write_all(fd, lookup_request(ledger, id, form));
        Message answer;
        // Half a second after its time, and the 2 s that the rest of a long answer may be held back.
        const ReadEnd end = reader->read(answer, sent_at + form.expires_ms + 500 + 2000);
        if (!judge(record, verdict, servers, runs, id, end, answer)) {
          ::close(fd);
          fd = -1;
        }
        sleep_ms(20);
      }
      if (fd >= 0) ::close(fd);
    });
  }
  for (std::thread& client : clients) client.join();
  record.line("result   requests=%d served=%d refused_or_failed=%d wrong=%d cut=%d unanswered=%d",
              verdict.requests.load(), verdict.served.load(), verdict.refused_or_failed.load(),
              verdict.wrong.load(), verdict.cut.load(), verdict.unanswered.load());
  gateways.clear();
  if (verdict.served == 0) std::_Exit(2);
  std::_Exit(verdict.wrong + verdict.cut + verdict.unanswered > 0 ? 1 : 0);
}
