#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>

#include "ledger/ledger_model.h"
#include "support/property.h"

namespace cumin::test {

namespace {

constexpr Duration kLongerThanLease = std::chrono::seconds(20);

/** One difficult sequence of events for at-most-once execution per test. */
class LedgerTracesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LedgerTracesTest);
  CPPUNIT_TEST(TestCallsRunWithoutFaults);
  CPPUNIT_TEST(TestResendGetsStoredAnswer);
  CPPUNIT_TEST(TestNotRunReleasesTheKey);
  CPPUNIT_TEST(TestConcurrentAttemptsRunOnce);
  CPPUNIT_TEST(TestDelayedFirstAttemptAfterOwnerDied);
  CPPUNIT_TEST(TestOwnerPausedBetweenCheckAndDispatch);
  CPPUNIT_TEST(TestOwnerPausedPastLease);
  CPPUNIT_TEST(TestHandoverCrossesResend);
  CPPUNIT_TEST(TestLateHandoverOfEarlierEpoch);
  CPPUNIT_TEST(TestStaleHandoverWhileAcquiring);
  CPPUNIT_TEST(TestStoreOutageEndsInNotRun);
  CPPUNIT_TEST(TestOwnerKeepsKeysAcrossExpiredLease);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestCallsRunWithoutFaults() {
    CheckProperty(
        "each call runs when nothing fails, also across hand-overs", [] {
          LedgerModel model(*rc::gen::arbitrary<std::uint64_t>(), ModelSetup{});
          int owner = 0;
          model.StepUntilOwner(owner);
          const int n = *rc::gen::inRange(1, 30);
          for (int i = 0; i < n; ++i) {
            if (*rc::gen::inRange(0, 4) == 0) {
              owner = HandOver(&model, owner);
            }
            model.Process(model.SendNew(), owner);
            RC_ASSERT(model.runs(i) == 1);
          }
        });
  }

  void TestResendGetsStoredAnswer() {
    LedgerModel model = Owned();
    model.Process(model.SendNew(), 0);
    Expect(RefusalReason::kNone, model.Process(model.Resend(0), 0));
    CPPUNIT_ASSERT_EQUAL(1, model.runs(0));
  }

  void TestNotRunReleasesTheKey() {
    LedgerModel model = Owned();
    const int first = model.SendNew();
    model.Admit(first, 0);
    model.Check(first);
    model.Finish(first, Verdict::kNotRun);
    model.Process(model.Resend(0), 0);
    CPPUNIT_ASSERT_EQUAL(1, model.runs(0));
  }

  void TestConcurrentAttemptsRunOnce() {
    LedgerModel model = Owned();
    const int first = model.SendNew();
    model.Admit(first, 0);
    Expect(RefusalReason::kKeyInProgress, model.Process(model.Resend(0), 0));
    model.Check(first);
    model.Run(first);
    model.Finish(first, Verdict::kMayHaveRun);
    Expect(RefusalReason::kKeyUncertain, model.Process(model.Resend(0), 0));
  }

  // The first attempt of a call arrives after its resend has run and the owner
  // has been replaced by one that does not know the key.
  void TestDelayedFirstAttemptAfterOwnerDied() {
    LedgerModel model = Owned();
    const int delayed = model.SendNew();
    model.Process(model.Resend(0), 0);
    model.Restart(0);
    model.StepUntilOwner(1);
    Expect(RefusalReason::kKeyUncertain, model.Process(delayed, 1));
    model.Advance(std::chrono::seconds(60));
    model.StepUntilOwner(1);
    Expect(RefusalReason::kKeyExpired, model.Process(model.Resend(0), 1));
  }

  // An owner dispatches a checked attempt after another daemon has taken over
  // the shard; the new owner must refuse the resend.
  void TestOwnerPausedBetweenCheckAndDispatch() {
    LedgerModel model = Owned();
    const int first = model.SendNew();
    model.Admit(first, 0);
    model.Check(first);
    model.StepUntilOwner(1);
    Expect(RefusalReason::kKeyUncertain, model.Process(model.Resend(0), 1));
    model.Run(first);
    CPPUNIT_ASSERT_EQUAL(1, model.runs(0));
  }

  void TestOwnerPausedPastLease() {
    LedgerModel model = Owned();
    const int admitted = model.SendNew();
    model.Admit(admitted, 0);
    model.Advance(kLongerThanLease);
    model.Check(admitted);
    Expect(RefusalReason::kLeaseUnavailable, model.reason(admitted));
    Expect(RefusalReason::kLeaseUnavailable, model.Process(model.SendNew(), 0));
  }

  void TestHandoverCrossesResend() {
    LedgerModel model = Owned();
    model.Process(model.SendNew(), 0);
    const int waiting = model.SendNew();
    model.Admit(waiting, 0);
    model.Export(0);
    Expect(RefusalReason::kNotShardOwner, model.Process(model.Resend(0), 0));
    model.Check(waiting);
    Expect(RefusalReason::kNotShardOwner, model.reason(waiting));
    model.Import(0, 1);
    model.StepUntilOwner(1);
    Expect(RefusalReason::kNone, model.Process(model.Resend(0), 1));
    model.Process(model.Resend(1), 1);
    CPPUNIT_ASSERT_EQUAL(1, model.runs(0));
    CPPUNIT_ASSERT_EQUAL(1, model.runs(1));
  }

  void TestLateHandoverOfEarlierEpoch() {
    CPPUNIT_ASSERT_EQUAL(std::string(), ImportLateHandover(ModelSetup{}));
    ModelSetup setup;
    setup.handover_epoch_ignored = true;
    CPPUNIT_ASSERT_EQUAL(std::string("a call ran twice"),
                         ImportLateHandover(setup));
  }

  // An older hand-over arrives while the record for a newer one is written; the
  // keys of the newer one must be imported.
  void TestStaleHandoverWhileAcquiring() {
    LedgerModel model = Owned();
    const int next = HandOver(&model, 0);
    model.Process(model.SendNew(), next);
    model.Export(next);
    model.Import(1, 0);
    model.StepDaemon(0);  // Reads the shard record.
    model.Import(0, 0);
    model.StepDaemon(0);  // Writes the shard record.
    Expect(RefusalReason::kNone, model.Process(model.Resend(0), 0));
    CPPUNIT_ASSERT_EQUAL(1, model.runs(0));
  }

  void TestStoreOutageEndsInNotRun() {
    LedgerModel model = Owned();
    model.store().SetDown(true);
    Expect(RefusalReason::kNone, model.Process(model.SendNew(), 0));
    model.Advance(kLongerThanLease);
    Expect(RefusalReason::kLeaseUnavailable, model.Process(model.SendNew(), 0));
    model.store().SetDown(false);
    model.StepUntilOwner(0);
    Expect(RefusalReason::kNone, model.Process(model.Resend(1), 0));
  }

  void TestOwnerKeepsKeysAcrossExpiredLease() {
    LedgerModel model = Owned();
    model.Process(model.SendNew(), 0);
    model.Advance(kLongerThanLease);
    model.StepUntilOwner(0);
    Expect(RefusalReason::kNone, model.Process(model.Resend(0), 0));
    CPPUNIT_ASSERT_EQUAL(1, model.runs(0));
  }

 private:
  static void Expect(RefusalReason expected, RefusalReason actual) {
    CPPUNIT_ASSERT_EQUAL(expected, actual);
  }

  static LedgerModel Owned(const ModelSetup& setup = ModelSetup{}) {
    LedgerModel model(1, setup);
    model.StepUntilOwner(0);
    return model;
  }

  static int HandOver(LedgerModel* model, int owner) {
    const int next = (owner + 1) % 3;
    model->Export(owner);
    model->Import(model->exports() - 1, next);
    model->StepUntilOwner(next);
    return next;
  }

  // A hand-over is delivered again after its sender has reacquired the shard.
  // Accepting it would lose the calls that ran since.
  static std::string ImportLateHandover(const ModelSetup& setup) {
    LedgerModel model = Owned(setup);
    model.Export(0);
    model.Import(0, 1);
    model.StepUntilOwner(1);
    model.Export(1);
    model.Import(1, 0);
    model.StepUntilOwner(0);
    model.Process(model.SendNew(), 0);
    model.Import(0, 1);
    model.StepUntilOwner(1);
    model.Process(model.Resend(0), 1);
    return model.violation();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LedgerTracesTest);

}  // namespace

}  // namespace cumin::test
