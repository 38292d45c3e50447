// Tests of parsing the configuration and of the errors for invalid values.
#include "runtime/configuration.hpp"

#include <gtest/gtest.h>

#include <string>

namespace quota_gateway::net::testing {
namespace {

using nlohmann::json;

json valid_document() {
  return json::parse(R"({"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"ff",
    "limits":{"sockets":128,"memory_mb":64},
    "settings":{"Classes":[{"Name":"read","GiveUpUs":4000000}],"Limits":{"MaxAttempts":2,"ConnIdleUs":5}}})");
}

TEST(Configuration, IsParsedFromJson) {
  const Configuration configuration = parse_configuration(valid_document());
  EXPECT_EQ(configuration.name, "n0");
  EXPECT_EQ(configuration.listen_address.port(), 1);
  EXPECT_EQ(configuration.discovery_address.port(), 2);
  EXPECT_FALSE(configuration.counter_address);
  EXPECT_FALSE(configuration.admin_address);
  EXPECT_EQ(configuration.seed, 255u);
  EXPECT_EQ(configuration.max_sockets, 128u);
  EXPECT_EQ(configuration.memory_mb, 64u);
  EXPECT_EQ(configuration.connection_idle_timeout, 5);
  EXPECT_EQ(configuration.connect_timeout, 250'000);
  EXPECT_EQ(max_client_timeout(configuration.settings), 4'000'000);
}

TEST(Configuration, ErrorNamesPathOfInvalidValueInOneLine) {
  struct InvalidValue {
    const char* pointer;  // JSON pointer to the value that is replaced
    json value;
    const char* path;  // path that the error names
  };
  const InvalidValue invalid_values[] = {
      {"/name", 3, "name"},
      {"/listen", "localhost", "listen"},
      {"/discovery", "127.0.0.1:70000", "discovery"},
      {"/counter", 3, "counter"},
      {"/admin_addr", "x:1", "admin_addr"},
      {"/seed", "xyz", "seed"},
      {"/limits", 3, "limits.sockets"},
      {"/limits/sockets", 63, "limits.sockets"},
      {"/limits/memory_mb", 0, "limits.memory_mb"},
      {"/settings", 3, "settings"},
      {"/settings/Classes", json::array(), "settings.Classes"},
      {"/settings/Classes/0/GiveUpUs", 0, "settings.Classes[0].GiveUpUs"},
      {"/settings/ReplicasOfMe", 0, "settings.ReplicasOfMe"},
      {"/settings/Position", 1, "settings.Position"},
      {"/settings/Limits/MaxAttempts", 0, "settings.Limits.MaxAttempts"},
      {"/settings/Limits/ConnIdleUs", -1, "settings.Limits.ConnIdleUs"},
      {"/settings/Limits/DialTimeoutUs", 0, "settings.Limits.DialTimeoutUs"},
      {"/known", json::object(), "known"},
  };
  for (const InvalidValue& invalid_value : invalid_values) {
    json document = valid_document();
    document[json::json_pointer(invalid_value.pointer)] = invalid_value.value;
    try {
      parse_configuration(document);
      ADD_FAILURE() << invalid_value.pointer << " is accepted";
    } catch (const ConfigError& error) {
      EXPECT_EQ(error.path(), invalid_value.path);
      const std::string message = error.what();
      EXPECT_EQ(message.rfind("configuration: " + error.path() + ": ", 0), 0u) << message;
      EXPECT_EQ(message.find('\n'), std::string::npos) << message;
    }
  }
}

}  // namespace
}  // namespace quota_gateway::net::testing
