// One connection to an endpoint: connects, writes a request and reads its response, one attempt at a time.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "network/body_transfer.hpp"
#include "network/outgoing_request.hpp"
#include "quota_gateway/time.hpp"
#include "runtime/timers.hpp"
#include "upstream/attempt.hpp"
#include "upstream/request_writer.hpp"
#include "upstream/response_reader.hpp"

namespace quota_gateway::net {

class Connection;

// Receives the events of the connections. Each call may close the connection that it comes from.
class ConnectionObserver {
 public:
  virtual ~ConnectionObserver() = default;
  // Whether the connection's endpoint still accepts requests at the address to which it was made.
  [[nodiscard]] virtual bool is_address_current(const Connection& connection) = 0;
  // The last byte of an attempt is written.
  virtual void on_request_written() = 0;
  // A response that is too large to buffer has begun; its body follows in chunks.
  virtual void on_response_started(AttemptKey attempt, const AttemptResult& head,
                                   std::optional<std::uint64_t> length) = 0;
  // A chunk of a response that has begun. Reading pauses after it until resume_reading().
  virtual void on_response_chunk(AttemptKey attempt, std::string bytes) = 0;
  // The observer either keeps the connection (become_idle) or closes it, and then calls release_attempt().
  virtual void on_attempt_ended(const std::shared_ptr<Connection>& connection, AttemptResult result,
                                bool is_reusable) = 0;
  // The endpoint closed an idle connection or sent something on it; the observer closes it.
  virtual void on_idle_connection_lost(Connection& connection) = 0;
};

// What all connections share.
struct ConnectionContext {
  boost::asio::io_context& io;
  Timers& timers;
  const Clock& clock;
  BodyBudget& budget;
  ConnectionObserver& observer;
  Duration connect_timeout = 0;
  std::vector<char> read_buffer;  // what was just read, on any connection
};

// A TCP connection to an endpoint. Handlers of its socket and timers may run after it was closed, or once it
// carries another attempt, so each of them checks the state first.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  enum class State {
    kConnecting,
    kWriting,           // the request, while the response is already read
    kAwaitingResponse,  // the last byte is written
    kIdle,
    kClosed
  };

  Connection(ConnectionContext& context, std::string endpoint, boost::asio::ip::tcp::endpoint address);

  [[nodiscard]] State state() const { return state_; }
  [[nodiscard]] const std::string& endpoint() const { return endpoint_; }
  [[nodiscard]] const boost::asio::ip::tcp::endpoint& address() const { return address_; }
  [[nodiscard]] AttemptKey attempt() const { return attempt_; }
  [[nodiscard]] TimePoint idle_since() const { return idle_since_; }

  // Starts an attempt on a new or idle connection. Its end is reported later, never from within this call.
  void start_attempt(AttemptKey attempt, const OutgoingRequest& request, TimePoint deadline);
  // Reads on, after a chunk of the response was delivered.
  void resume_reading();
  // When the endpoint last sent a part of the response; now, while more is unread or reading is paused.
  [[nodiscard]] TimePoint last_progress_at() const;
  // Whether the endpoint may have received the attempt's last byte.
  [[nodiscard]] bool may_have_executed() const;

  // Keeps the open connection for a later attempt.
  void become_idle();
  // Frees what the last attempt occupied.
  void release_attempt();
  // Whether an idle connection is still open and silent, as far as this machine knows.
  [[nodiscard]] bool is_open_and_silent();
  // Makes close() reset the connection, so that the endpoint does not execute what is still on its way.
  void reset_on_close();
  // Closes the socket. Only the pool calls this, because it counts the open connections.
  void close();

 private:
  using ErrorCode = boost::system::error_code;

  void connect();
  void try_connect();
  void retry_connect_later();
  void on_connect_completed(const ErrorCode& error);
  void on_connected();
  void on_connect_timeout();

  void write_request();
  void write_available_bytes();
  void on_write_completed(AttemptKey attempt, const ErrorCode& error);
  void write_next_part();
  void on_request_written();

  void read_when_ready();
  void on_readable(ErrorCode error);
  void on_bytes_read(std::size_t size);
  void on_response_complete();
  void on_connection_lost(const ErrorCode& error);

  void end_attempt(Outcome outcome);
  void end_attempt(AttemptResult result, bool is_reusable);

  ConnectionContext& context_;
  const std::string endpoint_;
  const boost::asio::ip::tcp::endpoint address_;
  boost::asio::ip::tcp::socket socket_;
  State state_ = State::kConnecting;
  AttemptKey attempt_;
  TimePoint deadline_ = 0;  // of the attempt
  RequestWriter writer_;
  ResponseReader reader_;
  TimePoint last_progress_at_ = 0;
  TimePoint idle_since_ = 0;
  bool is_read_pending_ = false;            // a wait for the socket to become readable
  bool is_read_paused_ = false;             // until the client has received the last chunk
  bool has_local_connect_failure_ = false;  // the last connect failed here, not at the endpoint
  bool was_reset_during_write_ = false;     // by the endpoint
};

}  // namespace quota_gateway::net
