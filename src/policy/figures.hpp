// Turns an object's members into the plain numbers of a hand-over and back. A type takes part by a member
// template `figures(f)` that calls `f` with each member, always in the same order.
#pragma once

#include <type_traits>

#include "cottonroad/gateway.hpp"

namespace cottonroad::policy {

template <typename T>
Handover::Figures save_figures(T& from) {
  Handover::Figures out;
  from.figures([&](const auto& x) { out.push_back(double(x)); });
  return out;
}

// False, with nothing changed, if the numbers come from another build.
template <typename T>
bool load_figures(T& into, const Handover::Figures& in) {
  if (in.size() != save_figures(into).size()) return false;
  auto next = in.begin();
  into.figures([&](auto& x) { x = std::remove_reference_t<decltype(x)>(*next++); });
  return true;
}

}  // namespace cottonroad::policy
