#include "cuminload/run_judge.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "support/property.h"

namespace cumin::load {

namespace {

/** What the modelled mesh does wrong, to one call. */
enum class MeshFault {
  kNone,
  kRunsTwice,
  kForgetsRun,
  kDeniesRun,
  kBreaksConnection,
  kStaysSilent,
  kCrossesAnswers,
};

/** A mesh that runs calls and says what it did. */
class MeshModel {
 public:
  /** Carries out one call whose attempts all fail but perhaps the last.
      @param may_run   the failed attempts whose outcome stays unknown
      @param succeeds  whether the last attempt runs */
  void Carry(bool keyed, int failed, int may_run, bool succeeds) {
    const std::size_t position = planned.size();
    const std::string name = std::to_string(position);
    PlannedCall call;
    call.key = keyed ? IdempotencyKey("key-" + name) : IdempotencyKey();
    CallOutcome outcome;
    outcome.planned = position;
    for (int i = 0; i < failed; ++i) {
      const AttemptEnd end =
          i < may_run ? AttemptEnd::kMayHaveRun : AttemptEnd::kNotRun;
      outcome.attempts.push_back(
          AttemptOutcome{name + "-" + std::to_string(i), end, 503, "", false});
    }
    if (succeeds || failed == 0) {
      const std::string id = name + "-last";
      outcome.attempts.push_back(
          AttemptOutcome{id, AttemptEnd::kRan, 200, "", false});
      LogRun(call.key, id);
    }
    planned.push_back(call);
    outcomes.push_back(outcome);
  }

  /** Does something wrong to a call that ran. */
  void Break(MeshFault fault) {
    const PlannedCall call{0, Duration(0), IdempotencyKey("broken"), 0};
    CallOutcome outcome;
    outcome.planned = planned.size();
    AttemptOutcome attempt{"broken-0", AttemptEnd::kRan, 200, "", false};
    if (fault != MeshFault::kForgetsRun) {
      LogRun(call.key, attempt.request_id);
    }
    if (fault == MeshFault::kRunsTwice) {
      LogRun(call.key, "broken-1");
    }
    if (fault == MeshFault::kDeniesRun) {
      attempt.end = AttemptEnd::kNotRun;
    }
    if (fault == MeshFault::kBreaksConnection) {
      attempt.end = AttemptEnd::kCut;
    }
    if (fault == MeshFault::kStaysSilent) {
      attempt.end = AttemptEnd::kNoAnswer;
    }
    attempt.mismatched = fault == MeshFault::kCrossesAnswers;
    outcome.attempts.push_back(attempt);
    planned.push_back(call);
    outcomes.push_back(outcome);
  }

  Judgement Judge() const {
    return RunJudge(records).Judge(planned, outcomes, true);
  }

  std::vector<PlannedCall> planned;
  std::vector<CallOutcome> outcomes;
  std::vector<RunRecord> records;

 private:
  void LogRun(const IdempotencyKey& key, const std::string& id) {
    records.push_back(RunRecord{RunEvent::kStart, "t", key, id});
    records.push_back(RunRecord{RunEvent::kFinish, "t", key, id});
  }
};

MeshModel DrawTruthfulMesh() {
  MeshModel mesh;
  const int calls = *rc::gen::inRange(0, 30);
  for (int i = 0; i < calls; ++i) {
    const int failed = *rc::gen::inRange(0, 4);
    mesh.Carry(*rc::gen::arbitrary<bool>(), failed,
               *rc::gen::inRange(0, failed + 1), *rc::gen::arbitrary<bool>());
  }
  return mesh;
}

class RunJudgeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RunJudgeTest);
  CPPUNIT_TEST(TestTruthfulMeshPasses);
  CPPUNIT_TEST(TestEachFaultIsFound);
  CPPUNIT_TEST(TestUncertainAndUnfinishedRunsAreCounted);
  CPPUNIT_TEST(TestWithoutRunLogsOnlyCallersAreJudged);
  CPPUNIT_TEST(TestRunLogLines);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestTruthfulMeshPasses() {
    test::CheckProperty("a truthful mesh passes",
                        [] { RC_ASSERT(DrawTruthfulMesh().Judge().Passed()); });
    for (const MeshFault fault :
         {MeshFault::kRunsTwice, MeshFault::kForgetsRun, MeshFault::kDeniesRun,
          MeshFault::kBreaksConnection, MeshFault::kStaysSilent,
          MeshFault::kCrossesAnswers}) {
      test::CheckPropertyFails("a faulty mesh passes", [fault] {
        MeshModel mesh = DrawTruthfulMesh();
        mesh.Break(fault);
        RC_ASSERT(mesh.Judge().Passed());
      });
    }
  }

  void TestEachFaultIsFound() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Broken(MeshFault::kRunsTwice).doubled);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Broken(MeshFault::kForgetsRun).lost);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         Broken(MeshFault::kDeniesRun).false_not_run);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         Broken(MeshFault::kBreaksConnection).cut);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         Broken(MeshFault::kStaysSilent).no_answer);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         Broken(MeshFault::kCrossesAnswers).mismatched);
    CPPUNIT_ASSERT(Broken(MeshFault::kNone).Passed());
  }

  void TestUncertainAndUnfinishedRunsAreCounted() {
    MeshModel mesh;
    mesh.Carry(true, 2, 1, false);
    mesh.Carry(true, 1, 1, false);
    mesh.records.push_back(
        RunRecord{RunEvent::kStart, "t", IdempotencyKey("key-1"), "1-0"});
    const Judgement judgement = mesh.Judge();
    CPPUNIT_ASSERT(judgement.Passed());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, judgement.uncertain);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, judgement.uncertain_started);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, judgement.unfinished_runs);
  }

  void TestWithoutRunLogsOnlyCallersAreJudged() {
    MeshModel mesh;
    mesh.Break(MeshFault::kForgetsRun);
    const Judgement judgement =
        RunJudge({}).Judge(mesh.planned, mesh.outcomes, false);
    CPPUNIT_ASSERT(judgement.Passed());
    CPPUNIT_ASSERT(!judgement.has_run_logs);
  }

  void TestRunLogLines() {
    const std::string line =
        R"({"event":"start","target":"t","key":"k","request_id":"r"})";
    const auto records = ParseRunLog(line + "\n" + line + "\n", "log").value();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, records.size());
    CPPUNIT_ASSERT_EQUAL(std::string("k"), records[1].key.str());
    for (const char* it : {"{", "[]", "{\"event\":\"start\"}", ""}) {
      const auto bad = ParseRunLog(line + "\n" + it + "\n", "log");
      CPPUNIT_ASSERT_MESSAGE(it, !bad);
      CPPUNIT_ASSERT_EQUAL(2, bad.error().line);
    }
  }

 private:
  static Judgement Broken(MeshFault fault) {
    MeshModel mesh;
    mesh.Break(fault);
    return mesh.Judge();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunJudgeTest);

}  // namespace

}  // namespace cumin::load
