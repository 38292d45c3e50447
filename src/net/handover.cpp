#include "handover.hpp"

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <charconv>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>

namespace cottonroad::net {
namespace {

constexpr Micros kWatch =
    50'000;  // us; with a sender's own delay well within the 250 ms of the rule on drains

std::string read_file(const std::string& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

// Whole or not at all, whoever reads meanwhile.
bool replace_file(const std::string& path, const std::string& text) {
  const std::string fresh = path + "." + std::to_string(::getpid());
  std::ofstream file(fresh, std::ios::trunc);
  file << text;
  file.close();
  return file && ::rename(fresh.c_str(), path.c_str()) == 0;
}

}  // namespace

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

Disabled::Disabled(Timers& timers, const std::string& directory, Switched switched)
    : timers_(timers),
      path_(directory.empty() ? "" : directory + "/disabled.json"),
      switched_(std::move(switched)) {}

void Disabled::start() {
  if (!path_.empty()) watch();
}

void Disabled::set(const std::string& server, bool disabled) {
  if (!path_.empty()) load();  // the other process may just have written
  disabled ? servers_.insert(server).second : servers_.erase(server) > 0;
  if (!path_.empty()) write();
  switched_(server, disabled);
}

void Disabled::load() {
  const std::string text = read_file(path_);
  if (text.empty() || text == seen_) return;
  const auto json = nlohmann::json::parse(text, nullptr, false);
  if (!json.is_array()) return;
  std::set<std::string> told;
  for (const auto& id : json)
    if (id.is_string()) told.insert(id.get<std::string>());
  seen_ = text;
  const auto before = std::exchange(servers_, told);
  for (const std::string& id : before)
    if (!told.count(id)) switched_(id, false);
  for (const std::string& id : told)
    if (!before.count(id)) switched_(id, true);
}

void Disabled::write() const {
  if (!replace_file(path_, nlohmann::json(servers_).dump()))
    std::cerr << "disabled: cannot write " << path_ << '\n';
}

void Disabled::watch() {
  load();
  timers_.after(kWatch, [this] { watch(); });
}

}  // namespace cottonroad::net
