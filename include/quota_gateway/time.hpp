// Time in microseconds. Instants count on one clock that is never stepped.
#pragma once

#include <cstdint>

namespace quota_gateway {

// An instant: microseconds on the clock by which events are reported.
using TimePoint = std::int64_t;

// A span: microseconds.
using Duration = std::int64_t;

}  // namespace quota_gateway
