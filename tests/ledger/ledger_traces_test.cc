#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>

#include "ledger/ledger_model.h"
#include "support/property.h"

namespace cumin::test {

namespace {

constexpr Duration kLongerThanLease = std::chrono::seconds(20);

/** Orders of events that are hard for at-most-once execution, one each. */
class LedgerTracesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LedgerTracesTest);
  CPPUNIT_TEST(TestUndisturbedCallsRun);
  CPPUNIT_TEST(TestResendIsAnsweredAgain);
  CPPUNIT_TEST(TestNotRunFreesTheKey);
  CPPUNIT_TEST(TestConcurrentAttemptsRunOnce);
  CPPUNIT_TEST(TestFrozenFirstAttemptAfterOwnerDied);
  CPPUNIT_TEST(TestOwnerPausedBetweenCheckAndDispatch);
  CPPUNIT_TEST(TestOwnerPausedPastLease);
  CPPUNIT_TEST(TestHandoverCrossesResend);
  CPPUNIT_TEST(TestLateHandoverOfEarlierEpoch);
  CPPUNIT_TEST(TestStaleHandoverWhileAcquiring);
  CPPUNIT_TEST(TestStoreOutageEndsInNotRun);
  CPPUNIT_TEST(TestLapsedOwnerKeepsItsKeys);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestUndisturbedCallsRun() {
    CheckProperty(
        "each call runs when nothing fails, also across hand-overs", [] {
          LedgerModel model(*rc::gen::arbitrary<std::uint64_t>(), ModelSetup{});
          int owner = 0;
          model.AwaitOwner(owner);
          const int n = *rc::gen::inRange(1, 30);
          for (int i = 0; i < n; ++i) {
            if (*rc::gen::inRange(0, 4) == 0) {
              owner = HandOver(&model, owner);
            }
            model.Carry(model.SendNew(), owner);
            RC_ASSERT(model.runs(i) == 1);
          }
        });
  }

  void TestResendIsAnsweredAgain() {
    LedgerModel model = Owned();
    model.Carry(model.SendNew(), 0);
    Expect(RefusalReason::kNone, model.Carry(model.Resend(0), 0));
    CPPUNIT_ASSERT_EQUAL(1, model.runs(0));
  }

  void TestNotRunFreesTheKey() {
    LedgerModel model = Owned();
    const int first = model.SendNew();
    model.Arrive(first, 0);
    model.Check(first);
    model.Finish(first, Verdict::kNotRun);
    model.Carry(model.Resend(0), 0);
    CPPUNIT_ASSERT_EQUAL(1, model.runs(0));
  }

  void TestConcurrentAttemptsRunOnce() {
    LedgerModel model = Owned();
    const int first = model.SendNew();
    model.Arrive(first, 0);
    Expect(RefusalReason::kKeyInProgress, model.Carry(model.Resend(0), 0));
    model.Check(first);
    model.Run(first);
    model.Finish(first, Verdict::kMayHaveRun);
    Expect(RefusalReason::kKeyUncertain, model.Carry(model.Resend(0), 0));
  }

  void TestFrozenFirstAttemptAfterOwnerDied() {
    LedgerModel model = Owned();
    const int frozen = model.SendNew();
    model.Carry(model.Resend(0), 0);
    model.Kill(0);
    model.AwaitOwner(1);
    Expect(RefusalReason::kKeyUncertain, model.Carry(frozen, 1));
    model.Advance(std::chrono::seconds(60));
    model.AwaitOwner(1);
    Expect(RefusalReason::kKeyExpired, model.Carry(model.Resend(0), 1));
  }

  void TestOwnerPausedBetweenCheckAndDispatch() {
    LedgerModel model = Owned();
    const int first = model.SendNew();
    model.Arrive(first, 0);
    model.Check(first);
    model.AwaitOwner(1);
    Expect(RefusalReason::kKeyUncertain, model.Carry(model.Resend(0), 1));
    model.Run(first);
    CPPUNIT_ASSERT_EQUAL(1, model.runs(0));
  }

  void TestOwnerPausedPastLease() {
    LedgerModel model = Owned();
    const int admitted = model.SendNew();
    model.Arrive(admitted, 0);
    model.Advance(kLongerThanLease);
    model.Check(admitted);
    Expect(RefusalReason::kLeaseUnavailable, model.reason(admitted));
    Expect(RefusalReason::kLeaseUnavailable, model.Carry(model.SendNew(), 0));
  }

  void TestHandoverCrossesResend() {
    LedgerModel model = Owned();
    model.Carry(model.SendNew(), 0);
    const int waiting = model.SendNew();
    model.Arrive(waiting, 0);
    model.Export(0);
    Expect(RefusalReason::kNotShardOwner, model.Carry(model.Resend(0), 0));
    model.Check(waiting);
    Expect(RefusalReason::kNotShardOwner, model.reason(waiting));
    model.Import(0, 1);
    model.AwaitOwner(1);
    Expect(RefusalReason::kNone, model.Carry(model.Resend(0), 1));
    model.Carry(model.Resend(1), 1);
    CPPUNIT_ASSERT_EQUAL(1, model.runs(0));
    CPPUNIT_ASSERT_EQUAL(1, model.runs(1));
  }

  void TestLateHandoverOfEarlierEpoch() {
    CPPUNIT_ASSERT_EQUAL(std::string(), TakeLateHandover(ModelSetup{}));
    ModelSetup setup;
    setup.handover_epoch_ignored = true;
    CPPUNIT_ASSERT_EQUAL(std::string("a call ran twice"),
                         TakeLateHandover(setup));
  }

  void TestStaleHandoverWhileAcquiring() {
    LedgerModel model = Owned();
    const int next = HandOver(&model, 0);
    model.Carry(model.SendNew(), next);
    model.Export(next);
    model.Import(1, 0);
    model.StepDaemon(0);  // Reads the record.
    model.Import(0, 0);
    model.StepDaemon(0);  // Writes it.
    Expect(RefusalReason::kNone, model.Carry(model.Resend(0), 0));
    CPPUNIT_ASSERT_EQUAL(1, model.runs(0));
  }

  void TestStoreOutageEndsInNotRun() {
    LedgerModel model = Owned();
    model.store().SetDown(true);
    Expect(RefusalReason::kNone, model.Carry(model.SendNew(), 0));
    model.Advance(kLongerThanLease);
    Expect(RefusalReason::kLeaseUnavailable, model.Carry(model.SendNew(), 0));
    model.store().SetDown(false);
    model.AwaitOwner(0);
    Expect(RefusalReason::kNone, model.Carry(model.Resend(1), 0));
  }

  void TestLapsedOwnerKeepsItsKeys() {
    LedgerModel model = Owned();
    model.Carry(model.SendNew(), 0);
    model.Advance(kLongerThanLease);
    model.AwaitOwner(0);
    Expect(RefusalReason::kNone, model.Carry(model.Resend(0), 0));
    CPPUNIT_ASSERT_EQUAL(1, model.runs(0));
  }

 private:
  static void Expect(RefusalReason expected, RefusalReason actual) {
    CPPUNIT_ASSERT_EQUAL(expected, actual);
  }

  static LedgerModel Owned(const ModelSetup& setup = ModelSetup{}) {
    LedgerModel model(1, setup);
    model.AwaitOwner(0);
    return model;
  }

  static int HandOver(LedgerModel* model, int owner) {
    const int next = (owner + 1) % 3;
    model->Export(owner);
    model->Import(model->exports() - 1, next);
    model->AwaitOwner(next);
    return next;
  }

  // The first hand-over arrives again after the shard came back to its sender.
  static std::string TakeLateHandover(const ModelSetup& setup) {
    LedgerModel model = Owned(setup);
    model.Export(0);
    model.Import(0, 1);
    model.AwaitOwner(1);
    model.Export(1);
    model.Import(1, 0);
    model.AwaitOwner(0);
    model.Carry(model.SendNew(), 0);
    model.Import(0, 1);
    model.AwaitOwner(1);
    model.Carry(model.Resend(0), 1);
    return model.broken();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LedgerTracesTest);

}  // namespace

}  // namespace cumin::test
