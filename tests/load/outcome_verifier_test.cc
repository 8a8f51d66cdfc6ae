#include "cuminload/outcome_verifier.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "support/property.h"

namespace cumin::load {

namespace {

/** Fault that the mesh model injects into one call. */
enum class MeshFault {
  kNone,
  kRunsTwice,
  kLosesRun,
  kReportsNotRun,
  kBreaksConnection,
  kDoesNotRespond,
  kSwapsResponses,
};

/** Model of a mesh that runs calls and writes the run log. */
class MeshModel {
 public:
  /** Adds one correctly handled call.
      @param failed    number of failed attempts
      @param may_run   how many of these have an unknown outcome
      @param succeeds  whether a last attempt runs; always true without failed
                       attempts */
  void AddCall(bool keyed, int failed, int may_run, bool succeeds) {
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

  /** Adds one call that ran, with a fault injected. */
  void AddFaultyCall(MeshFault fault) {
    const PlannedCall call{0, Duration(0), IdempotencyKey("broken"), 0};
    CallOutcome outcome;
    outcome.planned = planned.size();
    AttemptOutcome attempt{"broken-0", AttemptEnd::kRan, 200, "", false};
    if (fault != MeshFault::kLosesRun) {
      LogRun(call.key, attempt.request_id);
    }
    if (fault == MeshFault::kRunsTwice) {
      LogRun(call.key, "broken-1");
    }
    if (fault == MeshFault::kReportsNotRun) {
      attempt.end = AttemptEnd::kNotRun;
    }
    if (fault == MeshFault::kBreaksConnection) {
      attempt.end = AttemptEnd::kCut;
    }
    if (fault == MeshFault::kDoesNotRespond) {
      attempt.end = AttemptEnd::kNoAnswer;
    }
    attempt.mismatched = fault == MeshFault::kSwapsResponses;
    outcome.attempts.push_back(attempt);
    planned.push_back(call);
    outcomes.push_back(outcome);
  }

  VerificationResult Verify() const {
    return OutcomeVerifier(records).Verify(planned, outcomes, true);
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

MeshModel DrawFaultFreeMesh() {
  MeshModel mesh;
  const int calls = *rc::gen::inRange(0, 30);
  for (int i = 0; i < calls; ++i) {
    const int failed = *rc::gen::inRange(0, 4);
    mesh.AddCall(*rc::gen::arbitrary<bool>(), failed,
                 *rc::gen::inRange(0, failed + 1), *rc::gen::arbitrary<bool>());
  }
  return mesh;
}

class OutcomeVerifierTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OutcomeVerifierTest);
  CPPUNIT_TEST(TestFaultFreeMeshPasses);
  CPPUNIT_TEST(TestEachFaultIsFound);
  CPPUNIT_TEST(TestUncertainAndUnfinishedRunsAreCounted);
  CPPUNIT_TEST(TestWithoutRunLogsOnlyCallersAreVerified);
  CPPUNIT_TEST(TestRunLogLines);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestFaultFreeMeshPasses() {
    test::CheckProperty("a mesh without faults passes", [] {
      RC_ASSERT(DrawFaultFreeMesh().Verify().Passed());
    });
    for (const MeshFault fault :
         {MeshFault::kRunsTwice, MeshFault::kLosesRun,
          MeshFault::kReportsNotRun, MeshFault::kBreaksConnection,
          MeshFault::kDoesNotRespond, MeshFault::kSwapsResponses}) {
      test::CheckPropertyFails("a faulty mesh passes", [fault] {
        MeshModel mesh = DrawFaultFreeMesh();
        mesh.AddFaultyCall(fault);
        RC_ASSERT(mesh.Verify().Passed());
      });
    }
  }

  void TestEachFaultIsFound() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         VerifyWithFault(MeshFault::kRunsTwice).doubled);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         VerifyWithFault(MeshFault::kLosesRun).lost);
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{1},
        VerifyWithFault(MeshFault::kReportsNotRun).false_not_run);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         VerifyWithFault(MeshFault::kBreaksConnection).cut);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         VerifyWithFault(MeshFault::kDoesNotRespond).no_answer);
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{1}, VerifyWithFault(MeshFault::kSwapsResponses).mismatched);
    CPPUNIT_ASSERT(VerifyWithFault(MeshFault::kNone).Passed());
  }

  void TestUncertainAndUnfinishedRunsAreCounted() {
    MeshModel mesh;
    mesh.AddCall(true, 2, 1, false);
    mesh.AddCall(true, 1, 1, false);
    mesh.records.push_back(
        RunRecord{RunEvent::kStart, "t", IdempotencyKey("key-1"), "1-0"});
    const VerificationResult verification = mesh.Verify();
    CPPUNIT_ASSERT(verification.Passed());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, verification.uncertain);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, verification.uncertain_started);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, verification.unfinished_runs);
  }

  void TestWithoutRunLogsOnlyCallersAreVerified() {
    MeshModel mesh;
    mesh.AddFaultyCall(MeshFault::kLosesRun);
    const VerificationResult verification =
        OutcomeVerifier({}).Verify(mesh.planned, mesh.outcomes, false);
    CPPUNIT_ASSERT(verification.Passed());
    CPPUNIT_ASSERT(!verification.has_run_logs);
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
  static VerificationResult VerifyWithFault(MeshFault fault) {
    MeshModel mesh;
    mesh.AddFaultyCall(fault);
    return mesh.Verify();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OutcomeVerifierTest);

}  // namespace

}  // namespace cumin::load
