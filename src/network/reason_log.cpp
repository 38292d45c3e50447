#include "network/reason_log.hpp"

#include <iostream>

namespace quota_gateway::net {
namespace {

constexpr Duration kLogInterval = 5'000'000;  // us

}  // namespace

void ReasonLog::report_if_due(TimePoint now) {
  if (counts_.empty() || now - reported_at_ < kLogInterval) return;
  std::cerr << describe() << '\n';
  counts_.clear();
  reported_at_ = now;
}

std::string ReasonLog::describe() const {
  std::string line = subject_ + ":";
  const char* separator = " ";
  for (const auto& [reason, count] : counts_) {
    line.append(separator).append(reason).append(" ").append(std::to_string(count));
    separator = ", ";
  }
  return line;
}

}  // namespace quota_gateway::net
