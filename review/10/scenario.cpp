// An answer never ends: one small chunk after another.
#include <string>

#include "harness.hpp"

namespace {

using namespace review;

constexpr int kTimeoutMs = 2000;
constexpr double kLateAfter = 2.0 + 0.5 + 0.05;  // s: its time, the half second, the 50 ms on sockets
constexpr double kWatchedFor = 20;               // s
constexpr double kPause = 0.3;                   // s before the next chunk

}  // namespace

int main(int argc, char** argv) {
  ignore_pipe_signals();
  const Arguments arguments = parse_arguments(argc, argv);
  Record record(arguments.folder + "/record.txt");
  const auto answer = [&](Connection& connection, const Message& request) {
    if (!connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")) return false;
    const int chunks = arguments.trouble ? 1000 : 4;
    for (int i = 0; i < chunks; ++i) {
      if (!connection.write("4\r\nmore\r\n")) {
        record.line("server", "the gateway has closed the attempt of " + request.header("x-trace-id"));
        return false;
      }
      sleep_for(kPause);
    }
    return connection.write("0\r\n\r\n");
  };
  BookingServer first("s1", record, answer);
  BookingServer second("s2", record, answer);
  const std::string list = member_list({&first, &second});
  Discovery discovery(list);
  Gateway gateway(arguments, record);
  if (!gateway.start(list, discovery.port(), settings())) return kCouldNotRun;

  Connection client;
  if (!client.connect(gateway.port())) return kCouldNotRun;
  record.line("client", "sends l1");
  if (!client.write(request_text("space-lookup", "l1", kTimeoutMs))) return kCouldNotRun;
  const double sent_at = now();
  const Message response = read_message(client, false, sent_at + kWatchedFor);
  const bool has_ended = response.is_whole || response.end != "nothing more came";
  const double taken = response.ended_at - sent_at;
  record.line("client", "l1: " + response.first_line + ", " + std::to_string(response.body.size()) +
                            " bytes by " + std::to_string(taken) + " s, " +
                            (response.is_whole ? "whole" : "not whole: " + response.end));
  const bool is_answered = has_ended && taken <= kLateAfter;
  return report(record, is_answered ? 0 : 1, response.is_whole ? 0 : 1, response.is_whole ? 1 : 0);
}
