// The soak's own parts, and short runs with fixed seeds.

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

#include "soak/soak_run.h"
#include "support/temp_dir.h"

namespace cumin::test {

namespace {

constexpr Duration kSecond = std::chrono::seconds(1);

class SoakJudgeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SoakJudgeTest);
  CPPUNIT_TEST(TestAKeptPromiseIsNotReported);
  CPPUNIT_TEST(TestSecondRunIsReported);
  CPPUNIT_TEST(TestRefusedCallThatRanIsReported);
  CPPUNIT_TEST(TestForeignOrCutAnswerIsReported);
  CPPUNIT_TEST(TestUnaskedOrChangedCallIsReported);
  CPPUNIT_TEST(TestClosedConnectionIsReportedUnlessHarmed);
  CPPUNIT_TEST(TestWorkAfterALeaveIsReported);
  CPPUNIT_TEST(TestStepBackIsReported);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestAKeptPromiseIsNotReported() {
    Send("a", false);
    Run("a", 1);
    Answer("a", 200);
    CPPUNIT_ASSERT(judge_.broken().empty());
    CPPUNIT_ASSERT_EQUAL(1, judge_.served());
  }

  void TestSecondRunIsReported() {
    Send("a", false);
    Run("a", 1);
    Run("a", 2);
    Expect(Promise::kOnce);
    Send("b", true);
    Run("b", 1);
    Run("b", 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, judge_.broken().size());
  }

  void TestRefusedCallThatRanIsReported() {
    Send("a", false);
    Run("a", 1);
    Answer("a", 503);
    Expect(Promise::kRefusedNotRun);
    Send("b", false);
    Answer("b", 429);
    Run("b", 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, judge_.broken().size());
  }

  void TestForeignOrCutAnswerIsReported() {
    Send("a", true);
    Run("a", 1);
    judge_.OnAnswer("a", 200, SoakJudge::AnswerBody("b"), true);
    Expect(Promise::kWholeAnswer);
    judge_.OnAnswer("a", 200, SoakJudge::AnswerBody("a"), false);
    Send("c", true);
    Answer("c", 200);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, judge_.broken().size());
  }

  void TestUnaskedOrChangedCallIsReported() {
    Run("a", 1);
    Expect(Promise::kOnlyAsked);
    Send("b", true);
    judge_.OnRun("b", 1, "other", now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, judge_.broken().size());
  }

  void TestClosedConnectionIsReportedUnlessHarmed() {
    Send("a", true);
    judge_.OnClosed("a", now_);
    CPPUNIT_ASSERT(judge_.broken().empty());
    judge_.OnHarm(2);
    judge_.OnHarmEnd(2, now_);
    Send("b", true);
    Run("b", 2);
    judge_.OnClosed("b", now_);
    CPPUNIT_ASSERT(judge_.broken().empty());
    now_ += 5 * kSecond;
    Send("c", true);
    Run("c", 2);
    judge_.OnClosed("c", now_);
    Expect(Promise::kAnswered);
  }

  void TestWorkAfterALeaveIsReported() {
    judge_.OnLeaveAcknowledged(1, now_);
    now_ += 2 * kSecond;
    Send("a", true);
    Run("a", 1);
    CPPUNIT_ASSERT(judge_.broken().empty());
    now_ += kSecond;
    Run("a", 1);
    Expect(Promise::kLeft);
    judge_.OnTargetReturns(1);
    Run("a", 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, judge_.broken().size());
  }

  void TestStepBackIsReported() {
    judge_.OnServedVersion(1, 1, 4, now_, now_ + kSecond);
    judge_.OnServedVersion(1, 1, 3, now_, now_ + kSecond);
    judge_.OnServedVersion(1, 2, 3, now_ + 2 * kSecond, now_ + 3 * kSecond);
    CPPUNIT_ASSERT(judge_.broken().empty());
    judge_.OnServedVersion(1, 2, 2, now_ + 4 * kSecond, now_ + 5 * kSecond);
    Expect(Promise::kForward);
  }

 private:
  void Send(const std::string& attempt, bool may_repeat) {
    judge_.OnSent(attempt, may_repeat, 0, now_);
  }

  void Run(const std::string& attempt, int vm) {
    judge_.OnRun(attempt, vm, SoakJudge::RequestBody(attempt), now_);
  }

  void Answer(const std::string& attempt, int status) {
    judge_.OnAnswer(attempt, status, SoakJudge::AnswerBody(attempt),
                    status == 200);
  }

  /** The first broken promise is this one. */
  void Expect(Promise promise) {
    CPPUNIT_ASSERT(!judge_.broken().empty());
    CPPUNIT_ASSERT_EQUAL(std::string(ToString(promise)),
                         std::string(ToString(judge_.broken()[0].promise)));
  }

  SoakJudge judge_;
  MonoTime now_{std::chrono::seconds(100)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(SoakJudgeTest);

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
      CPPUNIT_ASSERT(report.broken.empty());
      CPPUNIT_ASSERT(report.served > 0);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SoakTest);

}  // namespace

}  // namespace cumin::test
