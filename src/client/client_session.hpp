// One client connection: reads requests, reports them and writes the responses.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "client/client_callbacks.hpp"
#include "client/client_request.hpp"
#include "client/client_response.hpp"
#include "client/last_byte_estimator.hpp"
#include "client/request_reader.hpp"
#include "client/response_writer.hpp"
#include "client/stall_detector.hpp"
#include "client/upload_producer.hpp"
#include "network/body_transfer.hpp"
#include "progress/progress_limits.hpp"
#include "quota_gateway/decision_engine.hpp"
#include "runtime/memory_monitor.hpp"
#include "runtime/timers.hpp"

namespace quota_gateway::net {

// Why the gateway closes a connection before its client does.
enum class CloseReason {
  kClosedByClient,
  kWriteFailed,
  kNotReadingResponse,  // for longer than the read timeout
  kStalledRequest,      // the client stopped in the middle of a request, or never sent one
  kInvalidBody,         // of a request that an endpoint has received a part of
  kResponseBrokeOff,    // the endpoint's
  kResponseTimedOut,    // the endpoint's: it hung or was too slow
  kEvicted,             // for a new connection
  kOverload,
  kLingering  // after its last response
};
constexpr std::size_t kCloseReasonCount = 10;

// State shared by all sessions of a listener. Outlives their connections.
struct ClientSessionContext {
  Timers& timers;
  const Clock& clock;
  const Settings& settings;
  BodyBudget& budget;
  MemoryMonitor& memory;
  // Closes sessions if memory is very short. May close the session that calls it.
  const std::function<void()> relieve_memory;
  const ClientCallbacks callbacks;
  // Removes a closed session from the listener.
  const std::function<void(std::uint64_t client_id, CloseReason reason)> on_session_closed;
  std::vector<char> read_buffer;       // holds the data of one read; shared by all sessions
  bool is_draining = false;            // connections close after their current response
  bool is_listener_inherited = false;  // a successor can serve the same address
  Duration client_read_timeout = kClientReadTimeout;
};

// When the listener needs room for a new connection, it closes the session with the lowest priority: first
// closing sessions and clients that never sent a request, then all others. In each group, the session whose
// last data is oldest comes first.
struct EvictionPriority {
  bool is_known_client = false;
  TimePoint last_read_at = 0;
  bool operator<(const EvictionPriority& other) const {
    return std::tie(is_known_client, last_read_at) < std::tie(other.is_known_client, other.last_read_at);
  }
};

// The session keeps reading while its request is processed, because only a read reveals that the client has
// closed the connection.
class ClientSession : public std::enable_shared_from_this<ClientSession>, private ResponseWriterOwner {
 public:
  ClientSession(ClientSessionContext& context, std::uint64_t client_id, boost::asio::ip::tcp::socket socket);

  // Waits for data if the session currently wants more. The shared read buffer is used only once data has
  // arrived, so an idle connection needs little memory.
  void read();

  // Writes the response to the pending request. Does nothing if no request is pending.
  void respond(const Response& response);
  // Begins a streamed response to the pending request; write_chunk() and finish_response() continue it.
  void start_response(std::optional<std::uint64_t> length);
  void write_chunk(const std::string& bytes) { writer_.write_chunk(bytes); }
  void finish_response();
  // Closes the connection with a reset, which no client mistakes for the end of a response.
  void abort_response(CloseReason reason);

  // Closes the connection if its client has sent a request and is idle now.
  void close_if_idle();
  // Closes the connection if its client has stalled.
  void close_if_stalled(TimePoint now);
  void close(CloseReason reason);

  // Returns whether no request is in progress, although a part of one may have been received.
  [[nodiscard]] bool is_request_unfinished() const;
  // Returns the memory of the data received and not yet processed, in bytes.
  [[nodiscard]] std::size_t buffered_bytes() const { return reader_.buffered_bytes(); }
  // Returns the ID of the request in progress; 0 if there is none.
  [[nodiscard]] std::uint64_t request_id() const { return request_id_; }
  // Returns the latest time at which the client had certainly not sent the last byte of the body that it is
  // sending.
  [[nodiscard]] TimePoint last_byte_pending_since();
  // Returns whether the session is idle after a request and has no data in flight in either direction.
  bool is_settled();
  // Returns whether a response is being written or the client has not taken all that was written.
  [[nodiscard]] bool has_response_in_progress();
  // Returns whether the session may be closed to make room for a new connection. False while a response is
  // pending, being written or still to be read by a client that is sending its body.
  [[nodiscard]] bool is_evictable() const;
  [[nodiscard]] EvictionPriority eviction_priority() const;
  // Returns whether written data is unacknowledged, or received data unread. Closing a socket with unread
  // data resets the connection and loses any part of a response that the client's kernel has not received.
  bool has_data_in_flight();

 private:
  enum class State {
    kIdle,              // between two requests, or before the first one
    kReadingRequest,    // a request has begun and has not been reported
    kAwaitingResponse,  // the request has been reported; its streamed body may still be arriving
    kWritingResponse,
    kClosing,  // nothing more is written; input is discarded until the client closes its side
    kClosed,
  };

  // Reading.
  void on_readable(boost::system::error_code ec);
  void on_data(std::size_t size);
  void buffer_data(std::size_t size, TimePoint received_at);
  [[nodiscard]] TimePoint data_received_at(TimePoint read_at);
  [[nodiscard]] bool wants_data() const;
  void suspend_reading();
  void schedule_read_check();
  void check_reading();
  void update_last_byte_estimate();

  // Requests.
  void process_input();
  void begin_request();
  [[nodiscard]] bool accepts_request_data() const;
  bool on_head_complete();
  void on_body_data();
  void on_request_complete();
  void report_request();
  void respond_to_health_check();
  void reject(const RequestError& error);
  void send_continue_if_expected();

  // Streamed request bodies.
  void start_upload();
  void abandon_upload();

  // Responses.
  std::shared_ptr<void> retain() override { return shared_from_this(); }
  void on_chunks_written() override;
  void on_response_written() override;
  void on_write_failed() override { close(CloseReason::kWriteFailed); }
  void write_response(const Response& response, bool close_after);
  [[nodiscard]] bool is_last_response() const;

  void enter(State state);
  void begin_close();
  void release_buffers();
  [[nodiscard]] TimePoint now() const { return context_.clock.now(); }
  bool close_if_not_reading(TimePoint now);
  [[nodiscard]] bool is_client_stalled(TimePoint now) const;
  [[nodiscard]] bool is_close_due(TimePoint now);

  ClientSessionContext& context_;
  const std::uint64_t client_id_;
  boost::asio::ip::tcp::socket socket_;
  State state_ = State::kIdle;
  bool has_sent_request_ = false;  // other than a health check
  std::uint64_t request_id_ = 0;   // 0 if none is pending

  // Input.
  RequestReader reader_;
  RequestHead head_;
  std::optional<ClientRequest> request_;  // parsed but not reported yet
  bool has_read_ = false;
  bool is_read_pending_ = false;
  bool is_input_held_back_ = false;  // the kernel may hold data that the session does not want yet
  bool is_read_check_scheduled_ = false;
  bool is_discarding_ = false;       // all further input is ignored and the next response is the last one
  std::size_t discarded_bytes_ = 0;  // since is_discarding_ was set or closing began

  // Request body.
  LastByteEstimator last_byte_;
  StallDetector stall_detector_;
  UploadProducer upload_;

  // Output.
  ResponseWriter writer_;
  bool close_after_response_ = false;
};

}  // namespace quota_gateway::net
