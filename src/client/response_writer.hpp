// Serialises responses and writes them to a client's socket.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "client/client_response.hpp"
#include "network/body_transfer.hpp"
#include "runtime/timers.hpp"

namespace quota_gateway::net {

// How a client recognises the end of a streamed response.
enum class ResponseFraming { kContentLength, kChunked, kUntilClose };

// Chunks need HTTP/1.1. Without them and without a length the end of the connection ends the response.
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
  // All chunks so far are written, and the response is not finished.
  virtual void on_chunks_written() = 0;
  // The response is written to its end.
  virtual void on_response_written() = 0;
  // The socket failed.
  virtual void on_write_failed() = 0;
};

// Writes one response at a time, either complete or as a stream of chunks. Bytes that the kernel does not
// take are counted in `share`.
class ResponseWriter {
 public:
  ResponseWriter(boost::asio::ip::tcp::socket& socket, const Clock& clock, BodyBudget::Share& share,
                 ResponseWriterOwner& owner);

  // Invites a client that sent `Expect: 100-continue` to send its body. What the kernel does not take at once
  // is written before the response.
  void send_continue();
  // Writes a complete response. `close`: announces that the connection ends after it.
  void write_response(const Response& response, bool close);
  // Begins a streamed response.
  void start_stream(ResponseFraming framing, std::optional<std::uint64_t> length, bool close);
  // Adds a chunk to a streamed response; ignored if there is none.
  void write_chunk(const std::string& bytes);
  // Ends a streamed response.
  void finish_stream();
  // Ends the work of the writer because the connection is closed.
  void cancel() { state_ = State::kCancelled; }

  // Whether a streamed response has begun and is not finished.
  [[nodiscard]] bool is_streaming() const { return state_ == State::kStreaming; }
  // Whether the client has accepted no data for longer than the write timeout.
  [[nodiscard]] bool is_stalled(TimePoint now) const;

 private:
  enum class State {
    kIdle,
    kStreaming,   // more chunks may follow
    kCompleting,  // the end of the response is in the buffers
    kCancelled,
  };
  void start(std::string bytes);
  void flush_chunks();
  void flush();
  void write_some(std::size_t offset);
  void on_written(boost::system::error_code ec, std::size_t offset);
  void complete();
  [[nodiscard]] bool is_active() const { return state_ == State::kStreaming || state_ == State::kCompleting; }

  boost::asio::ip::tcp::socket& socket_;
  const Clock& clock_;
  BodyBudget::Share& share_;
  ResponseWriterOwner& owner_;
  State state_ = State::kIdle;
  ResponseFraming framing_ = ResponseFraming::kContentLength;
  std::string unsent_continue_;
  std::string buffer_;       // being written
  std::string next_buffer_;  // chunks that came meanwhile
  bool is_write_pending_ = false;
  TimePoint last_progress_at_ = 0;  // of the pending write
};

}  // namespace quota_gateway::net
