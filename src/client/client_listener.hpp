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
#include <vector>

#include "client/client_callbacks.hpp"
#include "client/client_request.hpp"
#include "client/client_response.hpp"
#include "client/client_session.hpp"
#include "network/body_transfer.hpp"
#include "network/reason_log.hpp"
#include "quota_gateway/decision_engine.hpp"
#include "runtime/memory_monitor.hpp"
#include "runtime/timers.hpp"

namespace quota_gateway::net {

// Owns the listening socket and all client connections. Answers health checks itself; reports every other
// valid request through the callbacks and waits for its response.
class ClientListener {
 public:
  using Callbacks = ClientCallbacks;

  ClientListener(boost::asio::io_context& io, Timers& timers, const Clock& clock, const Settings& settings,
                 std::size_t max_clients, BodyBudget& budget, MemoryMonitor& memory, Callbacks callbacks);
  ClientListener(const ClientListener&) = delete;
  ClientListener& operator=(const ClientListener&) = delete;
  ClientListener(ClientListener&&) = delete;
  ClientListener& operator=(ClientListener&&) = delete;
  ~ClientListener();

  // Listens on `address`, or on the inherited socket if there is one. Retries until it succeeds.
  void listen(const boost::asio::ip::tcp::endpoint& address, std::optional<int> inherited_socket);
  // Returns the address of the listening socket, which must be open.
  [[nodiscard]] boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }

  // Returns the latest time at which the client had certainly not sent the last byte of the body that it is
  // sending, or 0 if it has disconnected.
  [[nodiscard]] TimePoint last_byte_pending_since(std::uint64_t client_id) const;

  // Writes the response to the client's pending request. Does nothing if the client has disconnected.
  void respond(std::uint64_t client_id, const Response& response);
  // Begins a streamed response, as an alternative to respond(). Without a length, the response is chunked if
  // the client's HTTP version permits it.
  void start_response(std::uint64_t client_id, std::optional<std::uint64_t> length);
  // Adds a chunk. Every chunk but the first must wait for on_writable().
  void write_chunk(std::uint64_t client_id, const std::string& bytes);
  // Ends a streamed response after its last chunk.
  void finish_response(std::uint64_t client_id);
  // Ends a streamed response early, closing the connection in a way that the client recognizes as an error.
  void abort_response(std::uint64_t client_id, CloseReason reason);

  // Closes idle connections and leaves new ones on the inherited socket to the successor process.
  void yield_to_successor();
  // Accepts connections again after an aborted hot restart.
  void resume_after_hot_restart();
  // True if the listening socket is open and the listener is not draining.
  [[nodiscard]] bool is_accepting_clients() const { return acceptor_.is_open() && !context_.is_draining; }
  // Closes idle connections at once and every other connection after its current response. New connections
  // are accepted until stop_accepting(), unless the listening socket is inherited.
  void drain();
  // Accepts all connections in the backlog, then closes the listening socket.
  void stop_accepting();
  // True if no request is being read, is pending or is being answered, every client has acknowledged its
  // response, and every connected client has sent at least one request.
  [[nodiscard]] bool is_idle() const;
  // True if a response is being written or a client has not taken all that was written to it.
  [[nodiscard]] bool has_responses_in_progress() const;

 private:
  // Listening and accepting.
  boost::system::error_code open(const boost::asio::ip::tcp::endpoint& address,
                                 std::optional<int> inherited_socket);
  boost::system::error_code bind_and_listen(const boost::asio::ip::tcp::endpoint& address);
  void log_listen_failure(boost::system::error_code ec);
  void accept();
  void retry_accept_later();
  void on_accept_failed(boost::system::error_code ec);
  void accept_if_below_limit();
  // Accepts every connection in the backlog. Returns false if accepting failed and must be retried.
  bool accept_backlog();

  // Session management.
  void start_session(boost::asio::ip::tcp::socket socket);
  [[nodiscard]] std::shared_ptr<ClientSession> find_session(std::uint64_t client_id) const;
  void on_session_closed(std::uint64_t client_id, CloseReason reason);
  void evict_session();
  [[nodiscard]] std::shared_ptr<ClientSession> find_eviction_candidate(const EvictionPriority& above) const;
  void close_idle_sessions();
  void close_stalled_sessions();

  // Memory shortage.
  void relieve_memory();
  void close_unfinished_sessions();
  void reset_latest_requests();
  [[nodiscard]] std::vector<std::shared_ptr<ClientSession>> unfinished_sessions() const;
  [[nodiscard]] std::vector<std::shared_ptr<ClientSession>> sessions_with_request() const;

  boost::asio::io_context& io_;
  const std::size_t max_clients_;
  ClientSessionContext context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::unordered_map<std::uint64_t, std::shared_ptr<ClientSession>> sessions_;
  std::uint64_t last_client_id_ = 0;
  ReasonLog closed_{"clients: connections closed by reason"};
  bool is_accept_pending_ = false;
  bool is_accept_retry_scheduled_ = false;
  bool is_accepting_backlog_ = false;  // stop_accepting() was called and has not succeeded yet
  TimePoint listen_failure_logged_at_ = 0;
  TimePoint requests_reset_at_ = 0;
};

}  // namespace quota_gateway::net
