// Client connections: parses requests, answers /_health, writes answers.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "client/client_request.hpp"
#include "network/body_transfer.hpp"
#include "quota_gateway/decision_engine.hpp"
#include "runtime/timers.hpp"

namespace quota_gateway::net {

struct Response {
  int status = 502;
  Micros retry_after = 0;  // 0: none
  std::string body;
};

class ClientListener {
 public:
  struct Callbacks {
    // Takes a request of a client and returns the number under which the others will name it.
    std::function<std::uint64_t(std::uint64_t client, ClientRequest)> on_request;
    // All of its body has come; some of that had not been sent `missing`.
    std::function<void(std::uint64_t request, Micros missing)> on_body_complete;
    // Not all of it has, but all that is still to come may have been sent since `missing`.
    std::function<void(std::uint64_t request, Micros missing)> on_body_lagging;
    std::function<void(std::uint64_t request)> on_client_disconnected;  // its client has
    std::function<void(std::uint64_t request)> on_writable;  // for more of an answer that has begun
    std::function<void()> on_listening;                      // clients can connect now
  };
  ClientListener(boost::asio::io_context& io, Timers& timers, const Clock& clock, const Settings& settings,
                 std::size_t max_clients, BodyBudget& budget, Callbacks callbacks);
  ~ClientListener();

  // On the inherited socket, where there is one. Tried again until it succeeds.
  void listen(const boost::asio::ip::tcp::endpoint& at, std::optional<int> inherited);
  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  // The one answer to the request that the client waits for; nobody is there to hear it if it has gone.
  void respond(std::uint64_t client, Response response);
  // In its place, one that is passed on as it comes: its begin, pieces, each but the first when there is
  // `room`, and its end or, if it can't be finished, a cut that the client sees. Without a length it is
  // chunked.
  void start_response(std::uint64_t client, std::optional<std::uint64_t> length);
  void write_chunk(std::uint64_t client, std::string bytes);
  void finish_response(std::uint64_t client);
  void abort_response(std::uint64_t client);
  // Another process takes clients from the inherited socket now, or no more.
  void yield_to_successor();
  void resume_after_hot_restart();
  bool is_accepting_clients() const { return acceptor_.is_open() && !draining_; }
  // Closes connections between requests; new ones are taken until stop_accepting().
  void drain();
  void stop_accepting();
  // Nothing is being read, held or written, and no client that has connected is still to send its request.
  bool is_idle() const;

 private:
  class Session;
  boost::system::error_code open_listener(const boost::asio::ip::tcp::endpoint& at,
                                          std::optional<int> inherited);
  void accept();
  void accept_failed(boost::system::error_code ec);
  void accept_on();
  void admit(boost::asio::ip::tcp::socket socket);
  void make_room();
  void close_all_between();
  std::shared_ptr<Session> find(std::uint64_t client) const;
  void erase(std::uint64_t client);
  void sweep();

  boost::asio::io_context& io_;
  Timers& timers_;
  const Clock& clock_;
  const Settings& settings_;
  const std::size_t max_clients_;
  BodyBudget& budget_;
  const Callbacks callbacks_;
  std::vector<char> chunk_;  // what was just read, of any connection
  boost::asio::ip::tcp::acceptor acceptor_;
  std::unordered_map<std::uint64_t, std::shared_ptr<Session>> sessions_;
  std::uint64_t last_ = 0;
  bool draining_ = false;
  bool accepting_ = false;
  bool emptying_backlog_ = false;  // before the listener is closed
  Micros listen_logged_ = 0;
  bool inherited_ = false;  // another process may take clients from the same socket
};

}  // namespace quota_gateway::net
