// The limit on the number of customers whose state is kept.
#include "decision/quota/customer_table.hpp"

#include <gtest/gtest.h>

#include "support/engine_harness.hpp"

namespace quota_gateway::testing {
namespace {

using decision::CustomerQuota;
using decision::CustomerTable;

bool forget_any(CustomerQuota&) { return true; }

TEST(CustomerTable, ForgetsTheCustomerWithTheOldestRequest) {
  CustomerTable table(2);
  ASSERT_NE(table.find_or_create("a", forget_any), nullptr);
  ASSERT_NE(table.find_or_create("b", forget_any), nullptr);
  ASSERT_NE(table.find_or_create("a", forget_any), nullptr);
  ASSERT_NE(table.find_or_create("c", forget_any), nullptr);
  EXPECT_EQ(table.size(), 2u);
  EXPECT_EQ(table.find("b"), nullptr);
  EXPECT_NE(table.find("a"), nullptr);
}

TEST(CustomerTable, KeepsCustomersThatMayNotBeForgotten) {
  CustomerTable table(1);
  ASSERT_NE(table.find_or_create("a", forget_any), nullptr);
  EXPECT_EQ(table.find_or_create("b", [](CustomerQuota&) { return false; }), nullptr);
  EXPECT_NE(table.find("a"), nullptr);
}

// Guards against a flood of names that lets another customer pass its hard limit.
TEST(CustomerTable, NewCustomersDoNotResetHardLimitOfAnother) {
  constexpr int kLimit = 4;
  Settings settings = basic_settings();
  settings.max_customers = kLimit;
  PlanSettings& plan = settings.plans[0];
  plan.rate = plan.burst = 1000;
  plan.hard_limit_rate = 0.001;
  plan.hard_limit_burst = 1010;  // ten units are certain to be left, five of them at this gateway
  EngineHarness engine(settings);
  int admitted = 0;
  const auto arrive = [&](const std::string& customer, int i) {
    RequestArrived request = EngineHarness::request(numbered("r", i), kMillisecond);
    request.customer = customer;
    for (const SendAttempt& attempt : actions_of<SendAttempt>(engine.step(kMillisecond, {request}))) {
      if (customer == "spender") ++admitted;
      engine.end_attempt(kMillisecond, attempt, Outcome::kOk);
    }
  };
  for (int i = 0; i < 200; ++i) arrive(i % 2 == 0 ? "spender" : "name" + std::to_string(i), i);
  EXPECT_EQ(admitted, 5);
}

}  // namespace
}  // namespace quota_gateway::testing
