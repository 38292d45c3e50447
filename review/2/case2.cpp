// Many slow clients with bodies of the usual greatest size, on a gateway with little memory. See claim.txt.
#include "standins.hpp"

using namespace review;

namespace {

constexpr int kServers = 9;
constexpr int kClients = 300;    // connections of clients; a third of the 1,024 descriptors are 341
constexpr int kMemoryMb = 32;    // the least that the pages give
constexpr int kLatencyMs = 100;  // of a booking server
constexpr int kDurationMs = 25'000;
constexpr std::size_t kLongBody = 64'000;  // bytes; the pages allow 64 KiB
constexpr std::size_t kShortBody = 300;    // without the disruption
constexpr std::size_t kPace = 80'000;      // bytes per second that a client writes and reads; at least 64 kB
constexpr int kStepMs = 100;               // between two pieces
constexpr int kPauseMs = 100;              // of a client between two requests
constexpr int kCalmPauseMs = 1700;         // the same without the disruption, for as many requests a second

// What the process holds for itself, without its program and libraries, in kB.
long private_memory_kb(pid_t pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  std::string line;
  while (std::getline(status, line))
    if (line.rfind("RssAnon:", 0) == 0) return std::atol(line.c_str() + 8);
  return -1;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  const std::size_t body_size = trouble() ? kLongBody : kShortBody;
  const int pause_ms = trouble() ? kPauseMs : kCalmPauseMs;
  Record record(argv[2]);
  Ledger ledger;
  Discovery discovery;
  Counter counter;
  std::vector<std::unique_ptr<BookingServer>> servers;
  for (int i = 0; i < kServers; ++i) {
    const auto handle = [body_size](BookingServer& self, int fd, const Message& request) {
      sleep_ms(kLatencyMs);
      return write_all(
          fd, answer_head(body_size) + answer_body(self.id, request.header("x-trace-id"), body_size));
    };
    servers.push_back(std::make_unique<BookingServer>("s-" + std::to_string(i), record, ledger, handle));
    discovery.set({.id = servers.back()->id,
                   .zone = i % 2 ? "south-bldg" : "north-bldg",
                   .port = servers.back()->port,
                   .cell = i / 3});
  }
  std::vector<std::unique_ptr<Gateway>> gateways;
  for (int i = 0; i < 2; ++i)
    gateways.push_back(
        std::make_unique<Gateway>(argv[1], i, small_deployment(2, i), discovery, counter, kMemoryMb));
  for (const auto& gateway : gateways) gateway->await_ready();

  std::atomic<bool> is_over{false};
  std::atomic<int> requests{0}, served{0}, refused_or_failed{0}, open{0}, unanswered{0};
  std::vector<std::thread> clients;
  for (int client = 0; client < kClients; ++client) {
    clients.emplace_back([&, client] {
      char customer[32];
      std::snprintf(customer, sizeof customer, "00000000b4d6%04x", static_cast<unsigned>(client));
      sleep_ms(kCalmPauseMs * client / kClients);
      int fd = -1;
      std::unique_ptr<HttpReader> reader;
      while (!is_over) {
        if (fd < 0) {
          fd = connect_to(gateways[0]->port);
          if (fd < 0) break;
          reader = std::make_unique<HttpReader>(fd);
          reader->pace = kPace;
        }
        const std::string id = new_id();
        ++requests;
        ++open;
        const std::string text = booking_request(ledger, id, customer, answer_body("client", id, body_size));
        constexpr std::size_t kPiece = kPace * kStepMs / 1000;
        for (std::size_t at = 0; at < text.size(); at += kPiece) {
          if (at > 0) sleep_ms(kStepMs);
          write_all(fd, text.substr(at, kPiece));
        }
        Message answer;
        const ReadEnd end = reader->read(answer, steady_ms() + 5500);
        --open;
        if (end != ReadEnd::kWhole)
          ++unanswered;
        else if (answer.word(1) == "200")
          ++served;
        else
          ++refused_or_failed;
        if (end != ReadEnd::kWhole || answer.header("connection") == "close") {
          ::close(fd);
          fd = -1;
        }
        for (int i = 0; i < pause_ms / 100 && !is_over; ++i) sleep_ms(100);
      }
      if (fd >= 0) ::close(fd);
    });
  }

  // The platform: over its memory the gateway is killed.
  const std::int64_t end_at = steady_ms() + kDurationMs;
  long most_kb = 0;
  bool was_killed = false, has_ended = false;
  for (int tick = 0; steady_ms() < end_at && !was_killed && !has_ended; ++tick) {
    sleep_ms(50);
    has_ended = gateways[0]->has_ended();
    const long used_kb = private_memory_kb(gateways[0]->pid());
    most_kb = std::max(most_kb, used_kb);
    if (tick % 20 == 0)
      record.line("memory   n0 holds %ld kB of %d, %d requests open, %d answered", used_kb, kMemoryMb * 1024,
                  open.load(), served + refused_or_failed);
    if (used_kb <= kMemoryMb * 1024L) continue;
    was_killed = true;
    record.line("CRASH    n0 holds %ld kB, over its limit of %d MB: the platform kills it, %d requests open",
                used_kb, kMemoryMb, open.load());
    gateways[0]->end();
  }
  is_over = true;
  for (std::thread& client : clients) client.join();
  record.line(
      "result   requests=%d served=%d refused_or_failed=%d unanswered=%d most_kb=%ld killed=%d ended=%d",
      requests.load(), served.load(), refused_or_failed.load(), unanswered.load(), most_kb, was_killed,
      has_ended);
  gateways.clear();
  if (served == 0) std::_Exit(2);
  std::_Exit(was_killed || has_ended ? 1 : 0);
}
