// The metrics of one gateway. Each final response and each attempt sent is counted exactly once.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "quota_gateway/settings.hpp"

namespace quota_gateway::net {

// Current values, as opposed to the cumulative counts in Metrics.
struct Gauges {
  std::size_t requests_in_progress = 0;
  std::size_t known_endpoints = 0;
  std::size_t excluded_endpoints = 0;
};

// Why a response that was forwarded in chunks ended early.
enum class BrokenResponse {
  kByEndpoint,  // the endpoint closed or reset its connection
  kTimedOut,    // the endpoint hung or was too slow
};

// Counts events since the start of the process.
class Metrics {
 public:
  explicit Metrics(const Settings& settings);

  // Counts a final response by its status: 200 as served, 429 and 503 as rejected, any other as failed.
  void count_response(const std::string& request_class, int status);
  // Counts an attempt whose request has been written completely.
  void count_attempt() { ++attempts_; }

  // Counts a response that was forwarded in chunks and has ended early.
  void count_broken_response(BrokenResponse cause) { ++broken_responses_[describe(cause)]; }

  // Returns all counts and gauges under their public names, as one line of JSON.
  [[nodiscard]] std::string to_json(const Gauges& gauges) const;

 private:
  using CountByClass = std::map<std::string, std::uint64_t>;

  CountByClass& counts_for_status(int status);
  static std::string describe(BrokenResponse cause);

  CountByClass served_;
  CountByClass rejected_;
  CountByClass failed_;
  std::map<std::string, std::uint64_t> broken_responses_;  // by cause
  std::uint64_t attempts_ = 0;
};

}  // namespace quota_gateway::net
