// Time in microseconds, on one clock that is never stepped.
#pragma once

#include <cstdint>

namespace quota_gateway {

// A point in time: microseconds on the clock that events are timed by.
using TimePoint = std::int64_t;

// A length of time in microseconds.
using Duration = std::int64_t;

}  // namespace quota_gateway
