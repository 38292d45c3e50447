#include "restart/hot_restart.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/socket.h>
#include <unistd.h>

#include <charconv>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>

#include "restart/atomic_file.hpp"

namespace quota_gateway::net {
namespace {

constexpr Micros kClaims = 20'000;      // us between looks for a successor, whose clients wait meanwhile
constexpr Micros kState = 2'000;        // us between looks for what the predecessor hands over
constexpr Micros kStateAgain = 10'000;  // us between tries to write it
constexpr Micros kPatience = 300'000;   // us for it; a predecessor that does not answer is not waited for
constexpr Micros kOpen = 50'000;        // us between its words on attempts still out
constexpr Micros kClaimPatience = 5'000'000;  // us for the predecessor to be told of us at all
constexpr Micros kKeepAgain = 50'000;         // us between tries to keep what staff want
constexpr Micros kKeepPatience = 700'000;     // us for these; staff are owed an answer within 1 s
constexpr Micros kWatch =
    50'000;  // us; with a sender's own delay well within the 250 ms of the rule on drains

std::string read_file(const std::string& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

std::string token_in(const std::string& path, const char* key) {
  const auto json = nlohmann::json::parse(read_file(path), nullptr, false);
  return json.is_object() && json.contains(key) && json[key].is_string() ? json[key].get<std::string>() : "";
}

// A lock goes with its process, however that ends; a number of a process may come again.
bool is_alive(const std::string& directory, const std::string& token) {
  if (token.empty() || token.find('/') != std::string::npos) return false;
  const std::string path = directory + "/alive-" + token;
  const int file = ::open(path.c_str(), O_RDWR | O_CLOEXEC);
  if (file < 0) return false;
  const bool locked = ::flock(file, LOCK_EX | LOCK_NB) != 0;
  if (!locked) ::unlink(path.c_str());  // left by one that was killed
  ::close(file);
  return locked;
}

}  // namespace

std::optional<Micros> predecessor_clock_offset(const std::string& directory) {
  if (directory.empty()) return std::nullopt;
  const auto owner = nlohmann::json::parse(read_file(directory + "/owner.json"), nullptr, false);
  const auto clock = owner.is_object() ? owner.find("clock") : owner.end();
  if (clock == owner.end() || !clock->is_number_integer()) return std::nullopt;
  if (!is_alive(directory, token_in(directory + "/owner.json", "token"))) return std::nullopt;
  return clock->get<Micros>();
}

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

DisabledEndpoints::DisabledEndpoints(Timers& timers, const std::string& directory, ChangeCallback on_change)
    : timers_(timers),
      path_(directory.empty() ? "" : directory + "/disabled.json"),
      on_change_(std::move(on_change)) {}

void DisabledEndpoints::start() {
  if (!path_.empty()) watch();
}

void DisabledEndpoints::set(const std::string& server, bool disabled, Done done) {
  set(server, disabled, std::move(done), timers_.now() + kKeepPatience);
}

// Danger: what staff heard a yes for outlives this process, however soon it is killed; so it is on disk
// first.
void DisabledEndpoints::set(const std::string& server, bool disabled, Done done, Micros until) {
  if (!path_.empty()) load();  // the other process may just have written
  std::set<std::string> wanted = servers_;
  const bool changes = disabled ? wanted.insert(server).second : wanted.erase(server) > 0;
  if (keep(wanted)) {
    servers_ = std::move(wanted);
    if (changes) on_change_(server, disabled);
    return done(true);
  }
  if (timers_.now() >= until) {
    std::cerr << "disabled: cannot write " << path_ << '\n';
    return done(false);
  }
  timers_.schedule_after(kKeepAgain, [this, server, disabled, done = std::move(done), until]() mutable {
    set(server, disabled, std::move(done), until);
  });
}

void DisabledEndpoints::load() {
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
    if (!told.count(id)) on_change_(id, false);
  for (const std::string& id : told)
    if (!before.count(id)) on_change_(id, true);
}

bool DisabledEndpoints::keep(const std::set<std::string>& servers) {
  if (path_.empty()) return true;
  const std::string text = nlohmann::json(servers).dump();
  if (!replace_file(path_, text, Durability::kDurable)) return false;
  seen_ = text;
  return true;
}

void DisabledEndpoints::watch() {
  load();
  timers_.schedule_after(kWatch, [this] { watch(); });
}

HotRestart::HotRestart(Timers& timers, const Clock& clock, std::string directory, Micros longest,
                       Callbacks callbacks)
    : timers_(timers),
      clock_(clock),
      directory_(std::move(directory)),
      longest_(longest),
      callbacks_(std::move(callbacks)),
      token_(std::to_string(::getpid()) + "-" + std::to_string(clock.now())) {}

HotRestart::~HotRestart() {
  if (lock_ < 0) return;
  ::close(lock_);
  ::unlink((directory_ + "/alive-" + token_).c_str());
}

// Tells the other process that this one serves, or wants to. The files between processes need not outlive a
// crash of the machine, which ends both.
bool HotRestart::claim() {
  if (lock_ < 0) {
    lock_ = ::open((directory_ + "/alive-" + token_).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (lock_ < 0) return false;
    ::flock(lock_, LOCK_EX | LOCK_NB);
  }
  const nlohmann::json owner{{"token", token_}, {"clock", clock_.offset_from_steady()}};
  return replace_file(directory_ + "/owner.json", owner.dump(), Durability::kProcess);
}

void HotRestart::claim_until_told() {
  claimed_ = claim();
  if (claimed_) {
    since_ = clock_.now();
    return;
  }
  if (!std::exchange(claim_failed_, true)) std::cerr << "handover: cannot write to " << directory_ << '\n';
  timers_.schedule_after(kClaims, [this] { claim_until_told(); });
}

void HotRestart::start() {
  const std::string before = token_in(directory_ + "/owner.json", "token");
  since_ = clock_.now();
  const bool served = is_alive(directory_, before);
  claim_until_told();
  if (served) return await_state();
  callbacks_.on_start(nullptr);
  watch();
}

void HotRestart::await_state() {
  const std::string path = directory_ + "/state.json";
  try {
    const auto json = nlohmann::json::parse(read_file(path));
    if (json.at("for") == token_) {
      const HotRestartState from{json.at("customers").get<decltype(HotRestartState::customers)>(),
                                 json.at("servers").get<decltype(HotRestartState::endpoints)>(),
                                 json.at("fleet").get<HotRestartState::Values>()};
      ::unlink(path.c_str());
      callbacks_.on_start(&from);
      hear_open();
      return watch();
    }
  } catch (const nlohmann::json::exception&) {  // not there yet, or none of ours
  }
  if (clock_.now() - since_ < (claimed_ ? kPatience : kClaimPatience))
    return timers_.schedule_after(kState, [this] { await_state(); });
  std::cerr << "handover: the process before this one does not answer\n";
  callbacks_.on_start(nullptr);
  watch();
}

void HotRestart::watch() {
  const std::string owner = token_in(directory_ + "/owner.json", "token");
  if (!claimed_) {
    // Danger: the file still names our predecessor, which is no successor.
  } else if (successor_.empty()) {
    if (!owner.empty() && owner != token_ && is_alive(directory_, owner)) {
      successor_ = owner;
      const HotRestartState state = callbacks_.begin();
      const nlohmann::json told{{"for", owner},
                                {"customers", state.customers},
                                {"servers", state.endpoints},
                                {"fleet", state.fleet}};
      tell_state(told.dump());
      tell_open();
    }
  } else if (!is_alive(directory_, successor_)) {
    successor_.clear();
    claim_until_told();
    callbacks_.on_aborted();
  }
  timers_.schedule_after(kClaims, [this] { watch(); });
}

void HotRestart::tell_state(const std::string& state) {
  if (successor_.empty()) return;
  if (replace_file(directory_ + "/state.json", state, Durability::kProcess)) return;
  timers_.schedule_after(kStateAgain, [this, state] { tell_state(state); });
}

void HotRestart::tell_open() {
  if (successor_.empty()) return;
  const auto open = callbacks_.attempts_in_flight();
  const nlohmann::json told{{"for", successor_}, {"open", open}};
  const bool written = replace_file(directory_ + "/open.json", told.dump(), Durability::kProcess);
  if (!written || !open.empty()) timers_.schedule_after(kOpen, [this] { tell_open(); });
}

void HotRestart::hear_open() {
  std::map<std::string, int> open;
  const bool over = clock_.now() - since_ > longest_;
  bool told = over;
  try {
    const auto json = nlohmann::json::parse(read_file(directory_ + "/open.json"));
    if (!over && json.at("for") == token_) {
      open = json.at("open").get<std::map<std::string, int>>();
      told = true;
    }
  } catch (const nlohmann::json::exception&) {  // not there yet, or torn
  }
  if (told) callbacks_.on_predecessor_attempts(open);
  if (!told || !open.empty()) timers_.schedule_after(kOpen, [this] { hear_open(); });
}

}  // namespace quota_gateway::net
