#include "runtime/configuration.hpp"

#include <algorithm>
#include <charconv>
#include <exception>

#include "adapter/codec.hpp"

namespace quota_gateway::net {
namespace {

using boost::asio::ip::tcp;
using nlohmann::json;

constexpr std::size_t kMinSockets = 64;

std::string error_message(const std::string& path, const std::string& reason) {
  std::string message = "configuration: ";
  if (!path.empty()) message += path + ": ";
  return message + reason;
}

// Returns the result of `parse`. Rethrows its exceptions as a ConfigError for the value at `path`.
template <typename Parse>
auto parse_value(const std::string& path, Parse parse) {
  try {
    return parse();
  } catch (const std::exception& error) {
    throw ConfigError(path, error.what());
  }
}

bool is_present(const json& document, const char* key) {
  return document.contains(key) && !document[key].is_null();
}

std::string required_string(const json& document, const char* key) {
  const auto value = document.find(key);
  if (value == document.end() || !value->is_string()) throw ConfigError(key, "must be a string");
  return value->get<std::string>();
}

tcp::endpoint required_endpoint(const json& document, const char* key) {
  const std::string text = required_string(document, key);
  return parse_value(key, [&] { return parse_address(text); });
}

std::optional<tcp::endpoint> optional_endpoint(const json& document, const char* key) {
  if (!is_present(document, key)) return std::nullopt;
  return required_endpoint(document, key);
}

std::int64_t positive_number(const json& section, const std::string& section_path, const char* key,
                             std::int64_t default_value) {
  const std::string path = section_path + "." + key;
  const std::int64_t value = parse_value(path, [&] { return section.value(key, default_value); });
  if (value <= 0) throw ConfigError(path, "must be above 0");
  return value;
}

// Returns an empty object if the section is missing.
json optional_section(const json& document, const std::string& path, const char* key) {
  return parse_value(path, [&] { return document.value(key, json::object()); });
}

std::uint64_t parse_seed(const std::string& text) {
  constexpr int kHexadecimal = 16;
  std::uint64_t seed = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, seed, kHexadecimal);
  if (error != std::errc() || stop != end) throw ConfigError("seed", "must be a hexadecimal number");
  return seed;
}

void validate(const Settings& settings) {
  if (settings.classes.empty()) throw ConfigError("settings.Classes", "must name at least one class");
  if (settings.gateway_count < 1) throw ConfigError("settings.ReplicasOfMe", "must be above 0");
  if (settings.gateway_index < 0 || settings.gateway_index >= settings.gateway_count)
    throw ConfigError("settings.Position", "must be below ReplicasOfMe and not negative");
  if (settings.max_attempts < 1) throw ConfigError("settings.Limits.MaxAttempts", "must be above 0");
  for (std::size_t i = 0; i < settings.classes.size(); ++i) {
    if (settings.classes[i].client_timeout <= 0)
      throw ConfigError("settings.Classes[" + std::to_string(i) + "].GiveUpUs", "must be above 0");
  }
}

void parse_limits(const json& document, Configuration& configuration) {
  const json limits = optional_section(document, "limits", "limits");
  const auto positive_limit = [&limits](const char* key, std::size_t default_value) {
    return std::size_t(positive_number(limits, "limits", key, std::int64_t(default_value)));
  };
  configuration.max_sockets = positive_limit("sockets", configuration.max_sockets);
  configuration.memory_mb = positive_limit("memory_mb", configuration.memory_mb);
  if (configuration.max_sockets < kMinSockets)
    throw ConfigError("limits.sockets", "must be at least " + std::to_string(kMinSockets));
}

void parse_settings(const json& document, Configuration& configuration) {
  if (!document.contains("settings")) throw ConfigError("settings", "is missing");
  const json& settings = document["settings"];
  configuration.settings = parse_value("settings", [&] { return wire::parse_settings(settings); });
  validate(configuration.settings);
  const std::string path = "settings.Limits";
  const json limits = optional_section(settings, path, "Limits");
  configuration.connection_idle_timeout =
      positive_number(limits, path, "ConnIdleUs", configuration.connection_idle_timeout);
  configuration.connect_timeout =
      positive_number(limits, path, "DialTimeoutUs", configuration.connect_timeout);
}

}  // namespace

ConfigError::ConfigError(const std::string& path, const std::string& reason)
    : std::runtime_error(error_message(path, reason)), path_(path) {}

Configuration parse_configuration(const json& document) {
  if (!document.is_object()) throw ConfigError("", "must be an object");
  Configuration configuration;
  configuration.name = required_string(document, "name");
  configuration.listen_address = required_endpoint(document, "listen");
  configuration.discovery_address = required_endpoint(document, "discovery");
  configuration.counter_address = optional_endpoint(document, "counter");
  configuration.admin_address = optional_endpoint(document, "admin_addr");
  if (document.contains("seed")) configuration.seed = parse_seed(required_string(document, "seed"));
  parse_limits(document, configuration);
  parse_settings(document, configuration);
  if (is_present(document, "known"))
    configuration.initial_endpoints =
        parse_value("known", [&] { return parse_discovery_update(document["known"]); });
  return configuration;
}

Duration max_client_timeout(const Settings& settings) {
  Duration longest = 0;
  for (const ClassSettings& request_class : settings.classes)
    longest = std::max(longest, request_class.client_timeout);
  return longest;
}

}  // namespace quota_gateway::net
