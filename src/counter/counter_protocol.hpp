// The wire format of the quota counter: RESP, the protocol of Redis, with the counter's own commands.
#pragma once

#include <hiredis/read.h>

#include <cstddef>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

#include "quota_gateway/actions.hpp"

namespace quota_gateway::net {

// Thrown for a reply after which the connection must be replaced.
class CounterProtocolError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The reply to one command.
struct CommandReply {
  enum class Kind {
    kTotal,     // the increment was added
    kRejected,  // the counter is busy or doesn't know the command; nothing was added
    kInvalid,   // not a valid reply to an increment, which may have been added
  };
  Kind kind = Kind::kInvalid;
  double total = 0;  // the value after the increment, for kTotal
};

// Returns the command that adds to a counter. The time to live is clamped to between 1 ms and 60 s.
std::string format_increment(const IncrementCounter& increment);

// Returns the command that keeps an idle connection open.
std::string format_ping();

// Decodes the replies on one connection, which may arrive in pieces of any size.
class CounterReplyReader {
 public:
  CounterReplyReader();
  CounterReplyReader(const CounterReplyReader&) = delete;
  CounterReplyReader& operator=(const CounterReplyReader&) = delete;
  CounterReplyReader(CounterReplyReader&&) = delete;
  CounterReplyReader& operator=(CounterReplyReader&&) = delete;
  ~CounterReplyReader() = default;

  // Adds received bytes. Throws CounterProtocolError.
  void feed(std::string_view bytes);

  // Returns the next reply, or std::nullopt if it is not complete yet. Throws CounterProtocolError if the
  // bytes are not valid RESP, and for an incomplete reply that is longer than any valid one.
  std::optional<CommandReply> next();

 private:
  struct ReaderDeleter {
    void operator()(redisReader* reader) const { redisReaderFree(reader); }
  };

  redisReplyObjectFunctions reply_functions_{};  // must outlive the reader, which points to it
  std::unique_ptr<redisReader, ReaderDeleter> reader_;
};

}  // namespace quota_gateway::net
