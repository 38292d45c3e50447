// Accepts client connections and routes responses to them.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "client/client_callbacks.hpp"
#include "client/client_request.hpp"
#include "client/client_response.hpp"
#include "client/client_session.hpp"
#include "network/body_transfer.hpp"
#include "quota_gateway/decision_engine.hpp"
#include "runtime/timers.hpp"

namespace quota_gateway::net {

// Owns the listening socket and all client connections. Health checks are answered here; every other valid
// request is reported and awaits its response.
class ClientListener {
 public:
  using Callbacks = ClientCallbacks;

  ClientListener(boost::asio::io_context& io, Timers& timers, const Clock& clock, const Settings& settings,
                 std::size_t max_clients, BodyBudget& budget, Callbacks callbacks);
  ClientListener(const ClientListener&) = delete;
  ClientListener& operator=(const ClientListener&) = delete;
  ClientListener(ClientListener&&) = delete;
  ClientListener& operator=(ClientListener&&) = delete;
  ~ClientListener();

  // Listens at the address, or on the inherited socket if there is one. Retries until it succeeds.
  void listen(const boost::asio::ip::tcp::endpoint& address, std::optional<int> inherited_socket);
  // The address of the open listening socket.
  [[nodiscard]] boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

  // Writes the response to the pending request of a client; ignored if the client has disconnected.
  void respond(std::uint64_t client, const Response& response);
  // Streams a response in place of respond(). Chunks follow start_response(), each but the first after
  // on_writable(), then finish_response(). abort_response() instead of it closes the connection in a way that
  // the client recognises as an error. Without a length the response is chunked.
  void start_response(std::uint64_t client, std::optional<std::uint64_t> length);
  void write_chunk(std::uint64_t client, const std::string& bytes);
  void finish_response(std::uint64_t client);
  void abort_response(std::uint64_t client);

  // Leaves new connections on the inherited socket to the successor process.
  void yield_to_successor();
  // Accepts connections again after the hot restart was aborted.
  void resume_after_hot_restart();
  [[nodiscard]] bool is_accepting_clients() const { return acceptor_.is_open() && !context_.is_draining; }
  // Closes idle connections, and each other one after its present response. New connections are accepted
  // until stop_accepting().
  void drain();
  // Accepts all connections in the backlog and closes the listening socket.
  void stop_accepting();
  // Whether no request is being read, pending or being answered, every client has acknowledged its response,
  // and no connected client has yet to send its first request.
  [[nodiscard]] bool is_idle() const;

 private:
  // Listening and accepting.
  boost::system::error_code open(const boost::asio::ip::tcp::endpoint& address,
                                 std::optional<int> inherited_socket);
  boost::system::error_code bind_and_listen(const boost::asio::ip::tcp::endpoint& address);
  void log_listen_failure(boost::system::error_code ec);
  void accept();
  void on_accept_failed(boost::system::error_code ec);
  void accept_if_below_limit();
  // Accepts all that the backlog holds. Returns false if accepting failed and has to be tried again.
  bool empty_backlog();

  // Sessions.
  void start_session(boost::asio::ip::tcp::socket socket);
  [[nodiscard]] std::shared_ptr<ClientSession> find(std::uint64_t client) const;
  void on_session_closed(std::uint64_t client);
  void evict_one();
  [[nodiscard]] std::shared_ptr<ClientSession> find_eviction_candidate(const EvictionPriority& above) const;
  void close_idle_sessions();
  void close_stalled_sessions();

  boost::asio::io_context& io_;
  const std::size_t max_clients_;
  ClientSessionContext context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::unordered_map<std::uint64_t, std::shared_ptr<ClientSession>> sessions_;
  std::uint64_t last_client_ = 0;
  bool is_accept_pending_ = false;
  bool is_emptying_backlog_ = false;  // stop_accepting() has not succeeded yet
  TimePoint listen_failure_logged_at_ = 0;
};

}  // namespace quota_gateway::net
