// Formats commands and decodes replies with hiredis.
#include "counter/counter_protocol.hpp"

#include <hiredis/hiredis.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdlib>
#include <initializer_list>
#include <new>
#include <vector>

#include "quota_gateway/time.hpp"

namespace quota_gateway::net {
namespace {

constexpr std::size_t kMaxReplySize = 64 << 10;  // bytes; far larger than any valid reply
constexpr std::size_t kMaxDecimalLength = 400;   // characters; enough for the largest double
constexpr Duration kMicrosPerMillisecond = 1000;
constexpr Duration kMinTtl = 1;       // ms
constexpr Duration kMaxTtl = 60'000;  // ms

std::string format_command(std::initializer_list<std::string_view> arguments) {
  std::vector<const char*> texts;
  std::vector<std::size_t> lengths;
  for (const std::string_view argument : arguments) {
    texts.push_back(argument.data());
    lengths.push_back(argument.size());
  }
  char* formatted = nullptr;
  const auto size = redisFormatCommandArgv(&formatted, int(texts.size()), texts.data(), lengths.data());
  if (size < 0) throw std::bad_alloc();
  std::string command(formatted, std::size_t(size));
  std::free(formatted);
  return command;
}

std::string format_decimal(double value) {
  std::array<char, kMaxDecimalLength> text;
  const auto result = std::to_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed);
  return {text.data(), result.ptr};
}

std::optional<double> parse_total(std::string_view text) {
  double total = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, total);
  if (error != std::errc() || stop != end || !std::isfinite(total)) return std::nullopt;
  return total;
}

CommandReply parse_reply(const redisReply& reply) {
  const std::string_view text(reply.str ? reply.str : "", reply.str ? reply.len : 0);
  if (reply.type == REDIS_REPLY_STRING) {
    if (const auto total = parse_total(text)) return {.kind = CommandReply::Kind::kTotal, .total = *total};
  }
  if (reply.type == REDIS_REPLY_ERROR && (text.starts_with("BUSY") || text.starts_with("ERR")))
    return {.kind = CommandReply::Kind::kRejected};
  return {.kind = CommandReply::Kind::kInvalid};
}

}  // namespace

std::string format_increment(const IncrementCounter& increment) {
  const Duration ttl_ms = std::clamp(increment.ttl / kMicrosPerMillisecond, kMinTtl, kMaxTtl);
  return format_command(
      {"CNT.ADD", std::to_string(increment.name), format_decimal(increment.amount), std::to_string(ttl_ms)});
}

std::string format_ping() { return format_command({"PING"}); }

CounterReplyReader::CounterReplyReader() : reader_(redisReaderCreate()) {
  if (!reader_) throw std::bad_alloc();
  // The reader would allocate an array of the length that a reply announces, even billions of elements. No
  // command has an array as its reply, so arrays are rejected.
  reply_functions_ = *reader_->fn;
  reply_functions_.createArray = [](const redisReadTask*, int) -> void* { return nullptr; };
  reader_->fn = &reply_functions_;
}

void CounterReplyReader::feed(std::string_view bytes) {
  if (redisReaderFeed(reader_.get(), bytes.data(), bytes.size()) != REDIS_OK)
    throw CounterProtocolError("reply reader failed");
}

std::optional<CommandReply> CounterReplyReader::next() {
  void* raw_reply = nullptr;
  if (redisReaderGetReply(reader_.get(), &raw_reply) != REDIS_OK)
    throw CounterProtocolError("malformed reply");
  if (!raw_reply) {
    if (reader_->len - reader_->pos > kMaxReplySize) throw CounterProtocolError("oversized reply");
    return std::nullopt;
  }
  const std::unique_ptr<void, void (*)(void*)> reply(raw_reply, freeReplyObject);
  return parse_reply(*static_cast<const redisReply*>(raw_reply));
}

}  // namespace quota_gateway::net
