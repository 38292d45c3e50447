// A client reads a large answer steadily, at 80 kB a second (TROUBLE=0: as fast as it comes).
#include <string>

#include "harness.hpp"

namespace {

using namespace review;

constexpr std::size_t kAnswerSize = 6 << 20;
constexpr double kPace = 80e3;         // bytes a second that the client reads: 79 s for the whole
constexpr int kReceiveBuffer = 65536;  // bytes in the client's kernel
constexpr double kUntil = 105;         // s

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
  if (!client.connect(gateway.port(), kReceiveBuffer)) return kCouldNotRun;
  record.line("client", "sends l1");
  if (!client.write(request_text("space-lookup", "l1", 2000))) return kCouldNotRun;
  const double sent_at = now();
  const Message response = read_message(client, false, sent_at + kUntil, arguments.trouble ? kPace : 0);
  record.line("client", "l1: " + response.first_line + ", " + std::to_string(response.body.size()) +
                            " bytes by " + std::to_string(response.ended_at - sent_at) + " s" +
                            (response.is_whole ? ", whole" : ", not whole: " + response.end));
  return report(record, response.is_whole ? 0 : 1, 0, response.is_whole ? 1 : 0);
}
