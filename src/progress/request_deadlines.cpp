#include "progress/request_deadlines.hpp"

#include <algorithm>

namespace quota_gateway::net {
namespace {

// Time for the response to reach the client, whose timeout starts when it sends the request.
constexpr Duration kResponseMargin = 20'000;     // us
constexpr double kMaxResponseMarginShare = 0.1;  // of the client's timeout

}  // namespace

void RequestDeadlines::begin_shutdown(TimePoint latest_deadline, TimePoint latest_client_deadline) {
  latest_deadline_ = latest_deadline;
  latest_client_deadline_ = latest_client_deadline;
}

TimePoint RequestDeadlines::client_deadline(TimePoint received_at, Duration timeout) {
  const auto max_margin = Duration(kMaxResponseMarginShare * double(timeout));
  return received_at + timeout - std::min(kResponseMargin, max_margin);
}

TimePoint RequestDeadlines::request_deadline(TimePoint client_deadline) const {
  return std::min(client_deadline, latest_deadline_.value_or(client_deadline));
}

ResponseDeadlines RequestDeadlines::response_deadlines(TimePoint client_deadline) const {
  return {.short_response = std::min(client_deadline, latest_client_deadline_.value_or(client_deadline)),
          .long_response = request_deadline(client_deadline)};
}

}  // namespace quota_gateway::net
