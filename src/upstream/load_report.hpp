// Parses the response headers in which an endpoint reports its load and the units that it charged.
#pragma once

#include <string_view>

#include "quota_gateway/decision_engine.hpp"

namespace quota_gateway::net {

// Parses a load header such as "TEXT inflight=7, queue=2, util=0.61". Ignores unknown names; invalid values
// count as not reported.
LoadReport parse_load_report(std::string_view header);

// Returns the units that an endpoint charged for a request, or 0 (not reported) if the value is invalid.
double parse_billed_units(std::string_view header);

}  // namespace quota_gateway::net
