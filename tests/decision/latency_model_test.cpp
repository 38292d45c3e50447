// Latency estimates by class and size, and the catalog that indexes the classes.
#include "decision/latency_model.hpp"

#include <gtest/gtest.h>

#include <vector>

#include "decision/field_serialization.hpp"
#include "decision/service_catalog.hpp"

namespace quota_gateway::decision {
namespace {

Settings two_classes() {
  Settings settings;
  settings.classes.resize(2);
  settings.classes[0].name = "read";
  settings.classes[0].latency_objective = 600'000;
  settings.classes[1].name = "write";
  settings.classes[1].latency_objective = 1'200'000;
  settings.max_request_units = 4;
  return settings;
}

class LatencyModelTest : public testing::Test {
 protected:
  Settings settings = two_classes();
  ServiceCatalog catalog{settings};
  LatencyModel model{settings, catalog};
  const ClassSettings& read = catalog.request_class("read");
  const ClassSettings& write = catalog.request_class("write");
};

TEST_F(LatencyModelTest, InitialEstimateIsAFractionOfTheObjective) {
  EXPECT_DOUBLE_EQ(model.mean_latency(read), 100'000);
  EXPECT_DOUBLE_EQ(model.expected_latency(write, 3), 200'000);
}

TEST_F(LatencyModelTest, PriorLimitsTheWeightOfTheFirstResponse) {
  model.record_latency(read, 10'000);
  EXPECT_DOUBLE_EQ(model.mean_latency(read), 100'000 - 90'000.0 / 9);
  EXPECT_DOUBLE_EQ(model.mean_latency(write), 200'000);
}

TEST_F(LatencyModelTest, MeanConvergesAfterAPersistentChange) {
  for (int i = 0; i < 1000; ++i) model.record_latency(read, 10'000);
  EXPECT_NEAR(model.mean_latency(read), 10'000, 1);
}

TEST_F(LatencyModelTest, ExpectedLatencyIsProportionalToUnitsWithinBounds) {
  model.record_units(read, 2);
  EXPECT_DOUBLE_EQ(model.expected_latency(read, 2), 100'000);
  EXPECT_DOUBLE_EQ(model.expected_latency(read, 4), 200'000);
  EXPECT_DOUBLE_EQ(model.expected_latency(read, 1000), 400'000);
  EXPECT_DOUBLE_EQ(model.expected_latency(read, 0.001), 25'000);
  EXPECT_DOUBLE_EQ(model.expected_latency(read, 0), 100'000);
}

TEST_F(LatencyModelTest, UnknownClassesShareOneEstimate) {
  const ClassSettings& unknown = catalog.request_class("unlisted");
  EXPECT_EQ(&unknown, &catalog.request_class("another"));
  EXPECT_EQ(catalog.class_index(unknown), 2U);
  EXPECT_EQ(catalog.class_count(), 3U);
  model.record_latency(unknown, 50'000);
  EXPECT_DOUBLE_EQ(model.mean_latency(read), 100'000);
}

TEST_F(LatencyModelTest, SerializesMeansThenSamplesThenUnits) {
  model.record_latency(write, 200'000);
  model.record_units(read, 3);
  const std::vector<double> expected = {0, 200'000, 0, 0, 1, 0, 3, 0, 0};
  EXPECT_EQ(serialize_fields(model), expected);
}

TEST(ServiceCatalogTest, FindsOnlyConfiguredPlans) {
  Settings settings;
  settings.plans.resize(1);
  settings.plans[0].name = "basic";
  const ServiceCatalog catalog(settings);
  EXPECT_EQ(catalog.find_plan("basic"), &settings.plans[0]);
  EXPECT_EQ(&catalog.plan("basic"), &settings.plans[0]);
  EXPECT_EQ(catalog.find_plan("unlisted"), nullptr);
  EXPECT_EQ(catalog.plan("unlisted").rate, 0);
}

}  // namespace
}  // namespace quota_gateway::decision
