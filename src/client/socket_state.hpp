// Questions to the kernel about the state of a client's TCP connection.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

// How long ago the peer's latest data arrived, which may be before the connection was accepted. 0 if the
// kernel does not report it.
Duration time_since_last_data(boost::asio::ip::tcp::socket& socket);

// Whether the peer has yet to acknowledge data that was written.
bool has_unacknowledged_data(boost::asio::ip::tcp::socket& socket);

// Whether received data waits to be read.
bool has_unread_data(boost::asio::ip::tcp::socket& socket);

// Whether the peer has closed its side, even if data before that is unread.
bool is_closed_by_peer(boost::asio::ip::tcp::socket& socket);

// Lets close() send a reset, which the peer cannot take for the orderly end of a response.
void set_reset_on_close(boost::asio::ip::tcp::socket& socket, bool enabled);

}  // namespace quota_gateway::net
