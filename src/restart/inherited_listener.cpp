#include "restart/inherited_listener.hpp"

#include <fcntl.h>
#include <sys/socket.h>

#include <charconv>
#include <cstdlib>
#include <string_view>

namespace quota_gateway::net {
namespace {

std::optional<int> parse_descriptor(std::string_view text) {
  int descriptor = -1;
  const char* end = text.data() + text.size();
  const auto [parsed_end, error] = std::from_chars(text.data(), end, descriptor);
  if (error != std::errc() || parsed_end != end || descriptor < 0) return std::nullopt;
  return descriptor;
}

bool is_listening_socket(int descriptor) {
  int is_listening = 0;
  socklen_t size = sizeof is_listening;
  return ::getsockopt(descriptor, SOL_SOCKET, SO_ACCEPTCONN, &is_listening, &size) == 0 && is_listening != 0;
}

}  // namespace

std::optional<int> inherited_listener() {
  const char* text = std::getenv("RELAY_LISTEN_FD");
  if (text == nullptr) return std::nullopt;
  const std::optional<int> descriptor = parse_descriptor(text);
  if (!descriptor || !is_listening_socket(*descriptor)) return std::nullopt;
  ::fcntl(*descriptor, F_SETFD, FD_CLOEXEC);
  return descriptor;
}

}  // namespace quota_gateway::net
