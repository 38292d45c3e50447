// SIGTERM comes while a client that reads steadily receives a large answer.
#include <string>

#include "harness.hpp"

namespace {

using namespace review;

constexpr std::size_t kAnswerSize = 24 << 20;
constexpr double kPace = 2.4e6;     // bytes a second that the client reads: 10 s for the whole
constexpr double kSigtermAt = 1.0;  // s after the request
constexpr double kSigkillAt = 15;   // s after SIGTERM

}  // namespace

int main(int argc, char** argv) {
  ignore_pipe_signals();
  const Arguments arguments = parse_arguments(argc, argv);
  Record record(arguments.folder + "/record.txt");
  const std::string body(kAnswerSize, 'y');
  const auto answer = [&body](Connection& connection, const Message&) {
    return connection.write(ok_response(body));
  };
  BookingServer first("s1", record, answer);
  BookingServer second("s2", record, answer);
  const std::string list = member_list({&first, &second});
  Discovery discovery(list);
  Gateway gateway(arguments, record);
  if (!gateway.start(list, discovery.port(), settings())) return kCouldNotRun;

  Connection client;
  if (!client.connect(gateway.port(), 262144)) return kCouldNotRun;
  record.line("client", "sends l1");
  if (!client.write(request_text("space-lookup", "l1", 2000))) return kCouldNotRun;
  const double sent_at = now();
  Message response;
  std::thread reader([&] { response = read_message(client, false, sent_at + 30, kPace); });
  sleep_until(sent_at + kSigtermAt);
  if (arguments.trouble) gateway.send_signal(SIGTERM);
  bool has_exited = false;
  while (!has_exited && now() < sent_at + kSigtermAt + kSigkillAt) {
    sleep_for(0.05);
    if (arguments.trouble) has_exited = gateway.has_exited();
  }
  gateway.end();
  reader.join();
  record.line("client", "l1: " + response.first_line + ", " + std::to_string(response.body.size()) +
                            " bytes by " + std::to_string(response.ended_at - sent_at) + " s" +
                            (response.is_whole ? ", whole" : ", not whole: " + response.end));
  return report(record, response.is_whole ? 0 : 1, 0, response.is_whole ? 1 : 0);
}
