// Reads and writes of stream sockets that go on after interrupted and short system calls.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <cstddef>
#include <string_view>
#include <utility>

namespace quota_gateway::net {

// read_some() that goes on when a signal interrupts it.
template <typename Buffers>
std::size_t read_available(boost::asio::ip::tcp::socket& socket, const Buffers& buffers,
                           boost::system::error_code& ec) {
  std::size_t size = 0;
  do size = socket.read_some(buffers, ec);
  while (ec == boost::asio::error::interrupted);
  return size;
}

// write_some() that goes on when a signal interrupts it.
template <typename Buffers>
std::size_t write_available(boost::asio::ip::tcp::socket& socket, const Buffers& buffers,
                            boost::system::error_code& ec) {
  std::size_t size = 0;
  do size = socket.write_some(buffers, ec);
  while (ec == boost::asio::error::interrupted);
  return size;
}

// Writes all of `bytes`, which the caller keeps alive, to a non-blocking socket, and then calls `done(error,
// size)`, never from within this call. Stops without a call once `is_current` returns false.
//
// Asio's own async_write waits for an edge after a short write. The edge never comes if the kernel's buffer
// was not full, as after an interrupted call. A wait for writability checks the present state instead.
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
                     done = std::move(done)](boost::system::error_code failed) mutable {
                      if (!is_current()) return;
                      if (failed) return done(failed, written);
                      async_write_all(socket, bytes, std::move(is_current), std::move(done), written);
                    });
}

}  // namespace quota_gateway::net
