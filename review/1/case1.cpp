// Long bodies of hedged requests. See claim.txt.
#include "standins.hpp"

using namespace review;

namespace {

constexpr int kServers = 8;
constexpr int kClients = 16;
constexpr std::int64_t kDurationMs = 30'000;
constexpr int kUsualLatencyMs = 60;
constexpr int kSlowFromMs = 600, kSlowToMs = 900;
constexpr std::size_t kBodySize = 200'000, kAnswerSize = 300;

}  // namespace

int main(int argc, char** argv) {
  if (argc != 3) return 2;
  Record record(argv[2]);
  Ledger ledger;
  Discovery discovery;
  Counter counter;
  std::vector<std::unique_ptr<BookingServer>> servers;
  for (int i = 0; i < kServers; ++i) {
    const bool is_slow = i == 0 && trouble();
    servers.push_back(std::make_unique<BookingServer>(
        "s-" + std::to_string(i), record, ledger,
        [is_slow](BookingServer& self, int fd, const Message& request) {
          static std::atomic<unsigned> count{0};
          const int spread = int(count * 2654435761U >> 16) % (kSlowToMs - kSlowFromMs);
          sleep_ms(is_slow && ++count % 3 == 0 ? kSlowFromMs + spread : kUsualLatencyMs);
          return write_all(
              fd, answer_head(kAnswerSize) + answer_body(self.id, request.header("x-trace-id"), kAnswerSize));
        }));
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

  std::atomic<int> requests{0}, served{0};
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
        }
        const std::string id = new_id();
        ++requests;
        record.line("send     %s through n%d", id.c_str(), client % 2);
        write_all(fd, booking_request(ledger, id, "00000000b4d655" + std::to_string(10 + client),
                                      answer_body("client", id, kBodySize), true));
        Message answer;
        const ReadEnd end = reader->read(answer, steady_ms() + 5500);
        record.line("answer   %s %s body=%zu", id.c_str(), answer.start_line.c_str(), answer.body.size());
        if (end == ReadEnd::kWhole && answer.word(1) == "200") ++served;
        if (end != ReadEnd::kWhole || answer.header("connection") == "close") {
          ::close(fd);
          fd = -1;
        }
        sleep_ms(100);
      }
      if (fd >= 0) ::close(fd);
    });
  }
  for (std::thread& client : clients) client.join();
  int unknown = 0;
  for (const auto& server : servers) unknown += server->unknown_requests;
  record.line("result   requests=%d served=%d unknown=%d", requests.load(), served.load(), unknown);
  gateways.clear();
  if (served == 0) std::_Exit(2);
  std::_Exit(unknown > 0 ? 1 : 0);
}
