// Drives one decision engine in simulated time: passes events to it and fires the timers that it sets.
#pragma once

#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "quota_gateway/decision_engine.hpp"

namespace quota_gateway::testing {

constexpr Duration kMillisecond = 1'000;
constexpr Duration kSecond = 1'000'000;

inline std::string numbered(std::string prefix, std::int64_t number) {
  return prefix.append(std::to_string(number));
}

// Returns settings with one class of idempotent requests and one plan, for two gateways.
inline Settings basic_settings() {
  Settings settings;
  ClassSettings read;
  read.name = "read";
  read.latency_objective = 500 * kMillisecond;
  read.client_timeout = 2 * kSecond;
  read.idempotency = Idempotency::kIdempotent;
  settings.classes.push_back(read);
  PlanSettings plan;
  plan.name = "plan";
  plan.rate = 10;
  plan.burst = 20;
  settings.plans.push_back(plan);
  settings.gateway_count = 2;
  settings.max_attempts = 3;
  settings.allow_cancel = true;
  settings.allow_retry_after = true;
  settings.max_retry_after = kSecond;
  return settings;
}

inline Settings settings_with_counter() {
  Settings settings = basic_settings();
  settings.has_counter = true;
  return settings;
}

// Enables slow start: the capacity of a new endpoint rises from the fraction `min_capacity` over `duration`.
inline void enable_slow_start(Settings& settings, double min_capacity, Duration duration,
                              double overload_factor, Duration window) {
  settings.slow_start_min_capacity_fraction = min_capacity;
  settings.slow_start_duration = duration;
  settings.slow_start_overload_factor = overload_factor;
  settings.slow_start_window = window;
}

// Returns the actions of type `T` among `actions`, in order.
template <typename T>
std::vector<T> actions_of(const std::vector<Action>& actions) {
  std::vector<T> found;
  for (const Action& action : actions)
    if (const T* typed = std::get_if<T>(&action)) found.push_back(*typed);
  return found;
}

inline void append(std::vector<Action>& actions, const std::vector<Action>& more) {
  actions.insert(actions.end(), more.begin(), more.end());
}

// Returns an entry in state `kUp` for each endpoint name.
inline std::vector<EndpointEntry> up(const std::vector<std::string>& names) {
  std::vector<EndpointEntry> entries;
  for (const std::string& name : names) {
    EndpointEntry entry;
    entry.endpoint = name;
    entries.push_back(entry);
  }
  return entries;
}

class EngineHarness {
 public:
  explicit EngineHarness(Settings settings = basic_settings(),
                         std::vector<EndpointEntry> endpoints = up({"a", "b", "c"}), std::uint64_t seed = 7)
      : engine_(std::move(settings), seed) {
    EndpointListUpdate list;
    list.entries = std::move(endpoints);
    step(0, {list});
  }

  // Passes `events` to the engine and stores the timers that it sets. Returns the resulting actions.
  std::vector<Action> step(TimePoint now, const std::vector<Event>& events) {
    std::vector<Action> actions;
    engine_.handle(now, events, actions);
    for (const SetTimer& timer : actions_of<SetTimer>(actions)) timers_.emplace(timer.at, timer.token);
    append(all_actions_, actions);
    return actions;
  }

  // Fires all timers due by `until`, in order of time. Returns the resulting actions.
  std::vector<Action> run_until(TimePoint until) {
    std::vector<Action> actions;
    while (!timers_.empty() && timers_.begin()->first <= until) {
      const auto [at, token] = *timers_.begin();
      timers_.erase(timers_.begin());
      append(actions, step(at, {TimerFired{token}}));
    }
    return actions;
  }

  // Passes the arrival of a request to the engine. Returns the resulting actions.
  std::vector<Action> arrive(TimePoint now, const std::string& id, double units = 1) {
    return step(now, {request(id, now, units)});
  }

  // Reports the outcome of an attempt to the engine. Returns the resulting actions.
  std::vector<Action> end_attempt(TimePoint now, const SendAttempt& sent, Outcome outcome, int attempt = 0,
                                  Duration duration = kMillisecond) {
    AttemptEnded ended;
    ended.id = sent.id;
    ended.endpoint = sent.endpoint;
    ended.attempt = attempt;
    ended.outcome = outcome;
    ended.duration = duration;
    ended.request_finished = outcome == Outcome::kOk;
    return step(now, {ended});
  }

  // Returns a request of customer `c1` with a deadline 2 s after `now`.
  static RequestArrived request(const std::string& id, TimePoint now, double units = 1) {
    RequestArrived arrived;
    arrived.id = id;
    arrived.customer = "c1";
    arrived.plan = "plan";
    arrived.request_class = "read";
    arrived.units = units;
    arrived.deadline = now + 2 * kSecond;
    arrived.gateway_set_size = 2;
    return arrived;
  }

  // Sends `count` requests at `now` and completes each attempt successfully. Returns how many requests were
  // admitted.
  int burst(TimePoint now, int count, double units = 1) {
    int admitted = 0;
    for (int i = 0; i < count; ++i) {
      const auto actions = arrive(now, numbered("b", now) + numbered("-", i), units);
      for (const SendAttempt& attempt : actions_of<SendAttempt>(actions)) {
        ++admitted;
        end_attempt(now, attempt, Outcome::kOk);
      }
    }
    return admitted;
  }

  DecisionEngine& engine() { return engine_; }
  // Returns all actions since construction, in order.
  const std::vector<Action>& all_actions() const { return all_actions_; }

 private:
  DecisionEngine engine_;
  std::multimap<TimePoint, std::int64_t> timers_;
  std::vector<Action> all_actions_;
};

}  // namespace quota_gateway::testing
