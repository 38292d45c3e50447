// Queries the kernel for the state of a client's TCP connection, and sets how the connection is closed.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>

#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

// Returns the time since the peer's latest data arrived, which may be before the connection was accepted.
// Returns 0 if the kernel does not report it.
Duration time_since_last_data(boost::asio::ip::tcp::socket& socket);

// Returns how much of the written data the peer has not acknowledged yet. The end of the connection counts as
// one byte. Returns 0 if the kernel does not report it.
std::uint64_t unacknowledged_bytes(boost::asio::ip::tcp::socket& socket);

// Returns whether written data has not been acknowledged by the peer yet.
bool has_unacknowledged_data(boost::asio::ip::tcp::socket& socket);

// Returns whether received data is waiting to be read.
bool has_unread_data(boost::asio::ip::tcp::socket& socket);

// Returns whether the peer has closed its side, even if data that it sent before is still unread.
bool is_closed_by_peer(boost::asio::ip::tcp::socket& socket);

// Sets whether close() sends a reset, which the peer cannot mistake for the orderly end of a response.
void set_reset_on_close(boost::asio::ip::tcp::socket& socket, bool enabled);

}  // namespace quota_gateway::net
