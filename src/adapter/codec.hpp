// Converts the messages of the simulator's line protocol and the settings between JSON and the types of the
// decision engine. The field names of the protocol are used only in this directory.
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

// Endpoint lists by the number that the simulator gave them. DirectoryUpdate messages refer to that number.
using EndpointLists = std::map<std::int64_t, std::vector<EndpointEntry>>;

// All parse functions throw ProtocolError or nlohmann::json::exception on malformed input.

// Returns the settings of a gateway. Missing settings get a default value; unknown settings are ignored.
Settings parse_settings(const Json& info);

// Returns the entries of an endpoint list.
std::vector<EndpointEntry> parse_endpoint_entries(const Json& entries);

// Returns the event in a message, or std::nullopt if the message type is unknown. `lists` holds the endpoint
// lists received so far.
std::optional<Event> parse_event(const Json& message, const EndpointLists& lists);

// Returns the message that requests the action from the simulator.
Json write_action(const Action& action);

}  // namespace quota_gateway::wire
