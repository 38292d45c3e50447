// The gateway's figures. Each final answer and each attempt written whole is counted here, once.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "cottonroad/gateway.hpp"

namespace cottonroad::net {

// What stands now, as against what has been counted since the start.
struct Gauges {
  std::size_t in_progress = 0, known = 0, skipped = 0;
};

class Metrics {
 public:
  explicit Metrics(const Settings& settings);
  // A final answer, by the protocol's table: 200 served, 429 and 503 refused, any other failed.
  void answered(const std::string& request_class, int status);
  void wrote_attempt() { ++tries_; }
  std::string json(const Gauges& now) const;

 private:
  using ByClass = std::map<std::string, std::uint64_t>;
  ByClass passed_, dropped_, bad_gateway_;
  std::uint64_t tries_ = 0;
};

}  // namespace cottonroad::net
