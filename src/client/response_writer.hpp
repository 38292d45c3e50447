// Serializes responses and writes them to a client's socket.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "client/client_response.hpp"
#include "network/body_transfer.hpp"
#include "progress/client_progress.hpp"
#include "runtime/timers.hpp"

namespace quota_gateway::net {

// How the end of a streamed response is marked.
enum class ResponseFraming { kContentLength, kChunked, kUntilClose };

// Returns the framing of a response with this length, if known. Chunked encoding requires HTTP/1.1; an older
// client recognizes the end of a response without a length by the close of the connection.
ResponseFraming select_framing(std::optional<std::uint64_t> length, unsigned http_version);

// The connection whose responses are written.
class ResponseWriterOwner {
 public:
  ResponseWriterOwner() = default;
  ResponseWriterOwner(const ResponseWriterOwner&) = delete;
  ResponseWriterOwner& operator=(const ResponseWriterOwner&) = delete;
  ResponseWriterOwner(ResponseWriterOwner&&) = delete;
  ResponseWriterOwner& operator=(ResponseWriterOwner&&) = delete;
  virtual ~ResponseWriterOwner() = default;

  // Keeps the owner, and the writer in it, alive during an asynchronous operation.
  virtual std::shared_ptr<void> retain() = 0;
  // All chunks added so far are written, and the streamed response is not finished.
  virtual void on_chunks_written() = 0;
  // The whole response is written.
  virtual void on_response_written() = 0;
  // Writing to the socket failed.
  virtual void on_write_failed() = 0;
};

// Writes one response at a time, either complete or as a stream of chunks. The memory of bytes that the
// kernel has not accepted counts against `budget`.
class ResponseWriter {
 public:
  ResponseWriter(boost::asio::ip::tcp::socket& socket, const Clock& clock, BodyBudget& budget,
                 ResponseWriterOwner& owner);

  // Sends 100 Continue to a client that expects it before it sends its body. Bytes that the kernel does not
  // accept at once are sent with the response.
  void send_continue();
  // Writes a complete response. `close` announces that the connection is closed after it.
  void write_response(const Response& response, bool close);
  // Begins a streamed response; `length` is the size of its body in bytes, if known.
  void start_stream(ResponseFraming framing, std::optional<std::uint64_t> length, bool close);
  // Adds a chunk to the streamed response; ignored if none is in progress.
  void write_chunk(const std::string& bytes);
  // Ends the streamed response; ignored if none is in progress.
  void finish_stream();
  // Frees the buffers and stops all further writes and callbacks, because the connection is closed.
  void cancel();

  // Whether a streamed response has begun and is not finished.
  [[nodiscard]] bool is_streaming() const { return state_ == State::kStreaming; }
  // Looks at what the client has taken since the last call. Returns whether it has taken nothing for longer
  // than `timeout`, although there was something to take.
  bool is_client_stalled(TimePoint now, Duration timeout);

 private:
  enum class State {
    kIdle,
    kStreaming,   // more chunks can follow
    kCompleting,  // the end of the response is buffered
    kCancelled,
  };
  void start_write(std::string bytes);
  void flush_chunks();
  void flush();
  void write_some(std::size_t offset);
  std::size_t write_to_socket(boost::asio::const_buffer bytes, boost::system::error_code& ec);
  void on_written(boost::system::error_code ec, std::size_t offset);
  void complete();
  [[nodiscard]] bool is_active() const { return state_ == State::kStreaming || state_ == State::kCompleting; }

  boost::asio::ip::tcp::socket& socket_;
  const Clock& clock_;
  ResponseWriterOwner& owner_;
  State state_ = State::kIdle;
  ResponseFraming framing_ = ResponseFraming::kContentLength;
  std::string unsent_continue_;  // rest of a 100 Continue that the kernel has not accepted
  CountedBuffer buffer_;         // the data of the pending write
  CountedBuffer next_buffer_;    // chunks added during the pending write
  bool is_write_pending_ = false;
  ClientProgress client_progress_;
};

}  // namespace quota_gateway::net
