#include "handover.hpp"

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

#include "durable_file.hpp"

namespace cottonroad::net {
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

std::optional<Micros> predecessor_clock(const std::string& directory) {
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

Disabled::Disabled(Timers& timers, const std::string& directory, Switched switched)
    : timers_(timers),
      path_(directory.empty() ? "" : directory + "/disabled.json"),
      switched_(std::move(switched)) {}

void Disabled::start() {
  if (!path_.empty()) watch();
}

void Disabled::set(const std::string& server, bool disabled, Done done) {
  set(server, disabled, std::move(done), timers_.now() + kKeepPatience);
}

// Danger: what staff heard a yes for outlives this process, however soon it is killed; so it is on disk
// first.
void Disabled::set(const std::string& server, bool disabled, Done done, Micros until) {
  if (!path_.empty()) load();  // the other process may just have written
  std::set<std::string> wanted = servers_;
  const bool changes = disabled ? wanted.insert(server).second : wanted.erase(server) > 0;
  if (keep(wanted)) {
    servers_ = std::move(wanted);
    if (changes) switched_(server, disabled);
    return done(true);
  }
  if (timers_.now() >= until) {
    std::cerr << "disabled: cannot write " << path_ << '\n';
    return done(false);
  }
  timers_.after(kKeepAgain, [this, server, disabled, done = std::move(done), until]() mutable {
    set(server, disabled, std::move(done), until);
  });
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

bool Disabled::keep(const std::set<std::string>& servers) {
  if (path_.empty()) return true;
  const std::string text = nlohmann::json(servers).dump();
  if (!replace_file(path_, text, Durability::kDurable)) return false;
  seen_ = text;
  return true;
}

void Disabled::watch() {
  load();
  timers_.after(kWatch, [this] { watch(); });
}

Takeover::Takeover(Timers& timers, const Clock& clock, std::string directory, Micros longest, Calls calls)
    : timers_(timers),
      clock_(clock),
      directory_(std::move(directory)),
      longest_(longest),
      calls_(std::move(calls)),
      token_(std::to_string(::getpid()) + "-" + std::to_string(clock.now())) {}

Takeover::~Takeover() {
  if (lock_ < 0) return;
  ::close(lock_);
  ::unlink((directory_ + "/alive-" + token_).c_str());
}

// Tells the other process that this one serves, or wants to. The files between processes need not outlive a
// crash of the machine, which ends both.
bool Takeover::claim() {
  if (lock_ < 0) {
    lock_ = ::open((directory_ + "/alive-" + token_).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (lock_ < 0) return false;
    ::flock(lock_, LOCK_EX | LOCK_NB);
  }
  const nlohmann::json owner{{"token", token_}, {"clock", clock_.ahead_of_steady()}};
  return replace_file(directory_ + "/owner.json", owner.dump(), Durability::kProcess);
}

void Takeover::claim_until_told() {
  claimed_ = claim();
  if (claimed_) {
    since_ = clock_.now();
    return;
  }
  if (!std::exchange(claim_failed_, true)) std::cerr << "handover: cannot write to " << directory_ << '\n';
  timers_.after(kClaims, [this] { claim_until_told(); });
}

void Takeover::start() {
  const std::string before = token_in(directory_ + "/owner.json", "token");
  since_ = clock_.now();
  const bool served = is_alive(directory_, before);
  claim_until_told();
  if (served) return await_state();
  calls_.start(nullptr);
  watch();
}

void Takeover::await_state() {
  const std::string path = directory_ + "/state.json";
  try {
    const auto json = nlohmann::json::parse(read_file(path));
    if (json.at("for") == token_) {
      const Handover from{json.at("customers").get<decltype(Handover::customers)>(),
                          json.at("servers").get<decltype(Handover::servers)>(),
                          json.at("fleet").get<Handover::Figures>()};
      ::unlink(path.c_str());
      calls_.start(&from);
      hear_open();
      return watch();
    }
  } catch (const nlohmann::json::exception&) {  // not there yet, or none of ours
  }
  if (clock_.now() - since_ < (claimed_ ? kPatience : kClaimPatience))
    return timers_.after(kState, [this] { await_state(); });
  std::cerr << "handover: the process before this one does not answer\n";
  calls_.start(nullptr);
  watch();
}

void Takeover::watch() {
  const std::string owner = token_in(directory_ + "/owner.json", "token");
  if (!claimed_) {
    // Danger: the file still names our predecessor, which is no successor.
  } else if (successor_.empty()) {
    if (!owner.empty() && owner != token_ && is_alive(directory_, owner)) {
      successor_ = owner;
      const Handover state = calls_.hand_over();
      const nlohmann::json told{
          {"for", owner}, {"customers", state.customers}, {"servers", state.servers}, {"fleet", state.fleet}};
      tell_state(told.dump());
      tell_open();
    }
  } else if (!is_alive(directory_, successor_)) {
    successor_.clear();
    claim_until_told();
    calls_.take_back();
  }
  timers_.after(kClaims, [this] { watch(); });
}

void Takeover::tell_state(const std::string& state) {
  if (successor_.empty()) return;
  if (replace_file(directory_ + "/state.json", state, Durability::kProcess)) return;
  timers_.after(kStateAgain, [this, state] { tell_state(state); });
}

void Takeover::tell_open() {
  if (successor_.empty()) return;
  const auto open = calls_.open();
  const nlohmann::json told{{"for", successor_}, {"open", open}};
  const bool written = replace_file(directory_ + "/open.json", told.dump(), Durability::kProcess);
  if (!written || !open.empty()) timers_.after(kOpen, [this] { tell_open(); });
}

void Takeover::hear_open() {
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
  if (told) calls_.predecessor(open);
  if (!told || !open.empty()) timers_.after(kOpen, [this] { hear_open(); });
}

}  // namespace cottonroad::net
