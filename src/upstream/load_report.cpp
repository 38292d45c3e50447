// Parsing of load and billing headers.
#include "upstream/load_report.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <optional>
#include <system_error>

namespace quota_gateway::net {
namespace {

constexpr std::string_view kFormatPrefix = "TEXT ";

// A name under which endpoints report a load metric. Different kinds of endpoints use different names.
struct LoadField {
  std::string_view name;
  double LoadReport::*field;
};

constexpr std::array<LoadField, 12> kLoadFields{{{"inflight", &LoadReport::in_flight},
                                                 {"active", &LoadReport::in_flight},
                                                 {"queue", &LoadReport::queued},
                                                 {"waiting", &LoadReport::queued},
                                                 {"util", &LoadReport::cpu_utilization},
                                                 {"cpu", &LoadReport::cpu_utilization},
                                                 {"latency_ms", &LoadReport::latency_ms},
                                                 {"avg_ms", &LoadReport::latency_ms},
                                                 {"qps", &LoadReport::requests_per_s},
                                                 {"rps", &LoadReport::requests_per_s},
                                                 {"eps", &LoadReport::errors_per_s},
                                                 {"err_rps", &LoadReport::errors_per_s}}};

// Parses the number at the start of a value and ignores what follows it, such as a unit. Returns std::nullopt
// if there is no number, or if it is negative or not finite.
std::optional<double> parse_load_value(std::string_view text) {
  double value = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
  if (parsed.ec != std::errc() || !std::isfinite(value) || value < 0) return std::nullopt;
  return value;
}

// Parses one "name=value" entry into the report; ignores an unknown name or an invalid value.
void parse_load_entry(std::string_view entry, LoadReport& load) {
  entry.remove_prefix(std::min(entry.find_first_not_of(' '), entry.size()));
  const auto equals = entry.find('=');
  if (equals == std::string_view::npos) return;
  const std::string_view name = entry.substr(0, equals);
  const std::optional<double> value = parse_load_value(entry.substr(equals + 1));
  if (!value) return;
  for (const LoadField& known : kLoadFields) {
    if (known.name == name) load.*known.field = *value;
  }
}

}  // namespace

LoadReport parse_load_report(std::string_view header) {
  LoadReport load;
  if (header.starts_with(kFormatPrefix)) header.remove_prefix(kFormatPrefix.size());
  while (!header.empty()) {
    const auto comma = std::min(header.find(','), header.size());
    parse_load_entry(header.substr(0, comma), load);
    header.remove_prefix(std::min(comma + 1, header.size()));
  }
  return load;
}

double parse_billed_units(std::string_view header) {
  double units = 0;
  const char* const end = header.data() + header.size();
  const auto parsed = std::from_chars(header.data(), end, units);
  const bool is_valid = parsed.ec == std::errc() && parsed.ptr == end && std::isfinite(units) && units > 0;
  return is_valid ? units : 0;
}

}  // namespace quota_gateway::net
