// Quota slices: each gateway's part of a customer's quota, by its share of the customer's measured demand,
// which all gateways sum through the counter. Also the even parts of hard ceilings and of caps on open
// attempts.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "decision/field_serialization.hpp"
#include "decision/numeric.hpp"
#include "quota_gateway/decision_engine.hpp"

namespace quota_gateway::decision {

constexpr double kMaxHorizon = 5;  // s; longest smoothing of demand, even for a deep burst
constexpr double kEpoch = 10;      // memories of demand that a counter name serves; amounts grow by e in each
constexpr Micros kNameLife = 60'000'000;  // us; the counter's most
constexpr Micros kKnownFor = 64'000'000;  // us; a customer or a total older than this is forgotten
constexpr double kIdleGuess = 0.5;  // of the quota: a customer that asked no more has its whole burst left
constexpr double kFew = 2;          // large requests that a slice's part of the burst holds, or it is small
constexpr double kKnownWeight = 0.25;  // of a request of a known customer, for the need of a call
constexpr double kOpenSpread = 0.85;   // deviations that the mean stays under an open cap
constexpr double kOpenLeast = 0.3;     // of an open cap, that mean at the least
constexpr double kOpenBurst = 1;       // s of an open cap's rate that may be met at once
constexpr double kCallsFirst = 4;      // calls at once, and a second before the counter's bound is met
constexpr double kCallsLeast = 1;      // at the least, to notice its return
constexpr double kBound = 0.75;        // of the calls that may be saved up: with fewer, the pace binds
constexpr double kPaceGain = 0.1;      // of the pace, a second, up while it binds; doubled until a bad answer
constexpr double kLateCut = 0.5;       // of the pace, after a call that got no answer in time
constexpr double kSlowCut = 0.8;       // of the pace, after one turned away, or past half of that time
constexpr int kDrain = 8;  // time-outs between cuts: a line of three, the longest, drains at half the pace
constexpr double kMostMissing = 0.75;  // part of the others' demand that may be taken for not yet counted
constexpr double kMissingGain = 0.3;   // a period; smoothing of that part
constexpr int kDownAfter = 6;          // failed calls in a row: down; nobody waits for it
constexpr double kAdviseShare = 0.33;  // of the aim: longest retry-after, so that a retry still ends in time

// A gateway's part of a customer's quota, by its share of the customer's measured demand.
struct CustomerQuota {
  const PlanSettings* plan = nullptr;
  std::uint64_t key = 0;
  int set_size = 1;
  int place = 0;    // ours among the gateways of its set, from 0
  double rate = 0;  // of the quota: units, or attempt-seconds under an open cap, a second
  Micros last_use = 0;
  Micros at = 0;         // up to when own demand has faded and the store has filled
  double own = 0;        // units a second asked here, refused requests included; fading mean
  double others = 0;     // units a second asked elsewhere, as last measured
  double whole = 0;      // units the customer has left, as far as this gateway can tell
  double store = 0;      // units of them that are ours to let in
  double uncounted = 0;  // units asked here that no call has carried yet, fading
  int asks = 0;          // requests that they came in
  Micros called_at = 0;
  Micros read_at = 0;                                // last believed total; 0: none
  std::int64_t epoch = 0;                            // of the counter name in use
  std::int64_t distrusted_epoch = -1;                // and those before it, since the wall clock was stepped
  Micros counts_from = 0;                            // what its total tells: demand since then
  double before = 0;                                 // units a second asked elsewhere up to then
  double added = 0;                                  // units that our own calls have added to it, fading
  int calling = 0;                                   // calls on their way
  std::vector<std::string> requests_awaiting_total;  // requests that wait for the first total
  double hard_limit_tokens = 0;                      // units left of our even part of the ceiling
  Micros hard_limit_updated_at = 0;
  int attempts_in_flight = 0;    // attempts out
  int predecessor_attempts = 0;  // attempts that the process before this one still has out

  template <typename F>
  void visit_fields(F f) {
    f(set_size), f(place), f(rate), f(last_use), f(at), f(own), f(others), f(whole), f(store), f(uncounted);
    f(asks), f(called_at), f(read_at), f(epoch), f(counts_from), f(before), f(added), f(hard_limit_tokens);
    f(hard_limit_updated_at);
    f(predecessor_attempts);
  }
};

class QuotaSlices {
 public:
  QuotaSlices(const Settings& settings, std::uint64_t seed) : settings_(settings), random_(seed) {}

  CustomerQuota& find_or_create(Micros now, const RequestArrived& r, const PlanSettings& plan) {
    CustomerQuota& c = customers_[r.customer];
    if (born_ == 0) born_ = now - settings_.tick;
    c.set_size = r.gateway_set_size > 0 ? std::min(r.gateway_set_size, settings_.gateway_count)
                                        : settings_.gateway_count;
    c.place = (settings_.gateway_index - r.first_gateway_index % settings_.gateway_count +
               settings_.gateway_count) %
              settings_.gateway_count;
    if (c.plan != &plan) {
      c.plan = &plan;
      c.key = hash_text(r.customer);
      // An open cap, as attempt-seconds a second: so many out that chance seldom passes the cap.
      const double open = plan.max_concurrent_attempts;
      c.rate = plan.rate > 0 ? plan.rate : std::max(kOpenLeast * open, open - kOpenSpread * std::sqrt(open));
      c.at = c.hard_limit_updated_at = now;
      // Danger: a predecessor of this process may just have spent our part, as far as the slices let it: the
      // quota's burst. What the ceiling holds beyond that is there, and what has filled in since our start.
      const double age = double(now - born_) / kMicrosPerSecond, beyond = plan.hard_limit_burst - plan.burst;
      c.hard_limit_tokens =
          std::min(plan.hard_limit_burst, std::max(0.0, beyond) + plan.hard_limit_rate * age) / c.set_size;
      c.whole = burst(c);
      c.store = depth(c);
    }
    c.last_use = now;
    return c;
  }

  void save_state(HotRestartState& out) {
    for (auto& [who, c] : customers_) {
      CustomerQuota copy = c;
      copy.predecessor_attempts += c.attempts_in_flight;
      // A call on its way was most likely added.
      for (const auto& [name, call] : pending_)
        if (call.first == who) copy.added += call.second;
      out.customers[who] = {c.plan->name, serialize_fields(copy)};
    }
  }
  void restore_customer(const std::string& who, const PlanSettings& plan,
                        const HotRestartState::Values& figures) {
    CustomerQuota c;
    c.plan = &plan;
    c.key = hash_text(who);
    if (deserialize_fields(c, figures)) customers_[who] = c;
  }
  CustomerQuota* find(const std::string& who) {
    const auto it = customers_.find(who);
    return it == customers_.end() ? nullptr : &it->second;
  }
  void set_predecessor_attempts(const std::map<std::string, int>& open) {
    for (auto& [who, c] : customers_) {
      const auto it = open.find(who);
      c.predecessor_attempts = it == open.end() ? 0 : it->second;
    }
  }
  std::map<std::string, int> attempts_in_flight() const {
    std::map<std::string, int> out;
    for (const auto& [who, c] : customers_)
      if (c.attempts_in_flight + c.predecessor_attempts > 0)
        out[who] = c.attempts_in_flight + c.predecessor_attempts;
    return out;
  }
  template <typename F>
  void visit_fields(F f) {
    f(call_rate_), f(calls_), f(kept_rate_), f(cut_at_), f(calls_at_), f(born_), f(in_a_row_);
  }

  // The wall clock, by which gateways agree on the counter's names, is `offset` ahead of the time told here.
  void set_wall_offset(Micros now, Micros offset) {
    if (offset == wall_offset_) return;
    wall_offset_ = offset;
    stepped_at_ = now;
    for (auto& [who, c] : customers_) c.distrusted_epoch = c.epoch;
  }

  double burst(const CustomerQuota& c) const {
    return c.plan->rate > 0 ? c.plan->burst : c.rate * kOpenBurst;
  }
  // Units a second that are ours: our own demand and an even part of the room that the total leaves, or our
  // share of the quota once the total reaches it. Danger: each of a hundred gateways would let all in of a
  // customer that no total has told of; until then it has an even part.
  double slice(const CustomerQuota& c) const {
    if (c.read_at <= 0) return c.rate / c.set_size;
    const double total = c.own + c.others;
    return total < c.rate ? c.own + (c.rate - total) / c.set_size : c.rate * c.own / std::max(total, 1e-9);
  }
  // Danger: a whole burst kept at each gateway is let in once by each of them before any total tells.
  double depth(const CustomerQuota& c) const { return burst(c) * slice(c) / std::max(c.rate, 1e-9); }
  // Danger: a quota of a few units a second sees nought or a whole burst in one second; demand is smoothed
  // over as long as the burst lasts, or customers inside their quota would be refused.
  double memory(const CustomerQuota& c) const {
    return std::clamp(burst(c) / std::max(c.rate, 1e-9), 1.0, kMaxHorizon);
  }

  double fade(double seconds, const CustomerQuota& c) const { return std::exp(-seconds / memory(c)); }

  // Fills the store, and our view of the whole by what the others leave; a debt there is paid by our slice.
  void advance(Micros now, CustomerQuota& c) {
    const double dt = double(now - c.at) / kMicrosPerSecond;
    if (dt <= 0) return;
    c.at = now;
    const double keep = fade(dt, c);
    c.own *= keep;
    c.uncounted *= keep;
    c.added *= keep;
    c.store = std::min(depth(c), c.store + slice(c) * dt);
    const double paid = std::min(0.0, c.whole + slice(c) * dt);
    c.whole = std::min(burst(c), std::max(paid, c.whole + (c.rate - c.others) * dt));
  }

  void record_demand(Micros now, CustomerQuota& c, double units) {  // demand, let in or not
    advance(now, c);
    c.own += units / memory(c);
    c.uncounted += units;
    ++c.asks;
  }

  // Is this request within the slice? One larger than the store can hold passes when that is full.
  // Danger: where a slice is less than a request in the time that the burst lasts, a store of it never holds
  // one, and a customer spread over many gateways is refused at each. There the slice is let in by lot.
  bool by_lot(const CustomerQuota& c) const {
    return c.set_size >= kManyGateways && c.read_at > 0 && depth(c) < kFew * settings_.max_request_units;
  }
  bool has_tokens(const CustomerQuota& c, double units) {
    if (by_lot(c)) return random_.uniform() * c.own < slice(c);
    return c.rate <= 0 || c.store >= std::min(units, depth(c)) - 1e-9;
  }
  void consume(CustomerQuota& c, double units) {
    if (c.rate <= 0) return;
    c.store -= units;
    c.whole -= units;
  }

  // Seconds until the slice will have filled enough; where it is let in by lot, has earned as much.
  double time_until_available(const CustomerQuota& c, double units) const {
    return std::max(0.0, units - (by_lot(c) ? 0 : c.store)) / std::max(slice(c), 1e-6);
  }
  // Danger: a client that returns after the aim takes units from fresh requests and earns nothing; the advice
  // stays short.
  Micros retry_after(double seconds, Micros aim) const {
    const double most = std::min(double(settings_.max_retry_after), kAdviseShare * double(aim));
    return std::max(settings_.tick, Micros(std::min(most, seconds * kMicrosPerSecond)));
  }

  // Hands own demand to the counter if a call is due, and tells whether a first total is on its way.
  bool sync_if_due(Micros now, const std::string& who, CustomerQuota& c, std::vector<Action>& out) {
    // Danger: one of a hundred gateways meets a customer so seldom that the total it read last tells nothing.
    const bool known = c.read_at > 0 && double(now - c.read_at) <= memory(c) * kMicrosPerSecond;
    if (!settings_.has_counter || c.rate <= 0 || c.uncounted <= 0) return false;
    if (!known && c.calling > 0) return !silent();
    const double most = std::max(kCallsFirst, call_rate_);
    calls_ = std::min(most, calls_ + call_rate_ * double(now - calls_at_) / kMicrosPerSecond);
    calls_at_ = now;
    // A customer without a total of use comes first: without a call it is let in unseen. For the others, the
    // fewer calls are to spare, the more requests must one carry. Danger: customers met now and then by each
    // of a hundred gateways would use up what the counter bears.
    if (c.calling > 0 || (known && now - c.called_at < kPeriod)) return false;
    if (calls_ < 1 || (known && c.asks * kKnownWeight < most / calls_ - (1 - kKnownWeight))) return false;
    calls_ -= 1;
    const std::int64_t epoch = (now + wall_offset_ + phase(c)) / length(c);
    if (epoch != c.epoch) {
      c.epoch = epoch;
      c.added = 0;
      c.counts_from = std::max(begun(c), stepped_at_);
      c.before = c.others;
    }
    const auto name = std::int64_t(mix_bits(c.key ^ mix_bits(std::uint64_t(epoch))) >> 2);
    pending_[name] = {who, c.uncounted};
    out.push_back(IncrementCounter{name, c.uncounted * growth(now, c), kNameLife});
    c.uncounted = 0;
    c.asks = 0;
    c.called_at = now;
    ++c.calling;
    return !known && !silent();
  }

  // Once a period: demand that lingers is handed on, idle customers are forgotten.
  void on_period(Micros now, std::vector<Action>& out) {
    std::map<const PlanSettings*, std::pair<double, double>> met;  // units met, and of them not handed on
    for (auto it = customers_.begin(); it != customers_.end();) {
      auto here = it++;
      CustomerQuota& c = here->second;
      advance(now, c);
      if (now - c.last_use > kKnownFor && c.attempts_in_flight == 0 && c.calling == 0) {
        customers_.erase(here);
        continue;
      }
      const double before = c.uncounted;
      sync_if_due(now, here->first, c, out);
      met[c.plan].first += c.own * memory(c);
      met[c.plan].second += (before + c.uncounted) / 2;  // many calls are made here, after a period's growth
    }
    for (const auto& [plan, units] : met)
      if (units.first > 0) missing_[plan] += kMissingGain * (units.second / units.first - missing_[plan]);
  }

  // The counter answered or failed to. Returns the customer it was about.
  CustomerQuota* on_counter_reply(Micros now, const CounterReply& a) {
    auto found = pending_.find(a.name);
    if (found == pending_.end()) return nullptr;
    const auto [who, amount] = found->second;
    pending_.erase(found);
    const bool ok = a.outcome == CounterOutcome::kOk;
    // Danger: a counter asked more than it can serve answers next to nobody, and hundreds of gateways fill
    // its line within a tenth of a second. Each slows down at the first bad answer, once while the line
    // drains, and speeds up only while its pace holds calls back. After a silence it goes on at half of the
    // pace before.
    const bool back = ok && silent(), late = a.outcome == CounterOutcome::kUnknown;
    const bool slow = 2 * a.duration > settings_.counter_timeout;
    in_a_row_ = ok ? 0 : in_a_row_ + 1;
    if (in_a_row_ == 1) kept_rate_ = kLateCut * call_rate_;
    if (back) call_rate_ = std::max(call_rate_, kept_rate_);
    if (!ok || slow) {
      if (now - cut_at_ >= kDrain * settings_.counter_timeout) {
        call_rate_ = std::max(kCallsLeast, (late ? kLateCut : kSlowCut) * call_rate_);
        cut_at_ = now;
      }
    } else if (calls_ < kBound * std::max(kCallsFirst, call_rate_)) {
      call_rate_ += cut_at_ == 0 ? 1 : kPaceGain;
    }
    auto it = customers_.find(who);
    if (it == customers_.end()) return nullptr;
    CustomerQuota& c = it->second;
    --c.calling;
    if (a.outcome == CounterOutcome::kNotAdded) c.uncounted += amount;
    if (!ok || is_distrusted(now, c)) return &c;
    advance(now, c);
    c.added += amount * fade(double(now - c.called_at) / kMicrosPerSecond, c);
    const double all = a.total / growth(now, c);
    // Danger: a counter that forgot. Less than we added ourselves proves it; then nothing is believed, and
    // what is counted from now on comes on top of what was.
    if (all < c.added * 0.999) {
      c.added = all;
      c.counts_from = now;
      c.before = c.others;
      return &c;
    }
    const bool first = c.read_at <= 0;
    // Danger: what a gateway has met and not handed on yet is in no total, and a hundred of them are each
    // let in by it for a quarter too much, or for half. Gateways are alike where they are many: others miss
    // as much as we do. Of a few, what one misses tells little of another.
    const double missing =
        settings_.gateway_count >= kManyGateways ? std::min(kMostMissing, missing_[c.plan]) : 0;
    const double told = (all - c.added) / memory(c) / (1 - missing);
    c.others = told + c.before * fade(double(now - c.counts_from) / kMicrosPerSecond, c);
    // What a customer asked elsewhere before we met it tells how much of its burst can be left.
    if (first) c.whole *= std::clamp((1 - c.others / c.rate) / (1 - kIdleGuess), 0.0, 1.0);
    c.read_at = now;
    // What is left is split by share of demand; what a slice has saved up stays.
    c.store = std::min(depth(c), std::max(c.store, c.whole * slice(c) / c.rate));
    return &c;
  }

 private:
  // Danger: amounts grow with the wall clock's time. After that was stepped, names that were in use before
  // hold amounts of another scale, until the counter forgets them.
  bool is_distrusted(Micros now, const CustomerQuota& c) const {
    return stepped_at_ > 0 && c.epoch <= c.distrusted_epoch && now - stepped_at_ < kNameLife;
  }
  bool silent() const { return in_a_row_ >= kDownAfter; }
  // Danger: a plain sum read now and then tells the mean since a name began, which misses a spike and keeps
  // it for long after. Gateways that share a clock add to a name the more, the later: its total over that
  // growth is the fading demand of all. They switch to a new name at once, at times spread over the
  // customers.
  Micros length(const CustomerQuota& c) const { return Micros(kEpoch * memory(c) * kMicrosPerSecond); }
  Micros phase(const CustomerQuota& c) const { return Micros(c.key % std::uint64_t(length(c))); }
  Micros begun(const CustomerQuota& c) const { return c.epoch * length(c) - phase(c) - wall_offset_; }
  double growth(Micros now, const CustomerQuota& c) const {
    return 1 / fade(double(now - begun(c)) / kMicrosPerSecond, c);
  }

  const Settings& settings_;
  Random random_;
  double call_rate_ = kCallsFirst, calls_ = kCallsFirst;
  double kept_rate_ = 0;  // where the pace goes on after a silence
  Micros cut_at_ = 0;     // the pace; 0: never
  Micros calls_at_ = 0;
  Micros born_ = 0;
  Micros wall_offset_ = 0, stepped_at_ = 0;
  int in_a_row_ = 0;                               // failed calls
  std::map<const PlanSettings*, double> missing_;  // part of the demand met here that no call has carried yet
  std::map<std::string, CustomerQuota> customers_;
  std::unordered_map<std::int64_t, std::pair<std::string, double>>
      pending_;  // looked up by name, never walked
};

// ---- 2. Ceilings and open caps ------------------------------------------------------------------------
// Danger: the ceiling is a rule. An even part of its rate and stock is safe alone.
inline double time_until_hard_limit_allows(const CustomerQuota& c,
                                           double units) {  // seconds until it covers so much
  return (units - c.hard_limit_tokens) * c.set_size / c.plan->hard_limit_rate;
}
inline bool hard_limit_allows(Micros now, CustomerQuota& c, double units) {
  const PlanSettings& p = *c.plan;
  if (p.hard_limit_rate <= 0) return true;
  const double fill =
      p.hard_limit_rate / c.set_size * double(now - c.hard_limit_updated_at) / kMicrosPerSecond;
  c.hard_limit_tokens = std::min(p.hard_limit_burst / c.set_size, c.hard_limit_tokens + fill);
  c.hard_limit_updated_at = now;
  return c.hard_limit_tokens >= units;
}

// Danger: the cap holds over all gateways of the set, and each sees only its own attempts. An even part of
// its places, what does not divide going to the first of the set; none is left without one.
inline bool concurrency_cap_allows(const CustomerQuota& c) {
  const int cap = c.plan->max_concurrent_attempts;
  if (cap <= 0) return true;
  return c.attempts_in_flight + c.predecessor_attempts <
         std::max(1, cap / c.set_size + (c.place < cap % c.set_size ? 1 : 0));
}

}  // namespace quota_gateway::decision
