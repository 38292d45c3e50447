// Translates the JSON wire and the settings to the decision engine's types, and its actions back. The names
// of the wire stand here and nowhere else.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "adapter/json_fields.hpp"
#include "quota_gateway/actions.hpp"
#include "quota_gateway/events.hpp"
#include "quota_gateway/settings.hpp"

namespace quota_gateway::wire {

// Endpoint lists by the number under which the simulator sent them.
using EndpointLists = std::map<std::int64_t, std::vector<EndpointEntry>>;

// All functions throw ProtocolError or nlohmann::json::exception on a message of the wrong shape.

// Unknown settings are ignored.
Settings parse_settings(const Json& info);

std::vector<EndpointEntry> parse_endpoint_entries(const Json& entries);

// No value for an event that means nothing to the decision engine.
std::optional<Event> parse_event(const Json& message, const EndpointLists& lists);

Json write_action(const Action& action);

}  // namespace quota_gateway::wire
