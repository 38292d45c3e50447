#include "handover.hpp"

#include <fcntl.h>
#include <sys/socket.h>

#include <charconv>
#include <cstdlib>
#include <cstring>

namespace cottonroad::net {

std::optional<int> inherited_listener() {
  const char* text = std::getenv("RELAY_LISTEN_FD");
  if (!text || !*text) return std::nullopt;
  int fd = -1, listens = 0;
  const char* end = text + std::strlen(text);
  const auto [stop, ec] = std::from_chars(text, end, fd);
  socklen_t size = sizeof listens;
  if (ec != std::errc() || stop != end || fd < 0 ||
      ::getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size) != 0 || !listens)
    return std::nullopt;
  ::fcntl(fd, F_SETFD, FD_CLOEXEC);
  return fd;
}

}  // namespace cottonroad::net
