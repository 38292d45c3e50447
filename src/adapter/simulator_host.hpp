// Connects decision engines to the simulator's line protocol.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "adapter/codec.hpp"
#include "quota_gateway/decision_engine.hpp"

namespace quota_gateway::wire {

// Hosts one decision engine per simulated gateway. The engines share only the endpoint lists received from
// the simulator.
class SimulatorHost {
 public:
  // Processes one line of input and returns the reply line, or std::nullopt if there is no reply. Throws
  // ProtocolError or nlohmann::json::exception on malformed input.
  std::optional<std::string> process_line(const std::string& line);

 private:
  void store_list(const Json& message);
  // Processes the part of a batch that is for `gateway`, and returns the actions of its engine.
  std::vector<Action> process_part(TimePoint now, const std::string& gateway, const Json& messages);
  void start_engine(const std::string& gateway, const Json& message);

  std::map<std::string, DecisionEngine> engines_;  // by the name of the gateway
  EndpointLists lists_;
};

}  // namespace quota_gateway::wire
