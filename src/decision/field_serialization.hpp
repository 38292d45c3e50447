// Converts the state that a hot restart passes on into a flat list of numbers, and back.
//
// A type supports this with a member template `visit_fields(visitor)` that calls `visitor` with a reference
// to each of its numeric fields, always the same fields in the same order. The list has no names and no
// version: the order of the calls is the format. Only the length is checked: if the order of a type's fields
// changes but their number does not, the values of another build are read into the wrong fields.
#pragma once

#include <concepts>
#include <cstddef>
#include <type_traits>

#include "quota_gateway/events.hpp"

namespace quota_gateway::decision {

// A field that is stored as one number of the list: an integer, a floating-point number or a flag.
template <typename T>
concept SerializableField = std::is_arithmetic_v<T>;

// A visitor that accepts any serializable field, to check whether a type has `visit_fields`.
struct FieldVisitorArchetype {
  template <SerializableField Field>
  void operator()(Field& field) const;
};

template <typename T>
concept FieldVisitable = requires(T& object, FieldVisitorArchetype visitor) {
  object.visit_fields(visitor);
};

// Returns the values of all fields, in the order of `visit_fields`.
template <FieldVisitable T>
HotRestartState::Values serialize_fields(T& object) {
  HotRestartState::Values values;
  object.visit_fields([&values]<SerializableField Field>(const Field& field) {
    values.push_back(static_cast<double>(field));
  });
  return values;
}

// Returns the length of the list that `serialize_fields` returns.
template <FieldVisitable T>
std::size_t count_fields(T& object) {
  std::size_t count = 0;
  object.visit_fields([&count]<SerializableField Field>(const Field&) { ++count; });
  return count;
}

// Sets all fields from a list that `serialize_fields` returned. Returns false and changes nothing if the list
// has a different length, which means that another build wrote it.
template <FieldVisitable T>
bool deserialize_fields(T& object, const HotRestartState::Values& values) {
  if (values.size() != count_fields(object)) return false;
  auto next_value = values.begin();
  object.visit_fields([&next_value]<SerializableField Field>(Field& field) {
    field = static_cast<Field>(*next_value);
    ++next_value;
  });
  return true;
}

}  // namespace quota_gateway::decision
