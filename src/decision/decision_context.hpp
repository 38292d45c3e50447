// State that all modules of the decision engine share while a batch of events is processed: the settings, the
// time of the batch and the list of actions.
#pragma once

#include <utility>
#include <vector>

#include "quota_gateway/actions.hpp"
#include "quota_gateway/settings.hpp"
#include "quota_gateway/time.hpp"

namespace quota_gateway::decision {

// One per decision engine. The settings must outlive it.
class DecisionContext {
 public:
  explicit DecisionContext(const Settings& settings) : settings_(settings) {}

  // Until the next call, `now` is the current time and actions are appended to `actions`.
  void begin_batch(TimePoint now, std::vector<Action>& actions) {
    now_ = now;
    actions_ = &actions;
  }

  [[nodiscard]] const Settings& settings() const { return settings_; }
  [[nodiscard]] TimePoint now() const { return now_; }
  [[nodiscard]] std::vector<Action>& actions() { return *actions_; }
  void emit(Action action) { actions_->push_back(std::move(action)); }

 private:
  const Settings& settings_;
  TimePoint now_ = 0;
  std::vector<Action>* actions_ = nullptr;
};

}  // namespace quota_gateway::decision
