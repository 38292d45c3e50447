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

// A reply that leaves the connection unusable.
class CounterProtocolError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// A reply to one command.
struct CommandReply {
  enum class Kind {
    kTotal,     // the increment was added
    kRejected,  // the counter is busy or doesn't know the command; nothing was added
    kInvalid,   // nothing that an increment may be replied to; it may have been added
  };
  Kind kind = Kind::kInvalid;
  double total = 0;  // after the increment, for kTotal
};

std::string format_increment(const IncrementCounter& increment);
std::string format_ping();

// Decodes the replies of one connection, in pieces of any size.
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

  // Returns the next reply if it is complete. Throws CounterProtocolError on bytes that are no RESP, and on
  // an incomplete reply that is longer than any valid one.
  std::optional<CommandReply> next();

 private:
  struct ReaderDeleter {
    void operator()(redisReader* reader) const { redisReaderFree(reader); }
  };

  redisReplyObjectFunctions reply_functions_{};  // must outlive the reader, which points to it
  std::unique_ptr<redisReader, ReaderDeleter> reader_;
};

}  // namespace quota_gateway::net
