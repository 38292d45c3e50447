// Finds the configuration of this process.
#pragma once

#include "runtime/configuration.hpp"

namespace quota_gateway::net {

// Reads the file that the environment variable RELAY_CONFIG names, and the settings that the platform gives
// in RELAY_ADMIN_ADDR and TMPDIR. Throws ConfigError.
Configuration load_configuration();

}  // namespace quota_gateway::net
