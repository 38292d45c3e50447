#include "network/body_budget.hpp"

#include <algorithm>
#include <utility>

namespace quota_gateway::net {

std::size_t BodyBudget::buffered_body_limit() const {
  return is_under_pressure() ? kBufferedBodyLimitUnderPressure : kBufferedBodyLimit;
}

std::size_t BodyBudget::read_size() const { return is_under_pressure() ? kReadSizeUnderPressure : kReadSize; }

std::size_t BodyBudget::take_peak_bytes() { return std::exchange(peak_bytes_, used_bytes_); }

BodyBudget::Share::~Share() { set(0); }

void BodyBudget::Share::set(std::size_t bytes) {
  budget_.used_bytes_ -= bytes_;
  budget_.used_bytes_ += bytes;
  budget_.peak_bytes_ = std::max(budget_.peak_bytes_, budget_.used_bytes_);
  bytes_ = bytes;
}

}  // namespace quota_gateway::net
