#include "runtime/configuration_loader.hpp"

#include <cstdlib>
#include <exception>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>

namespace quota_gateway::net {
namespace {

// Returns the value of an environment variable, or an empty string if it is not set.
std::string environment_variable(const char* name) {
  const char* value = std::getenv(name);
  return value != nullptr ? value : "";
}

nlohmann::json read_document(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw ConfigError("RELAY_CONFIG", "cannot read " + path);
  try {
    return nlohmann::json::parse(file);
  } catch (const nlohmann::json::parse_error& error) {
    throw ConfigError("", error.what());
  }
}

}  // namespace

Configuration load_configuration() {
  const std::string path = environment_variable("RELAY_CONFIG");
  if (path.empty()) throw ConfigError("RELAY_CONFIG", "is not set");
  Configuration configuration = parse_configuration(read_document(path));
  configuration.shared_directory = environment_variable("TMPDIR");
  const std::string admin_address = environment_variable("RELAY_ADMIN_ADDR");
  if (configuration.admin_address || admin_address.empty()) return configuration;
  try {
    configuration.admin_address = parse_address(admin_address);
  } catch (const std::exception& error) {
    throw ConfigError("RELAY_ADMIN_ADDR", error.what());
  }
  return configuration;
}

}  // namespace quota_gateway::net
