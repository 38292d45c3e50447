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
#include "progress/endpoint_progress.hpp"
#include "progress/undecided_response.hpp"
#include "quota_gateway/time.hpp"
#include "runtime/timers.hpp"
#include "upstream/attempt.hpp"
#include "upstream/request_writer.hpp"
#include "upstream/response_reader.hpp"

namespace quota_gateway::net {

class Connection;

// Receives events from connections. Every call may close the connection that made it.
class ConnectionObserver {
 public:
  virtual ~ConnectionObserver() = default;
  // Returns whether the endpoint still accepts requests at the address to which the connection was made.
  [[nodiscard]] virtual bool is_address_current(const Connection& connection) = 0;
  // Called when the last byte of an attempt has been written.
  virtual void on_request_written() = 0;
  // Called when the head of a successful response of unknown length has arrived without the whole body.
  virtual void on_response_begun(AttemptKey key) = 0;
  // Called when a response that is too large to buffer starts, or one that is taken for long; its body
  // follows in chunks. `length` is the length of the body, or std::nullopt if it is unknown.
  virtual void on_response_started(AttemptKey key, const AttemptResult& head,
                                   std::optional<std::uint64_t> length) = 0;
  // Called with a chunk of such a body. Reading then pauses until resume_reading() is called.
  virtual void on_response_chunk(AttemptKey key, std::string bytes) = 0;
  // Called when an attempt ends. The observer either keeps the connection (become_idle()) or closes it, and
  // then calls release_attempt().
  virtual void on_attempt_ended(const std::shared_ptr<Connection>& connection, AttemptResult result,
                                bool is_reusable) = 0;
  // Called when the endpoint closes an idle connection or sends data on it. The observer closes the
  // connection.
  virtual void on_idle_connection_lost(Connection& connection) = 0;
};

// State that all connections share.
struct ConnectionContext {
  boost::asio::io_context& io;
  Timers& timers;
  const Clock& clock;
  BodyBudget& budget;
  ConnectionObserver& observer;
  Duration connect_timeout = 0;
  std::vector<char> read_buffer;  // the bytes of the latest read on any connection
};

// A TCP connection to an endpoint. Handlers of its socket and timers may run after the connection was closed
// or has started another attempt, so each of them checks the state first.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  enum class State {
    kConnecting,
    kWriting,           // writing the request; the response is read at the same time
    kAwaitingResponse,  // the last byte of the request is written
    kIdle,
    kClosed
  };

  Connection(ConnectionContext& context, std::string endpoint, boost::asio::ip::tcp::endpoint address);

  [[nodiscard]] State state() const { return state_; }
  [[nodiscard]] const std::string& endpoint() const { return endpoint_; }
  [[nodiscard]] const boost::asio::ip::tcp::endpoint& address() const { return address_; }
  [[nodiscard]] AttemptKey attempt_key() const { return attempt_key_; }
  [[nodiscard]] TimePoint idle_since() const { return idle_since_; }

  // Starts an attempt on a new or idle connection. Its end is reported later, never from within this call.
  void start_attempt(AttemptKey key, const OutgoingRequest& request, TimePoint deadline);
  // Starts to forward a buffered response of unknown length if it is taken for a long one.
  void start_streaming_if_long();
  // The same if its body is arriving, for when there is no time left to observe it.
  void start_streaming_if_arriving();
  // Returns when a buffered response of unknown length is to be given up unless it is started or complete by
  // then, or std::nullopt if there is none. Its client waits until `client_deadline`.
  [[nodiscard]] std::optional<TimePoint> decides_by(TimePoint client_deadline) const;
  // Continues reading after a chunk of the response has been delivered.
  void resume_reading();
  // Returns when the streamed response has to end unless the endpoint makes progress. Later than now while
  // the client holds it up or received bytes are unread.
  [[nodiscard]] TimePoint response_ends_at(const ResponseDeadlines& deadlines) const;
  // Returns the progress of the streamed response.
  [[nodiscard]] const EndpointProgress& progress() const { return progress_; }
  // Returns whether the endpoint may have received the last byte of the request.
  [[nodiscard]] bool may_have_executed() const;

  // Marks the open connection as idle, ready for a later attempt.
  void become_idle();
  // Frees the buffers of the last attempt and releases its upload.
  void release_attempt();
  // Returns whether an idle connection can be used: the endpoint has neither closed it nor sent data on it,
  // as far as this machine's kernel knows.
  [[nodiscard]] bool is_still_usable();
  // Makes close() reset the connection, so that the endpoint does not execute a request still in transit.
  void reset_on_close();
  // Closes the socket. Only the pool may call this, because it counts the open connections.
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
  void on_write_completed(AttemptKey key, const ErrorCode& error);
  void write_next_part();
  void on_request_written();

  void read_when_ready();
  void on_readable(ErrorCode error);
  void on_bytes_read(std::size_t size);
  void on_undecided_bytes();
  void on_response_begun(TimePoint now);
  [[nodiscard]] bool is_response_undecided() const;
  void start_streaming();
  [[nodiscard]] bool has_late_unread_bytes() const;
  [[nodiscard]] ResponseReader::StartedCallback started_callback();
  void deliver_streamed_bytes();
  void on_response_complete();
  void on_connection_lost(const ErrorCode& error);

  void end_attempt(Outcome outcome);
  void end_attempt(AttemptResult result, bool is_reusable);

  ConnectionContext& context_;
  const std::string endpoint_;
  const boost::asio::ip::tcp::endpoint address_;
  boost::asio::ip::tcp::socket socket_;
  State state_ = State::kConnecting;
  AttemptKey attempt_key_;
  TimePoint deadline_ = 0;  // of the attempt
  RequestWriter writer_;
  ResponseReader reader_;
  UndecidedResponse undecided_;  // the buffered response of unknown length
  EndpointProgress progress_;    // of the streamed response
  TimePoint last_read_at_ = 0;
  TimePoint idle_since_ = 0;
  bool is_read_pending_ = false;            // waiting for the socket to become readable
  bool is_response_begun_ = false;          // and was reported
  bool is_read_paused_ = false;             // until the client has received the latest chunk
  bool has_local_connect_failure_ = false;  // the last connect failed because of this machine
  bool was_reset_during_write_ = false;     // the endpoint reset the connection
};

}  // namespace quota_gateway::net
