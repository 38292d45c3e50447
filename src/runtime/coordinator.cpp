#include "runtime/coordinator.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <utility>

namespace quota_gateway::net {
namespace {

namespace asio = boost::asio;

// The client's time runs from its send; the answer has a way to go too.
constexpr Micros kEarly = 20'000;
constexpr double kEarlyShare = 0.1;   // of the client's timeout, at the most
constexpr Micros kBackstop = 10'000;  // us past our deadline, before the client's: the module said nothing
// us without a byte of an answer that is past its deadline; it is lost half a second after its client's time.
constexpr Micros kSilent = 400'000;
constexpr Micros kHandOver = 1'000'000;  // us; clients go on connecting for up to 0.4 s after SIGTERM
constexpr Micros kDrainCheckInterval = 20'000;
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

std::size_t max_upstream_connections(const Configuration& c) {
  return std::size_t(kServersShare * double(c.max_sockets - kOther));
}
std::size_t max_clients(const Configuration& c) {
  return std::max<std::size_t>(16, std::min(c.max_sockets - kOther - max_upstream_connections(c),
                                            c.memory_mb * (1 << 20) / kClientMemory));
}

}  // namespace

Coordinator::Coordinator(asio::io_context& io, const Configuration& config, const Clock& clock)
    : io_(io),
      settings_(config.settings),
      clock_(clock),
      timers_(io, clock_),
      engine_(config.settings, config.seed),
      metrics_(settings_),
      budget_(config.memory_mb * (1 << 20) / kBodiesShare),
      upstream_(io, timers_, clock_,
                {config.connection_idle_timeout, config.connect_timeout, max_upstream_connections(config)},
                budget_,
                {[this](AttemptKey key, AttemptResult result) { on_attempt_ended(key, std::move(result)); },
                 [this] { metrics_.count_attempt(); },
                 [this](AttemptKey key, const AttemptResult& head, std::optional<std::uint64_t> length) {
                   on_response_started(key, head, length);
                 },
                 [this](AttemptKey key, std::string bytes) { on_response_chunk(key, std::move(bytes)); }}),
      disabled_(timers_, config.shared_directory,
                [this](const std::string& server, bool disabled) { on_endpoint_disabled(server, disabled); }),
      discovery_(io, timers_, clock_, config.discovery, config.initial_endpoints.revision,
                 config.settings.drain_grace,
                 [this](const DiscoveryUpdate& list) {
                   using Kind = EndpointListUpdate::Kind;
                   on_endpoint_update(list, list.complete ? Kind::kComplete : Kind::kPartial);
                 }),
      client_listener_(
          io, timers_, clock_, settings_, max_clients(config), budget_,
          {[this](std::uint64_t client, ClientRequest r) { return on_request(client, std::move(r)); },
           [this](std::uint64_t id, Micros missing) { on_body_complete(id, missing); },
           [this](std::uint64_t id, Micros missing) { on_body_lagging(id, missing); },
           [this](std::uint64_t id) { on_client_disconnected(id); },
           [this](std::uint64_t id) { on_writable(id); }, [this] { handle_listening(); }}) {
  if (config.counter) {
    counter_.emplace(io, timers_, clock_, *config.counter, settings_.counter_timeout, config.connect_timeout,
                     [this](CounterReply a) { push(std::move(a)); });
    counter_->start();
  }
  on_endpoint_update(config.initial_endpoints, EndpointListUpdate::Kind::kPersisted);
  disabled_.start();
  discovery_.start();
  if (config.inherited_listener && !config.shared_directory.empty())
    start_hot_restart(config);
  else
    client_listener_.listen(config.listen, config.inherited_listener);
  if (config.admin_address) {
    AdminHandlers handlers;
    handlers.is_ready = [this] { return !drained_ && client_listener_.is_accepting_clients(); };
    handlers.metrics_json = [this] { return metrics_json(); };
    handlers.set_disabled = [this](const std::string& server, bool disabled,
                                   std::function<void(DisableResult)> done) {
      if (!upstream_.is_known(server) && !disabled_.contains(server))
        return done(DisableResult::kUnknownEndpoint);
      disabled_.set(server, disabled,
                    [done](bool kept) { done(kept ? DisableResult::kDone : DisableResult::kNotStored); });
    };
    admin_.emplace(io, timers_, std::move(handlers));
    admin_->listen(*config.admin_address);
  }
}

void Coordinator::on_listening(std::function<void()> then) {
  on_listening_ = std::move(then);
  if (listening_) on_listening_();
}

void Coordinator::handle_listening() {
  listening_ = true;
  if (on_listening_) on_listening_();
}

// ---- What happened ------------------------------------------------------------------------------------
std::uint64_t Coordinator::on_request(std::uint64_t client, ClientRequest request) {
  const std::uint64_t id = ++last_;
  Request& r = requests_[id];
  r.client = client;
  r.timeout = request.timeout;
  r.outgoing = std::move(request.outgoing);
  r.request_class = request.arrived.request_class;
  ++in_progress_;
  request.arrived.id = std::to_string(id);  // ours, since a client's may come twice
  request.arrived.body_pending = r.outgoing.upload != nullptr;
  if (r.outgoing.upload)
    r.deadline = clock_.now() + kUploadMost;  // a client waits from its last byte on
  else
    start_clock(id, r, request.received_at);
  request.arrived.deadline = r.deadline;
  push(std::move(request.arrived));
  return id;
}

Micros Coordinator::deadline(const Request& r, Micros from) const {
  const Micros at = from + r.timeout - std::min(kEarly, Micros(kEarlyShare * double(r.timeout)));
  // What comes while we drain must have its answer before the platform kills what is left.
  return drained_ ? std::min(at, answer_by_) : at;
}

void Coordinator::start_clock(std::uint64_t id, Request& r, Micros from) {
  r.deadline = deadline(r, from);
  timers_.schedule_at(r.deadline + kBackstop, [this, id] { on_deadline(id); });
}

void Coordinator::on_body_complete(std::uint64_t id, Micros missing) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || it->second.answered) return;
  Request& r = it->second;
  start_clock(id, r, missing);
  for (std::size_t i = 0; i < r.attempts.size(); ++i) {
    if (!r.attempts[i].out) continue;
    r.attempts[i].sent = clock_.now();  // its server begins only now
    timers_.schedule_at(r.deadline, [this, key = AttemptKey{id, int(i)}] { on_attempt_timeout(key); });
  }
  push(RequestBodyCompleted{std::to_string(id), r.deadline});
}

void Coordinator::on_body_lagging(std::uint64_t id, Micros missing) {
  const auto it = requests_.find(id);
  if (it != requests_.end() && clock_.now() >= deadline(it->second, missing)) on_deadline(id);
}

void Coordinator::on_client_disconnected(std::uint64_t id) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  Request& r = it->second;
  if (r.answered && !(r.begun && r.attempts.back().out)) return;
  if (!std::exchange(r.answered, true)) --in_progress_;
  push(RequestCancelled{std::to_string(id)});
  // Nobody takes the rest of an answer, so nobody would ask for it either.
  if (r.begun) {
    const AttemptKey key{id, int(r.attempts.size()) - 1};
    upstream_.cancel(key);
    return on_attempt_ended(key, {Outcome::kCancelled, {}, {}, 0});
  }
  // What no server can have begun need not be sent, whether or not cancels are allowed.
  for (std::size_t i = 0; i < r.attempts.size(); ++i)
    if (const AttemptKey key{id, int(i)}; upstream_.cancel_unless_written(key))
      on_attempt_ended(key, {Outcome::kNotSent, {}, {}});
  forget(it);
}

// A request must not go unanswered, whatever the module does.
void Coordinator::on_deadline(std::uint64_t id) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || it->second.answered) return;
  std::cerr << "driver: request " << id << " overdue, failed\n";
  Request& r = it->second;
  r.late = true;
  act(FailRequest{std::to_string(id)});
  push(RequestCancelled{std::to_string(id)});
  // A body that no server has taken whole is not waited for any more.
  for (std::size_t i = 0; i < r.attempts.size(); ++i)
    if (const AttemptKey key{id, int(i)}; upstream_.cancel_unless_written(key))
      on_attempt_ended(key, {Outcome::kConnectFailed, {}, {}});
}

void Coordinator::on_endpoint_update(const DiscoveryUpdate& list, EndpointListUpdate::Kind kind) {
  upstream_.update_endpoints(list);
  EndpointListUpdate update;
  update.kind = kind;
  for (const DiscoveredEndpoint& m : list.endpoints) update.entries.push_back(m.entry);
  push(std::move(update));
}

void Coordinator::on_response_started(AttemptKey key, const AttemptResult& head,
                                      std::optional<std::uint64_t> length) {
  const auto it = requests_.find(key.request);
  if (it == requests_.end() || it->second.answered) return;
  Request& r = it->second;
  Attempt& a = r.attempts.at(std::size_t(key.attempt));
  r.answered = r.begun = true;
  // An answer may begin before all of the request has come. What is still to come of that is not awaited.
  if (r.outgoing.upload && !r.outgoing.upload->is_finished()) {
    start_clock(key.request, r, clock_.now());
    timers_.schedule_at(r.deadline, [this, key] { on_attempt_timeout(key); });
  }
  push(ResponseStarted{std::to_string(key.request), key.attempt, a.endpoint, clock_.now() - a.sent,
                       head.billed_units, head.load});
  client_listener_.start_response(r.client, length);
}

void Coordinator::on_response_chunk(AttemptKey key, std::string bytes) {
  const auto it = requests_.find(key.request);
  if (it != requests_.end() && it->second.begun)
    client_listener_.write_chunk(it->second.client, std::move(bytes));
}

void Coordinator::on_writable(std::uint64_t id) {
  const auto it = requests_.find(id);
  if (it != requests_.end() && it->second.begun)
    upstream_.request_more({id, int(it->second.attempts.size()) - 1});
}

void Coordinator::on_attempt_ended(AttemptKey key, AttemptResult result) {
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
  e.endpoint = a.endpoint;
  e.outcome = result.outcome;
  e.duration = clock_.now() - a.sent;
  e.load = result.load;
  e.billed_units = result.billed_units;
  e.replayable = !r.outgoing.upload || !r.outgoing.upload->is_started();
  if (r.begun) {
    const bool whole = result.outcome == Outcome::kOk;
    finish(r, whole ? 200 : 502);
    whole ? client_listener_.finish_response(r.client) : client_listener_.abort_response(r.client);
  } else if (result.outcome == Outcome::kOk) {
    Response served;
    served.status = 200;
    served.body = std::move(result.body);
    respond(r, std::move(served));
  }
  e.request_finished = r.answered;
  push(std::move(e));
  forget(it);
}

void Coordinator::on_attempt_timeout(AttemptKey key) {
  const auto it = requests_.find(key.request);
  if (it == requests_.end() || !it->second.attempts.at(std::size_t(key.attempt)).out) return;
  // Danger: one that still gives must not be cut off, nor its client left waiting for one that has fallen
  // silent.
  if (it->second.begun) {
    const Micros until = std::max(it->second.deadline, upstream_.last_progress_at(key)) + kSilent;
    if (clock_.now() < until) return timers_.schedule_at(until, [this, key] { on_attempt_timeout(key); });
  }
  const bool written = upstream_.cancel(key);
  on_attempt_ended(key, {written ? Outcome::kTimeout : Outcome::kConnectFailed, {}, {}});
}

void Coordinator::on_endpoint_disabled(const std::string& server, bool disabled) {
  upstream_.set_disabled(server, disabled);
  push(AdminStateChanged{server, disabled});
}

// ---- The module ---------------------------------------------------------------------------------------
// What comes in one turn of the loop goes to the module together, once all of the turn is in.
void Coordinator::push(Event event) {
  events_.push_back(std::move(event));
  if (std::exchange(flushing_, true)) return;
  asio::post(io_, [this] { flush(); });
}

// The module is told when the wall clock has been stepped, or has drifted.
void Coordinator::watch_wall_clock() {
  const Micros offset = clock_.wall_now() - clock_.now();
  if (std::abs(offset - wall_offset_) < kLeastStep) return;
  if (std::abs(offset - wall_offset_) > kLoggedStep)
    std::cerr << "driver: the wall clock was stepped by " << (offset - wall_offset_) / 1000 << " ms\n";
  wall_offset_ = offset;
  events_.insert(events_.begin(), WallClockStepped{offset});
}

void Coordinator::flush() {
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
  guard([&] { engine_.handle(clock_.now(), events, actions); });
  for (const Action& action : actions) guard([&] { std::visit([this](const auto& a) { act(a); }, action); });
  for (const std::uint64_t id : std::exchange(over_, {})) {
    const auto it = requests_.find(id);
    if (it != requests_.end() && it->second.out == 0) requests_.erase(it);
  }
}

void Coordinator::act(const SendAttempt& a) {
  const auto it = find(a.id);
  if (it == requests_.end()) return;
  Request& r = it->second;
  const Micros now = clock_.now();
  const AttemptKey key{it->first, int(r.attempts.size())};
  r.attempts.push_back({a.endpoint, now});
  ++r.out;
  const Micros until = a.timeout == 0 ? r.deadline : std::min(r.deadline, now + a.timeout);
  // The client may have gone since the events were handed over; and two are never out at once.
  if (r.answered || until <= now || (r.out > 1 && !settings_.allow_hedging) ||
      int(r.attempts.size()) > settings_.max_attempts) {
    asio::post(io_, [this, key] { on_attempt_ended(key, {Outcome::kNotSent, {}, {}}); });
    return;
  }
  const BodyUpload* const upload = r.outgoing.upload.get();
  const bool uploading = upload && !upload->is_finished();
  if (!uploading) timers_.schedule_at(until, [this, key] { on_attempt_timeout(key); });
  upstream_.send(key, a.endpoint, r.outgoing, uploading ? now + r.timeout : until);
}

void Coordinator::act(const CancelAttempt& a) {
  const auto it = find(a.id);
  if (it == requests_.end() || a.attempt < 0 || a.attempt >= int(it->second.attempts.size())) return;
  if (!it->second.attempts[std::size_t(a.attempt)].out) return;
  const AttemptKey key{it->first, a.attempt};
  const bool written = upstream_.cancel(key);
  on_attempt_ended(key, {written ? Outcome::kCancelled : Outcome::kNotSent, {}, {}});
}

void Coordinator::act(const RejectRequest& a) {
  const auto it = find(a.id);
  if (it == requests_.end()) return;
  Response refused;
  refused.status = it->second.attempts.empty() ? 429 : 503;
  refused.retry_after = a.retry_after;
  respond(it->second, std::move(refused));
  forget(it);
}

void Coordinator::act(const FailRequest& a) {
  const auto it = find(a.id);
  if (it == requests_.end()) return;
  Response failed;
  failed.status = it->second.late ? 504 : 502;
  respond(it->second, std::move(failed));
  forget(it);
}

void Coordinator::act(const SetTimer& a) {
  timers_.schedule_at(a.at, [this, token = a.token] { push(TimerFired{token}); });
}

void Coordinator::act(const IncrementCounter& a) {
  if (counter_) return counter_->increment(a);
  push(CounterReply{a.name, 0, CounterOutcome::kNotAdded, 0});
}

void Coordinator::act(const LogMessage& a) { std::cerr << a.text << '\n'; }

// ---- Requests -----------------------------------------------------------------------------------------
Coordinator::Requests::iterator Coordinator::find(const std::string& id) {
  std::uint64_t number = 0;
  std::from_chars(id.data(), id.data() + id.size(), number);
  return requests_.find(number);
}

void Coordinator::respond(Request& r, Response response) {
  if (std::exchange(r.answered, true)) return;  // one final answer, and only one
  finish(r, response.status);
  client_listener_.respond(r.client, std::move(response));
}

void Coordinator::finish(Request& r, int status) {
  --in_progress_;
  metrics_.count_response(r.request_class, status);
}

// Danger: the module may name a request in the very batch that tells it of its end; an attempt that it then
// sends must be told as ended too, or it counts as out for ever.
void Coordinator::forget(Requests::iterator it) {
  if (it->second.answered && it->second.out == 0) over_.push_back(it->first);
}

std::string Coordinator::metrics_json() {
  const auto servers = engine_.count_endpoints(clock_.now());
  return metrics_.to_json({in_progress_, servers.listed, servers.excluded});
}

// ---- Another configuration ----------------------------------------------------------------------------
void Coordinator::apply_configuration(const Configuration& config) {
  discovery_.reconnect_to(config.discovery);
  if (counter_ && config.counter) counter_->reconnect_to(*config.counter);
}

// ---- Another process in this one's place ---------------------------------------------------------------
void Coordinator::start_hot_restart(const Configuration& config) {
  Micros longest = 0;
  for (const ClassSettings& c : settings_.classes) longest = std::max(longest, c.client_timeout);
  HotRestart::Callbacks callbacks;
  callbacks.on_start = [this, listen = config.listen,
                        socket = config.inherited_listener](const HotRestartState* from) {
    if (from) push(StateRestored{*from});
    client_listener_.listen(listen, socket);
  };
  callbacks.begin = [this] {
    client_listener_.yield_to_successor();
    flush();  // what has happened up to here counts
    return engine_.begin_hot_restart(clock_.now());
  };
  callbacks.attempts_in_flight = [this] { return engine_.attempts_in_flight(); };
  callbacks.on_predecessor_attempts = [this](const std::map<std::string, int>& open) {
    push(PredecessorAttempts{open});
  };
  callbacks.on_aborted = [this] {
    if (drained_) return;
    client_listener_.resume_after_hot_restart();
    push(HotRestartAborted{});
  };
  hot_restart_.emplace(timers_, clock_, config.shared_directory, longest, std::move(callbacks));
  hot_restart_->start();
}

// ---- The end ------------------------------------------------------------------------------------------
void Coordinator::drain(std::function<void()> done) {
  if (drained_) return;
  drained_ = std::move(done);
  Micros longest = 0;
  for (const ClassSettings& c : settings_.classes) longest = std::max(longest, c.client_timeout);
  drain_until_ = clock_.now() + kHandOver + longest;
  answer_by_ = clock_.now() + std::min(longest, kLongestToKill) + kKillAfter - kLastAnswers;
  for (const auto& [id, request] : requests_) {
    if (request.answered || request.deadline <= answer_by_) continue;
    timers_.schedule_at(answer_by_, [this, id = id] { on_deadline(id); });
  }
  client_listener_.drain();
  timers_.schedule_after(kHandOver, [this] {
    client_listener_.stop_accepting();
    check_drained();
  });
}

void Coordinator::check_drained() {
  const bool held = std::any_of(requests_.begin(), requests_.end(),
                                [](const auto& entry) { return !entry.second.answered; });
  if ((!held && client_listener_.is_idle()) || clock_.now() >= drain_until_) return drained_();
  timers_.schedule_after(kDrainCheckInterval, [this] { check_drained(); });
}

}  // namespace quota_gateway::net
