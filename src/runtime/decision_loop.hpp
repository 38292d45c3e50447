// Connects the decision engine to the event loop.
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

// Owns the decision engine and is its only caller. The events of one turn of the event loop are processed as
// one batch, after that turn.
class DecisionLoop {
 public:
  struct Callbacks {
    std::function<void(const Action&)> on_action;
    // All actions of a batch have been carried out.
    std::function<void()> on_batch_processed;
  };

  DecisionLoop(boost::asio::io_context& io, const Clock& clock, const Settings& settings, std::uint64_t seed,
               Callbacks callbacks);

  // Adds an event to the next batch.
  void push(Event event);

  // Processes the pending events and returns the state for the process that replaces this one.
  HotRestartState begin_hot_restart();

  [[nodiscard]] std::map<std::string, int> attempts_in_flight() const { return engine_.attempts_in_flight(); }
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
  Duration wall_clock_offset_ = 0;  // from the clock of the gateway, as last reported to the engine
};

}  // namespace quota_gateway::net
