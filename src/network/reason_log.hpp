// Counts events by their reason and logs the counts now and then.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "quota_gateway/time.hpp"

namespace quota_gateway::net {

// Writes at most one line per 5 s to standard error, with the counts since the last one.
class ReasonLog {
 public:
  // `subject` begins the line, as in "clients: connections closed by reason".
  explicit ReasonLog(std::string subject) : subject_(std::move(subject)) {}

  // `reason` must outlive this object.
  void count(std::string_view reason) { ++counts_[reason]; }
  // Writes the line if there are counts and the last line is old enough.
  void report_if_due(TimePoint now);

 private:
  [[nodiscard]] std::string describe() const;

  std::string subject_;
  std::map<std::string_view, std::uint64_t> counts_;
  TimePoint reported_at_ = 0;
};

}  // namespace quota_gateway::net
