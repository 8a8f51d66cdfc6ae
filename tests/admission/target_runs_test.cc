#include "cumin_admission/target_runs.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cumin {

namespace {

constexpr MonoTime kStart{std::chrono::hours(1)};
constexpr Duration kKeptFor = std::chrono::seconds(10);
constexpr Duration kSecond = std::chrono::seconds(1);

class TargetRunsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetRunsTest);
  CPPUNIT_TEST(TestAnsweredRunsAreNotBlamed);
  CPPUNIT_TEST(TestRunsGivenUpShortlyBeforeAreBlamed);
  CPPUNIT_TEST(TestEachRunIsBlamedOnce);
  CPPUNIT_TEST(TestLaterRunsAreNotBlamed);
  CPPUNIT_TEST(TestRunsExpire);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestAnsweredRunsAreNotBlamed() {
    TargetRuns runs(kKeptFor);
    const auto answered = runs.Begin({{1}, false}, kStart);
    (void)runs.Begin({{2}, false}, kStart);
    runs.EndAnswered(answered);
    const std::vector<InFlightRequest> expected{{{2}, false}};
    CPPUNIT_ASSERT(expected == runs.TakeUnanswered(kStart, kSecond));
  }

  void TestRunsGivenUpShortlyBeforeAreBlamed() {
    TargetRuns runs(kKeptFor);
    const auto earlier = runs.Begin({{1}, false}, kStart);
    const auto later = runs.Begin({{2}, false}, kStart);
    CPPUNIT_ASSERT(runs.EndUnanswered(earlier, kStart));
    CPPUNIT_ASSERT(runs.EndUnanswered(later, kStart + 2 * kSecond));
    const std::vector<InFlightRequest> expected{{{2}, false}};
    CPPUNIT_ASSERT(expected ==
                   runs.TakeUnanswered(kStart + 3 * kSecond, kSecond));
  }

  void TestEachRunIsBlamedOnce() {
    TargetRuns runs(kKeptFor);
    const auto run = runs.Begin({{1}, false}, kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         runs.TakeUnanswered(kStart, kSecond).size());
    CPPUNIT_ASSERT(!runs.EndUnanswered(run, kStart));
    CPPUNIT_ASSERT(runs.TakeUnanswered(kStart, kSecond).empty());
  }

  // A call that is being sent when the end of the process shows did not reach
  // it.
  void TestLaterRunsAreNotBlamed() {
    TargetRuns runs(kKeptFor);
    (void)runs.Begin({{1}, false}, kStart);
    (void)runs.Begin({{2}, true}, kStart + kSecond);
    const std::vector<InFlightRequest> expected{{{1}, false}};
    CPPUNIT_ASSERT(expected == runs.TakeUnanswered(kStart, kSecond));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runs.size());
  }

  void TestRunsExpire() {
    TargetRuns runs(kKeptFor);
    const auto run = runs.Begin({{1}, false}, kStart);
    runs.Expire(kStart + 2 * kKeptFor);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runs.size());
    runs.EndUnanswered(run, kStart);
    runs.Expire(kStart + 2 * kKeptFor);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, runs.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetRunsTest);

}  // namespace

}  // namespace cumin
