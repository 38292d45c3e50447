#include "driver.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <utility>

namespace cottonroad::net {
namespace {

namespace asio = boost::asio;

// The client's time runs from its send; the answer has a way to go too.
constexpr Micros kEarly = 20'000;
constexpr double kEarlyShare = 0.1;   // of the client's patience, at the most
constexpr Micros kBackstop = 10'000;  // us past our deadline, before the client's: the module said nothing
// us without a byte of an answer that is past its deadline; it is lost half a second after its client's time.
constexpr Micros kSilent = 400'000;
constexpr Micros kHandOver = 1'000'000;  // us; clients go on connecting for up to 0.4 s after SIGTERM
constexpr Micros kLookDrained = 20'000;
// SIGKILL follows SIGTERM after the longest deadline, counted as so much at the most, and so much more.
constexpr Micros kLongestToKill = 3'000'000, kKillAfter = 700'000;
constexpr Micros kLastAnswers = 250'000;      // us before it; this process may be held up for 150 ms
constexpr Micros kLeastStep = 20'000;         // us by which the wall clock may drift unsaid
constexpr Micros kLoggedStep = 500'000;       // us
constexpr Micros kUploadMost = 3600'000'000;  // us; slow clients are the front's to cut off
constexpr std::size_t kOther =
    24;  // descriptors beside clients' and servers': second address, counter, discovery
constexpr double kServersShare = 0.4;            // of the others
constexpr std::size_t kClientMemory = 64 << 10;  // bytes a client may come to when bodies are tight
constexpr std::size_t kBodiesShare =
    6;  // of the memory, one part for held bodies; buffers on the way take as much

std::size_t most_servers(const Config& c) { return std::size_t(kServersShare * double(c.sockets - kOther)); }
std::size_t most_clients(const Config& c) {
  return std::max<std::size_t>(
      16, std::min(c.sockets - kOther - most_servers(c), c.memory_mb * (1 << 20) / kClientMemory));
}

}  // namespace

Driver::Driver(asio::io_context& io, const Config& config, const Clock& clock)
    : io_(io),
      settings_(config.settings),
      clock_(clock),
      timers_(io, clock_),
      gateway_(config.settings, config.seed),
      metrics_(settings_),
      budget_(config.memory_mb * (1 << 20) / kBodiesShare),
      upstream_(io, timers_, clock_, {config.conn_idle, config.dial_timeout, most_servers(config)}, budget_,
                {[this](AttemptKey key, AttemptResult result) { ended(key, std::move(result)); },
                 [this] { metrics_.wrote_attempt(); },
                 [this](AttemptKey key, const AttemptResult& head, std::optional<std::uint64_t> length) {
                   begun(key, head, length);
                 },
                 [this](AttemptKey key, std::string bytes) { piece(key, std::move(bytes)); }}),
      disabled_(timers_, config.shared_directory,
                [this](const std::string& server, bool disabled) { switched(server, disabled); }),
      discovery_(io, timers_, clock_, config.discovery, config.known.revision, config.settings.drain_grace,
                 [this](const MemberList& list) {
                   using Kind = ServerListUpdate::Kind;
                   told(list, list.complete ? Kind::kComplete : Kind::kPartial);
                 }),
      frontend_(io, timers_, clock_, settings_, most_clients(config), budget_,
                {[this](std::uint64_t client, ClientRequest r) { return took(client, std::move(r)); },
                 [this](std::uint64_t id, Micros missing) { uploaded(id, missing); },
                 [this](std::uint64_t id, Micros missing) { behind(id, missing); },
                 [this](std::uint64_t id) { gone(id); }, [this](std::uint64_t id) { room(id); },
                 [this] { listening(); }}) {
  if (config.counter) {
    counter_.emplace(io, timers_, clock_, *config.counter, settings_.counter_timeout, config.dial_timeout,
                     [this](CounterAnswered a) { push(std::move(a)); });
    counter_->start();
  }
  told(config.known, ServerListUpdate::Kind::kPersisted);
  disabled_.start();
  discovery_.start();
  if (config.listener && !config.shared_directory.empty())
    take_turns(config);
  else
    frontend_.listen(config.listen, config.listener);
  if (config.admin) {
    AdminCalls calls;
    calls.ready = [this] { return !drained_ && frontend_.takes_clients(); };
    calls.metrics = [this] { return figures(); };
    calls.disable = [this](const std::string& server, bool disabled, std::function<void(SwitchResult)> done) {
      if (!upstream_.knows(server) && !disabled_.has(server)) return done(SwitchResult::kUnknownServer);
      disabled_.set(server, disabled,
                    [done](bool kept) { done(kept ? SwitchResult::kDone : SwitchResult::kNotKept); });
    };
    admin_.emplace(io, timers_, std::move(calls));
    admin_->listen(*config.admin);
  }
}

void Driver::when_listening(std::function<void()> then) {
  when_listening_ = std::move(then);
  if (listening_) when_listening_();
}

void Driver::listening() {
  listening_ = true;
  if (when_listening_) when_listening_();
}

// ---- What happened ------------------------------------------------------------------------------------
std::uint64_t Driver::took(std::uint64_t client, ClientRequest request) {
  const std::uint64_t id = ++last_;
  Request& r = requests_[id];
  r.client = client;
  r.patience = request.patience;
  r.outgoing = std::move(request.outgoing);
  r.request_class = request.arrived.request_class;
  ++in_progress_;
  request.arrived.id = std::to_string(id);  // ours, since a client's may come twice
  request.arrived.uploading = r.outgoing.upload != nullptr;
  if (r.outgoing.upload)
    r.deadline = clock_.now() + kUploadMost;  // a client waits from its last byte on
  else
    start_clock(id, r, request.came_at);
  request.arrived.deadline = r.deadline;
  push(std::move(request.arrived));
  return id;
}

Micros Driver::deadline(const Request& r, Micros from) const {
  const Micros at = from + r.patience - std::min(kEarly, Micros(kEarlyShare * double(r.patience)));
  // What comes while we drain must have its answer before the platform kills what is left.
  return drained_ ? std::min(at, answer_by_) : at;
}

void Driver::start_clock(std::uint64_t id, Request& r, Micros from) {
  r.deadline = deadline(r, from);
  timers_.at(r.deadline + kBackstop, [this, id] { overdue(id); });
}

void Driver::uploaded(std::uint64_t id, Micros missing) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || it->second.answered) return;
  Request& r = it->second;
  start_clock(id, r, missing);
  for (std::size_t i = 0; i < r.attempts.size(); ++i) {
    if (!r.attempts[i].out) continue;
    r.attempts[i].sent = clock_.now();  // its server begins only now
    timers_.at(r.deadline, [this, key = AttemptKey{id, int(i)}] { expire(key); });
  }
  push(BodyArrived{std::to_string(id), r.deadline});
}

void Driver::behind(std::uint64_t id, Micros missing) {
  const auto it = requests_.find(id);
  if (it != requests_.end() && clock_.now() >= deadline(it->second, missing)) overdue(id);
}

void Driver::gone(std::uint64_t id) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  Request& r = it->second;
  if (r.answered && !(r.begun && r.attempts.back().out)) return;
  if (!std::exchange(r.answered, true)) --in_progress_;
  push(ClientGone{std::to_string(id)});
  // Nobody takes the rest of an answer, so nobody would ask for it either.
  if (r.begun) {
    const AttemptKey key{id, int(r.attempts.size()) - 1};
    upstream_.abandon(key);
    return ended(key, {Outcome::kCancelled, {}, {}, 0});
  }
  // What no server can have begun need not be sent, whether or not cancels are allowed.
  for (std::size_t i = 0; i < r.attempts.size(); ++i)
    if (const AttemptKey key{id, int(i)}; upstream_.withdraw(key)) ended(key, {Outcome::kNotSent, {}, {}});
  forget(it);
}

// A request must not go unanswered, whatever the module does.
void Driver::overdue(std::uint64_t id) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || it->second.answered) return;
  std::cerr << "driver: request " << id << " overdue, failed\n";
  Request& r = it->second;
  r.late = true;
  act(Fail{std::to_string(id)});
  push(ClientGone{std::to_string(id)});
  // A body that no server has taken whole is not waited for any more.
  for (std::size_t i = 0; i < r.attempts.size(); ++i)
    if (const AttemptKey key{id, int(i)}; upstream_.withdraw(key))
      ended(key, {Outcome::kConnectFailed, {}, {}});
}

void Driver::told(const MemberList& list, ServerListUpdate::Kind kind) {
  upstream_.update(list);
  ServerListUpdate update;
  update.kind = kind;
  for (const Member& m : list.members) update.entries.push_back(m.entry);
  push(std::move(update));
}

void Driver::begun(AttemptKey key, const AttemptResult& head, std::optional<std::uint64_t> length) {
  const auto it = requests_.find(key.request);
  if (it == requests_.end() || it->second.answered) return;
  Request& r = it->second;
  Attempt& a = r.attempts.at(std::size_t(key.attempt));
  r.answered = r.begun = true;
  // An answer may begin before all of the request has come. What is still to come of that is not awaited.
  if (r.outgoing.upload && !r.outgoing.upload->finished()) {
    start_clock(key.request, r, clock_.now());
    timers_.at(r.deadline, [this, key] { expire(key); });
  }
  push(StreamStarted{std::to_string(key.request), key.attempt, a.server, clock_.now() - a.sent, head.billed,
                     head.load});
  frontend_.begin(r.client, length);
}

void Driver::piece(AttemptKey key, std::string bytes) {
  const auto it = requests_.find(key.request);
  if (it != requests_.end() && it->second.begun) frontend_.piece(it->second.client, std::move(bytes));
}

void Driver::room(std::uint64_t id) {
  const auto it = requests_.find(id);
  if (it != requests_.end() && it->second.begun) upstream_.more({id, int(it->second.attempts.size()) - 1});
}

void Driver::ended(AttemptKey key, AttemptResult result) {
  const auto it = requests_.find(key.request);
  if (it == requests_.end()) return;
  Request& r = it->second;
  Attempt& a = r.attempts.at(std::size_t(key.attempt));
  if (!a.out) return;
  a.out = false;
  --r.out;
  r.late = result.outcome == Outcome::kTimeout;
  AttemptEnded e;
  e.id = std::to_string(key.request);
  e.attempt = key.attempt;
  e.server = a.server;
  e.outcome = result.outcome;
  e.duration = clock_.now() - a.sent;
  e.load = result.load;
  e.billed = result.billed;
  e.repeatable = !r.outgoing.upload || !r.outgoing.upload->begun();
  if (r.begun) {
    const bool whole = result.outcome == Outcome::kOk;
    over(r, whole ? 200 : 502);
    whole ? frontend_.finish(r.client) : frontend_.cut(r.client);
  } else if (result.outcome == Outcome::kOk) {
    Answer served;
    served.status = 200;
    served.body = std::move(result.body);
    answer(r, std::move(served));
  }
  e.finished = r.answered;
  push(std::move(e));
  forget(it);
}

void Driver::expire(AttemptKey key) {
  const auto it = requests_.find(key.request);
  if (it == requests_.end() || !it->second.attempts.at(std::size_t(key.attempt)).out) return;
  // Danger: one that still gives must not be cut off, nor its client left waiting for one that has fallen
  // silent.
  if (it->second.begun) {
    const Micros until = std::max(it->second.deadline, upstream_.heard(key)) + kSilent;
    if (clock_.now() < until) return timers_.at(until, [this, key] { expire(key); });
  }
  const bool written = upstream_.abandon(key);
  ended(key, {written ? Outcome::kTimeout : Outcome::kConnectFailed, {}, {}});
}

void Driver::switched(const std::string& server, bool disabled) {
  upstream_.disable(server, disabled);
  push(ServerSwitched{server, disabled});
}

// ---- The module ---------------------------------------------------------------------------------------
// What comes in one turn of the loop goes to the module together, once all of the turn is in.
void Driver::push(Event event) {
  events_.push_back(std::move(event));
  if (std::exchange(flushing_, true)) return;
  asio::post(io_, [this] { flush(); });
}

// The module is told when the wall clock has been stepped, or has drifted.
void Driver::watch_wall_clock() {
  const Micros offset = clock_.wall_now() - clock_.now();
  if (std::abs(offset - wall_offset_) < kLeastStep) return;
  if (std::abs(offset - wall_offset_) > kLoggedStep)
    std::cerr << "driver: the wall clock was stepped by " << (offset - wall_offset_) / 1000 << " ms\n";
  wall_offset_ = offset;
  events_.insert(events_.begin(), WallClockMoved{offset});
}

void Driver::flush() {
  flushing_ = false;
  watch_wall_clock();
  std::vector<Event> events;
  std::vector<Action> actions;
  events.swap(events_);
  // Danger: one that fails must not take the others' with it.
  const auto guard = [](const auto& what) {
    try {
      what();
    } catch (const std::exception& e) {
      std::fprintf(stderr, "driver: %s\n", e.what());
    }
  };
  guard([&] { gateway_.handle(clock_.now(), events, actions); });
  for (const Action& action : actions) guard([&] { std::visit([this](const auto& a) { act(a); }, action); });
  for (const std::uint64_t id : std::exchange(over_, {})) {
    const auto it = requests_.find(id);
    if (it != requests_.end() && it->second.out == 0) requests_.erase(it);
  }
}

void Driver::act(const SendAttempt& a) {
  const auto it = find(a.id);
  if (it == requests_.end()) return;
  Request& r = it->second;
  const Micros now = clock_.now();
  const AttemptKey key{it->first, int(r.attempts.size())};
  r.attempts.push_back({a.server, now});
  ++r.out;
  const Micros until = a.timeout == 0 ? r.deadline : std::min(r.deadline, now + a.timeout);
  // The client may have gone since the events were handed over; and two are never out at once.
  if (r.answered || until <= now || (r.out > 1 && !settings_.may_duplicate) ||
      int(r.attempts.size()) > settings_.max_attempts) {
    asio::post(io_, [this, key] { ended(key, {Outcome::kNotSent, {}, {}}); });
    return;
  }
  const Upload* const upload = r.outgoing.upload.get();
  const bool uploading = upload && !upload->finished();
  if (!uploading) timers_.at(until, [this, key] { expire(key); });
  upstream_.send(key, a.server, r.outgoing, uploading ? now + r.patience : until);
}

void Driver::act(const CancelAttempt& a) {
  const auto it = find(a.id);
  if (it == requests_.end() || a.attempt < 0 || a.attempt >= int(it->second.attempts.size())) return;
  if (!it->second.attempts[std::size_t(a.attempt)].out) return;
  const AttemptKey key{it->first, a.attempt};
  const bool written = upstream_.abandon(key);
  ended(key, {written ? Outcome::kCancelled : Outcome::kNotSent, {}, {}});
}

void Driver::act(const Refuse& a) {
  const auto it = find(a.id);
  if (it == requests_.end()) return;
  Answer refused;
  refused.status = it->second.attempts.empty() ? 429 : 503;
  refused.retry_after = a.retry_after;
  answer(it->second, std::move(refused));
  forget(it);
}

void Driver::act(const Fail& a) {
  const auto it = find(a.id);
  if (it == requests_.end()) return;
  Answer failed;
  failed.status = it->second.late ? 504 : 502;
  answer(it->second, std::move(failed));
  forget(it);
}

void Driver::act(const SetTimer& a) {
  timers_.at(a.at, [this, token = a.token] { push(TimerFired{token}); });
}

void Driver::act(const AddToCounter& a) {
  if (counter_) return counter_->add(a);
  push(CounterAnswered{a.name, 0, CountOutcome::kNotAdded, 0});
}

void Driver::act(const LogLine& a) { std::cerr << a.text << '\n'; }

// ---- Requests -----------------------------------------------------------------------------------------
Driver::Requests::iterator Driver::find(const std::string& id) {
  std::uint64_t number = 0;
  std::from_chars(id.data(), id.data() + id.size(), number);
  return requests_.find(number);
}

void Driver::answer(Request& r, Answer answer) {
  if (std::exchange(r.answered, true)) return;  // one final answer, and only one
  over(r, answer.status);
  frontend_.answer(r.client, std::move(answer));
}

void Driver::over(Request& r, int status) {
  --in_progress_;
  metrics_.answered(r.request_class, status);
}

// Danger: the module may name a request in the very batch that tells it of its end; an attempt that it then
// sends must be told as ended too, or it counts as out for ever.
void Driver::forget(Requests::iterator it) {
  if (it->second.answered && it->second.out == 0) over_.push_back(it->first);
}

std::string Driver::figures() {
  const auto servers = gateway_.count_servers(clock_.now());
  return metrics_.json({in_progress_, servers.listed, servers.skipped});
}

// ---- Another configuration ----------------------------------------------------------------------------
void Driver::follow(const Config& config) {
  discovery_.move(config.discovery);
  if (counter_ && config.counter) counter_->move(*config.counter);
}

// ---- Another process in this one's place ---------------------------------------------------------------
void Driver::take_turns(const Config& config) {
  Micros longest = 0;
  for (const ClassSettings& c : settings_.classes) longest = std::max(longest, c.deadline);
  Takeover::Calls calls;
  calls.start = [this, listen = config.listen, socket = config.listener](const Handover* from) {
    if (from) push(TookOver{*from});
    frontend_.listen(listen, socket);
  };
  calls.hand_over = [this] {
    frontend_.hand_over();
    flush();  // what has happened up to here counts
    return gateway_.hand_over(clock_.now());
  };
  calls.open = [this] { return gateway_.open_attempts(); };
  calls.predecessor = [this](const std::map<std::string, int>& open) { push(PredecessorOpen{open}); };
  calls.take_back = [this] {
    if (drained_) return;
    frontend_.take_back();
    push(TookBack{});
  };
  takeover_.emplace(timers_, clock_, config.shared_directory, longest, std::move(calls));
  takeover_->start();
}

// ---- The end ------------------------------------------------------------------------------------------
void Driver::drain(std::function<void()> done) {
  if (drained_) return;
  drained_ = std::move(done);
  Micros longest = 0;
  for (const ClassSettings& c : settings_.classes) longest = std::max(longest, c.deadline);
  drain_until_ = clock_.now() + kHandOver + longest;
  answer_by_ = clock_.now() + std::min(longest, kLongestToKill) + kKillAfter - kLastAnswers;
  for (const auto& [id, request] : requests_) {
    if (request.answered || request.deadline <= answer_by_) continue;
    timers_.at(answer_by_, [this, id = id] { overdue(id); });
  }
  frontend_.drain();
  timers_.after(kHandOver, [this] {
    frontend_.stop_accepting();
    look_drained();
  });
}

void Driver::look_drained() {
  const bool held = std::any_of(requests_.begin(), requests_.end(),
                                [](const auto& entry) { return !entry.second.answered; });
  if ((!held && frontend_.quiet()) || clock_.now() >= drain_until_) return drained_();
  timers_.after(kLookDrained, [this] { look_drained(); });
}

}  // namespace cottonroad::net
