#include "cumin_proxy/target_gate.h"

#include <future>
#include <memory>

#include "support/property.h"
#include "support/wait_until.h"

namespace cumin {

namespace {

const ServiceId kService("desk");

/** One call with all that it refers to. */
struct OwnedCall {
  OwnedCall(const std::string& path, Duration deadline) {
    call.service = kService;
    call.request.path = path;
    call.deadline = SystemClock().Now() + deadline;
    entering = std::make_unique<GateCall>(call, contract, operation);
  }

  Call call;
  Contract contract;
  Operation operation;
  std::unique_ptr<GateCall> entering;
};

AnnouncedTarget MakeTarget(TargetState state) {
  return AnnouncedTarget{kService, Endpoint{"127.0.0.1", 1}, 1, state};
}

class TargetGateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetGateTest);
  CPPUNIT_TEST(TestWaitingCallGetsTheSlot);
  CPPUNIT_TEST(TestDeadlineEndsTheWaitAsNotRun);
  CPPUNIT_TEST(TestLeavingTargetRefusesWaitingAndNewCalls);
  CPPUNIT_TEST(TestUnreachableTargetHasNoSlotsUntilItAnnounces);
  CPPUNIT_TEST(TestCrashIsNotedOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    gate_ = std::make_unique<TargetGate>(VmId("vm-1"), clock_, metrics_);
    gate_->SetTarget(MakeTarget(TargetState::kReady));
  }

  void TestWaitingCallGetsTheSlot() {
    OwnedCall first("/a", kLong);
    OwnedCall second("/b", kLong);
    CPPUNIT_ASSERT(!gate_->Enter(*first.entering));
    auto waiting = EnterInThread(second);
    gate_->Leave(*first.entering, RunOutcome::kAnswered);
    CPPUNIT_ASSERT(!waiting.get());
    CPPUNIT_ASSERT_EQUAL(1, gate_->Load().in_flight);
    gate_->Leave(*second.entering, RunOutcome::kAnswered);
    CPPUNIT_ASSERT_EQUAL(0, gate_->Load().in_flight);
  }

  void TestDeadlineEndsTheWaitAsNotRun() {
    OwnedCall first("/a", kLong);
    OwnedCall second("/b", std::chrono::milliseconds(30));
    CPPUNIT_ASSERT(!gate_->Enter(*first.entering));
    const std::optional<Refusal> refusal = gate_->Enter(*second.entering);
    CPPUNIT_ASSERT(refusal && refusal->verdict == Verdict::kNotRun);
    CPPUNIT_ASSERT_EQUAL(0, gate_->Load().queued);
    gate_->Leave(*first.entering, RunOutcome::kAnswered);
  }

  void TestLeavingTargetRefusesWaitingAndNewCalls() {
    OwnedCall first("/a", kLong);
    OwnedCall second("/b", kLong);
    OwnedCall third("/c", kLong);
    CPPUNIT_ASSERT(!gate_->Enter(*first.entering));
    auto waiting = EnterInThread(second);
    gate_->SetTarget(MakeTarget(TargetState::kLeaving));
    const std::optional<Refusal> refusal = waiting.get();
    CPPUNIT_ASSERT(refusal && refusal->reason == RefusalReason::kTargetLeaving);
    CPPUNIT_ASSERT(gate_->Enter(*third.entering).has_value());
    CPPUNIT_ASSERT(gate_->Load().leaving);
    CPPUNIT_ASSERT(gate_->AdvanceDrain() == DrainStep::kRefusing);
    gate_->Leave(*first.entering, RunOutcome::kAnswered);
    CPPUNIT_ASSERT(gate_->AdvanceDrain() == DrainStep::kEnded);
  }

  void TestUnreachableTargetHasNoSlotsUntilItAnnounces() {
    gate_->OnTargetUnreachable();
    CPPUNIT_ASSERT_EQUAL(0, gate_->Load().usable_slots);
    OwnedCall refused("/a", kLong);
    CPPUNIT_ASSERT(gate_->Enter(*refused.entering)->reason ==
                   RefusalReason::kNoTarget);
    gate_->OnAnnouncement();
    OwnedCall entered("/a", kLong);
    CPPUNIT_ASSERT(!gate_->Enter(*entered.entering));
    gate_->Leave(*entered.entering, RunOutcome::kAnswered);
  }

  void TestCrashIsNotedOnce() {
    OwnedCall call("/a", kLong);
    CPPUNIT_ASSERT(!gate_->Enter(*call.entering));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         gate_->OnTargetCrash(*call.entering).size());
    CPPUNIT_ASSERT(gate_->OnTargetCrash(*call.entering).empty());
    gate_->Leave(*call.entering, RunOutcome::kFailed);
    // A second crash under the same request quarantines it.
    OwnedCall again("/a", kLong);
    CPPUNIT_ASSERT(!gate_->Enter(*again.entering));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         gate_->OnTargetCrash(*again.entering).size());
    gate_->Leave(*again.entering, RunOutcome::kFailed);
    OwnedCall third("/a", kLong);
    CPPUNIT_ASSERT(gate_->Enter(*third.entering)->reason ==
                   RefusalReason::kQuarantined);
    OwnedCall other("/b", kLong);
    CPPUNIT_ASSERT(!gate_->Enter(*other.entering));
    gate_->Leave(*other.entering, RunOutcome::kAnswered);
  }

 private:
  static constexpr Duration kLong = std::chrono::seconds(60);

  std::future<std::optional<Refusal>> EnterInThread(OwnedCall& call) {
    auto entered = std::async(std::launch::async, [this, &call] {
      return gate_->Enter(*call.entering);
    });
    CPPUNIT_ASSERT(
        test::WaitUntil([this] { return gate_->Load().queued == 1; }));
    return entered;
  }

  SystemClock clock_;
  MetricRegistry metrics_;
  std::unique_ptr<TargetGate> gate_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetGateTest);

}  // namespace

}  // namespace cumin
