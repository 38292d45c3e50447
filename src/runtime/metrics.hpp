// The gateway's figures. Each final answer and each attempt written whole is counted here, once.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "quota_gateway/decision_engine.hpp"

namespace quota_gateway::net {

// What stands now, as against what has been counted since the start.
struct Gauges {
  std::size_t in_progress = 0, known_endpoints = 0, excluded_endpoints = 0;
};

class Metrics {
 public:
  explicit Metrics(const Settings& settings);
  // A final answer, by the protocol's table: 200 served, 429 and 503 refused, any other failed.
  void count_response(const std::string& request_class, int status);
  void count_attempt() { ++tries_; }
  [[nodiscard]] std::string to_json(const Gauges& now) const;

 private:
  using ByClass = std::map<std::string, std::uint64_t>;
  ByClass passed_, dropped_, bad_gateway_;
  std::uint64_t tries_ = 0;
};

}  // namespace quota_gateway::net
