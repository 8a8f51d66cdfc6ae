#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>

#include "ledger/ledger_model.h"
#include "support/property.h"

namespace cumin::test {

namespace {

constexpr Duration kLongerThanLease = std::chrono::seconds(20);

ModelWeather Calm() { return ModelWeather{false, false, false, false, false}; }

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
  CPPUNIT_TEST(TestStoreOutageEndsInNotRun);
  CPPUNIT_TEST(TestLapsedOwnerKeepsItsKeys);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestUndisturbedCallsRun() {
    CheckProperty("each call runs when nothing fails, also across hand-overs",
                  [] {
                    LedgerModel model(*rc::gen::arbitrary<std::uint64_t>(),
                                      ModelFaults{}, Calm());
                    int owner = 0;
                    model.AwaitOwner(owner);
                    const int n = *rc::gen::inRange(1, 30);
                    for (int i = 0; i < n; ++i) {
                      if (*rc::gen::inRange(0, 4) == 0) {
                        owner = HandOver(&model, owner);
                      }
                      const int call = model.SendNew();
                      model.Carry(call, owner);
                      RC_ASSERT(model.runs(i) == 1);
                    }
                  });
  }

  void TestResendIsAnsweredAgain() {
    LedgerModel model = Owned();
    model.Carry(model.SendNew(), 0);
    const int resend = model.Resend(0);
    model.Carry(resend, 0);
    CPPUNIT_ASSERT(model.replayed(resend));
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
    const int second = model.Resend(0);
    model.Carry(second, 0);
    CPPUNIT_ASSERT_EQUAL(RefusalReason::kKeyInProgress, model.reason(second));
    model.Check(first);
    model.Run(first);
    model.Finish(first, Verdict::kMayHaveRun);
    const int third = model.Resend(0);
    model.Carry(third, 0);
    CPPUNIT_ASSERT_EQUAL(RefusalReason::kKeyUncertain, model.reason(third));
    CPPUNIT_ASSERT_EQUAL(1, model.runs(0));
  }

  void TestFrozenFirstAttemptAfterOwnerDied() {
    LedgerModel model = Owned();
    const int frozen = model.SendNew();
    model.Carry(model.Resend(0), 0);
    model.Kill(0);
    model.Advance(kLongerThanLease);
    model.AwaitOwner(1);
    model.Carry(frozen, 1);
    CPPUNIT_ASSERT_EQUAL(RefusalReason::kKeyUncertain, model.reason(frozen));
    CPPUNIT_ASSERT_EQUAL(1, model.runs(0));
    model.Advance(std::chrono::seconds(60));
    model.AwaitOwner(1);
    const int later = model.Resend(0);
    model.Carry(later, 1);
    CPPUNIT_ASSERT_EQUAL(RefusalReason::kKeyExpired, model.reason(later));
  }

  void TestOwnerPausedBetweenCheckAndDispatch() {
    LedgerModel model = Owned();
    const int first = model.SendNew();
    model.Arrive(first, 0);
    model.Check(first);
    model.Advance(kLongerThanLease);
    model.AwaitOwner(1);
    const int resend = model.Resend(0);
    model.Carry(resend, 1);
    model.Run(first);
    CPPUNIT_ASSERT_EQUAL(RefusalReason::kKeyUncertain, model.reason(resend));
    CPPUNIT_ASSERT_EQUAL(1, model.runs(0));
  }

  void TestOwnerPausedPastLease() {
    LedgerModel model = Owned();
    const int admitted = model.SendNew();
    model.Arrive(admitted, 0);
    model.Advance(kLongerThanLease);
    model.Check(admitted);
    const int fresh = model.SendNew();
    model.Carry(fresh, 0);
    CPPUNIT_ASSERT_EQUAL(RefusalReason::kLeaseUnavailable,
                         model.reason(admitted));
    CPPUNIT_ASSERT_EQUAL(RefusalReason::kLeaseUnavailable, model.reason(fresh));
  }

  void TestHandoverCrossesResend() {
    LedgerModel model = Owned();
    model.Carry(model.SendNew(), 0);
    const int waiting = model.SendNew();
    model.Arrive(waiting, 0);
    model.Export(0);
    const int early = model.Resend(0);
    model.Carry(early, 0);
    CPPUNIT_ASSERT_EQUAL(RefusalReason::kNotShardOwner, model.reason(early));
    model.Check(waiting);
    CPPUNIT_ASSERT_EQUAL(RefusalReason::kNotShardOwner, model.reason(waiting));
    model.Import(0, 1);
    model.AwaitOwner(1);
    const int late = model.Resend(0);
    model.Carry(late, 1);
    CPPUNIT_ASSERT(model.replayed(late));
    model.Carry(model.Resend(1), 1);
    CPPUNIT_ASSERT_EQUAL(1, model.runs(1));
  }

  void TestLateHandoverOfEarlierEpoch() {
    CPPUNIT_ASSERT(TakeLateHandover(ModelFaults{}).empty());
    ModelFaults faults;
    faults.handover_epoch_ignored = true;
    CPPUNIT_ASSERT(!TakeLateHandover(faults).empty());
  }

  void TestStoreOutageEndsInNotRun() {
    LedgerModel model = Owned();
    model.SetStoreDown(true);
    const int covered = model.SendNew();
    model.Carry(covered, 0);
    CPPUNIT_ASSERT_EQUAL(1, model.runs(0));
    model.Advance(kLongerThanLease);
    const int uncovered = model.SendNew();
    model.Carry(uncovered, 0);
    CPPUNIT_ASSERT_EQUAL(RefusalReason::kLeaseUnavailable,
                         model.reason(uncovered));
    model.SetStoreDown(false);
    model.AwaitOwner(0);
    model.Carry(model.Resend(1), 0);
    CPPUNIT_ASSERT_EQUAL(1, model.runs(1));
  }

  void TestLapsedOwnerKeepsItsKeys() {
    LedgerModel model = Owned();
    model.Carry(model.SendNew(), 0);
    model.Advance(kLongerThanLease);
    model.AwaitOwner(0);
    const int resend = model.Resend(0);
    model.Carry(resend, 0);
    CPPUNIT_ASSERT(model.replayed(resend));
  }

 private:
  static LedgerModel Owned(ModelFaults faults = ModelFaults{}) {
    LedgerModel model(1, faults, Calm());
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
  static std::string TakeLateHandover(ModelFaults faults) {
    LedgerModel model = Owned(faults);
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
