#include "client/socket_state.hpp"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/socket_base.hpp>
#include <cstddef>

namespace quota_gateway::net {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

// No connection waits in the backlog for longer than this, so a larger value from the kernel is wrong.
constexpr Duration kMaxBacklogWait = 60'000'000;  // us
constexpr Duration kMicrosecondsPerMillisecond = 1000;

}  // namespace

Duration time_since_last_data(tcp::socket& socket) {
  tcp_info info{};
  socklen_t size = sizeof info;
  if (::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return 0;
  constexpr std::size_t kRequiredSize =
      offsetof(tcp_info, tcpi_last_data_recv) + sizeof info.tcpi_last_data_recv;
  if (size < kRequiredSize) return 0;
  return std::min(Duration(info.tcpi_last_data_recv) * kMicrosecondsPerMillisecond, kMaxBacklogWait);
}

std::uint64_t unacknowledged_bytes(tcp::socket& socket) {
  int bytes = 0;
  if (::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) != 0) return 0;
  return std::uint64_t(std::max(bytes, 0));
}

bool has_unacknowledged_data(tcp::socket& socket) { return unacknowledged_bytes(socket) > 0; }

bool has_unread_data(tcp::socket& socket) {
  error_code ignored;
  return socket.available(ignored) > 0;
}

bool is_closed_by_peer(tcp::socket& socket) {
  pollfd poll_request{socket.native_handle(), POLLRDHUP, 0};
  return ::poll(&poll_request, 1, 0) > 0;
}

void set_reset_on_close(tcp::socket& socket, bool enabled) {
  error_code ignored;
  socket.set_option(boost::asio::socket_base::linger(enabled, 0), ignored);
}

}  // namespace quota_gateway::net
