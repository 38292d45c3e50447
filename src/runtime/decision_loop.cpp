#include "runtime/decision_loop.hpp"

#include <boost/asio/post.hpp>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <utility>

namespace quota_gateway::net {
namespace {

constexpr Duration kWallClockStepReportThreshold = 20'000;  // us; a smaller drift has no effect on the engine
constexpr Duration kWallClockStepLogThreshold = 500'000;    // us
constexpr Duration kMicrosecondsPerMillisecond = 1'000;

// Runs an operation and logs an exception instead of passing it on, so that the remaining operations still
// run. Does not log to std::cerr, which may throw and may itself be what has failed.
template <typename Operation>
void run_and_log_failure(const char* name, const Operation& operation) {
  try {
    operation();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "decision loop: %s failed: %s\n", name, error.what());
  }
}

}  // namespace

DecisionLoop::DecisionLoop(boost::asio::io_context& io, const Clock& clock, const Settings& settings,
                           std::uint64_t seed, Callbacks callbacks)
    : io_(io), clock_(clock), callbacks_(std::move(callbacks)), engine_(settings, seed) {}

void DecisionLoop::push(Event event) {
  events_.push_back(std::move(event));
  if (batch_scheduled_) return;
  batch_scheduled_ = true;
  boost::asio::post(io_, [this] { process_batch(); });
}

void DecisionLoop::process_batch() {
  batch_scheduled_ = false;
  check_wall_clock();
  std::vector<Event> events;
  std::vector<Action> actions;
  events.swap(events_);
  run_and_log_failure("batch of events", [&] { engine_.handle(clock_.now(), events, actions); });
  for (const Action& action : actions) run_and_log_failure("action", [&] { callbacks_.on_action(action); });
  callbacks_.on_batch_processed();
}

void DecisionLoop::check_wall_clock() {
  const Duration offset = clock_.wall_now() - clock_.now();
  const Duration step = offset - wall_clock_offset_;
  if (std::abs(step) < kWallClockStepReportThreshold) return;
  if (std::abs(step) > kWallClockStepLogThreshold) {
    std::cerr << "decision loop: the wall clock was stepped by " << step / kMicrosecondsPerMillisecond
              << " ms\n";
  }
  wall_clock_offset_ = offset;
  events_.insert(events_.begin(), WallClockStepped{offset});
}

HotRestartState DecisionLoop::begin_hot_restart() {
  process_batch();
  return engine_.begin_hot_restart(clock_.now());
}

DecisionEngine::EndpointCounts DecisionLoop::count_endpoints() const {
  return engine_.count_endpoints(clock_.now());
}

}  // namespace quota_gateway::net
