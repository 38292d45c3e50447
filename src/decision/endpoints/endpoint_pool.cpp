#include "decision/endpoints/endpoint_pool.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "decision/field_serialization.hpp"

namespace quota_gateway::decision {
namespace {

constexpr int kDraws = 2;                // servers compared for an attempt, and our part of them
constexpr Micros kLinked = 5'000'000;    // us for which a connection to a server is taken to stay open
constexpr double kLinkBias = 1.5;        // a server without one must look so much better
constexpr int kUnseenDraws = 10;         // more compared where no reports lead many gateways to one server
constexpr std::size_t kMostTries = 64;   // servers drawn, at the most, to find those to compare
constexpr Micros kSearchAgain = 20'000;  // us after a search of all servers that found none
constexpr double kZoneBias = 1.08;       // a server elsewhere must look so much better to be worth crossing
constexpr Micros kLatencyMemory = 4'000'000;  // us; health evidence fades so, which readmits by trickle
constexpr Micros kReportMemory = 1'000'000;   // us; a load report says little after this
constexpr double kAgeDoubt = 3;  // an attempt older than this many mean answers speaks against its server
constexpr double kLeastInFlight = 2;       // attempts a server, by all gateways: at a start and at the least
constexpr double kBusy = 1.6;              // mean answer over the idle one, above which servers hold too much
constexpr double kOutlier = 4;             // idle answers that one attempt counts for at the most
constexpr double kLimitCut = 0.85;         // one cut of the in-flight limit, at most once per mean answer
constexpr double kSpread = 2;              // deviations of a gateway's attempts out, above its even part
constexpr double kGrow = 0.04;             // attempts that one good answer adds to the limit while it binds
constexpr double kUneven = 1.6;            // one server's part of the in-flight limit over an even one
constexpr double kNormGain = 1.0 / 30;     // per answer; smoothing of the fleet's answer times
constexpr double kIdleGain = 1.0 / 150;    // per answer; slower, so that its least is no lucky run
constexpr double kBaseGain = 1.0 / 40000;  // per answer; how fast the idle answer time may rise
constexpr double kErrorRatio = 10;         // mean answers that an error counts for: it has to be tried again
constexpr int kEjectAfter = 3;             // failures in a row, none answered between
constexpr double kMaxEjected = 0.34;       // of the fleet; past that the fault is likely ours or everyone's
constexpr Micros kEjectFor = 3'000'000;    // us; then one request at a time until an answer
constexpr double kColdSafety = 0.7;        // of our part of a cold server's budget
constexpr Micros kFirstNews = 10'000'000;  // us after our start in which the list tells what was before us
constexpr double kPeerRateGain = 0.3;      // a period; smoothing of what a warm server is sent
// Calls that a cold server bears from a fleet however small its budget; so many gateways need not wait with
// their first.
constexpr double kAlwaysBorne = 2;

}  // namespace

// ---- The list ---------------------------------------------------------------------------------------------
Endpoint& EndpointPool::find(const std::string& name) {
  const auto [it, fresh] = endpoints_.try_emplace(name);
  if (fresh) {
    it->second.slot = sampler_.add_slot();
    slots_.push_back(&it->second);
  }
  return it->second;
}

void EndpointPool::update(Micros now, const EndpointListUpdate& update) {
  if (update.kind == EndpointListUpdate::Kind::kError) return;
  if (began_ == 0) began_ = now;
  if (now - began_ > kFirstNews) knows_fleet_ = true;
  if (update.kind != EndpointListUpdate::Kind::kPartial) {
    for (auto& [name, s] : endpoints_) {
      s.listed = s.usable = false;
      refresh(now, s, 0);
    }
  }
  for (const EndpointEntry& e : update.entries) take_entry(now, e);
  if (update.kind != EndpointListUpdate::Kind::kPersisted) knows_fleet_ = true;
  fruitless_until_ = 0;
}

void EndpointPool::take_entry(Micros now, const EndpointEntry& entry) {
  Endpoint& s = find(entry.endpoint);
  const bool started = entry.started_at != s.entry.started_at;
  s.entry = entry;
  s.listed = entry.state != EndpointState::kRemoved;
  s.usable = entry.state == EndpointState::kUp;
  if (started || !s.told) start_cold(now, s);
  s.told = true;
  refresh(now, s, 0);
}

// Danger: the wall clock may have been stepped since a server noted its start, here or there. A start of
// which // we hear while we run has just been; only those from before us are dated by their note, unless it
// lies far in the future.
void EndpointPool::start_cold(Micros now, Endpoint& s) {
  const bool before_us = !knows_fleet_;
  const Micros age = now + wall_offset_ - s.entry.started_at;
  const bool dated = before_us && age >= -settings_.slow_start_duration;
  s.cold_from = s.entry.started_at <= 0 ? kWarm : std::max<Micros>(kWarm + 1, dated ? now - age : now);
  if (before_us) return;
  s.restarted_at = now;
  // A new process: what was known of the old one is void.
  s.failures = 0;
  s.ejected_until = 0;
  s.on_trial = false;
  s.ratio_sum = s.ratio_weight = 0;
  s.links = 0;
}

void EndpointPool::update(Micros now, const AdminStateChanged& event) {
  Endpoint& s = find(event.endpoint);
  if (s.disabled == event.disabled) return;
  // Danger: it was restarted while it was out, and the list may tell of that seconds after it is back.
  const bool told = s.restarted_at > s.switched_at;
  const Micros cold_from = s.cold_from;
  s.disabled = event.disabled;
  s.switched_at = now;
  if (!event.disabled) {
    s.failures = 0;
    s.ejected_until = 0;
    s.on_trial = false;
    s.ratio_sum = s.ratio_weight = 0;
    s.links = 0;
    s.cold_from = told ? cold_from : now;
  }
  refresh(now, s, 0);
  fruitless_until_ = 0;
}

// ---- What is known of a server ----------------------------------------------------------------------------
// The least share of its full capacity that the server can have by now.
double EndpointPool::warmth(Micros now, const Endpoint& s) const {
  if (s.cold_from == kWarm || settings_.slow_start_duration <= 0) return 1;
  const double age = double(now - s.cold_from) / double(settings_.slow_start_duration);
  return std::clamp(settings_.slow_start_min_capacity + (1 - settings_.slow_start_min_capacity) * age,
                    settings_.slow_start_min_capacity, 1.0);
}

// How slow a server is against its peers, by its answers and by what it still owes.
double EndpointPool::slowness(Micros now, const Endpoint& s, double mean) const {
  double r = 1;
  if (s.ratio_weight > 0) {
    const double keep = exponential_decay(now - s.ratio_at, kLatencyMemory);
    r = (s.ratio_sum * keep + kPriorSamples) / (s.ratio_weight * keep + kPriorSamples);
  }
  if (s.out == 0 || mean <= 0) return r;
  return std::max(r, double(now - s.busy_since) / (kAgeDoubt * mean));
}

double EndpointPool::speed(Micros now, const Endpoint& s, double mean) const {
  return weight(s) * warmth(now, s) / slowness(now, s, mean);
}

// Brings what the sampler holds of a server up to date, and the counts of open and ejected ones.
void EndpointPool::refresh(Micros now, Endpoint& s, double mean) {
  const bool ejected = s.ejected_until > now;
  sampler_.set(s.slot, s.open() && !ejected ? speed(now, s, mean) : 0);
  open_ += int(s.open()) - int(std::exchange(s.counted_open, s.open()));
}

void EndpointPool::refresh_ejected(Micros now, double mean) {
  const auto over = [&](Endpoint* s) {
    if (s->ejected_until > now) return false;
    refresh(now, *s, mean);
    return true;
  };
  ejected_.erase(std::remove_if(ejected_.begin(), ejected_.end(), over), ejected_.end());
  ejected_open_ = int(std::count_if(ejected_.begin(), ejected_.end(), [](Endpoint* s) { return s->open(); }));
}

// ---- Slow start -------------------------------------------------------------------------------------------
// Of the span between two of our calls to a cold server, the part that we wait with the first one that other
// servers could not take. Danger: where each gateway's part is less than one call, hundreds that turn to a
// cold server at once would each make one. The gateways take turns, by an order that all of them know.
double EndpointPool::first_cold_send_after(const Endpoint& s) const {
  const auto gateways = std::uint64_t(settings_.gateway_count);
  const std::uint64_t first = hash_text(s.entry.endpoint) % gateways;
  const std::uint64_t turn = (std::uint64_t(settings_.gateway_index) + gateways - first) % gateways;
  return std::max(0.0, double(turn) + 1 - kAlwaysBorne) / double(gateways);
}

// Danger: a cold server sent too much falls over for good. Over any window we stay within our own part of
// what it can bear, taking what we send a warm peer for our part of a warm server's load.
bool EndpointPool::cold_covers(Micros now, Endpoint& s, double work, bool diverted) {
  const double warm = warmth(now, s);
  if (warm >= 1) return true;
  // Where our part is less than one request, requests are so much further apart; with nothing observed yet,
  // so far that all gateways together send one a window.
  const double window = double(settings_.slow_start_window), n = settings_.gateway_count;
  const double budget = kColdSafety * settings_.slow_start_overload_factor * warm * peer_rate_ * weight(s) *
                        window / kMicrosPerSecond;
  const double span = window * std::clamp(work / std::max(budget, 1e-9), 1.0, n);
  const auto recent = std::find_if(s.cold_sends.begin(), s.cold_sends.end(),
                                   [&](const SlowStartSend& send) { return double(now - send.at) < span; });
  s.cold_sends.erase(s.cold_sends.begin(), recent);
  if (s.cold_sends.empty())
    return work <= budget || !diverted || double(now - s.cold_from) >= span * first_cold_send_after(s);
  double spent = 0;
  for (const SlowStartSend& send : s.cold_sends) spent += send.work;
  return spent + work <= budget;
}

// ---- Choice -----------------------------------------------------------------------------------------------
bool EndpointPool::is_eligible(Micros now, Endpoint& s, double speed, const Search& search) {
  if (s.on_trial && s.out > 0) return false;
  const double part = kUneven * even_part() * speed / std::max(search.total_speed, 1e-9);
  if (s.out >= std::max(1.0, std::round(part))) return false;
  return cold_covers(now, s, search.work, search.diverted);
}

EndpointPool::Candidate EndpointPool::candidate(Micros now, Endpoint& s, double speed) const {
  const double others = s.others > 0 ? s.others * exponential_decay(now - s.report_at, kReportMemory) : 0;
  double cost = (s.out + others + 1) / speed;
  if (s.entry.zone != settings_.zone) cost *= kZoneBias;
  // Danger: each of many gateways has little to send, and on new connections everywhere it pays a handshake a
  // request.
  const bool linked = s.links > 0 && now - s.link_at <= kLinked;
  if (settings_.gateway_count >= kManyGateways && !linked) cost *= kLinkBias;
  return {&s, cost};
}

// Danger: gateways that see little of what servers hold all pick the one that looks best, and the slower ones
// lie idle. A few are drawn by speed, the fewer the less of the load is our own; the best of those.
std::size_t EndpointPool::wanted_candidates() const {
  const bool unseen = settings_.gateway_count >= kManyGateways && !reported_;
  return std::size_t(kDraws + (open_ - ejected_open_) / settings_.gateway_count +
                     (unseen ? kUnseenDraws : 0));
}

// Draws by speed, each server once. Danger: a look at every server for each attempt costs a gateway among
// thousands of them more than the requests do.
std::vector<EndpointPool::Candidate> EndpointPool::draw(Micros now, Search& search, const Filter& allowed) {
  std::vector<Candidate> found;
  std::vector<std::pair<Endpoint*, double>> drawn;  // with their speeds; none is drawn twice
  const std::size_t wanted = wanted_candidates(), tries = std::max(kMostTries, 2 * wanted);
  while (found.size() < wanted && drawn.size() < tries) {
    const double total = sampler_.total();
    if (total <= 1e-9 * search.total_speed) break;
    Endpoint& s = *slots_[sampler_.find(random_.uniform() * total)];
    if (sampler_.weight(s.slot) <= 0) break;  // rounding has left no more than this
    const double now_speed = speed(now, s, search.mean);
    // The speeds are as old as the last look; one that has slowed down since is drawn so much less.
    const double before = sampler_.weight(s.slot);
    if (now_speed < before && random_.uniform() * before >= now_speed) {
      sampler_.set(s.slot, now_speed);
      continue;
    }
    sampler_.set(s.slot, 0);
    drawn.emplace_back(&s, now_speed);
    // What falls on a cold server at the first draw comes at a rate by its speed, whatever others can take.
    if (drawn.size() == 1) search.diverted = search.diverted || warmth(now, s) >= 1;
    if (allowed(s) && is_eligible(now, s, now_speed, search)) found.push_back(candidate(now, s, now_speed));
  }
  for (const auto& [s, now_speed] : drawn) sampler_.set(s->slot, now_speed);
  return found;
}

// All servers, for an attempt that only a few of them may get.
std::vector<EndpointPool::Candidate> EndpointPool::search_all(Micros now, const Search& search,
                                                              const Filter& allowed) {
  std::vector<Candidate> found;
  std::vector<std::pair<double, Endpoint*>> order;
  for (Endpoint* s : slots_) {
    if (!s->open() || s->ejected_until > now || !allowed(*s)) continue;
    const double now_speed = speed(now, *s, search.mean);
    if (is_eligible(now, *s, now_speed, search))
      order.emplace_back(-std::log(1 - random_.uniform()) / now_speed, s);
  }
  std::sort(order.begin(), order.end());
  for (const auto& [key, s] : order)
    if (found.size() < wanted_candidates()) found.push_back(candidate(now, *s, speed(now, *s, search.mean)));
  return found;
}

std::vector<EndpointPool::Candidate> EndpointPool::search_ejected(Micros now, const Search& search,
                                                                  const Filter& allowed) {
  std::vector<Candidate> found;
  for (Endpoint* s : ejected_) {
    if (!s->open() || !allowed(*s)) continue;
    const double now_speed = speed(now, *s, search.mean);
    if (is_eligible(now, *s, now_speed, search)) found.push_back(candidate(now, *s, now_speed));
  }
  return found;
}

// Danger: a cold server looks slow beside any warm one, and next to nobody has a connection to it. Where each
// gateway sends little, a comparison leaves it idle; the first draw, by speed, decides between them.
Endpoint* EndpointPool::best_of(Micros now, const std::vector<Candidate>& candidates) const {
  if (candidates.empty()) return nullptr;
  const bool many = settings_.gateway_count >= kManyGateways;
  const bool cold = warmth(now, *candidates.front().endpoint) < 1;
  const Candidate* best = nullptr;
  for (const Candidate& c : candidates) {
    if (many && (warmth(now, *c.endpoint) < 1) != cold) continue;
    if (!best || c.cost < best->cost) best = &c;
  }
  return best->endpoint;
}

Endpoint* EndpointPool::pick(Micros now, double work, double mean, bool restricted, const Filter& allowed) {
  refresh_ejected(now, mean);
  if (!has_room(now)) return nullptr;
  if (!restricted && now < fruitless_until_) return nullptr;
  Search search{work, mean, sampler_.total(), restricted};
  std::vector<Candidate> candidates = draw(now, search, allowed);
  if (candidates.empty()) candidates = search_all(now, search, allowed);
  // Danger: a whole zone gone may be more than may be ejected; its servers then come last, not in turn.
  if (candidates.empty() && ejected_open_ > kMaxEjected * open_)
    candidates = search_ejected(now, search, allowed);
  if (candidates.empty() && !restricted) fruitless_until_ = now + kSearchAgain;
  return best_of(now, candidates);
}

void EndpointPool::on_attempt_sent(Micros now, Endpoint& s, double work) {
  settle_room(now);
  if (++s.out == 1) s.busy_since = now;
  s.links = now - s.link_at > kLinked ? 0 : std::max(0, s.links - 1);
  ++out_;
  s.carried += work;
  if (warmth(now, s) < 1) s.cold_sends.push_back({now, work});
}

bool EndpointPool::on_attempt_ended(Micros now, Endpoint& s, const AttemptReport& report) {
  settle_room(now);
  fruitless_until_ = 0;
  --s.out;
  --out_;
  const Outcome o = report.outcome;
  const bool answered = o == Outcome::kOk, error = o == Outcome::kError, timeout = o == Outcome::kTimeout;
  if (answered) {
    ++s.links;
    s.link_at = now;
  }
  if (answered || error || timeout || report.stalled) {
    const double keep = s.ratio_weight > 0 ? exponential_decay(now - s.ratio_at, kLatencyMemory) : 0;
    // Danger: a server that fails all it gets answers fastest; taken for quick, it would draw the whole load.
    s.ratio_sum = s.ratio_sum * keep + (error ? kErrorRatio : report.time_over_expected);
    s.ratio_weight = s.ratio_weight * keep + 1;
    s.ratio_at = now;
  }
  if (report.load.in_flight >= 0 || report.load.queued >= 0) {
    s.others =
        report.load.in_flight >= 0 ? std::max(0.0, report.load.in_flight - s.out - 1) : report.load.queued;
    s.report_at = now;
    reported_ = true;
  }
  if (answered || error) s.busy_since = now;
  if (answered) {
    s.failures = 0;
    s.on_trial = false;
  }
  adapt_limit(now, report, answered || timeout || report.stalled);
  const bool failed =
      report.stalled || error || timeout || o == Outcome::kConnectFailed || o == Outcome::kReset;
  bool ejects = false;
  if (failed) {
    const bool enough = ++s.failures >= kEjectAfter || s.on_trial;
    ejects = enough && s.ejected_until <= now;
  }
  if (ejects) {
    if (std::find(ejected_.begin(), ejected_.end(), &s) == ejected_.end()) ejected_.push_back(&s);
    s.ejected_until = now + kEjectFor;
    s.on_trial = true;
  }
  refresh(now, s, report.mean_time);
  return ejects;
}

// ---- Once a period ----------------------------------------------------------------------------------------
void EndpointPool::on_period(Micros now) {
  double work = 0, weights = 0;
  std::vector<double> speeds(slots_.size());
  for (Endpoint* s : slots_) {
    const bool in_use = s->open() && s->ejected_until <= now;
    if (in_use && warmth(now, *s) >= 1) {
      work += s->carried;
      weights += weight(*s);
    }
    s->carried = 0;
    if (in_use) speeds[s->slot] = speed(now, *s, 0);
  }
  sampler_.assign(std::move(speeds));
  if (weights > 0) peer_rate_ += kPeerRateGain * (work / weights / (kPeriod / kMicrosPerSecond) - peer_rate_);
}

DecisionEngine::EndpointCounts EndpointPool::count(Micros now) const {
  DecisionEngine::EndpointCounts out;
  for (const auto& [name, s] : endpoints_) {
    out.listed += s.listed;
    out.excluded += s.listed && (s.disabled || s.ejected_until > now);
  }
  return out;
}

void EndpointPool::save_state(HotRestartState& out) {
  for (auto& [name, s] : endpoints_) {
    auto& figures = out.endpoints[name] = serialize_fields(s);
    for (const SlowStartSend& send : s.cold_sends)
      figures.insert(figures.end(), {double(send.at), send.work});
  }
}

void EndpointPool::restore_endpoint(const std::string& name, const HotRestartState::Values& figures) {
  Endpoint& s = find(name);
  const std::size_t size = serialize_fields(s).size();
  if (figures.size() < size || (figures.size() - size) % 2 != 0) return;
  const auto sends = figures.begin() + std::ptrdiff_t(size);
  deserialize_fields(s, {figures.begin(), sends});
  for (auto it = sends; it != figures.end(); it += 2) s.cold_sends.push_back({Micros(*it), it[1]});
  if (s.ejected_until > 0) ejected_.push_back(&s);
}

// ---- How many attempts may be out -------------------------------------------------------------------------
double EndpointPool::even_part() const {
  const int in_use = open_ - ejected_open_;
  return std::max(limit_, kLeastInFlight * std::max(in_use, 1) / settings_.gateway_count);
}

double EndpointPool::utilization(Micros now) {
  settle_room(now);
  return 0.5 - 0.5 * room_ / even_part();
}

// Danger: with more gateways than servers an even part is less than one. More go out when demand by chance
// asks for it, and are paid for out of the room that was left in the last second.
bool EndpointPool::has_room(Micros now) {
  settle_room(now);
  return room_ > 0 && out_ < 1 + even_part() + kSpread * std::sqrt(even_part());
}

void EndpointPool::settle_room(Micros now) {
  room_ = std::clamp(room_ + (even_part() - out_) * double(now - room_at_) / kMicrosPerSecond, -even_part(),
                     even_part());
  room_at_ = now;
}

// Danger: servers that hold too much lose speed, answers come late, work is wasted and the jam feeds itself.
// What all our attempts take, against what they took when servers were idle, bounds how many may be out. A
// slow single server is not the fleet's: it is left to `slowness`.
void EndpointPool::adapt_limit(Micros now, const AttemptReport& report, bool timed) {
  // Danger: one of a hundred gateways learns the idle time only after many seconds, and its limit would grow
  // all the while, however late the answers.
  const double idle = base_ > 0 ? base_ : kIdleLatencyFraction;
  if (timed) {
    // Danger: a few attempts lost or far heavier than the rest are no sign of a full fleet.
    const double time_over_objective = std::min(report.time_over_objective, kOutlier * idle);
    norm_ += kNormGain * (time_over_objective - norm_);
    slow_norm_ += std::max(kIdleGain, 1.0 / ++answers_) * (time_over_objective - slow_norm_);
    // Danger: the first answers are the fastest; an idle time from them alone is too short.
    if (answers_ > 1 / kIdleGain)
      base_ = base_ <= 0 ? slow_norm_ : std::min(slow_norm_, base_ + kBaseGain * (slow_norm_ - base_));
  }
  if (report.outcome == Outcome::kOverloaded)
    return;  // danger: one server, or one plan there, is not the fleet
  if (norm_ <= kBusy * idle) {
    if (timed && room_ < 0.5 * even_part()) limit_ = even_part() + kGrow;
  } else if (double(now - cut_at_) > report.mean_time) {
    limit_ = even_part() * kLimitCut;
    cut_at_ = now;
  }
}

}  // namespace quota_gateway::decision
