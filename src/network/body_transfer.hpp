// Everything that connections use to transfer message bodies: the memory budget, counted buffers and
// streamed uploads.
#pragma once

#include "network/body_budget.hpp"     // IWYU pragma: export
#include "network/body_upload.hpp"     // IWYU pragma: export
#include "network/counted_buffer.hpp"  // IWYU pragma: export
