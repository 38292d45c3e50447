#include "adapter/simulator_host.hpp"

#include <cstdint>
#include <utility>
#include <vector>

namespace quota_gateway::wire {

void SimulatorHost::store_list(const Json& message) {
  lists_[required_field<std::int64_t>(message, "List")] = parse_endpoint_entries(message.at("Entries"));
}

void SimulatorHost::start_engine(const std::string& gateway, const Json& message) {
  const auto seed = required_field<std::uint64_t>(message, "Entropy");
  engines_.insert_or_assign(gateway, DecisionEngine(parse_settings(message.at("Info")), seed));
}

std::vector<Action> SimulatorHost::process_part(TimePoint now, const std::string& gateway,
                                                const Json& messages) {
  if (!messages.is_array()) throw ProtocolError("input is not an array");
  std::vector<Event> events;  // for the current engine; stopping or replacing it discards them
  for (const Json& message : messages) {
    if (!message.is_object()) throw ProtocolError("an element of input is not an object");
    const auto type = required_field<std::string>(message, "what");
    if (type == "Pool") {
      store_list(message);
    } else if (type == "Kill") {
      events.clear();
      engines_.erase(gateway);
    } else if (type == "Enlist") {
      events.clear();
      start_engine(gateway, message);
    } else if (auto event = parse_event(message, lists_)) {
      events.push_back(std::move(*event));
    }
  }
  std::vector<Action> actions;
  const auto engine = engines_.find(gateway);
  if (engine != engines_.end() && !events.empty()) engine->second.handle(now, events, actions);
  return actions;
}

std::optional<std::string> SimulatorHost::process_line(const std::string& line) {
  const Json batch = Json::parse(line);
  if (!batch.is_object()) throw ProtocolError("the line is not an object");
  if (optional_field<std::string>(batch, "what", "") == "Pool") {
    store_list(batch);
    return std::nullopt;
  }
  const auto now = required_field<TimePoint>(batch, "ClockUs");
  const Json& parts = batch.at("parts");
  if (!parts.is_array()) throw ProtocolError("parts is not an array");
  Json reply = {{"parts", Json::array()}};
  for (const Json& part : parts) {
    const auto gateway = required_field<std::string>(part, "Who");
    const std::vector<Action> actions = process_part(now, gateway, part.at("input"));
    if (actions.empty()) continue;
    Json steps = Json::array();
    for (const Action& action : actions) steps.push_back(write_action(action));
    reply["parts"].push_back({{"Who", gateway}, {"steps", std::move(steps)}});
  }
  return reply.dump();
}

}  // namespace quota_gateway::wire
