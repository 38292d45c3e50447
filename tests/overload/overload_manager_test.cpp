// The steps of the overload manager.
#include "overload/overload_manager.hpp"

#include <gtest/gtest.h>

namespace quota_gateway::net::testing {
namespace {

constexpr std::size_t kLimit = 100'000'000;

TEST(OverloadManager, TakesTheStepsInOrderAndResetsRequestsLast) {
  OverloadManager overload(kLimit);
  std::size_t active_before = 0;
  for (std::size_t used = 0; used < kLimit / 2; used += kLimit / 100) {
    overload.update(1, used);
    std::size_t active = 0;
    while (active < kOverloadActionCount && overload.is_active(OverloadAction(active))) ++active;
    for (std::size_t later = active; later < kOverloadActionCount; ++later)
      EXPECT_FALSE(overload.is_active(OverloadAction(later))) << used;
    EXPECT_GE(active, active_before);
    EXPECT_LE(active, active_before + 1);
    active_before = active;
  }
  EXPECT_EQ(active_before, kOverloadActionCount);
  overload.update(1, 0);
  EXPECT_FALSE(overload.is_active(OverloadAction::kReduceReads));
}

TEST(OverloadManager, EndsAnActionOnlyOnceTheUseHasFallenSomewhat) {
  OverloadManager overload(kLimit);
  std::size_t used = 0;
  while (!overload.is_active(OverloadAction::kStopAccepting)) overload.update(1, ++used * 1000);
  overload.update(1, (used - 1) * 1000);
  EXPECT_TRUE(overload.is_active(OverloadAction::kStopAccepting));
  overload.update(1, (used - 1) * 1000 - kLimit / 20);
  EXPECT_FALSE(overload.is_active(OverloadAction::kStopAccepting));
}

TEST(OverloadManager, LogsChangesWithCountsAtMostOncePerSecond) {
  OverloadManager overload(kLimit);
  EXPECT_FALSE(overload.update(1, 0));
  const auto first = overload.update(2, kLimit / 2);
  ASSERT_TRUE(first);
  EXPECT_NE(first->find("close unfinished active, 1 times, applied 0"), std::string::npos) << *first;
  overload.count(OverloadAction::kCloseUnfinished);
  EXPECT_FALSE(overload.update(3, 0));
  const auto second = overload.update(1'500'000, 0);
  ASSERT_TRUE(second);
  EXPECT_NE(second->find("close unfinished ended, 1 times, applied 1"), std::string::npos) << *second;
}

}  // namespace
}  // namespace quota_gateway::net::testing
