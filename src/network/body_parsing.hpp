// Feeds received bytes to an HTTP parser that leaves storing the body to its caller.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <string>
#include <vector>

#include "network/body_budget.hpp"
#include "network/counted_buffer.hpp"

namespace quota_gateway::net {

// Passes `bytes` to the parser of a message with a buffer_body and appends the decoded body data to `body`.
// Returns how many bytes the parser consumed.
template <typename Parser>
std::size_t feed_parser(Parser& parser, const std::string& bytes, CountedBuffer& body,
                        boost::system::error_code& ec) {
  static thread_local std::vector<char> scratch(kReadSize);
  auto& destination = parser.get().body();
  destination.data = scratch.data();
  destination.size = scratch.size();
  const std::size_t consumed = parser.put(boost::asio::buffer(bytes), ec);
  body.append({scratch.data(), scratch.size() - destination.size});
  if (ec == boost::beast::http::error::need_buffer) ec = {};
  return consumed;
}

}  // namespace quota_gateway::net
