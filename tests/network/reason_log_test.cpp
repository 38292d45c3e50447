// The log of counts by reason.
#include "network/reason_log.hpp"

#include <gtest/gtest.h>

namespace quota_gateway::net::testing {
namespace {

TEST(ReasonLog, WritesCountsByReasonAtMostOnceInFiveSeconds) {
  ReasonLog log("clients: closed");
  ::testing::internal::CaptureStderr();
  log.report_if_due(10'000'000);
  log.count("stalled");
  log.count("evicted");
  log.count("stalled");
  log.report_if_due(11'000'000);
  log.count("evicted");
  log.report_if_due(12'000'000);
  EXPECT_EQ(::testing::internal::GetCapturedStderr(), "clients: closed: evicted 1, stalled 2\n");
  ::testing::internal::CaptureStderr();
  log.report_if_due(16'000'000);
  EXPECT_EQ(::testing::internal::GetCapturedStderr(), "clients: closed: evicted 1\n");
}

}  // namespace
}  // namespace quota_gateway::net::testing
