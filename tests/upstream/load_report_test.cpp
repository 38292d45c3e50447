// Parsing of the load report header.
#include "upstream/load_report.hpp"

#include <gtest/gtest.h>

namespace quota_gateway::net::testing {
namespace {

TEST(UpstreamLoadReportTest, AcceptsAllNamesOfEachMetric) {
  const LoadReport first = parse_load_report("inflight=1,queue=2,util=0.3,latency_ms=4,qps=5,eps=6");
  const LoadReport second =
      parse_load_report("TEXT active=1, waiting=2, cpu=0.3, avg_ms=4, rps=5, err_rps=6");
  for (const LoadReport& load : {first, second}) {
    EXPECT_DOUBLE_EQ(load.in_flight, 1);
    EXPECT_DOUBLE_EQ(load.queued, 2);
    EXPECT_DOUBLE_EQ(load.cpu_utilization, 0.3);
    EXPECT_DOUBLE_EQ(load.latency_ms, 4);
    EXPECT_DOUBLE_EQ(load.requests_per_s, 5);
    EXPECT_DOUBLE_EQ(load.errors_per_s, 6);
  }
}

TEST(UpstreamLoadReportTest, TreatsInvalidEntriesAsNotReported) {
  const LoadReport load = parse_load_report("TEXT inflight=-1, queue=x, util=inf, avg_ms, =5,, rps=7");
  EXPECT_LT(load.in_flight, 0);
  EXPECT_LT(load.queued, 0);
  EXPECT_LT(load.cpu_utilization, 0);
  EXPECT_LT(load.latency_ms, 0);
  EXPECT_DOUBLE_EQ(load.requests_per_s, 7);
}

TEST(UpstreamLoadReportTest, ReportsNothingForEmptyHeader) {
  const LoadReport load = parse_load_report("");
  EXPECT_LT(load.in_flight, 0);
  EXPECT_LT(load.errors_per_s, 0);
}

}  // namespace
}  // namespace quota_gateway::net::testing
