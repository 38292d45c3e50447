// The gateway's decisions on requests: admission, attempts, waiting and final answers. It deals in the plain
// events and actions of include/quota_gateway/decision_engine.hpp; quotas and servers are in src/policy.
#include "quota_gateway/decision_engine.hpp"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "decision/endpoints/endpoint_pool.hpp"
#include "decision/field_serialization.hpp"
#include "decision/latency_estimates.hpp"
#include "decision/numeric.hpp"
#include "decision/quota/quota_slices.hpp"

namespace quota_gateway {

using namespace decision;

namespace {

constexpr Micros kHeldUp = 150'000;  // us that a gateway may lose between reading its clock and writing
constexpr double kMeanGain = 0.02;   // per answer; smoothing of a class's answer time
constexpr double kRetryShare = 0.1;  // retries and second copies per first attempt
constexpr double kRetryBurst = 10;   // attempts
constexpr double kDoubtAfter = 7;    // mean answers until an attempt is looked at again
constexpr double kHoldShare = 0.25;  // of the aim that a request may wait here for a server
constexpr double kNeed = 1.5;        // expected answer times that must be left when a held request goes out
constexpr double kRelaxed = 0.25;    // of the room taken: below it there is room for excess
constexpr Micros kLogEvery = 5'000'000;  // us between log lines of one kind

struct Attempt {
  Endpoint* endpoint = nullptr;
  Micros sent = 0;
  bool out = true;
  bool may_have_run = true;
  bool stalled = false;  // cancelled by us because its server had stalled
  bool counted = false;  // for its server, since its answer has begun
};

// What is to be done about a request at a certain time.
struct RequestTimer {
  enum class Purpose { kDoubtAttempt, kDecide, kEndHold };
  std::string request;
  Purpose purpose = Purpose::kDoubtAttempt;
  int attempt = 0;  // of kDoubtAttempt
};

struct Request {
  std::string id;
  const ClassSettings* cls = nullptr;
  CustomerQuota* customer = nullptr;
  double units = 1;
  double quota_units = 1;  // what it takes of the quota: units, or attempt-seconds under an open cap
  double expected = 0;     // us; its answer time, by its class and units
  double value = 1;        // worth a unit of expected work: who goes first when servers are full
  Micros arrived = 0;
  Micros hold_until = 0;
  Micros give_up = 0;  // no answer after this earns anything
  bool over = false;   // beyond the quota as far as we know
  bool done = false;
  bool held = false;
  bool waits = false;         // for the first total of its customer
  bool body_pending = false;  // no work at a server yet
  int out = 0;
  std::vector<Attempt> attempts;
};

}  // namespace

// ---- Attempts -----------------------------------------------------------------------------------------
class DecisionEngine::Impl {
 public:
  Impl(Settings settings, std::uint64_t seed)
      : settings_(std::move(settings)),
        seed_(seed),
        slices_(settings_, mix_bits(seed + 2)),
        endpoints_(settings_, mix_bits(seed + 1)) {
    settings_.gateway_count = std::max(1, settings_.gateway_count);
    settings_.max_request_units = std::max(1.0, settings_.max_request_units);
    means_.resize(settings_.classes.size() + 1);
    met_.resize(means_.size());
    units_.resize(means_.size());
  }

  EndpointCounts count_endpoints(Micros now) const { return endpoints_.count(now); }

  HotRestartState begin_hot_restart() {
    HotRestartState out;
    handed_over_ = true;
    slices_.save_state(out);
    endpoints_.save_state(out);
    out.fleet = serialize_fields(*this);
    // What waits here will still be sent on.
    for (const std::string& id : held_) {
      const Request& r = requests_.at(id);
      if (r.done || !r.attempts.empty()) continue;
      for (auto& [who, customer] : out.customers)
        if (slices_.find(who) == r.customer) {
          CustomerQuota c;
          deserialize_fields(c, customer.second);
          c.hard_limit_tokens -= r.units;
          customer.second = serialize_fields(c);
        }
    }
    return out;
  }
  std::map<std::string, int> attempts_in_flight() const { return slices_.attempts_in_flight(); }
  template <typename F>
  void visit_fields(F f) {
    slices_.visit_fields(f);
    endpoints_.visit_fields(f);
    for (double& mean : means_) f(mean);
    for (double& n : met_) f(n);
    for (double& units : units_) f(units);
    f(retries_);
  }

  void handle(Micros now, const std::vector<Event>& events, std::vector<Action>& out) {
    now_ = now;
    out_ = &out;
    if (!started_) {
      started_ = true;
      if (settings_.subscribe_to_endpoints) emit(SubscribeEndpoints{});
      next_look_ =
          now + 1 + Micros(mix_bits(seed_) % std::uint64_t(kPeriod));  // gateways look at times of their own
      emit(SetTimer{next_look_, kLook});
    }
    for (const Event& e : events) std::visit([this](const auto& x) { on(x); }, e);
    drain_held();
  }

 private:
  void emit(Action action) { out_->push_back(std::move(action)); }

  void log(const std::string& kind, const std::string& text) {
    auto [it, fresh] = logged_.try_emplace(kind, now_);
    if (!fresh && now_ - it->second < kLogEvery) return;
    it->second = now_;
    emit(LogMessage{std::string(kind).append(": ").append(text)});
  }

  void on(const EndpointListUpdate& e) {
    endpoints_.update(now_, e);
    if (e.kind == EndpointListUpdate::Kind::kError && settings_.subscribe_to_endpoints) {
      log("list", "asking failed, asking again");
      emit(SetTimer{now_ + settings_.subscribe_within / 8, kResubscribe});
    }
  }
  void on(const AdminStateChanged& e) {
    endpoints_.update(now_, e);
    log(e.disabled ? "disabled" : "enabled", e.endpoint + " by hand");
  }
  void on(const WallClockStepped& e) {
    endpoints_.set_wall_offset(e.offset);
    slices_.set_wall_offset(now_, e.offset);
  }
  void on(const StateRestored& e) {
    for (const auto& [who, customer] : e.state.customers)
      for (const PlanSettings& p : settings_.plans)
        if (p.name == customer.first) slices_.restore_customer(who, p, customer.second);
    for (const auto& [name, figures] : e.state.endpoints) endpoints_.restore_endpoint(name, figures);
    deserialize_fields(*this, e.state.fleet);
  }
  void on(const PredecessorAttempts& e) { slices_.set_predecessor_attempts(e.in_flight); }
  void on(const HotRestartAborted&) { handed_over_ = false; }
  void on(const ResponseStarted& e) {
    auto it = requests_.find(e.id);
    if (it == requests_.end()) return;
    Request& r = it->second;
    r.done = true;  // the attempt is the client's now
    if (e.attempt < 0 || e.attempt >= int(r.attempts.size()) || e.duration <= 0) return;
    Attempt& a = r.attempts[std::size_t(e.attempt)];
    if (!a.out || std::exchange(a.counted, true)) return;
    if (std::exchange(r.body_pending, false)) endpoints_.on_attempt_sent(now_, *a.endpoint, 0);
    // Danger: a large answer takes as long as its client likes; its server has done its work by now.
    count(r, a, Outcome::kOk, e.duration, e.billed_units, e.load);
  }
  void on(const RequestBodyCompleted& e) {
    auto it = requests_.find(e.id);
    if (it == requests_.end() || !it->second.body_pending) return;
    Request& r = it->second;
    r.body_pending = false;
    r.give_up = give_up(*r.cls, e.deadline);
    for (std::size_t i = 0; i < r.attempts.size(); ++i) {
      Attempt& a = r.attempts[i];
      if (!a.out) continue;
      a.sent = now_;  // its server begins only now
      endpoints_.on_attempt_sent(now_, *a.endpoint, r.expected / kMicrosPerSecond);
      watch(r, int(i), Micros(kDoubtAfter * r.expected));
    }
  }
  void on(const ProbeEnded&) {}
  void on(const CounterReply& e) {
    if (CustomerQuota* c = slices_.on_counter_reply(now_, e)) {
      for (const std::string& id : std::exchange(c->requests_awaiting_total, {}))
        if (auto it = requests_.find(id); it != requests_.end() && it->second.waits) decide(it->second);
    }
    if (e.outcome != CounterOutcome::kOk) log("counter", "no answer or refused; totals are held");
  }

  void on(const RequestCancelled& e) {
    auto it = requests_.find(e.id);
    if (it == requests_.end()) return;
    finish(it->second);
    forget(it);
  }

  void on(const TimerFired& e) {
    if (e.token == kLook) return look();
    if (e.token == kResubscribe) return emit(SubscribeEndpoints{});
    auto found = timers_.find(e.token);
    if (found == timers_.end()) return;
    const RequestTimer timer = found->second;
    timers_.erase(found);
    auto it = requests_.find(timer.request);
    if (it == requests_.end() || it->second.done) return;
    switch (timer.purpose) {
      case RequestTimer::Purpose::kDoubtAttempt:
        return doubt(it->second, timer.attempt);
      case RequestTimer::Purpose::kDecide:
        if (it->second.waits) decide(it->second);
        return;
      case RequestTimer::Purpose::kEndHold:
        return;  // what is held is looked at after every batch
    }
  }

  void look() {
    endpoints_.on_period(now_);
    log_refused();
    if (!handed_over_) slices_.on_period(now_, *out_);  // its use is the successor's to count
    next_look_ = std::max(next_look_ + kPeriod, now_);  // a late batch skips looks
    emit(SetTimer{next_look_, kLook});
  }

  void on(const RequestArrived& e) {
    const ClassSettings* cls = &unknown_class_;
    for (const ClassSettings& c : settings_.classes)
      if (c.name == e.request_class) cls = &c;
    const PlanSettings* plan = &unknown_plan_;
    for (const PlanSettings& p : settings_.plans)
      if (p.name == e.plan) plan = &p;
    CustomerQuota& c = slices_.find_or_create(now_, e, *plan);
    double& usual = units_[index(*cls)];
    usual += (usual > 0 ? kMeanGain : 1.0) * (std::min(e.units, settings_.max_request_units) - usual);
    const double quota_units = plan->rate > 0 ? e.units : expected(*cls, e.units) / kMicrosPerSecond;
    slices_.record_demand(now_, c, quota_units);
    Request& r = requests_[e.id];
    r.id = e.id;
    r.cls = cls;
    r.customer = &c;
    r.units = e.units;
    r.quota_units = quota_units;
    r.expected = expected(*cls, e.units);
    r.value = cls->priority_weight * plan->priority_factor * e.units / r.expected;
    r.arrived = now_;
    r.body_pending = e.body_pending;
    r.give_up = e.body_pending ? e.deadline : give_up(*cls, e.deadline);
    // Danger: where each of a hundred gateways meets a customer now and then, none would ever know a total
    // when it is needed. The first request waits for it, a counter's time-out at most.
    if (!handed_over_ && slices_.sync_if_due(now_, e.customer, c, *out_) &&
        e.deadline - now_ > settings_.counter_timeout + 2 * settings_.tick) {
      r.waits = true;
      c.requests_awaiting_total.push_back(e.id);
      timers_[++timer_] = {r.id, RequestTimer::Purpose::kDecide};
      emit(SetTimer{now_ + settings_.counter_timeout + settings_.tick, timer_});
    } else {
      decide(r);
    }
  }

  // Within the slice or not? Refused at once if not.
  void decide(Request& r) {
    r.waits = false;
    CustomerQuota& c = *r.customer;
    const PlanSettings& plan = *c.plan;
    if (handed_over_) {  // another process admits from this slice now
      emit(RejectRequest{r.id, settings_.tick});
      finish(r);
      return forget(requests_.find(r.id));
    }
    slices_.advance(now_, c);
    const bool sliced = slices_.has_tokens(c, r.quota_units), capped = !concurrency_cap_allows(c);
    const bool within = sliced && !capped, under = hard_limit_allows(now_, c, r.units);
    // A plan that earns more beyond its quota than it costs is let through while servers have room.
    const bool excess = plan.excess_weight > plan.excess_cost && endpoints_.utilization(now_) < kRelaxed;
    if (!under || (!within && !excess)) {
      ++refused_[!under ? "ceiling" : capped ? "open cap" : "slice"];
      // Danger: each limit has a time of its own. By the slice's store alone, a client that another limit
      // refused was told to come back at once, and was refused again.
      const double lacks = std::max({under ? 0 : time_until_hard_limit_allows(c, r.units),
                                     capped ? r.expected / kMicrosPerSecond : 0,
                                     sliced ? 0 : slices_.time_until_available(c, r.quota_units)});
      emit(RejectRequest{r.id, slices_.retry_after(lacks, r.cls->latency_objective)});
      finish(r);
      return forget(requests_.find(r.id));
    }
    r.over = !within;
    if (within) slices_.consume(c, r.quota_units);
    if (send(r)) return;
    if (within) return hold(r);
    end(r);
    forget(requests_.find(r.id));
  }

  Micros give_up(const ClassSettings& cls, Micros deadline) const {
    return cls.late_weight > 0 ? deadline : std::min(deadline, now_ + cls.latency_objective);
  }
  // Why requests were given up; a share refused does not tell.
  void log_refused() {
    if (refused_.empty() || now_ - refused_at_ < kLogEvery) return;
    std::string text = "given up by";
    for (const auto& [why, n] : refused_) text.append(" ").append(why).append(" ").append(std::to_string(n));
    emit(LogMessage{text});
    refused_.clear();
    refused_at_ = now_;
  }

  double mean_of(const ClassSettings& cls) const {
    return means_[index(cls)] > 0 ? means_[index(cls)] : kIdleLatencyFraction * double(cls.latency_objective);
  }
  std::size_t index(const ClassSettings& cls) const {
    return &cls == &unknown_class_ ? settings_.classes.size() : std::size_t(&cls - settings_.classes.data());
  }
  // Units tell a request's size where they vary within a class, from one to the largest. Danger: one that was
  // taken for next to no work would be looked at again every microsecond.
  double expected(const ClassSettings& cls, double units) const {
    const double usual = units_[index(cls)], most = settings_.max_request_units;
    return mean_of(cls) * (usual > 0 && units > 0 ? std::clamp(units / usual, 1 / most, most) : 1.0);
  }

  // Rule 2: where may this request still go?
  bool may_go(const Request& r, const Endpoint& s) const {
    // So late it may reach the server.
    const Micros late = settings_.connect_timeout + kHeldUp + 2 * settings_.tick;
    for (const Attempt& a : r.attempts) {
      if (a.endpoint == &s) return false;  // what failed there once may again
      if (!a.may_have_run || r.cls->idempotency == Idempotency::kIdempotent) continue;
      if (r.cls->idempotency == Idempotency::kNonIdempotent) return false;
      const bool same = r.cls->dedup_scope == DedupScope::kAll ||
                        (r.cls->dedup_scope == DedupScope::kZone && s.entry.zone == a.endpoint->entry.zone) ||
                        (r.cls->dedup_scope == DedupScope::kCell && s.entry.cell == a.endpoint->entry.cell);
      if (!same || now_ - a.sent >= r.cls->dedup_window - late) return false;
    }
    return true;
  }
  bool may_refuse(const Request& r) const {
    if (r.cls->idempotency == Idempotency::kIdempotent) return true;
    if (r.cls->idempotency == Idempotency::kByKey && r.cls->dedup_scope == DedupScope::kAll) return true;
    return std::none_of(r.attempts.begin(), r.attempts.end(),
                        [](const Attempt& a) { return a.may_have_run; });
  }

  bool send(Request& r) {
    if (int(r.attempts.size()) >= settings_.max_attempts || r.give_up - now_ <= settings_.tick) return false;
    const bool again = !r.attempts.empty();
    const double work = r.expected / kMicrosPerSecond;
    Endpoint* s = endpoints_.pick(now_, work, mean_of(*r.cls), again,
                                  [&](const Endpoint& to) { return may_go(r, to); });
    if (!s) return false;
    if (!again) {
      if (!hard_limit_allows(now_, *r.customer, r.units)) return false;
      if (r.customer->plan->hard_limit_rate > 0) r.customer->hard_limit_tokens -= r.units;
      retries_ = std::min(kRetryBurst, retries_ + kRetryShare);
    }
    if (!r.body_pending) endpoints_.on_attempt_sent(now_, *s, work);
    r.attempts.push_back({s, now_});
    ++r.out;
    ++r.customer->attempts_in_flight;
    emit(SendAttempt{r.id, s->entry.endpoint, r.give_up - now_});
    watch(r, int(r.attempts.size()) - 1, Micros(kDoubtAfter * r.expected));
    return true;
  }

  void watch(const Request& r, int attempt, Micros after) {
    if (r.body_pending || now_ + after >= r.give_up) return;
    timers_[++timer_] = {r.id, RequestTimer::Purpose::kDoubtAttempt, attempt};
    emit(SetTimer{now_ + after, timer_});
  }

  // An attempt takes long. A second copy where allowed; else it is taken back only when its server has
  // answered nothing since, which tells a stalled server from a heavy request.
  void doubt(Request& r, int index) {
    Attempt& a = r.attempts[std::size_t(index)];
    if (!a.out || a.stalled) return;
    const bool repeatable =
        r.cls->idempotency == Idempotency::kIdempotent || r.cls->idempotency == Idempotency::kByKey;
    if (repeatable && retries_ >= 1) {
      if (settings_.allow_hedging) {
        // Danger: second copies under overload take the room of first ones.
        if (r.out == 1 && endpoints_.utilization(now_) < kRelaxed && send(r)) retries_ -= 1;
        return;
      }
      if (settings_.allow_cancel && a.endpoint->busy_since <= a.sent) {
        retries_ -= 1;
        a.stalled = true;
        emit(CancelAttempt{r.id, index});
        return;
      }
    }
    watch(r, index, Micros(kDoubtAfter * r.expected));
  }

  // What an attempt that was answered, or will not be, tells of its server and takes of the quota.
  void count(Request& r, Attempt& a, Outcome o, Micros duration, double billed, const LoadReport& load) {
    // Danger: the first answer alone, often a quick one, would make the next attempts look stalled, and with
    // few requests for long. What settings tell counts for some answers.
    double &m = means_[index(*r.cls)], &n = met_[index(*r.cls)];
    if (o == Outcome::kOk)
      m = mean_of(*r.cls) +
          std::max(kMeanGain, 1 / (kPriorSamples + ++n)) * (double(duration) - mean_of(*r.cls));
    const double mean = mean_of(*r.cls);
    // Danger: a gateway that stood still finds answers old; what they say they took counts, not the clock.
    const double over_aim =
        double(duration) / double(std::max<Micros>(1, r.cls->latency_objective)) * mean / r.expected;
    if (endpoints_.on_attempt_ended(now_, *a.endpoint,
                                    {o, double(duration) / r.expected, over_aim, mean, a.stalled, load}))
      log("server", a.endpoint->entry.endpoint + " ejected: failures in a row");
    if (settings_.settles_units_later && billed > 0 && !r.over)
      slices_.consume(*r.customer, billed - r.units);
  }

  void on(const AttemptEnded& e) {
    auto it = requests_.find(e.id);
    if (it == requests_.end() || e.attempt < 0 || e.attempt >= int(it->second.attempts.size())) return;
    Request& r = it->second;
    Attempt& a = r.attempts[std::size_t(e.attempt)];
    if (!a.out) return;
    a.out = false;
    --r.out;
    --r.customer->attempts_in_flight;
    using O = Outcome;
    a.may_have_run =
        !(e.outcome == O::kOverloaded || e.outcome == O::kConnectFailed || e.outcome == O::kNotSent);
    if (r.body_pending)
      endpoints_.on_attempt_sent(now_, *a.endpoint, 0);  // ended before its server was handed any work
    if (!a.counted) count(r, a, e.outcome, e.duration, e.billed_units, e.load);
    if (e.request_finished) finish(r);
    if (!r.done && r.out == 0) {
      const bool cheap = !a.may_have_run || a.stalled;
      const bool again = e.replayable && (cheap || retries_ >= 1);
      if (again && send(r)) {
        if (!cheap) retries_ -= 1;
      } else if (again && !a.may_have_run && int(r.attempts.size()) < settings_.max_attempts) {
        hold(r);
      } else {
        end(r);
      }
    }
    forget(it);
  }

  // The one final answer of a request that no server will answer.
  void end(Request& r) {
    if (r.done) return;
    ++refused_[r.attempts.empty() ? "servers full" : "attempts"];
    if (may_refuse(r))
      emit(RejectRequest{r.id, Micros(mean_of(*r.cls))});
    else
      emit(FailRequest{r.id});
    finish(r);
  }

  void finish(Request& r) {
    r.done = true;
    if (!settings_.allow_cancel) return;
    for (std::size_t i = 0; i < r.attempts.size(); ++i)
      if (r.attempts[i].out && !r.cls->streamed) emit(CancelAttempt{r.id, int(i)});
  }

  void forget(std::unordered_map<std::string, Request>::iterator it) {
    if (it->second.done && it->second.out == 0 && !it->second.held) requests_.erase(it);
  }

  // ---- Overload ---------------------------------------------------------------------------------------
  // A request that finds the servers full waits here for a part of its aim, dear ones first; those
  // beyond their quota do not wait.
  void hold(Request& r) {
    r.held = true;
    held_.push_back(r.id);
    log("full", "servers are full; requests wait or are refused");
    timers_[++timer_] = {r.id, RequestTimer::Purpose::kEndHold};
    r.hold_until = std::min(r.give_up - std::max(settings_.tick, Micros(kNeed * r.expected)),
                            r.arrived + Micros(kHoldShare * double(r.cls->latency_objective)));
    emit(SetTimer{r.hold_until, timer_});
  }

  void drain_held() {
    if (held_.empty()) return;
    std::stable_sort(held_.begin(), held_.end(), [&](const std::string& a, const std::string& b) {
      return requests_.at(a).value > requests_.at(b).value;
    });
    std::vector<std::string> keep;
    for (const std::string& id : held_) {
      auto it = requests_.find(id);
      Request& r = it->second;
      r.held = false;
      if (!r.done && !send(r)) {
        if (now_ < r.hold_until) {
          r.held = true;
          keep.push_back(id);
          continue;
        }
        end(r);
      }
      forget(it);
    }
    held_.swap(keep);
  }

  static constexpr std::int64_t kLook = 0, kResubscribe = 1;
  Settings settings_;
  const ClassSettings unknown_class_{};
  const PlanSettings unknown_plan_{};
  const std::uint64_t seed_;
  QuotaSlices slices_;
  EndpointPool endpoints_;
  std::vector<double> units_;                          // mean units by class
  std::vector<double> means_;                          // us; mean answer time by class
  std::vector<double> met_;                            // good answers by class
  std::unordered_map<std::string, Request> requests_;  // looked up by id, never walked
  std::unordered_map<std::int64_t, RequestTimer> timers_;
  std::map<std::string, Micros> logged_;
  std::map<std::string, int> refused_;  // by reason, since the last line on them
  Micros refused_at_ = 0;
  std::vector<std::string> held_;
  Micros now_ = 0, next_look_ = 0;
  std::vector<Action>* out_ = nullptr;
  std::int64_t timer_ = 1;
  double retries_ = kRetryBurst;
  bool started_ = false;
  bool handed_over_ = false;
};

DecisionEngine::DecisionEngine(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
DecisionEngine::~DecisionEngine() = default;
DecisionEngine::DecisionEngine(DecisionEngine&&) noexcept = default;
DecisionEngine& DecisionEngine::operator=(DecisionEngine&&) noexcept = default;

DecisionEngine::EndpointCounts DecisionEngine::count_endpoints(Micros now) const {
  return impl_->count_endpoints(now);
}

HotRestartState DecisionEngine::begin_hot_restart(Micros) { return impl_->begin_hot_restart(); }
std::map<std::string, int> DecisionEngine::attempts_in_flight() const { return impl_->attempts_in_flight(); }

void DecisionEngine::handle(Micros now, const std::vector<Event>& events, std::vector<Action>& actions) {
  impl_->handle(now, events, actions);
}

}  // namespace quota_gateway
