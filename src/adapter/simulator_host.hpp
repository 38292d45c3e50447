// The decision engines that one simulator adapter hosts, on the simulator's line protocol.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "adapter/codec.hpp"
#include "quota_gateway/decision_engine.hpp"

namespace quota_gateway::wire {

// Hosts any number of engines, which share nothing but the endpoint lists of the wire.
class SimulatorHost {
 public:
  // Processes one line of input and returns the line to reply with, if any. Throws as the codec does.
  std::optional<std::string> process_line(const std::string& line);

 private:
  void store_list(const Json& message);
  // Passes the events of one engine's part of a batch to it, and returns its actions.
  std::vector<Action> process_part(TimePoint now, const std::string& name, const Json& messages);
  void start_engine(const std::string& name, const Json& message);

  std::map<std::string, DecisionEngine> engines_;
  EndpointLists lists_;
};

}  // namespace quota_gateway::wire
