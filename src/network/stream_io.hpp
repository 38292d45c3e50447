// Reads and writes of TCP sockets that continue after interrupted and partial system calls.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <cstddef>
#include <string_view>
#include <utility>

namespace quota_gateway::net {

// Like read_some(), but retries when a signal interrupts the call.
template <typename Buffers>
std::size_t read_available(boost::asio::ip::tcp::socket& socket, const Buffers& buffers,
                           boost::system::error_code& ec) {
  std::size_t size = 0;
  do size = socket.read_some(buffers, ec);
  while (ec == boost::asio::error::interrupted);
  return size;
}

// Like write_some(), but retries when a signal interrupts the call.
template <typename Buffers>
std::size_t write_available(boost::asio::ip::tcp::socket& socket, const Buffers& buffers,
                            boost::system::error_code& ec) {
  std::size_t size = 0;
  do size = socket.write_some(buffers, ec);
  while (ec == boost::asio::error::interrupted);
  return size;
}

// Writes all of `bytes`, which the caller keeps alive, to a non-blocking socket, starting after the first
// `written` bytes. Then calls `done(error, written)`, never from within this call. Once `is_current` returns
// false, stops without calling `done`.
//
// Does not use Asio's async_write, which waits for an edge-triggered event after a partial write. That event
// never comes if the kernel's send buffer was not full, as after an interrupted call. async_wait checks the
// current state instead.
template <typename IsCurrent, typename Done>
void async_write_all(boost::asio::ip::tcp::socket& socket, std::string_view bytes, IsCurrent is_current,
                     Done done, std::size_t written = 0) {
  boost::system::error_code ec;
  while (!ec && written < bytes.size())
    written += write_available(socket, boost::asio::buffer(bytes.substr(written)), ec);
  if (ec != boost::asio::error::would_block) {
    boost::asio::post(socket.get_executor(),
                      [done = std::move(done), ec, written]() mutable { done(ec, written); });
    return;
  }
  socket.async_wait(boost::asio::ip::tcp::socket::wait_write,
                    [&socket, bytes, written, is_current = std::move(is_current),
                     done = std::move(done)](boost::system::error_code wait_error) mutable {
                      if (!is_current()) return;
                      if (wait_error) return done(wait_error, written);
                      async_write_all(socket, bytes, std::move(is_current), std::move(done), written);
                    });
}

}  // namespace quota_gateway::net
