// The retry budget: its initial tokens, its refill and its maximum.
#include "decision/retry_budget.hpp"

#include <gtest/gtest.h>

namespace quota_gateway::decision {
namespace {

int consume_all(RetryBudget& budget) {
  int tokens = 0;
  for (; budget.has_token(); ++tokens) budget.consume_token();
  return tokens;
}

TEST(RetryBudgetTest, StartsWithTenTokens) {
  RetryBudget budget;
  EXPECT_EQ(consume_all(budget), 10);
}

TEST(RetryBudgetTest, AllowsOneRetryPerTenFirstAttempts) {
  RetryBudget budget;
  consume_all(budget);
  for (int i = 0; i < 55; ++i) budget.on_first_attempt();
  EXPECT_EQ(consume_all(budget), 5);
}

TEST(RetryBudgetTest, HoldsAtMostTenTokens) {
  RetryBudget budget;
  for (int i = 0; i < 1000; ++i) budget.on_first_attempt();
  EXPECT_EQ(consume_all(budget), 10);
}

}  // namespace
}  // namespace quota_gateway::decision
