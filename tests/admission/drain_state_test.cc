#include "cumin_admission/drain_state.h"

#include "cumin_admission/slow_start.h"
#include "support/property.h"

namespace cumin {

namespace {

constexpr MonoTime kStart{std::chrono::hours(1)};
constexpr Duration kMs = std::chrono::milliseconds(1);
constexpr Duration kMaxAcceptTime = std::chrono::seconds(3);

/** Runs a drain with random confirmations and calls. */
void CheckDrain(const DrainLimits& limits) {
  DrainState drain(limits);
  const int peers = *rc::gen::inRange(0, 4);
  std::set<VmId> routing;
  for (int i = 0; i < peers; ++i) {
    routing.insert(VmId("vm-" + std::to_string(i)));
  }
  int in_flight = *rc::gen::inRange(0, 5);
  MonoTime now = kStart;
  drain.BeginLeave(routing, now);
  RC_ASSERT(!drain.IsReady());
  DrainStep last = DrainStep::kAnnounced;
  while (drain.step() != DrainStep::kEnded) {
    RC_ASSERT(now - kStart <= std::chrono::seconds(26));
    now += kMs * *rc::gen::inRange(1, 800);
    if (*rc::gen::inRange(0, 5) == 0) {
      drain.OnPeerConfirmed(
          VmId("vm-" + std::to_string(*rc::gen::inRange(0, 4))));
    }
    const DrainStep step = drain.Advance(in_flight, now);
    RC_ASSERT(step >= last);
    last = step;
    RC_ASSERT(!drain.IsReady());
    if (drain.AcceptsWork()) {
      RC_ASSERT(now - kStart < kMaxAcceptTime);
      in_flight += *rc::gen::inRange(0, 2);
    }
    const bool before_end = now - kStart < std::chrono::seconds(25);
    RC_ASSERT(step != DrainStep::kEnded || in_flight == 0 || !before_end);
    if (in_flight > 0 && *rc::gen::inRange(0, 3) == 0) {
      in_flight -= 1;
    }
  }
}

class DrainStateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DrainStateTest);
  CPPUNIT_TEST(TestDrainStopsNewWorkAndInterruptsNoCall);
  CPPUNIT_TEST(TestEndsAtOnceWhenAllConfirmed);
  CPPUNIT_TEST(TestSlowStartRampsFromFirstAnswer);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestDrainStopsNewWorkAndInterruptsNoCall() {
    test::CheckPropertyFails("drain; fault: new work accepted for too long",
                             [] {
                               DrainLimits limits;
                               limits.accept_for = std::chrono::seconds(8);
                               CheckDrain(limits);
                             });
    test::CheckPropertyFails("drain; fault: ended while calls run", [] {
      DrainLimits limits;
      limits.end_after = std::chrono::seconds(10);
      CheckDrain(limits);
    });
    test::CheckProperty("drain", [] { CheckDrain(DrainLimits{}); });
  }

  void TestEndsAtOnceWhenAllConfirmed() {
    DrainState drain;
    drain.BeginLeave({VmId("a")}, kStart);
    CPPUNIT_ASSERT(DrainStep::kAnnounced == drain.Advance(0, kStart + kMs));
    drain.OnPeerConfirmed(VmId("a"));
    CPPUNIT_ASSERT(DrainStep::kRefusing == drain.Advance(1, kStart + 2 * kMs));
    CPPUNIT_ASSERT(DrainStep::kEnded == drain.Advance(0, kStart + 3 * kMs));
  }

  void TestSlowStartRampsFromFirstAnswer() {
    SlowStart ramp;
    CPPUNIT_ASSERT_EQUAL(3, ramp.UsableSlots(12, kStart));
    CPPUNIT_ASSERT_EQUAL(3, ramp.UsableSlots(12, kStart + kMs * 60000));
    ramp.OnAnswer(kStart);
    CPPUNIT_ASSERT_EQUAL(7, ramp.UsableSlots(12, kStart + kMs * 2500));
    CPPUNIT_ASSERT_EQUAL(12, ramp.UsableSlots(12, kStart + kMs * 5000));
    ramp.Begin();
    CPPUNIT_ASSERT_EQUAL(3, ramp.UsableSlots(12, kStart + kMs * 5000));
    CPPUNIT_ASSERT_EQUAL(1, ramp.UsableSlots(1, kStart));
    CPPUNIT_ASSERT_EQUAL(0, ramp.UsableSlots(0, kStart));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DrainStateTest);

}  // namespace

}  // namespace cumin
