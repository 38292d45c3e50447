// The metrics of one gateway. Each final response and each attempt sent is counted here, once.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "quota_gateway/settings.hpp"

namespace quota_gateway::net {

// Present values, as opposed to the counters.
struct Gauges {
  std::size_t requests_in_progress = 0;
  std::size_t known_endpoints = 0;
  std::size_t excluded_endpoints = 0;
};

// Counters since the start of the process.
class Metrics {
 public:
  explicit Metrics(const Settings& settings);

  // Counts a final response by its status: 200 is served, 429 and 503 are rejected, any other has failed.
  void count_response(const std::string& request_class, int status);
  // Counts an attempt whose last byte has been written.
  void count_attempt() { ++attempts_; }

  // All counters and gauges under their public names, as one line of JSON.
  [[nodiscard]] std::string to_json(const Gauges& gauges) const;

 private:
  using CounterByClass = std::map<std::string, std::uint64_t>;

  CounterByClass& responses_with(int status);

  CounterByClass served_;
  CounterByClass rejected_;
  CounterByClass failed_;
  std::uint64_t attempts_ = 0;
};

}  // namespace quota_gateway::net
