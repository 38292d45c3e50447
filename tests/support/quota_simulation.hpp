// Gateways that share a customer's quota through a counter, played in the test's own time.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "support/engine_harness.hpp"

namespace quota_gateway::testing {

// The counter that gateways share.
class SharedCounter {
 public:
  CounterReply increment(const IncrementCounter& call) {
    CounterReply reply;
    reply.name = call.name;
    reply.duration = kMillisecond;
    reply.outcome = CounterOutcome::kOk;
    reply.total = totals_[call.name] += call.amount;
    return reply;
  }

 private:
  std::map<std::int64_t, double> totals_;
};

// Answers the engine's counter calls and serves its attempts at once; returns how many attempts there were.
inline int settle(TimePoint now, EngineHarness& engine, SharedCounter& counter, std::vector<Action> actions) {
  int attempts = 0;
  for (std::size_t i = 0; i < actions.size(); ++i) {
    std::vector<Action> more;
    if (const auto* call = std::get_if<IncrementCounter>(&actions[i])) {
      more = engine.step(now, {counter.increment(*call)});
    } else if (const auto* attempt = std::get_if<SendAttempt>(&actions[i])) {
      ++attempts;
      more = engine.end(now, SendAttempt(*attempt), Outcome::kOk);
    }
    append(actions, more);
  }
  return attempts;
}

// All gateways but the first through which a customer comes, played by one that sees `rate` requests a second
// and has its counter calls answered at once.
class OtherGateways {
 public:
  OtherGateways(SharedCounter& counter, const Settings& settings, double rate)
      : counter_(counter), rate_(rate), engine_(second_of(settings)), set_size_(settings.gateway_count) {}

  void run(TimePoint now) {
    if (next_at_ == 0) next_at_ = now;
    for (; rate_ > 0 && next_at_ <= now; next_at_ += Duration(double(kSecond) / rate_)) {
      settle(next_at_, engine_, counter_, engine_.run(next_at_));
      arrive(next_at_);
    }
  }

  void arrive(TimePoint now) {
    RequestArrived request = EngineHarness::request(numbered("o", ++requests_), now);
    request.gateway_set_size = set_size_;
    settle(now, engine_, counter_, engine_.step(now, {request}));
  }

 private:
  static Settings second_of(Settings settings) {
    settings.gateway_index = 1;
    return settings;
  }

  SharedCounter& counter_;
  const double rate_;
  EngineHarness engine_;
  const int set_size_;
  int requests_ = 0;
  TimePoint next_at_ = 0;
};

// One gateway of two, and a counter to which the other one adds `rate` units a second.
class TwoGateways {
 public:
  explicit TwoGateways(double rate) : other_(counter_, settings_with_counter(), rate) {}

  // One unit of demand at the other gateway.
  void arrive_at_other(TimePoint now) { other_.arrive(now); }

  // Answers calls and serves attempts; returns how many requests were admitted.
  int arrive(TimePoint now, const std::string& id) {
    return settle(now, engine_, counter_, engine_.arrive(now, id));
  }

  int run(TimePoint now) {
    other_.run(now);
    return settle(now, engine_, counter_, engine_.run(now));
  }

 private:
  SharedCounter counter_;
  EngineHarness engine_{settings_with_counter()};
  OtherGateways other_;
};

// A customer with a quota of ten units a second that comes through several gateways.
struct AdmissionScenario {
  double other_rate = 0;  // requests a second at the other gateways
  int gateways = 2;
  CounterOutcome failure = CounterOutcome::kOk;  // how the counter fails, if it does
  int failure_from_s = 0;
  bool counter_forgets = false;
  double rate = 12;  // requests a second at the gateway under test
};

struct AdmissionResult {
  double share = 0;  // of the requests of the second half that were admitted
  std::size_t calls = 0;
};

// Plays 20 s of the scenario.
inline AdmissionResult run_admission(const AdmissionScenario& scenario) {
  Settings settings = settings_with_counter();
  settings.gateway_count = scenario.gateways;
  EngineHarness engine(settings);
  SharedCounter counter;
  OtherGateways others(counter, settings, scenario.other_rate);
  std::size_t calls = 0;
  int admitted = 0;
  int requests = 0;
  const int steps = int(20 * scenario.rate);
  for (int i = 0; i < steps; ++i) {
    const TimePoint now = 1000 * kSecond + Duration(double(i) / scenario.rate * double(kSecond));
    others.run(now);
    RequestArrived request = EngineHarness::request(numbered("p", i), now);
    request.gateway_set_size = scenario.gateways;
    auto actions = engine.step(now, {request});
    append(actions, engine.run(now + 1));
    const bool failing =
        scenario.failure != CounterOutcome::kOk && now >= (1000 + scenario.failure_from_s) * kSecond;
    for (std::size_t k = 0; k < actions.size(); ++k) {
      if (const auto* call = std::get_if<IncrementCounter>(&actions[k])) {
        ++calls;
        CounterReply reply;
        reply.name = call->name;
        reply.outcome = scenario.failure;
        if (!failing) reply = counter.increment(*call);
        if (scenario.counter_forgets && i > steps / 2) reply.total = 0.5 * call->amount;
        append(actions, engine.step(now, {reply}));
      }
      if (const auto* attempt = std::get_if<SendAttempt>(&actions[k])) {
        if (i >= steps / 2) ++admitted;
        engine.end(now, SendAttempt(*attempt), Outcome::kOk);
      }
    }
    if (i >= steps / 2) ++requests;
  }
  return {double(admitted) / requests, calls};
}

}  // namespace quota_gateway::testing
