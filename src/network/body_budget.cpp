#include "network/body_budget.hpp"

namespace quota_gateway::net {

std::size_t BodyBudget::buffered_body_limit() const {
  return used_bytes_ < max_bytes_ ? kBufferedBodyLimit : kBufferedBodyLimitUnderPressure;
}

BodyBudget::Share::~Share() { set(0); }

void BodyBudget::Share::set(std::size_t bytes) {
  budget_.used_bytes_ -= bytes_;
  budget_.used_bytes_ += bytes;
  bytes_ = bytes;
}

}  // namespace quota_gateway::net
