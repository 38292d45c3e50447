// Typed access to the fields of a JSON object on the wire.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

namespace quota_gateway::wire {

using Json = nlohmann::json;

// A message of the wrong shape.
class ProtocolError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The field `key`, or `fallback` if it is missing or null.
template <typename T>
T optional_field(const Json& object, const char* key, T fallback) {
  const auto field = object.find(key);
  if (field == object.end() || field->is_null()) return fallback;
  return field->get<T>();
}

// The field `key`; throws ProtocolError if it is missing or null.
template <typename T>
T required_field(const Json& object, const char* key) {
  const auto field = object.find(key);
  if (field == object.end() || field->is_null()) throw ProtocolError(std::string("missing field ") + key);
  return field->get<T>();
}

// The object or list under `key`; an empty object if it is missing or null.
inline const Json& section(const Json& object, const char* key) {
  static const Json empty = Json::object();
  const auto field = object.find(key);
  return field == object.end() || field->is_null() ? empty : *field;
}

// Words of the wire and the values for which they stand.
template <typename T>
using Vocabulary = std::map<std::string, T>;

// The value of `word`, or `fallback` for an unknown word.
template <typename T>
T value_of(const std::string& word, const Vocabulary<T>& vocabulary, T fallback) {
  const auto entry = vocabulary.find(word);
  return entry == vocabulary.end() ? fallback : entry->second;
}

}  // namespace quota_gateway::wire
