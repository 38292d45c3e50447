// Simulates gateways that share a customer's quota through a counter. Time is simulated too.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "support/engine_harness.hpp"

namespace quota_gateway::testing {

// A shared counter that replies to each increment at once.
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

// Replies to the engine's counter calls and ends its attempts successfully at once. Returns the number of
// attempts.
inline int handle_actions(TimePoint now, EngineHarness& engine, SharedCounter& counter,
                          std::vector<Action> actions) {
  int attempts = 0;
  for (std::size_t i = 0; i < actions.size(); ++i) {
    std::vector<Action> next_actions;
    if (const auto* call = std::get_if<IncrementCounter>(&actions[i])) {
      next_actions = engine.step(now, {counter.increment(*call)});
    } else if (const auto* attempt = std::get_if<SendAttempt>(&actions[i])) {
      ++attempts;
      next_actions = engine.end_attempt(now, SendAttempt(*attempt), Outcome::kOk);
    }
    append(actions, next_actions);
  }
  return attempts;
}

// Stands for all gateways of a customer except the first, by one engine that receives `rate` requests per
// second and gets its counter replies at once.
class OtherGateways {
 public:
  OtherGateways(SharedCounter& counter, const Settings& settings, double rate)
      : counter_(counter),
        rate_(rate),
        engine_(as_second_gateway(settings)),
        set_size_(settings.gateway_count) {}

  void run(TimePoint now) {
    if (next_at_ == 0) next_at_ = now;
    for (; rate_ > 0 && next_at_ <= now; next_at_ += Duration(double(kSecond) / rate_)) {
      handle_actions(next_at_, engine_, counter_, engine_.run_until(next_at_));
      arrive(next_at_);
    }
  }

  void arrive(TimePoint now) {
    RequestArrived request = EngineHarness::request(numbered("o", ++requests_), now);
    request.gateway_set_size = set_size_;
    handle_actions(now, engine_, counter_, engine_.step(now, {request}));
  }

 private:
  static Settings as_second_gateway(Settings settings) {
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

// A gateway under test, and a counter that it shares with another gateway, which receives `rate` requests per
// second.
class TwoGateways {
 public:
  explicit TwoGateways(double rate) : other_(counter_, settings_with_counter(), rate) {}

  // Sends a request for one unit to the other gateway.
  void arrive_at_other(TimePoint now) { other_.arrive(now); }

  // Sends a request to the gateway under test. Returns how many requests were admitted.
  int arrive(TimePoint now, const std::string& id) {
    return handle_actions(now, engine_, counter_, engine_.arrive(now, id));
  }

  int run(TimePoint now) {
    other_.run(now);
    return handle_actions(now, engine_, counter_, engine_.run_until(now));
  }

 private:
  SharedCounter counter_;
  EngineHarness engine_{settings_with_counter()};
  OtherGateways other_;
};

// A customer with a quota of ten units per second whose requests arrive at several gateways.
struct AdmissionScenario {
  double remote_rate = 0;  // requests per second at the other gateways
  int gateway_count = 2;
  CounterOutcome counter_failure = CounterOutcome::kOk;  // how the counter fails, if it does
  int failure_start_seconds = 0;
  bool counter_loses_units = false;
  double local_rate = 12;  // requests per second at the gateway under test
};

struct AdmissionResult {
  double admitted_fraction = 0;  // of the requests in the second half of the simulation
  std::size_t counter_calls = 0;
};

// Simulates 20 s of the scenario.
inline AdmissionResult run_admission(const AdmissionScenario& scenario) {
  Settings settings = settings_with_counter();
  settings.gateway_count = scenario.gateway_count;
  EngineHarness engine(settings);
  SharedCounter counter;
  OtherGateways others(counter, settings, scenario.remote_rate);
  std::size_t calls = 0;
  int admitted = 0;
  int requests = 0;
  const int steps = int(20 * scenario.local_rate);
  for (int i = 0; i < steps; ++i) {
    const TimePoint now = 1000 * kSecond + Duration(double(i) / scenario.local_rate * double(kSecond));
    others.run(now);
    RequestArrived request = EngineHarness::request(numbered("p", i), now);
    request.gateway_set_size = scenario.gateway_count;
    auto actions = engine.step(now, {request});
    append(actions, engine.run_until(now + 1));
    const bool failing = scenario.counter_failure != CounterOutcome::kOk &&
                         now >= (1000 + scenario.failure_start_seconds) * kSecond;
    for (std::size_t k = 0; k < actions.size(); ++k) {
      if (const auto* call = std::get_if<IncrementCounter>(&actions[k])) {
        ++calls;
        CounterReply reply;
        reply.name = call->name;
        reply.outcome = scenario.counter_failure;
        if (!failing) reply = counter.increment(*call);
        if (scenario.counter_loses_units && i > steps / 2) reply.total = 0.5 * call->amount;
        append(actions, engine.step(now, {reply}));
      }
      if (const auto* attempt = std::get_if<SendAttempt>(&actions[k])) {
        if (i >= steps / 2) ++admitted;
        engine.end_attempt(now, SendAttempt(*attempt), Outcome::kOk);
      }
    }
    if (i >= steps / 2) ++requests;
  }
  return {double(admitted) / requests, calls};
}

}  // namespace quota_gateway::testing
