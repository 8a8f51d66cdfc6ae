#include "cumin_routing/retry_budget.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace cumin {

namespace {

/** The size and the limits of a deployment: in a window, a service may get
    this many retries for each call, and so many besides, from all daemons
    together. */
constexpr int kDaemons = 19;
constexpr double kRetryRatio = 0.2;
constexpr double kRetrySlack = 64;
/** The limit of one daemon's budget. */
constexpr double kShare = kRetrySlack / kDaemons;
/** Calls of a quiet service in one window. */
constexpr int kCallsInWindow = 300;
/** Calls in the time before, in which nothing failed. */
constexpr int kCallsBefore = 10000;
constexpr int kMaxAttempts = 3;

class RetryBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RetryBudgetTest);
  CPPUNIT_TEST(TestRetriesOfFleetStayWithinItsLimit);
  CPPUNIT_TEST(TestFullBudgetBelowTheCostAllowsOneRetry);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against retries that each daemon's budget allows and that exceed the
  // limit of the fleet when the targets of a quiet service reject every call.
  void TestRetriesOfFleetStayWithinItsLimit() {
    std::vector<RetryBudget> budgets(kDaemons);
    for (int i = 0; i < kCallsBefore; ++i) {
      budgets[static_cast<std::size_t>(i % kDaemons)].OnCall(kShare);
    }
    int retries = 0;
    for (int i = 0; i < kCallsInWindow; ++i) {
      RetryBudget& budget = budgets[static_cast<std::size_t>(i % kDaemons)];
      budget.OnCall(kShare);
      int attempts = 1;
      while (attempts < kMaxAttempts && budget.TryTake(Verdict::kNotRun)) {
        attempts += 1;
        retries += 1;
      }
    }
    const double limit = kRetryRatio * kCallsInWindow + kRetrySlack;
    CPPUNIT_ASSERT_MESSAGE(std::to_string(retries) + " retries",
                           retries <= limit);
  }

  void TestFullBudgetBelowTheCostAllowsOneRetry() {
    RetryBudget budget;
    for (int i = 0; i < kCallsBefore; ++i) {
      budget.OnCall(kShare);
    }
    CPPUNIT_ASSERT(budget.TryTake(Verdict::kMayHaveRun));
    CPPUNIT_ASSERT(!budget.TryTake(Verdict::kMayHaveRun));
    CPPUNIT_ASSERT(!budget.TryTake(Verdict::kNotRun));
    CPPUNIT_ASSERT(budget.left() < 0);
    budget.OnCall(kShare);
    CPPUNIT_ASSERT(!budget.TryTake(Verdict::kNotRun));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryBudgetTest);

}  // namespace

}  // namespace cumin
