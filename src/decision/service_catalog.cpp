#include "decision/service_catalog.hpp"

#include <algorithm>

namespace quota_gateway::decision {
namespace {

// Returns the last entry with this name, or null.
template <typename Entry>
const Entry* find_by_name(const std::vector<Entry>& entries, const std::string& name) {
  const auto found =
      std::find_if(entries.rbegin(), entries.rend(), [&](const Entry& entry) { return entry.name == name; });
  return found == entries.rend() ? nullptr : &*found;
}

}  // namespace

const ClassSettings& ServiceCatalog::request_class(const std::string& name) const {
  const ClassSettings* found = find_by_name(settings_.classes, name);
  return found != nullptr ? *found : unknown_class_;
}

const PlanSettings& ServiceCatalog::plan(const std::string& name) const {
  const PlanSettings* found = find_plan(name);
  return found != nullptr ? *found : unknown_plan_;
}

const PlanSettings* ServiceCatalog::find_plan(const std::string& name) const {
  return find_by_name(settings_.plans, name);
}

std::size_t ServiceCatalog::class_index(const ClassSettings& request_class) const {
  if (&request_class == &unknown_class_) return settings_.classes.size();
  return std::size_t(&request_class - settings_.classes.data());
}

}  // namespace quota_gateway::decision
