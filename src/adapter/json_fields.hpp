// Typed access to the fields of JSON objects.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

namespace quota_gateway::wire {

using Json = nlohmann::json;

// Thrown on a message that does not conform to the protocol.
class ProtocolError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Returns the field `key`, or `fallback` if it is missing or null.
template <typename T>
T optional_field(const Json& object, const char* key, T fallback) {
  const auto field = object.find(key);
  if (field == object.end() || field->is_null()) return fallback;
  return field->get<T>();
}

// Returns the field `key`. Throws ProtocolError if it is missing or null.
template <typename T>
T required_field(const Json& object, const char* key) {
  const auto field = object.find(key);
  if (field == object.end() || field->is_null()) throw ProtocolError(std::string("missing field ") + key);
  return field->get<T>();
}

// Returns the object or array in the field `key`, or an empty object if it is missing or null. Does not check
// its type.
inline const Json& section(const Json& object, const char* key) {
  static const Json empty = Json::object();
  const auto field = object.find(key);
  return field == object.end() || field->is_null() ? empty : *field;
}

// Enumerators by their names in JSON.
template <typename T>
using EnumNames = std::map<std::string, T>;

// Returns the enumerator called `name`, or `fallback` if there is none.
template <typename T>
T enum_value(const std::string& name, const EnumNames<T>& names, T fallback) {
  const auto entry = names.find(name);
  return entry == names.end() ? fallback : entry->second;
}

}  // namespace quota_gateway::wire
