// The module alone, through its interface, with hand-written events. Each test is named after its danger.
#include "quota_gateway/decision_engine.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <ctime>
#include <map>
#include <optional>
#include <random>
#include <set>

namespace quota_gateway {
namespace {

constexpr Micros kMs = 1'000;
constexpr Micros kS = 1'000'000;

std::string label(std::string prefix, Micros n) { return prefix.append(std::to_string(n)); }

Settings basic_settings() {
  Settings s;
  ClassSettings read;
  read.name = "read";
  read.latency_objective = 500 * kMs;
  read.client_timeout = 2 * kS;
  read.idempotency = Idempotency::kIdempotent;
  s.classes.push_back(read);
  PlanSettings plan;
  plan.name = "plan";
  plan.rate = 10;
  plan.burst = 20;
  s.plans.push_back(plan);
  s.gateway_count = 2;
  s.max_attempts = 3;
  s.allow_cancel = true;
  s.allow_retry_after = true;
  s.max_retry_after = kS;
  return s;
}

Settings counted_settings() {
  Settings s = basic_settings();
  s.has_counter = true;
  return s;
}

template <typename T>
std::vector<T> all(const std::vector<Action>& actions) {
  std::vector<T> out;
  for (const Action& a : actions)
    if (const T* t = std::get_if<T>(&a)) out.push_back(*t);
  return out;
}

// Drives one gateway, and keeps its timers.
class EngineDriver {
 public:
  explicit EngineDriver(Settings s = basic_settings(),
                        std::vector<EndpointEntry> servers = up({"a", "b", "c"}), std::uint64_t seed = 7)
      : gateway_(std::move(s), seed) {
    EndpointListUpdate list;
    list.entries = std::move(servers);
    step(0, {list});
  }
  static std::vector<EndpointEntry> up(std::vector<std::string> names) {
    std::vector<EndpointEntry> out;
    for (auto& n : names) {
      EndpointEntry e;
      e.endpoint = n;
      out.push_back(e);
    }
    return out;
  }
  std::vector<Action> step(Micros now, const std::vector<Event>& events) {
    std::vector<Action> out;
    gateway_.handle(now, events, out);
    for (const SetTimer& t : all<SetTimer>(out)) timers_.emplace(t.at, t.token);
    log_.insert(log_.end(), out.begin(), out.end());
    return out;
  }
  // Fires timers up to `until`; all actions of that stretch.
  std::vector<Action> run(Micros until) {
    std::vector<Action> out;
    while (!timers_.empty() && timers_.begin()->first <= until) {
      auto [at, token] = *timers_.begin();
      timers_.erase(timers_.begin());
      auto more = step(at, {TimerFired{token}});
      out.insert(out.end(), more.begin(), more.end());
    }
    return out;
  }
  std::vector<Action> arrive(Micros now, const std::string& id, double units = 1) {
    return step(now, {request(id, now, units)});
  }
  std::vector<Action> end(Micros now, const SendAttempt& a, Outcome o, int attempt = 0, Micros took = kMs) {
    AttemptEnded e;
    e.id = a.id;
    e.endpoint = a.endpoint;
    e.attempt = attempt;
    e.outcome = o;
    e.duration = took;
    e.request_finished = o == Outcome::kOk;
    return step(now, {e});
  }
  static RequestArrived request(const std::string& id, Micros now, double units = 1) {
    RequestArrived r;
    r.id = id;
    r.customer = "c1";
    r.plan = "plan";
    r.request_class = "read";
    r.units = units;
    r.deadline = now + 2 * kS;
    r.gateway_set_size = 2;
    return r;
  }
  // Sends and serves requests at one instant; how many were let in.
  int burst(Micros now, int n, double units = 1) {
    int sent = 0;
    for (int i = 0; i < n; ++i) {
      auto out = arrive(now, label("b", now) + label("-", i), units);
      for (const SendAttempt& a : all<SendAttempt>(out)) {
        ++sent;
        end(now, a, Outcome::kOk);
      }
    }
    return sent;
  }
  DecisionEngine& gateway() { return gateway_; }
  const std::vector<Action>& log() const { return log_; }

 private:
  DecisionEngine gateway_;
  std::multimap<Micros, std::int64_t> timers_;
  std::vector<Action> log_;
};

TEST(QuotaSlices, BeyondTheSliceIsRefusedEarlyWithAShortRetryAfter) {
  // Burst 20 over two gateways, nothing known: the even part.
  EngineDriver d;
  int sent = 0, refused = 0;
  for (int i = 0; i < 25; ++i) {
    auto out = d.arrive(kMs, label("r", i));
    for (const SendAttempt& a : all<SendAttempt>(out)) {
      ++sent;
      d.end(kMs, a, Outcome::kOk);
    }
    for (const RejectRequest& r : all<RejectRequest>(out)) {
      ++refused;
      EXPECT_GT(r.retry_after, 0);
      EXPECT_LE(r.retry_after, 165 * kMs);  // a third of the aim
    }
  }
  EXPECT_EQ(sent, 10);
  EXPECT_EQ(refused, 15);
}

// A counter that gateways share.
class Totals {
 public:
  CounterReply answer(const IncrementCounter& call) {
    CounterReply a;
    a.name = call.name;
    a.duration = kMs;
    a.outcome = CounterOutcome::kOk;
    a.total = totals_[call.name] += call.amount;
    return a;
  }

 private:
  std::map<std::int64_t, double> totals_;
};

// Through how many gateways a customer comes, all but the first of them as one that asks `others` a second
// and has its calls answered at once.
class Rest {
 public:
  Rest(Totals& totals, Settings s, double others) : totals_(totals), others_(others), driver_(other(s)) {
    set_size_ = s.gateway_count;
  }
  void run(Micros now) {
    if (next_ == 0) next_ = now;
    for (; others_ > 0 && next_ <= now; next_ += Micros(double(kS) / others_)) {
      settle(next_, driver_.run(next_));
      ask(next_);
    }
  }
  void ask(Micros now) {
    RequestArrived r = EngineDriver::request(label("o", ++asked_), now);
    r.gateway_set_size = set_size_;
    settle(now, driver_.step(now, {r}));
  }

 private:
  static Settings other(Settings s) {
    s.gateway_index = 1;
    return s;
  }
  void settle(Micros now, std::vector<Action> todo) {
    for (std::size_t k = 0; k < todo.size(); ++k) {
      std::vector<Action> more;
      if (const auto* call = std::get_if<IncrementCounter>(&todo[k]))
        more = driver_.step(now, {totals_.answer(*call)});
      else if (const auto* attempt = std::get_if<SendAttempt>(&todo[k]))
        more = driver_.end(now, SendAttempt(*attempt), Outcome::kOk);
      todo.insert(todo.end(), more.begin(), more.end());
    }
  }
  Totals& totals_;
  const double others_;
  EngineDriver driver_;
  int set_size_ = 2, asked_ = 0;
  Micros next_ = 0;
};

// One gateway of two, and a counter on which the other one adds `others` units a second.
class Shared {
 public:
  explicit Shared(double others) : rest_(totals_, counted_settings(), others) {}
  void elsewhere(Micros now) { rest_.ask(now); }  // one unit more
  // Answers calls and serves what is sent; how many requests were let in.
  int arrive(Micros now, const std::string& id) { return settle(now, driver_.arrive(now, id)); }
  int run(Micros now) {
    rest_.run(now);
    return settle(now, driver_.run(now));
  }

 private:
  int settle(Micros now, std::vector<Action> todo) {
    int sent = 0;
    for (std::size_t k = 0; k < todo.size(); ++k) {
      std::vector<Action> more;
      if (const auto* call = std::get_if<IncrementCounter>(&todo[k])) {
        more = driver_.step(now, {totals_.answer(*call)});
      } else if (const auto* attempt = std::get_if<SendAttempt>(&todo[k])) {
        ++sent;
        more = driver_.end(now, SendAttempt(*attempt), Outcome::kOk);
      }
      todo.insert(todo.end(), more.begin(), more.end());
    }
    return sent;
  }
  Totals totals_;
  EngineDriver driver_{counted_settings()};
  Rest rest_;
};

// `own` a second are asked here for eight seconds, then thirty at once. How many of those are let in?
int spike_after(double own, double others) {
  Shared shared(others);
  Micros now = 1000 * kS;
  for (int i = 0; i < int(8 * own); ++i) {
    now += Micros(double(kS) / own);
    shared.run(now);
    shared.arrive(now, label("q", i));
  }
  int sent = 0;
  for (int i = 0; i < 30; ++i) sent += shared.arrive(now + 1, label("s", i));
  return sent;
}

TEST(QuotaSlices, TheBurstIsLetInOnceAndNotOnceAtEachGateway) {
  EXPECT_NEAR(spike_after(2, 2), 10, 2);  // of a burst of twenty, and as much at the other one
}

TEST(QuotaSlices, WhatIsLeftOfTheBurstFollowsTheDemand) {
  EXPECT_GE(spike_after(9, 0), 16);  // the customer's requests all come in here
}

TEST(QuotaSlices, WhatWasLetInBesideOthersThatAskedTheQuotaIsNoDebtForLong) {
  Shared shared(0);
  Micros now = 1000 * kS;
  for (int i = 0; i < 400; ++i) {  // twenty seconds at twenty a second here and as many elsewhere
    now += 50 * kMs;
    shared.elsewhere(now);
    shared.run(now);
    shared.arrive(now, label("h", i));
  }
  for (int i = 0; i < 38; ++i) {  // ten quiet ones, and two in which all the demand comes in here
    now += (i < 20 ? 500 : 111) * kMs;
    shared.run(now);
    shared.arrive(now, label("q", i));
  }
  int sent = 0;
  for (int i = 0; i < 30; ++i) sent += shared.arrive(now + 1, label("s", i));
  EXPECT_GT(sent, 9);  // the burst of twenty has filled again, and nobody else asks
}

TEST(QuotaSlices, NoNewUseNoCalls) {
  EngineDriver d(counted_settings());
  d.run(5 * kS);
  EXPECT_TRUE(all<IncrementCounter>(d.log()).empty());
}

TEST(QuotaSlices, TheFirstRequestOfACustomerWaitsForItsTotalAndNoLongerThanATimeOut) {
  EngineDriver d(counted_settings());
  auto out = d.arrive(100 * kMs, "r");
  auto calls = all<IncrementCounter>(out);
  ASSERT_EQ(calls.size(), 1u);
  EXPECT_GE(calls[0].amount, 1);
  EXPECT_LE(calls[0].ttl, 60 * kS);
  EXPECT_TRUE(all<SendAttempt>(out).empty());
  EXPECT_EQ(all<SendAttempt>(d.run(160 * kMs)).size(), 1u);  // nobody answered
}

TEST(QuotaSlices, ARequestWaitsForAFreshTotalWhereTheLastOneReadIsOld) {
  EngineDriver d(counted_settings());
  Totals totals;
  const auto call = all<IncrementCounter>(d.arrive(kS, "first")).at(0);
  EXPECT_EQ(all<SendAttempt>(d.step(kS + kMs, {totals.answer(call)})).size(), 1u);
  EXPECT_EQ(all<SendAttempt>(d.arrive(2 * kS, "soon")).size(), 1u);  // its total still tells
  d.run(29 * kS);
  EXPECT_TRUE(all<SendAttempt>(d.arrive(30 * kS, "late")).empty());
  EXPECT_EQ(all<SendAttempt>(d.run(30 * kS + 60 * kMs)).size(), 1u);  // nobody answered
}

TEST(QuotaSlices, ARequestMetAfterAStallNearItsDeadlineIsAnsweredAtOnce) {
  EngineDriver d(counted_settings());
  RequestArrived r = EngineDriver::request("r", kS);
  r.deadline = kS;  // its gateway stood still meanwhile
  auto out = d.step(kS, {r});
  EXPECT_EQ(all<RejectRequest>(out).size(), 1u);
  EXPECT_TRUE(all<SendAttempt>(out).empty());
}

TEST(QuotaSlices, TheLastCallsToSpareGoToCustomersWithoutATotal) {
  EngineDriver d(counted_settings());
  Totals totals;
  const auto ask = [&](Micros now, const std::string& customer) {
    RequestArrived r = EngineDriver::request(label(customer + "-", now), now);
    r.customer = customer;
    const auto calls = all<IncrementCounter>(d.step(now, {r}));
    for (const IncrementCounter& call : calls) d.step(now, {totals.answer(call)});
    return calls.size();
  };
  EXPECT_EQ(ask(21 * kS / 2, "known"), 1u);
  d.run(12 * kS - 1);
  for (int i = 0; i < 3; ++i) EXPECT_EQ(ask(12 * kS + i, label("new", i)), 1u) << i;
  EXPECT_EQ(ask(12 * kS + 3, "known"), 0u);  // its total is fresh enough, and one call is left
  EXPECT_EQ(ask(12 * kS + 4, "new3"), 1u);
  EXPECT_EQ(ask(12 * kS + 5, "new4"), 0u);
}

// Each of twenty gateways hands its demand to the counter once a period, so that part of it is in no total
// yet.
TEST(QuotaSlices, DemandThatIsOnNoTotalYetIsAllowedFor) {
  Settings s = counted_settings();
  s.gateway_count = 20;
  std::vector<EngineDriver> fleet;
  for (int g = 0; g < s.gateway_count; ++g) fleet.emplace_back(s, EngineDriver::up({"a", "b", "c"}), g + 1);
  Totals totals;
  int sent = 0;
  constexpr int kAsked = 80, kFrom = 10, kSeconds = 60;  // a second, of a quota of ten; judged from then on
  for (int i = 0; i < kAsked * kSeconds; ++i) {
    const Micros now = 1000 * kS + Micros(i) * kS / kAsked;
    EngineDriver& d = fleet[std::size_t(i * 7 % s.gateway_count)];
    RequestArrived r = EngineDriver::request(label("r", i), now);
    r.gateway_set_size = s.gateway_count;
    auto todo = d.run(now);
    const auto more = d.step(now, {r});
    todo.insert(todo.end(), more.begin(), more.end());
    for (std::size_t k = 0; k < todo.size(); ++k) {
      if (const auto* call = std::get_if<IncrementCounter>(&todo[k])) {
        const auto then = d.step(now, {totals.answer(*call)});
        todo.insert(todo.end(), then.begin(), then.end());
      } else if (const auto* a = std::get_if<SendAttempt>(&todo[k])) {
        if (i >= kAsked * kFrom) ++sent;
        d.end(now, SendAttempt(*a), Outcome::kOk);
      }
    }
  }
  EXPECT_NEAR(double(sent) / (kSeconds - kFrom), 10, 1);
}

TEST(QuotaSlices, GatewaysAgreeOnTheNames) {
  EngineDriver one(counted_settings(), EngineDriver::up({"a"}), 1),
      two(counted_settings(), EngineDriver::up({"a"}), 2);
  auto a = all<IncrementCounter>(one.arrive(kS, "r")), b = all<IncrementCounter>(two.arrive(1050 * kMs, "r"));
  ASSERT_EQ(a.size(), 1u);
  ASSERT_EQ(b.size(), 1u);
  EXPECT_EQ(a[0].name, b[0].name);
}

// Asks twelve units a second of a quota of ten, one in `gateways`, while the others ask `others` a second;
// what is let in of the last `judged` seconds. The counter fails with `fail` from second `from` on.
struct Played {
  double share = 0;
  std::size_t calls = 0;
};
Played play(double others, int gateways = 2, CounterOutcome fail = CounterOutcome::kOk, int from = 0,
            bool forget = false, double own = 12) {
  Settings s = counted_settings();
  s.gateway_count = gateways;
  EngineDriver d(s);
  Totals totals;
  Rest rest(totals, s, others);
  std::size_t calls = 0;
  int sent = 0, asked = 0;
  const int steps = int(20 * own);
  for (int i = 0; i < steps; ++i) {
    const Micros now = 1000 * kS + Micros(double(i) / own * double(kS));
    rest.run(now);
    RequestArrived r = EngineDriver::request(label("p", i), now);
    r.gateway_set_size = gateways;
    auto out = d.step(now, {r});
    auto late = d.run(now + 1);
    out.insert(out.end(), late.begin(), late.end());
    for (std::size_t k = 0; k < out.size(); ++k) {
      if (const auto* call = std::get_if<IncrementCounter>(&out[k])) {
        ++calls;
        const bool failing = now >= (1000 + from) * kS && fail != CounterOutcome::kOk;
        CounterReply a;
        a.name = call->name;
        a.outcome = fail;
        if (!failing) a = totals.answer(*call);
        if (forget && i > steps / 2) a.total = 0.5 * call->amount;
        auto more = d.step(now, {a});
        out.insert(out.end(), more.begin(), more.end());
      }
      if (const auto* a = std::get_if<SendAttempt>(&out[k])) {
        if (i >= steps / 2) ++sent;
        d.end(now, SendAttempt(*a), Outcome::kOk);
      }
    }
    if (i >= steps / 2) ++asked;
  }
  return {double(sent) / asked, calls};
}

TEST(QuotaSlices, ProportionalOnceTheTotalReachesTheQuota) {
  EXPECT_NEAR(play(36).share, 10.0 / 48, 0.06);  // a quarter of ten a second, of twelve asked
  EXPECT_NEAR(play(0).share, 10.0 / 12, 0.06);
}

TEST(QuotaSlices, ASliceOfAHundredthPassesItsPartAndNotNothing) {
  // One request in five seconds, of a customer that asks four times its quota through a hundred gateways.
  EXPECT_NEAR(play(40, 100, CounterOutcome::kOk, 0, false, 5).share, 10.0 / 45, 0.08);
  EXPECT_GT(play(2, 100, CounterOutcome::kOk, 0, false, 2).share, 0.95);  // and all of it while there is room
}

// Of forty requests, five a second, each at a gateway that has not met the customer, how many are let in?
// Before, the customer asked `before` a second elsewhere for four seconds, and nothing for `pause`.
int let_in_after(double before, Micros pause) {
  Settings s = counted_settings();
  s.gateway_count = 100;
  int sent = 0;
  for (int round = 0; round < 4; ++round) {  // at several ages of the name on the counter
    Totals totals;
    Rest rest(totals, s, before);
    Micros now = 1000 * kS + round * 5 * kS;
    for (const Micros end = now + 4 * kS; now < end; now += 50 * kMs) rest.run(now);
    now += pause;
    for (int g = 0; g < 10; ++g, now += 200 * kMs) {
      EngineDriver d(s, EngineDriver::up({"a"}), std::uint64_t(g + 1));
      RequestArrived r = EngineDriver::request("first", now);
      r.gateway_set_size = s.gateway_count;
      for (const IncrementCounter& call : all<IncrementCounter>(d.step(now, {r})))
        sent += int(all<SendAttempt>(d.step(now, {totals.answer(call)})).size());
    }
  }
  return sent;
}

TEST(QuotaSlices, AGatewayThatMeetsACustomerForTheFirstTimeTellsASpikeFromOneThatIsOver) {
  EXPECT_GE(let_in_after(60, 3 * kS), 38);
  EXPECT_LE(let_in_after(60, 0), 24);
}

TEST(QuotaSlices, ASliceSmallerThanARequestIsLetInByLot) {
  // Four requests a second, of a customer that asks twice its quota through forty gateways. A store of a
  // fortieth never holds one.
  const double share = play(16, 40, CounterOutcome::kOk, 0, false, 4).share;
  EXPECT_GT(share, 0.2);
  EXPECT_LT(share, 0.8);
}

TEST(QuotaSlices, ASilentOrRefusingCounterLeavesTheLastTotals) {
  for (CounterOutcome o : {CounterOutcome::kUnknown, CounterOutcome::kNotAdded})
    EXPECT_NEAR(play(36, 2, o, 8).share, 10.0 / 48, 0.08);
}

TEST(QuotaSlices, WithNoTotalEverAnEvenPart) {
  EXPECT_NEAR(play(36, 2, CounterOutcome::kNotAdded).share, 5.0 / 12, 0.1);
  EXPECT_LT(play(36, 100, CounterOutcome::kNotAdded).share, 0.05);
}

TEST(QuotaSlices, ACounterThatForgotIsNotBelieved) {
  // A total of less than was added here proves loss; believed, it would give everything to us.
  EXPECT_NEAR(play(36, 2, CounterOutcome::kOk, 0, true).share, 10.0 / 48, 0.08);
}

TEST(QuotaSlices, ACustomerInsideItsQuotaIsLetInAfterTheWallClockIsStepped) {
  // Amounts on a counter's name grow with the wall clock; stepped back, they would look many times as large.
  for (const Micros step : {-3600 * kS, -5 * kS, 5 * kS, 3600 * kS}) {
    Settings s = counted_settings();
    EngineDriver d(s);
    Totals totals;
    int asked = 0, let_in = 0;
    for (Micros now = kS; now < 40 * kS; now += 250 * kMs) {
      std::vector<Action> out = d.run(now);
      if (now == 10 * kS) d.step(now, {WallClockStepped{step}});
      const auto arrived = d.arrive(now, label("r", now), 2);
      out.insert(out.end(), arrived.begin(), arrived.end());
      for (std::size_t i = 0; i < out.size(); ++i) {
        const auto* const call = std::get_if<IncrementCounter>(&out[i]);
        if (!call) continue;
        const auto next = d.step(now, {totals.answer(*call)});
        out.insert(out.end(), next.begin(), next.end());
      }
      ++asked;
      for (const SendAttempt& a : all<SendAttempt>(out)) {
        ++let_in;
        d.end(now, a, Outcome::kOk);
      }
    }
    EXPECT_GT(let_in, asked * 9 / 10) << step;
  }
}

TEST(QuotaSlices, ACounterThatServesNobodyIsAskedLess) {
  EXPECT_LT(play(36, 2, CounterOutcome::kUnknown).calls, play(36).calls * 2);
  Settings s = counted_settings();
  EngineDriver d(s);
  std::size_t early = 0, late = 0;
  for (int i = 0; i < 4000; ++i) {
    RequestArrived r = EngineDriver::request(label("x", i), i * 5 * kMs);
    r.customer = label("c", i);
    for (const IncrementCounter& c : all<IncrementCounter>(d.step(i * 5 * kMs, {r}))) {
      ++(i < 2000 ? early : late);
      CounterReply a;
      a.name = c.name;
      a.outcome = CounterOutcome::kUnknown;
      d.step(i * 5 * kMs, {a});
    }
  }
  EXPECT_GT(late, 5u);  // it is asked on, to notice its return
  EXPECT_LT(late, 25u);
  EXPECT_GT(early, late);
}

// A hundred gateways that want twice the calls that their counter can serve. It serves them in turn, works on
// those that nobody waits for any more, and turns away what would wait three time-outs.
TEST(QuotaSlices, AFleetOfGatewaysKeepsTheCountersLineShort) {
  const Settings s = counted_settings();
  constexpr int kGateways = 100, kAsks = 16, kSeconds = 20;
  constexpr Micros kService = kS / 800, kStep = 5 * kMs;
  std::vector<EngineDriver> fleet;
  for (int g = 0; g < kGateways; ++g) fleet.emplace_back(s, EngineDriver::up({"a", "b", "c"}), g + 1);
  std::multimap<Micros, std::pair<int, CounterReply>> answers;
  Micros free_at = 0;
  std::size_t calls = 0, answered = 0, late = 0;
  const auto settle = [&](Micros now, int g, const std::vector<Action>& todo) {
    for (const SendAttempt& a : all<SendAttempt>(todo)) fleet[std::size_t(g)].end(now, a, Outcome::kOk);
    for (const IncrementCounter& call : all<IncrementCounter>(todo)) {
      CounterReply a;
      a.name = call.name;
      a.total = call.amount;
      a.outcome = CounterOutcome::kNotAdded;
      a.duration = 2 * kMs;
      if (free_at - now < 3 * s.counter_timeout) {
        free_at = std::max(free_at, now) + kService;
        a.outcome = free_at - now < s.counter_timeout ? CounterOutcome::kOk : CounterOutcome::kUnknown;
        a.duration = std::min(free_at - now, s.counter_timeout);
      }
      answers.emplace(now + a.duration, std::pair(g, a));
      if (now < kSeconds / 2 * kS) continue;
      ++calls;
      answered += a.outcome == CounterOutcome::kOk;
      late += a.outcome == CounterOutcome::kUnknown;
    }
  };
  int asked = 0;
  for (Micros now = kStep; now < kSeconds * kS; now += kStep) {
    while (!answers.empty() && answers.begin()->first <= now) {
      const auto [g, a] = answers.begin()->second;
      answers.erase(answers.begin());
      settle(now, g, fleet[std::size_t(g)].step(now, {a}));
    }
    for (int g = 0; g < kGateways; ++g) settle(now, g, fleet[std::size_t(g)].run(now));
    for (; asked < now * kGateways * kAsks / kS; ++asked) {
      RequestArrived r = EngineDriver::request(label("r", asked), now);
      r.customer = label("c", asked);
      settle(now, asked % kGateways, fleet[std::size_t(asked % kGateways)].step(now, {r}));
    }
  }
  EXPECT_LT(late, calls / 10);
  EXPECT_GT(answered, 800 * kSeconds / 2 * 6 / 10);
}

TEST(QuotaSlices, ARequestLargerThanTheLocalStoreIsNotShutOutForEver) {
  Settings s = basic_settings();
  s.plans[0].burst = 10;
  s.gateway_count = 10;
  EngineDriver d2(s);
  RequestArrived r = EngineDriver::request("r", kMs, 9);
  r.gateway_set_size = 10;
  EXPECT_EQ(all<SendAttempt>(d2.step(kMs, {r})).size(), 1u);  // an even part holds one
  r.id = "s";
  r.units = 1;
  EXPECT_EQ(all<SendAttempt>(d2.step(2 * kMs, {r})).size(), 0u);  // and are in debt
}

TEST(QuotaSlices, UnitsSettledLaterAreTakenFromTheStore) {
  Settings s = basic_settings();
  s.settles_units_later = true;
  EngineDriver d(s);
  auto sent = all<SendAttempt>(d.arrive(kMs, "r"));
  AttemptEnded e;
  e.id = "r";
  e.endpoint = sent.at(0).endpoint;
  e.request_finished = true;
  e.billed_units = 6;  // guessed as one
  d.step(2 * kMs, {e});
  EXPECT_EQ(d.burst(3 * kMs, 12), 4);  // of the even part, ten
}

TEST(Ceiling, ARestartTakesTheQuotasBurstForSpentAndNoMore) {
  Settings s = basic_settings();
  s.plans[0].hard_limit_rate = 20;
  s.plans[0].hard_limit_burst = 32;  // twelve beyond the quota's burst, six of them our part
  EngineDriver d(s);
  EXPECT_EQ(d.burst(kMs, 8), 6);
  EXPECT_EQ(d.burst(101 * kMs, 3), 1);  // ten units a second is our part
}

TEST(Ceiling, ACustomerMetLongAfterTheStartHasItsWholePart) {
  Settings s = basic_settings();
  s.plans[0].hard_limit_rate = 20;
  s.plans[0].hard_limit_burst = 24;
  EngineDriver d(s);
  RequestArrived first = EngineDriver::request("other", kS);
  first.customer = "c2";
  d.step(kS, {first});
  EXPECT_EQ(d.burst(10 * kS, 10), 10);  // of twelve: nobody can have spent them since
}

TEST(Ceiling, HoldsWithADeadCounter) {
  Settings s = basic_settings();
  s.plans[0].rate = 1000;
  s.plans[0].burst = 1000;
  s.plans[0].hard_limit_rate = 20;
  s.plans[0].hard_limit_burst = 40;
  EngineDriver d(s);
  int sent = 0;
  for (int i = 0; i < 100; ++i) sent += d.burst(i * 50 * kMs, 4);
  EXPECT_LE(sent, 10 * 5 + 20);
  EXPECT_GE(sent, 40);
}

TEST(OpenCap, ElevenGatewaysDoNotEachTakeOnePlace) {
  Settings s = basic_settings();
  s.gateway_count = 11;
  s.plans[0].rate = s.plans[0].burst = 0;
  s.plans[0].max_concurrent_attempts = 2;
  int out = 0;
  for (int g = 0; g < 11; ++g) {
    s.gateway_index = g;
    EngineDriver d(s);
    for (int i = 0; i < 400; ++i) {  // heavy demand everywhere
      RequestArrived r = EngineDriver::request(label("x", i), i * kMs);
      r.gateway_set_size = 11;
      out += int(all<SendAttempt>(d.step(i * kMs, {r})).size());
    }
  }
  EXPECT_LE(out, 11 * 2);  // never more than the cap here
}

TEST(OpenCap, GatewaysTogetherStayUnderIt) {
  for (const auto& [cap, gateways] : {std::pair{2, 2}, {5, 2}, {7, 3}, {3, 4}}) {
    Settings s = basic_settings();
    s.gateway_count = gateways;
    s.plans[0].rate = s.plans[0].burst = 1000;
    s.plans[0].max_concurrent_attempts = cap;
    int out = 0;
    for (s.gateway_index = 0; s.gateway_index < gateways; ++s.gateway_index) {
      EngineDriver d(s);
      for (int i = 0; i < 20; ++i) {
        RequestArrived r = EngineDriver::request(label("x", i), kMs);
        r.gateway_set_size = gateways;
        out += int(all<SendAttempt>(d.step(kMs, {r})).size());
      }
    }
    EXPECT_LE(out, std::max(cap, gateways)) << cap << " over " << gateways;  // none is shut out, though
    EXPECT_GE(out, cap) << cap << " over " << gateways;
  }
}

TEST(OpenCap, ARefusalTellsWhenAnAttemptMayHaveEndedAndNotToComeBackAtOnce) {
  Settings s = basic_settings();
  s.plans[0].rate = s.plans[0].burst = 1000;
  s.plans[0].max_concurrent_attempts = 2;  // one at each of two gateways
  EngineDriver d(s);
  ASSERT_EQ(all<SendAttempt>(d.arrive(kMs, "one")).size(), 1u);
  const auto refused = all<RejectRequest>(d.arrive(2 * kMs, "two"));
  ASSERT_EQ(refused.size(), 1u);
  EXPECT_GE(refused[0].retry_after, 80 * kMs);  // a sixth of the aim, before there are answers
  EXPECT_LE(refused[0].retry_after, 165 * kMs);
}

TEST(Ceiling, ARefusalTellsWhenItsPartWillCoverTheRequest) {
  Settings s = basic_settings();
  s.plans[0].rate = s.plans[0].burst = 1000;
  s.plans[0].hard_limit_rate = 20;  // ten a second at each of two gateways
  s.plans[0].hard_limit_burst = 4;
  s.has_counter = false;
  EngineDriver d(s);
  Micros now = 10 * kS;
  std::vector<RejectRequest> refused;
  for (int i = 0; i < 40 && refused.empty(); ++i)
    refused = all<RejectRequest>(d.arrive(++now, label("r", i)));
  ASSERT_EQ(refused.size(), 1u);
  EXPECT_GE(refused[0].retry_after, 80 * kMs);
  EXPECT_LE(refused[0].retry_after, 100 * kMs);
}

// What one gateway lets in, and the one that takes its place at the same instant.
class HotRestartTest : public ::testing::Test {
 protected:
  Settings settings = basic_settings();
  std::optional<EngineDriver> before, after;
  void start() {
    before.emplace(settings);
    after.emplace(settings, EngineDriver::up({"a", "b", "c"}), 8);
  }
  void hand_over(Micros now) { after->step(now, {StateRestored{before->gateway().begin_hot_restart(now)}}); }
};

TEST_F(HotRestartTest, WhatIsSpentOfASliceStaysSpentAndTheOldProcessAdmitsNothingMore) {
  start();
  EXPECT_EQ(before->burst(kMs, 6), 6);  // of the even part, ten
  hand_over(2 * kMs);
  EXPECT_EQ(before->burst(3 * kMs, 5), 0);
  EXPECT_EQ(after->burst(3 * kMs, 10), 4);
}

TEST_F(HotRestartTest, ACeilingHoldsOverBothWithWhatStillWaits) {
  settings.plans[0].rate = settings.plans[0].burst = 1000;
  settings.plans[0].hard_limit_rate = 0.001;
  settings.plans[0].hard_limit_burst = 1012;  // six of what lies beyond the burst are our part
  start();
  EXPECT_EQ(before->burst(kMs, 4), 4);
  hand_over(2 * kMs);
  EXPECT_EQ(after->burst(3 * kMs, 5), 2);
}

TEST_F(HotRestartTest, AttemptsOutCountForTheOpenCapUntilThePredecessorTellsOfNone) {
  settings.plans[0].rate = settings.plans[0].burst = 1000;
  settings.plans[0].max_concurrent_attempts = 4;  // two of them our part
  start();
  EXPECT_EQ(all<SendAttempt>(before->arrive(kMs, "x")).size(), 1u);
  hand_over(2 * kMs);
  EXPECT_EQ(all<SendAttempt>(after->arrive(3 * kMs, "y")).size(), 1u);
  EXPECT_EQ(all<SendAttempt>(after->arrive(3 * kMs, "z")).size(), 0u);
  after->step(4 * kMs, {PredecessorAttempts{{}}});
  EXPECT_EQ(all<SendAttempt>(after->arrive(5 * kMs, "w")).size(), 1u);
}

TEST_F(HotRestartTest, AColdServersBudgetIsNotSpentTwice) {
  settings.slow_start_min_capacity = 0.2;
  settings.slow_start_duration = 20 * kS;
  settings.slow_start_overload_factor = 3;
  settings.slow_start_window = 2 * kS;
  auto cold = EngineDriver::up({"a"});
  cold[0].started_at = kMs;
  before.emplace(settings, cold);
  after.emplace(settings, cold, 8);
  EXPECT_EQ(before->burst(2 * kMs, 3), 1);
  hand_over(3 * kMs);
  EXPECT_EQ(after->burst(4 * kMs, 3), 0);
}

TEST_F(HotRestartTest, FiguresOfAnotherBuildAreLeftAndAGatewayTakesItsPlaceBack) {
  start();
  before->burst(kMs, 6);
  HotRestartState state = before->gateway().begin_hot_restart(2 * kMs);
  state.customers["c1"].second.pop_back();
  state.endpoints["a"].pop_back();
  state.fleet.clear();
  after->step(2 * kMs, {StateRestored{state}});
  EXPECT_EQ(after->burst(3 * kMs, 12), 10);
  before->step(4 * kMs, {HotRestartAborted{}});
  EXPECT_EQ(before->burst(5 * kMs, 10), 4);
}

TEST(Rules, NothingGoesToADrainingOrRemovedServer) {
  EngineDriver d;
  EndpointListUpdate u;
  u.kind = EndpointListUpdate::Kind::kPartial;
  u.entries = EngineDriver::up({"a", "b"});
  u.entries[0].state = EndpointState::kDraining;
  u.entries[1].state = EndpointState::kRemoved;
  d.step(kMs, {u});
  for (int i = 0; i < 5; ++i)
    for (const SendAttempt& a : all<SendAttempt>(d.arrive(2 * kMs, label("r", i))))
      EXPECT_EQ(a.endpoint, "c");
}

TEST(Rules, NothingGoesToAServerDisabledByHandAndItComesBackCold) {
  Settings s = basic_settings();
  s.slow_start_min_capacity = 0.2;
  s.slow_start_duration = 20 * kS;
  s.slow_start_overload_factor = 3;
  s.slow_start_window = 2 * kS;
  EngineDriver d(s, EngineDriver::up({"a"}));
  d.step(kMs, {AdminStateChanged{"a", true}});
  EndpointListUpdate again;
  again.entries = EngineDriver::up({"a"});
  d.step(2 * kMs, {again, AdminStateChanged{"a", true}});
  EXPECT_EQ(d.burst(3 * kMs, 5), 0);
  d.step(10 * kS, {AdminStateChanged{"a", false}});
  EXPECT_EQ(d.burst(10 * kS + kMs, 5), 1);           // a cold one, not yet told of as restarted
  d.step(40 * kS, {AdminStateChanged{"a", false}});  // a second call back changes nothing
  EXPECT_EQ(d.burst(40 * kS + kMs, 5), 5);
}

TEST(Rules, AnEmptyServerListStillAnswersEveryRequestInTime) {
  EngineDriver d(basic_settings(), {});
  auto out = d.arrive(kMs, "r");
  auto more = d.run(2 * kS);
  out.insert(out.end(), more.begin(), more.end());
  EXPECT_EQ(all<RejectRequest>(out).size(), 1u);
  EXPECT_TRUE(all<FailRequest>(out).empty());
}

Settings keyed_settings(Idempotency repeat) {
  Settings s = basic_settings();
  s.classes[0].idempotency = repeat;
  s.classes[0].dedup_scope = DedupScope::kCell;
  s.classes[0].dedup_window = 8 * kS;
  s.classes[0].late_weight = 0.2;
  return s;
}

TEST(Rules, AKeyedRequestThatMayHaveRunIsResentOnlyInItsCell) {
  auto servers = EngineDriver::up({"a", "b", "c", "d"});
  for (int i = 0; i < 4; ++i) servers[std::size_t(i)].cell = i / 2;
  EngineDriver d(keyed_settings(Idempotency::kByKey), servers);
  auto first = all<SendAttempt>(d.arrive(kMs, "r"));
  ASSERT_EQ(first.size(), 1u);
  auto out = d.end(50 * kMs, first[0], Outcome::kReset);
  auto second = all<SendAttempt>(out);
  ASSERT_EQ(second.size(), 1u);
  auto cell = [](const std::string& n) { return n == "a" || n == "b"; };
  EXPECT_EQ(cell(first[0].endpoint), cell(second[0].endpoint));
}

TEST(Rules, AKeyedRequestThatMayHaveRunIsFailedNotRefused) {
  Settings s = keyed_settings(Idempotency::kByKey);
  s.max_attempts = 1;
  EngineDriver d(s);
  auto sent = all<SendAttempt>(d.arrive(kMs, "r"));
  auto out = d.end(50 * kMs, sent.at(0), Outcome::kReset);
  EXPECT_EQ(all<FailRequest>(out).size(), 1u);
  EXPECT_TRUE(all<RejectRequest>(out).empty());
}

TEST(Rules, AKeyedRetryWhoseSenderIsHeldUpStillArrivesWithinItsWindow) {
  // A gateway may be held up for 150 ms between reading its clock and writing, after a connection that came
  // up as late as allowed.
  Settings s = basic_settings();
  s.classes[0].idempotency = Idempotency::kByKey;
  s.classes[0].dedup_scope = DedupScope::kAll;
  s.classes[0].dedup_window = kS;
  s.classes[0].latency_objective = s.classes[0].client_timeout = 2 * kS;
  s.connect_timeout = 250 * kMs;
  for (const Micros at : {550 * kMs, 650 * kMs}) {
    EngineDriver d(s);
    const auto first = all<SendAttempt>(d.arrive(kMs, "r"));
    const auto again = all<SendAttempt>(d.end(kMs + at, first.at(0), Outcome::kReset));
    EXPECT_EQ(again.size(), at + s.connect_timeout + 150 * kMs < s.classes[0].dedup_window ? 1u : 0u) << at;
  }
}

TEST(Rules, AnUnsafeRequestIsRetriedOnlyWhenItNeverRan) {
  for (Outcome o : {Outcome::kTimeout, Outcome::kReset, Outcome::kError, Outcome::kCancelled}) {
    EngineDriver d(keyed_settings(Idempotency::kNonIdempotent));
    auto sent = all<SendAttempt>(d.arrive(kMs, "r"));
    auto out = d.end(50 * kMs, sent.at(0), o);
    EXPECT_TRUE(all<SendAttempt>(out).empty());
    EXPECT_EQ(all<FailRequest>(out).size(), 1u);
  }
  EngineDriver d(keyed_settings(Idempotency::kNonIdempotent));
  auto sent = all<SendAttempt>(d.arrive(kMs, "r"));
  EXPECT_EQ(all<SendAttempt>(d.end(50 * kMs, sent.at(0), Outcome::kConnectFailed)).size(), 1u);
}

TEST(Rules, AColdServerGetsNoMoreThanOneRequestAWindowBeforePeersAreObserved) {
  Settings s = basic_settings();
  s.slow_start_min_capacity = 0.2;
  s.slow_start_duration = 15 * kS;
  s.slow_start_overload_factor = 2;
  s.slow_start_window = kS;
  auto servers = EngineDriver::up({"a"});
  servers[0].started_at = 1;
  EngineDriver d(s, servers);
  d.burst(kMs, 5);
  EXPECT_EQ(all<SendAttempt>(d.log()).size(), 1u);
}

TEST(Rules, OutcomesTimersAndDeparturesOfEndedRequestsAreIgnored) {
  EngineDriver d;
  auto sent = all<SendAttempt>(d.arrive(kMs, "r"));
  d.end(2 * kMs, sent.at(0), Outcome::kOk);
  auto out = d.end(3 * kMs, sent[0], Outcome::kTimeout);
  EXPECT_TRUE(all<SendAttempt>(out).empty());
  EXPECT_TRUE(
      d.step(4 * kMs, {RequestCancelled{"r"}, RequestCancelled{"never seen"}, TimerFired{987654}}).empty());
  auto late = d.run(2 * kS);
  EXPECT_TRUE(all<SendAttempt>(late).empty());
  EXPECT_TRUE(all<RejectRequest>(late).empty());
}

TEST(Attempts, AStalledServerIsLeftForAnotherBeforeTheAim) {
  Settings s = basic_settings();
  s.plans[0].rate = s.plans[0].burst = 1000;
  EngineDriver d(s);
  for (int i = 0; i < 30; ++i)
    d.end(0, all<SendAttempt>(d.arrive(0, label("usual", i))).at(0), Outcome::kOk, 0, 20 * kMs);
  auto sent = all<SendAttempt>(d.arrive(kMs, "r"));
  auto out = d.run(450 * kMs);
  ASSERT_EQ(all<CancelAttempt>(out).size(), 1u);
  auto again = all<SendAttempt>(d.end(451 * kMs, sent.at(0), Outcome::kCancelled));
  ASSERT_EQ(again.size(), 1u);
  EXPECT_NE(again[0].endpoint, sent[0].endpoint);
}

TEST(Attempts, OneQuickAnswerDoesNotMakeTheNextAttemptsLookStalled) {
  EngineDriver d;
  auto quick = all<SendAttempt>(d.arrive(0, "quick"));
  d.end(0, quick.at(0), Outcome::kOk, 0, 5 * kMs);
  ASSERT_EQ(all<SendAttempt>(d.arrive(kMs, "r")).size(), 1u);
  // Its work may well be the fivefold of a sixth of the aim.
  EXPECT_TRUE(all<CancelAttempt>(d.run(400 * kMs)).empty());
}

TEST(Servers, FailuresInARowEject) {
  EngineDriver d;
  std::set<std::string> seen;
  for (int i = 0; i < 30; ++i) {
    auto out = d.arrive(i * 20 * kMs, label("r", i));
    for (int n = 0; n < 3; ++n) {
      auto sent = all<SendAttempt>(out);
      if (sent.empty()) break;
      if (i >= 20) seen.insert(sent[0].endpoint);
      out = d.end(i * 20 * kMs + 1, sent[0], sent[0].endpoint == "a" ? Outcome::kConnectFailed : Outcome::kOk,
                  n);
    }
  }
  EXPECT_FALSE(seen.count("a"));
}

TEST(Servers, OneThatFailsWhatItGetsAtOnceIsNotTakenForQuick) {
  Settings s = basic_settings();
  s.plans[0].rate = s.plans[0].burst = 1000;
  EngineDriver d(s);
  int failed = 0;
  for (int i = 0; i < 100; ++i) {
    const Micros now = i * 20 * kMs;
    auto out = d.arrive(now, label("r", i));
    for (int n = 0; n < 3; ++n) {
      const auto sent = all<SendAttempt>(out);
      if (sent.empty()) break;
      const bool fails = sent[0].endpoint == "a";
      failed += fails;
      out = d.end(now + (fails ? kMs : 15 * kMs), sent[0], fails ? Outcome::kError : Outcome::kOk, n,
                  fails ? kMs : 15 * kMs);
    }
  }
  EXPECT_LE(failed, 4);  // of 100: three until it is left, and one trial
}

TEST(Overload, ServersAreNotHandedMoreThanTheyCanHold) {
  Settings s = basic_settings();
  s.plans[0].rate = s.plans[0].burst = 1000;
  EngineDriver d(s);
  std::size_t sent = 0;
  for (int i = 0; i < 200; ++i) sent += all<SendAttempt>(d.arrive(kMs, label("r", i))).size();
  EXPECT_LE(sent, 8u);  // five a server over two gateways
  auto out = d.run(2 * kS);
  EXPECT_EQ(all<RejectRequest>(out).size() + sent + all<CancelAttempt>(out).size(),
            200u + all<CancelAttempt>(out).size());
}

// Far more demand than one gateway's servers take, for `steps` of 10 ms. Each attempt is answered after the
// time that `answer` gives for its number. The most attempts that were out at once in the last tenth.
template <typename Answer>
int most_out(EngineDriver& d, int steps, Answer answer) {
  struct Out {
    SendAttempt attempt;
    Micros sent, until;
  };
  std::vector<Out> out;
  int number = 0, most = 0;
  auto take = [&](Micros now, const std::vector<Action>& actions) {
    for (const SendAttempt& a : all<SendAttempt>(actions)) out.push_back({a, now, now + answer(number++)});
  };
  for (int i = 1; i <= steps; ++i) {
    const Micros now = kS + i * 10 * kMs;  // the servers have stood idle before
    take(now, d.run(now));
    std::vector<Out> due;
    for (const Out& o : out)
      if (o.until <= now) due.push_back(o);
    std::erase_if(out, [&](const Out& o) { return o.until <= now; });
    for (const Out& o : due) take(now, d.end(now, o.attempt, Outcome::kOk, 0, now - o.sent));
    for (int k = 0; k < 8; ++k) take(now, d.arrive(now, label("m", i) + label("-", k)));
    if (i > steps * 9 / 10) most = std::max(most, int(out.size()));
  }
  return most;
}

TEST(Overload, LateAnswersCutTheLimitBeforeTheIdleTimeIsLearnt) {
  Settings s = basic_settings();
  s.gateway_count = 1;
  s.plans[0].rate = s.plans[0].burst = 1e6;
  EngineDriver late(s), idle(s);
  // At most 120 answers in six seconds, after 0.8 of the aim, and after a tenth of it.
  const int most = most_out(late, 600, [](int) { return 400 * kMs; });
  EXPECT_LE(most, 12);
  EXPECT_GT(most_out(idle, 150, [](int) { return 50 * kMs; }), most);
}

TEST(Overload, TheFirstAndFastestAnswersAreNotTakenForTheIdleTime) {
  Settings s = basic_settings();
  s.gateway_count = 1;
  s.plans[0].rate = s.plans[0].burst = 1e6;
  EngineDriver d(s);
  // The quick requests of the first moment are answered first; the usual one takes twice as long.
  EXPECT_GT(most_out(d, 600, [](int n) { return (n < 40 ? 20 : 40) * kMs; }), 18);
}

TEST(Overload, ServersThatAllLookSlowByTheirUnitsStillHaveTheirPartsOfTheLimit) {
  Settings s = basic_settings();
  s.gateway_count = 2;
  s.plans[0].rate = s.plans[0].burst = 1e6;
  EngineDriver d(s, EngineDriver::up({"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}));
  // Small requests take as long as large ones: answers over what units let expect come to more than one.
  Micros now = kS;
  for (int i = 0; i < 400; ++i, now += 50 * kMs) {
    d.run(now);
    for (const SendAttempt& a : all<SendAttempt>(d.arrive(now, label("r", i), i % 2 ? 1 : 3)))
      d.end(now + 40 * kMs, a, Outcome::kOk, 0, 40 * kMs);
  }
  std::size_t sent = 0;
  for (int i = 0; i < 40; ++i) sent += all<SendAttempt>(d.arrive(now, label("f", i), 2)).size();
  EXPECT_GT(sent, 15u);  // ten on average, and what chance may add; not one a server
}

TEST(Servers, AFullAnswerForOnePlanIsTriedElsewhereAndCutsNoLimit) {
  Settings s = basic_settings();
  s.plans[0].rate = s.plans[0].burst = 1000;
  EngineDriver d(s);
  int served = 0;
  for (int i = 0; i < 100; ++i) {
    auto out = d.arrive(i * 50 * kMs, label("r", i));
    for (int n = 0; n < 3; ++n) {
      auto sent = all<SendAttempt>(out);
      if (sent.empty()) break;
      const bool full = sent[0].endpoint != "c";  // a and b turn the plan away
      served += !full;
      out = d.end(i * 50 * kMs + 1 + n, sent[0], full ? Outcome::kOverloaded : Outcome::kOk, n);
    }
  }
  EXPECT_EQ(served, 100);
}

TEST(Servers, ManyGatewaysThatSawTheSameReportDoNotAllPickOneServer) {
  Settings s = basic_settings();
  s.gateway_count = 300;
  s.plans[0].rate = s.plans[0].burst = 1e6;
  std::map<std::string, int> picked;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    EngineDriver d(s, EngineDriver::up({"a", "b", "c", "d"}), seed);
    std::set<std::string> told;
    for (int i = 0; i < 100 && told.size() < 4; ++i) {
      auto sent = all<SendAttempt>(d.arrive(kS + i * kMs, label("r", i)));
      if (sent.empty()) continue;
      AttemptEnded e;
      e.id = sent[0].id;
      e.endpoint = sent[0].endpoint;
      e.duration = kMs;
      e.request_finished = true;
      e.load.in_flight = e.endpoint == "a" ? 1 : 4;  // a looks idle to everybody
      told.insert(e.endpoint);
      d.step(kS + i * kMs, {e});
    }
    for (const SendAttempt& a : all<SendAttempt>(d.arrive(1200 * kMs, "last"))) ++picked[a.endpoint];
  }
  EXPECT_GT(picked["a"], 15);
  EXPECT_LT(picked["a"], 45);
}

TEST(Servers, OneOfManyGatewaysStaysWithServersThatItIsConnectedTo) {
  Settings s = basic_settings();
  s.gateway_count = 40;
  std::vector<std::string> names;
  for (int i = 0; i < 24; ++i) names.push_back(label("s", i));
  EngineDriver d(s, EngineDriver::up(names));
  std::set<std::string> used;
  for (int i = 0; i < 60; ++i) {
    const Micros now = i * 200 * kMs;
    for (const SendAttempt& a : all<SendAttempt>(d.arrive(now, label("r", i)))) {
      used.insert(a.endpoint);
      d.end(now + 20 * kMs, a, Outcome::kOk, 0, 20 * kMs);
    }
  }
  EXPECT_LE(used.size(), 16u);  // of 24; a fresh draw each time reaches them all
}

// One of 300 gateways sends eight attempts a second to 160 servers. In a draw of a few of them there is
// seldom one of those that it was connected to within five seconds.
TEST(Servers, OneOfManyGatewaysReusesItsConnectionsAlsoWhereServersAreMany) {
  Settings s = basic_settings();
  s.gateway_count = 300;
  s.plans[0].rate = s.plans[0].burst = 1e6;
  std::vector<std::string> names;
  for (int i = 0; i < 160; ++i) names.push_back(label("s", i));
  EngineDriver d(s, EngineDriver::up(names));
  std::map<std::string, Micros> used;
  int attempts = 0, connected = 0;
  for (int i = 0; i < 400; ++i) {
    const Micros now = i * 125 * kMs;
    for (const SendAttempt& a : all<SendAttempt>(d.arrive(now, label("r", i)))) {
      const auto last = used.find(a.endpoint);
      if (i >= 80) ++attempts, connected += last != used.end() && now - last->second < 5 * kS;
      used[a.endpoint] = now;
      d.end(now + 100 * kMs, a, Outcome::kOk, 0, 100 * kMs);
    }
  }
  EXPECT_GT(connected, attempts * 3 / 4);
  EXPECT_GT(used.size(), 12u);  // and they are not all the same few
}

// What a fleet of gateways, each with little to send, sends to 12 cold servers over what would be their part
// by the capacity that they have at the least, beside 8 warm ones. Each answer takes 100 ms.
double cold_part(int gateways, Micros between) {
  Settings s = basic_settings();
  s.gateway_count = gateways;
  s.plans[0].rate = s.plans[0].burst = 1e6;
  s.slow_start_min_capacity = 0.21;
  s.slow_start_duration = 18 * kS;
  s.slow_start_overload_factor = 3;
  s.slow_start_window = 2 * kS;
  constexpr Micros kJoin = 5 * kS, kEnd = 11 * kS;
  std::vector<EndpointEntry> fresh;
  for (int i = 0; i < 12; ++i) {
    fresh.push_back({});
    fresh.back().endpoint = label("new", i);
    fresh.back().started_at = kJoin;
  }
  std::vector<std::string> old;
  for (int i = 0; i < 8; ++i) old.push_back(label("old", i));
  double to_cold = 0, all_sent = 0, fair = 0;
  for (int g = 0; g < gateways; ++g) {
    s.gateway_index = g;
    EngineDriver d(s, EngineDriver::up(old), std::uint64_t(g + 1));
    bool joined = false;
    for (Micros now = kS + g * between / gateways; now < kEnd; now += between) {
      if (now >= kJoin && !std::exchange(joined, true)) {
        EndpointListUpdate list;
        list.kind = EndpointListUpdate::Kind::kPartial;
        list.entries = fresh;
        d.step(now, {list});
      }
      auto sent = d.run(now);
      auto more = d.arrive(now, label("r", now));
      sent.insert(sent.end(), more.begin(), more.end());
      for (const SendAttempt& a : all<SendAttempt>(sent)) {
        const double warmth = 0.21 + 0.79 * double(now - kJoin) / double(s.slow_start_duration);
        if (joined) {
          ++all_sent;
          to_cold += a.endpoint[0] == 'n';
          fair += 12 * warmth / (12 * warmth + 8);
        }
        d.end(now + 100 * kMs, a, Outcome::kOk, 0, 100 * kMs);
      }
    }
  }
  EXPECT_GT(all_sent, 0.9 * gateways * double(kEnd - kJoin) / double(between));
  return to_cold / fair;
}

TEST(Servers, AFleetOfGatewaysGivesColdServersWhatTheyCanBear) {
  const double part = cold_part(300, 2 * kS);
  EXPECT_GT(part, 0.5);  // idle ones beside full warm ones
  EXPECT_LT(part, 1.5);
}

// So many gateways with traffic of one to some ten requests a second for each thirty, six warm servers and
// two that start cold; two in three gateways start anew right after that and know of no load yet; one attempt
// in four is turned away and tried again, of those at warm servers the given share from then on. The most
// that a cold server got in a window, against what it may get from all together, its budget being reckoned
// from what a warm one bears.
double most_at_a_cold_server(int gateways, std::uint64_t seed, Micros restart, double turned_away,
                             Micros quiet = 0) {
  constexpr int kWarm = 6;
  constexpr Micros kQuietFrom = 8 * kS;
  const Micros kJoin = kQuietFrom + quiet, kEnd = kJoin + 12 * kS;
  Settings s = basic_settings();
  s.gateway_count = gateways;
  s.plans[0].rate = s.plans[0].burst = 1e6;
  s.slow_start_min_capacity = 0.21;
  s.slow_start_duration = 18 * kS;
  s.slow_start_overload_factor = 3;
  s.slow_start_window = 2 * kS;
  std::vector<EndpointEntry> fresh = EngineDriver::up({"new1", "new2"});
  for (EndpointEntry& e : fresh) e.started_at = kJoin;
  std::vector<EndpointEntry> old = EngineDriver::up({"old1", "old2", "old3", "old4", "old5", "old6"}),
                             all_of = old;
  all_of.insert(all_of.end(), fresh.begin(), fresh.end());
  std::mt19937_64 random(seed);
  std::uniform_real_distribution<double> chance(0, 1);
  std::map<std::string, std::vector<Micros>> to_cold;
  int to_warm = 0;
  for (int g = 0; g < gateways; ++g) {
    s.gateway_index = g;
    const double rate = std::exp(2.3 * chance(random)) * 30 / gateways;
    std::optional<EngineDriver> d;
    d.emplace(s, old, seed * 1000 + std::uint64_t(g));
    bool joined = false, anew = false;
    for (Micros now = kS; now < kEnd; now += Micros(-std::log(1 - chance(random)) / rate * double(kS))) {
      if (now >= kQuietFrom && now < kJoin) now = kJoin + Micros(chance(random) * double(kS));
      if (now >= kJoin && !std::exchange(joined, true)) {
        EndpointListUpdate list;
        list.kind = EndpointListUpdate::Kind::kPartial;
        list.entries = fresh;
        d->run(now - 1);
        d->step(now, {list});
      }
      if (g % 3 && now >= kJoin + restart && !std::exchange(anew, true))
        d.emplace(s, all_of, seed * 1000 + 500 + std::uint64_t(g));
      auto out = d->run(now);
      auto more = d->arrive(now, label("r", now));
      out.insert(out.end(), more.begin(), more.end());
      std::map<std::string, int> attempts;
      for (std::size_t i = 0; i < out.size(); ++i) {
        const auto* const found = std::get_if<SendAttempt>(&out[i]);
        if (!found) continue;
        const SendAttempt a = *found;
        if (a.endpoint[0] == 'n') to_cold[a.endpoint].push_back(now);
        to_warm += a.endpoint[0] == 'o' && now < kJoin;
        const double share = a.endpoint[0] == 'o' && now >= kJoin ? turned_away : 0.25;
        const Outcome o = chance(random) < share ? Outcome::kOverloaded : Outcome::kOk;
        auto next = d->end(now + 100 * kMs, a, o, attempts[a.id]++, 100 * kMs);
        out.insert(out.end(), next.begin(), next.end());
      }
    }
  }
  const double bears = double(to_warm) / kWarm / (double(kQuietFrom - kS) / kS);  // a second
  double worst = 0;
  for (auto& [server, sends] : to_cold) {
    std::sort(sends.begin(), sends.end());
    for (std::size_t i = 0, first = 0; i < sends.size(); ++i) {
      while (sends[i] - sends[first] >= s.slow_start_window) ++first;
      const double warmth = 0.21 + 0.79 * double(sends[first] - kJoin) / double(s.slow_start_duration);
      const double n = s.slow_start_overload_factor * warmth * bears * double(s.slow_start_window) / kS;
      worst = std::max(worst, double(i - first + 1) / (n + 2 * std::sqrt(n) + 2));
    }
  }
  return worst;
}

TEST(Servers, AFleetSendsAColdServerNoMoreThanItsBudgetAlsoWhileGatewaysStartAnew) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed)
    for (const Micros restart : {300 * kMs, 2 * kS})
      for (const double turned_away : {0.25, 0.9}) {
        const double worst = most_at_a_cold_server(30, seed, restart, turned_away);
        EXPECT_LE(worst, 1) << seed << " " << restart << " " << turned_away;
        EXPECT_GT(worst, 0.2) << seed << " " << restart << " " << turned_away;  // and it is not left alone
      }
}

TEST(Servers, AFleetThatWakesAfterALongQuietSendsAColdServerNoMoreThanItsBudget) {
  for (const int gateways : {30, 300, 900})
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      const double worst = most_at_a_cold_server(gateways, seed, 2 * kS, 0.25, 60 * kS);
      EXPECT_LE(worst, 1) << gateways << " " << seed;
      std::printf("%d gateways, seed %d: %.2f of the budget\n", gateways, int(seed), worst);
    }
}

TEST(Servers, AFleetOfHundredsTurnedAwayElsewhereSendsAColdServerNoMoreThanItsBudget) {
  for (const int gateways : {300, 900})
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      const double worst = most_at_a_cold_server(gateways, seed, 300 * kMs, 0.9);
      EXPECT_LE(worst, 1) << gateways << " " << seed;
      EXPECT_GT(worst, 0.1) << gateways << " " << seed;  // and it is not left alone
    }
}

// Whether a server that is told of at `told` with this note of its start is spared at `at`, as one in slow
// start is whose budget has nothing observed behind it.
bool is_spared(Micros wall_offset, Micros note, Micros told, Micros at) {
  Settings s = basic_settings();
  s.plans[0].rate = s.plans[0].burst = 1e6;
  s.slow_start_min_capacity = 0.2;
  s.slow_start_duration = 15 * kS;
  s.slow_start_overload_factor = 2;
  s.slow_start_window = kS;
  EngineDriver d(s, EngineDriver::up({"old"}));
  d.step(20 * kS, {EndpointListUpdate{EndpointListUpdate::Kind::kPartial, {}}});
  d.step(told - 1, {WallClockStepped{wall_offset}});
  EndpointListUpdate list;
  list.entries = EngineDriver::up({"new"});
  list.entries[0].started_at = note;
  d.step(told, {list});
  std::size_t sent = 0;
  for (int i = 0; i < 5; ++i) sent += all<SendAttempt>(d.arrive(at + i, label("r", i))).size();
  return sent < 2;
}

TEST(Servers, SlowStartFollowsRealTimeHoweverTheWallClockIsStepped) {
  constexpr Micros kHour = 3600 * kS, kTold = kHour;
  for (const Micros step : {-kHour, -5 * kS, Micros(0), 5 * kS, kHour}) {
    const Micros note = kTold - kS;  // by the clock before it was stepped
    EXPECT_TRUE(is_spared(step, note, kTold, kTold + kS)) << step;
    EXPECT_TRUE(is_spared(step, note, kTold, kTold + 10 * kS)) << step;
    EXPECT_FALSE(is_spared(step, note, kTold, kTold + 15 * kS)) << step;
  }
}

TEST(Servers, OnesOwnPauseIsNotReadAsSlowServers) {
  Settings s = basic_settings();
  s.plans[0].rate = s.plans[0].burst = 1e6;
  EngineDriver d(s);
  Micros now = kS;
  std::size_t sent = 0;
  for (int k = 0; k < 200; ++k, now += 20 * kMs) {
    auto out = all<SendAttempt>(d.arrive(now, label("r", k)));
    sent += out.size();
    // Every second answer is found a second late, and says that it took 10 ms.
    for (const SendAttempt& a : out) {
      if (k % 2) now += kS;
      d.end(now, a, Outcome::kOk, 0, 10 * kMs);
    }
  }
  EXPECT_EQ(sent, 200u);
}

TEST(Overload, AGatewayWithMoreGatewaysThanServersMaySendMoreThanOneAtATime) {
  Settings s = basic_settings();
  s.gateway_count = 300;
  s.plans[0].rate = s.plans[0].burst = 1e6;
  EngineDriver d(s);
  EXPECT_EQ(all<SendAttempt>(d.arrive(kS, "one")).size(), 1u);
  EXPECT_EQ(all<SendAttempt>(d.arrive(kS, "two")).size(), 1u);
}

TEST(Module, BadInputNeitherCrashesNorLosesARequest) {
  Settings s = counted_settings();
  s.gateway_count = 0;
  EngineDriver d(s);
  std::vector<Event> events;
  for (int i = 0; i < 1000; ++i) {
    RequestArrived r = EngineDriver::request(label("r", i), kS);
    r.gateway_set_size = i % 3 ? 1000 : -5;
    r.first_gateway_index = i % 2 ? -7 : 900;
    r.units = i % 5 ? 1 : 0;
    r.customer = label("c", i % 50);
    events.push_back(r);
  }
  auto out = d.step(kS, events);
  auto sent = all<SendAttempt>(out);
  ASSERT_FALSE(sent.empty());
  AttemptEnded e;
  e.id = sent[0].id;
  e.endpoint = sent[0].endpoint;
  e.request_finished = true;
  e.duration = -5;
  e.load.in_flight = 1e30;
  e.load.queued = -3;
  auto more = d.step(kS + kMs, {e, CounterReply{}, ProbeEnded{}, EndpointListUpdate{}});
  out.insert(out.end(), more.begin(), more.end());
  auto rest = d.run(4 * kS);
  out.insert(out.end(), rest.begin(), rest.end());
  std::map<std::string, int> answers;
  for (const RejectRequest& r : all<RejectRequest>(out)) ++answers[r.id];
  for (const FailRequest& f : all<FailRequest>(out)) ++answers[f.id];
  for (const auto& [id, n] : answers) EXPECT_EQ(n, 1) << id;
  std::set<std::string> attempted;
  for (const SendAttempt& a : all<SendAttempt>(out)) attempted.insert(a.id);
  for (int i = 0; i < 1000; ++i)
    EXPECT_TRUE(answers.count(label("r", i)) || attempted.count(label("r", i))) << i;
}

TEST(Module, ARequestOfImpossibleUnitsMakesNoOtherLookLikeNoWork) {
  Settings s = basic_settings();
  s.allow_cancel = false;  // so that an attempt that takes long is only looked at
  s.max_request_units = 4;
  EngineDriver d(s);
  d.arrive(0, "large", 100);
  RequestArrived usual = EngineDriver::request("usual", kMs);
  usual.customer = "c2";
  ASSERT_EQ(all<SendAttempt>(d.step(kMs, {usual})).size(), 1u);
  // Left without an answer, it is looked at a few times until its client gives up, beside the looks each
  // second.
  EXPECT_LT(all<SetTimer>(d.run(500 * kMs)).size(), 20u);
}

TEST(Module, AThousandGatewaysAndServersAreNoneTooMany) {
  constexpr int kThousand = 1024;
  Settings s = counted_settings();
  s.gateway_count = kThousand;
  s.gateway_index = kThousand - 1;
  std::vector<std::string> names;
  for (int i = 0; i < kThousand; ++i) names.push_back(label("s", i));
  EngineDriver d(s, EngineDriver::up(names));
  Totals totals;
  std::set<std::string> used;
  std::set<std::int64_t> counted;
  Micros now = kS;
  for (int i = 0; i < 2 * kThousand; ++i, now += kS) {
    RequestArrived r = EngineDriver::request(label("r", i), now);
    r.customer = label("c", i);
    r.gateway_set_size = kThousand;
    r.first_gateway_index = i % kThousand;
    auto todo = d.step(now, {r});
    ASSERT_EQ(all<IncrementCounter>(todo).size(), 1u) << i;
    const auto call = all<IncrementCounter>(todo)[0];
    counted.insert(call.name);
    const auto sent = all<SendAttempt>(d.step(now, {totals.answer(call)}));
    ASSERT_EQ(sent.size(), 1u) << i;
    used.insert(sent[0].endpoint);
    d.end(now, sent[0], Outcome::kOk);
    d.run(now + kS / 2);
  }
  EXPECT_EQ(counted.size(), 2u * kThousand);
  EXPECT_GT(used.size(), 500u);  // a fresh draw each time would reach some 880
  EXPECT_EQ(d.gateway().count_endpoints(now).listed, std::size_t(kThousand));
  EndpointListUpdate none;
  d.step(now, {none});
  EXPECT_EQ(d.gateway().count_endpoints(now).listed, 0u);
}

// Seconds of processor time that a thousand requests take among so many servers.
double cpu_of_a_thousand_requests(int servers) {
  Settings s = basic_settings();
  s.gateway_count = 300;
  s.plans[0].rate = s.plans[0].burst = 1e6;
  std::vector<std::string> names;
  for (int i = 0; i < servers; ++i) names.push_back(label("s", i));
  EngineDriver d(s, EngineDriver::up(names));
  const std::clock_t began = std::clock();
  Micros now = kS;
  for (int i = 0; i < 1000; ++i, now += 30 * kMs) {
    for (const SendAttempt& a : all<SendAttempt>(d.arrive(now, label("r", i))))
      d.end(now + 10 * kMs, a, Outcome::kOk, 0, 10 * kMs);
    d.run(now + 20 * kMs);
  }
  return double(std::clock() - began) / CLOCKS_PER_SEC;
}

TEST(Module, SixteenTimesTheServersTakeLittleMoreProcessorTime) {
  const double usual = cpu_of_a_thousand_requests(200), many = cpu_of_a_thousand_requests(3200);
  EXPECT_LE(many, 1.4 * usual + 0.02 + 0.03 * 3.2);
}

TEST(Module, UnknownPlanAndClassAreStillServed) {
  EngineDriver d;
  RequestArrived r = EngineDriver::request("x", 0);
  r.plan = "no such plan";
  r.request_class = "no such class";
  r.gateway_set_size = 0;
  EXPECT_EQ(all<SendAttempt>(d.step(0, {r})).size(), 1u);
}

TEST(Module, SameEventsSameActions) {
  auto play = [] {
    EngineDriver d;
    for (int i = 0; i < 50; ++i) d.burst(i * 30 * kMs, 3);
    d.run(3 * kS);
    std::vector<std::string> out;
    for (const SendAttempt& a : all<SendAttempt>(d.log())) out.push_back(a.id + a.endpoint);
    return out;
  };
  EXPECT_EQ(play(), play());
}

}  // namespace
}  // namespace quota_gateway
