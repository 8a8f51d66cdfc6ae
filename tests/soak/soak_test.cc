// Unit tests of the soak's checker and fault schedule, and short soak runs with
// fixed seeds.

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

#include "soak/soak_run.h"
#include "support/temp_dir.h"

namespace cumin::test {

namespace {

constexpr Duration kSecond = std::chrono::seconds(1);

class GuaranteeCheckerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GuaranteeCheckerTest);
  CPPUNIT_TEST(TestValidCallIsNotReported);
  CPPUNIT_TEST(TestSecondRunIsReported);
  CPPUNIT_TEST(TestRefusedCallThatRanIsReported);
  CPPUNIT_TEST(TestWrongOrUnmarkedAnswerIsReported);
  CPPUNIT_TEST(TestUnsentOrAlteredCallIsReported);
  CPPUNIT_TEST(TestClosedConnectionIsReportedUnlessVmFaulted);
  CPPUNIT_TEST(TestWorkAfterALeaveIsReported);
  CPPUNIT_TEST(TestReturnToOlderVersionIsReported);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestValidCallIsNotReported() {
    Send("a", false);
    Run("a", 1);
    Answer("a", 200);
    CPPUNIT_ASSERT(checker_.violations().empty());
    CPPUNIT_ASSERT_EQUAL(1, checker_.served());
  }

  void TestSecondRunIsReported() {
    Send("a", false);
    Run("a", 1);
    Run("a", 2);
    Expect(Guarantee::kAtMostOnce);
    Send("b", true);
    Run("b", 1);
    Run("b", 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, checker_.violations().size());
  }

  void TestRefusedCallThatRanIsReported() {
    Send("a", false);
    Run("a", 1);
    Answer("a", 503);
    Expect(Guarantee::kRefusedNotRun);
    Send("b", false);
    Answer("b", 429);
    Run("b", 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, checker_.violations().size());
  }

  void TestWrongOrUnmarkedAnswerIsReported() {
    Send("a", true);
    Run("a", 1);
    checker_.OnAnswer("a", 200, GuaranteeChecker::AnswerBody("b"), true);
    Expect(Guarantee::kCompleteAnswer);
    checker_.OnAnswer("a", 200, GuaranteeChecker::AnswerBody("a"), false);
    Send("c", true);
    Answer("c", 200);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, checker_.violations().size());
  }

  void TestUnsentOrAlteredCallIsReported() {
    Run("a", 1);
    Expect(Guarantee::kOnlySentCalls);
    Send("b", true);
    checker_.OnRun("b", 1, "other", now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, checker_.violations().size());
  }

  void TestClosedConnectionIsReportedUnlessVmFaulted() {
    Send("a", true);
    checker_.OnClosed("a", now_);
    CPPUNIT_ASSERT(checker_.violations().empty());
    checker_.OnFaultBegin(2);
    checker_.OnFaultEnd(2, now_);
    Send("b", true);
    Run("b", 2);
    checker_.OnClosed("b", now_);
    CPPUNIT_ASSERT(checker_.violations().empty());
    now_ += 5 * kSecond;
    Send("c", true);
    Run("c", 2);
    checker_.OnClosed("c", now_);
    Expect(Guarantee::kAnswered);
  }

  void TestWorkAfterALeaveIsReported() {
    checker_.OnLeaveAcknowledged(1, now_);
    now_ += 2 * kSecond;
    Send("a", true);
    Run("a", 1);
    CPPUNIT_ASSERT(checker_.violations().empty());
    now_ += kSecond;
    Run("a", 1);
    Expect(Guarantee::kNoWorkAfterLeave);
    checker_.OnTargetReplaced(1);
    Run("a", 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, checker_.violations().size());
  }

  void TestReturnToOlderVersionIsReported() {
    checker_.OnServedVersion(1, 1, 4, now_, now_ + kSecond);
    checker_.OnServedVersion(1, 1, 3, now_, now_ + kSecond);
    checker_.OnServedVersion(1, 2, 3, now_ + 2 * kSecond, now_ + 3 * kSecond);
    CPPUNIT_ASSERT(checker_.violations().empty());
    checker_.OnServedVersion(1, 2, 2, now_ + 4 * kSecond, now_ + 5 * kSecond);
    Expect(Guarantee::kMonotonicVersion);
  }

 private:
  void Send(const std::string& attempt, bool is_idempotent) {
    checker_.OnSent(attempt, is_idempotent, 0, now_);
  }

  void Run(const std::string& attempt, int vm) {
    checker_.OnRun(attempt, vm, GuaranteeChecker::RequestBody(attempt), now_);
  }

  void Answer(const std::string& attempt, int status) {
    checker_.OnAnswer(attempt, status, GuaranteeChecker::AnswerBody(attempt),
                      status == 200);
  }

  /** Asserts that the first violation is of this guarantee. */
  void Expect(Guarantee guarantee) {
    CPPUNIT_ASSERT(!checker_.violations().empty());
    CPPUNIT_ASSERT_EQUAL(
        std::string(ToString(guarantee)),
        std::string(ToString(checker_.violations()[0].guarantee)));
  }

  GuaranteeChecker checker_;
  MonoTime now_{std::chrono::seconds(100)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(GuaranteeCheckerTest);

class SoakTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SoakTest);
  CPPUNIT_TEST(TestSameSeedDrawsSameFaults);
  CPPUNIT_TEST(TestShortRuns);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestSameSeedDrawsSameFaults() {
    const FaultPlan plan;
    CPPUNIT_ASSERT(DrawFaults(plan, 7) == DrawFaults(plan, 7));
    CPPUNIT_ASSERT(!(DrawFaults(plan, 7) == DrawFaults(plan, 8)));
  }

  void TestShortRuns() {
    FaultPlan plan;
    plan.vms = 4;
    plan.length = 4 * kSecond;
    plan.faults = 8;
    for (const std::uint64_t seed : {1, 2, 3}) {
      const TempDir folder;
      const SoakReport report = RunSoak(plan, seed, folder.File(""));
      std::cout << report.Text();
      CPPUNIT_ASSERT(report.violations.empty());
      CPPUNIT_ASSERT(report.served > 0);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SoakTest);

}  // namespace

}  // namespace cumin::test
