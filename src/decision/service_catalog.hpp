// The configured request classes and service plans, by name.
#pragma once

#include <cstddef>
#include <string>

#include "quota_gateway/settings.hpp"

namespace quota_gateway::decision {

// Requests that name a class or plan that is not configured get the default settings. The settings must
// outlive the catalog; references that it returns are valid as long as the catalog.
class ServiceCatalog {
 public:
  explicit ServiceCatalog(const Settings& settings) : settings_(settings) {}

  [[nodiscard]] const ClassSettings& request_class(const std::string& name) const;
  [[nodiscard]] const PlanSettings& plan(const std::string& name) const;
  // Returns the plan, or null if none with this name is configured.
  [[nodiscard]] const PlanSettings* find_plan(const std::string& name) const;

  // Classes are indexed in the order of the settings; the last index is for unknown classes.
  [[nodiscard]] std::size_t class_count() const { return settings_.classes.size() + 1; }
  [[nodiscard]] std::size_t class_index(const ClassSettings& request_class) const;

 private:
  const Settings& settings_;
  const ClassSettings unknown_class_{};
  const PlanSettings unknown_plan_{};
};

}  // namespace quota_gateway::decision
