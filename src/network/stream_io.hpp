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

// Writes all of `bytes`, which stay the caller's, to a non-blocking socket and then calls `done(error,
// size)`, never from within this call. Danger: asio's own async_write takes a short write for a full kernel
// buffer and waits for an edge that never comes if the buffer had room; a wait here looks at the present
// state.
template <typename Current, typename Done>
void write_all(boost::asio::ip::tcp::socket& socket, std::string_view bytes, Current current, Done done,
               std::size_t written = 0) {
  boost::system::error_code ec;
  while (!ec && written < bytes.size())
    written += write_available(socket, boost::asio::buffer(bytes.substr(written)), ec);
  if (ec != boost::asio::error::would_block) {
    boost::asio::post(socket.get_executor(),
                      [done = std::move(done), ec, written]() mutable { done(ec, written); });
    return;
  }
  socket.async_wait(boost::asio::ip::tcp::socket::wait_write,
                    [&socket, bytes, written, current = std::move(current),
                     done = std::move(done)](boost::system::error_code failed) mutable {
                      if (!current()) return;
                      if (failed) return done(failed, written);
                      write_all(socket, bytes, std::move(current), std::move(done), written);
                    });
}

}  // namespace quota_gateway::net
