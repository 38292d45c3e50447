// Loads the configuration of this process.
#pragma once

#include "runtime/configuration.hpp"

namespace quota_gateway::net {

// Reads the configuration file named by the environment variable RELAY_CONFIG, and the settings that the
// platform passes in RELAY_ADMIN_ADDR and TMPDIR. An admin address in the file takes precedence. Throws
// ConfigError.
Configuration load_configuration();

}  // namespace quota_gateway::net
