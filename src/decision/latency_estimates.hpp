// What is assumed of answer times until enough answers tell.
#pragma once

namespace quota_gateway::decision {

constexpr double kPriorSamples = 8;  // answers' worth of "as good as its peers" behind each estimate
constexpr double kIdleLatencyFraction = 1.0 / 6;  // of a class's aim: its answer time, until answers tell

}  // namespace quota_gateway::decision
