// Runs the decision engine in the event loop.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "quota_gateway/decision_engine.hpp"
#include "runtime/clock.hpp"

namespace quota_gateway::net {

// Owns the decision engine and is its only caller. Events that are pushed in the same iteration of the event
// loop are processed together, as one batch, after that iteration.
class DecisionLoop {
 public:
  struct Callbacks {
    // Called for each action of the engine, in order.
    std::function<void(const Action&)> on_action;
    // Called when all actions of a batch have been executed.
    std::function<void()> on_batch_processed;
  };

  DecisionLoop(boost::asio::io_context& io, const Clock& clock, const Settings& settings, std::uint64_t seed,
               Callbacks callbacks);

  // Adds an event to the next batch.
  void push(Event event);

  // Processes the pending events and returns the state for the successor process.
  HotRestartState begin_hot_restart();

  // Returns the number of attempts in flight by customer.
  [[nodiscard]] std::map<std::string, int> attempts_in_flight() const { return engine_.attempts_in_flight(); }
  // Returns the numbers of listed and of excluded endpoints.
  [[nodiscard]] DecisionEngine::EndpointCounts count_endpoints() const;

 private:
  void process_batch();
  void check_wall_clock();

  boost::asio::io_context& io_;
  const Clock& clock_;
  const Callbacks callbacks_;
  DecisionEngine engine_;
  std::vector<Event> events_;
  bool batch_scheduled_ = false;
  Duration wall_clock_offset_ = 0;  // from the gateway's clock, as last reported to the engine
};

}  // namespace quota_gateway::net
