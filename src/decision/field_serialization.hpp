// Turns an object's members into the plain numbers of a hand-over and back. A type takes part by a member
// template `visit_fields(f)` that calls `f` with each member, always in the same order.
#pragma once

#include <type_traits>

#include "quota_gateway/decision_engine.hpp"

namespace quota_gateway::decision {

template <typename T>
HotRestartState::Values serialize_fields(T& from) {
  HotRestartState::Values out;
  from.visit_fields([&](const auto& x) { out.push_back(double(x)); });
  return out;
}

// False, with nothing changed, if the numbers come from another build.
template <typename T>
bool deserialize_fields(T& into, const HotRestartState::Values& in) {
  if (in.size() != serialize_fields(into).size()) return false;
  auto next = in.begin();
  into.visit_fields([&](auto& x) { x = std::remove_reference_t<decltype(x)>(*next++); });
  return true;
}

}  // namespace quota_gateway::decision
