#include <cppunit/extensions/HelperMacros.h>

#include "cumin_core/random.h"
#include "cumin_routing/rollout_plan.h"
#include "cumin_routing/target_chooser.h"

namespace cumin {

namespace {

constexpr Duration kReportStep = std::chrono::milliseconds(400);
constexpr double kRequestsPerStep = 320;
constexpr MonoTime kStart{std::chrono::hours(1)};
constexpr int kSeeds = 10000;

/** What the targets of a version do, on one of two routes. */
struct Behaviour {
  double failures = 0.004;
  double slow_part = 0;
  double slow_factor = 8;
  /** The fault begins this long after the start of the version. */
  Duration from{0};
  /** The fault shows from this share on. */
  double from_share = 0;
  bool on_one_route = false;
  /** Time of an answer beside that of the old version. */
  double speed = 1;
};

RolloutOrder MakeOrder() {
  RolloutOrder order;
  order.service = ServiceId("s");
  order.to_version = "v2";
  order.duration = std::chrono::seconds(16);
  order.revision = 5;
  return order;
}

/** Plays the answers of both versions to a RolloutPlan. */
class Play {
 public:
  Play(const Behaviour& behaviour, std::uint64_t seed)
      : behaviour_(behaviour), random_(seed), plan_(MakeOrder(), kStart) {}

  /** @returns the final state, or kActive when none was reached in time */
  RolloutState Run() {
    const MonoTime end = kStart + MakeOrder().duration;
    for (MonoTime now = kStart; now < end; now += kReportStep) {
      const Rollout rollout = plan_.Decide(now);
      if (rollout.state != RolloutState::kActive) {
        ended_at_ = now - kStart;
        return rollout.state;
      }
      Report(rollout.share, now);
    }
    return RolloutState::kActive;
  }

  double exposed() const { return exposed_; }
  Duration ended_at() const { return ended_at_; }

 private:
  void Report(double share, MonoTime now) {
    VersionReport before;
    before.version = "v1";
    VersionReport after;
    after.version = "v2";
    for (const char* const route : {"r1", "r2"}) {
      const double n = kRequestsPerStep / 2;
      const bool is_bad =
          now - kStart >= behaviour_.from && share >= behaviour_.from_share &&
          (!behaviour_.on_one_route || std::string(route) == "r1");
      if (share < 1) {
        before.samples.push_back(Sample(route, n * (1 - share), Behaviour{}));
      }
      if (share > 0) {
        Behaviour good;
        good.speed = behaviour_.speed;
        after.samples.push_back(
            Sample(route, n * share, is_bad ? behaviour_ : good));
        exposed_ += n * share;
      }
    }
    if (!before.samples.empty()) {
      plan_.OnReport(before, now);
    }
    plan_.OnReport(after, now);
  }

  /** @returns the answers of one step, with noise in spells and a long tail */
  VersionSample Sample(const char* route, double n, const Behaviour& how) {
    VersionSample sample;
    sample.route = route;
    sample.answers = static_cast<int>(n + random_.Unit());
    for (int i = 0; i < sample.answers; ++i) {
      double time_ms = 180 * how.speed * (0.6 + 0.8 * random_.Unit());
      time_ms *= random_.Unit() < 0.03 ? 5 : 1;
      time_ms *= random_.Unit() < 0.15 ? 2.5 : 1;
      time_ms *= random_.Unit() < how.slow_part ? how.slow_factor : 1;
      if (random_.Unit() < how.failures) {
        sample.failures += 1;
      } else {
        sample.timed += 1;
        sample.total_time +=
            std::chrono::microseconds(static_cast<int>(time_ms * 1000));
      }
    }
    return sample;
  }

  const Behaviour behaviour_;
  SeededRandom random_;
  RolloutPlan plan_;
  double exposed_ = 0;
  Duration ended_at_{0};
};

/** New versions that fail at once, slowly, late, under load or on one route,
    while targets are cold and noisy. */
class RolloutTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RolloutTest);
  CPPUNIT_TEST(TestGoodVersionIsCompleteInTime);
  CPPUNIT_TEST(TestGoodVersionIsRarelyRolledBack);
  CPPUNIT_TEST(TestBadVersionsAreRolledBack);
  CPPUNIT_TEST(TestVersionThatNeverAppearsStaysActive);
  CPPUNIT_TEST(TestFinalStateIsNeverLeft);
  CPPUNIT_TEST(TestLaterOrderReplaces);
  CPPUNIT_TEST(TestOldTargetsOnlyUntilShareIsGiven);
  CPPUNIT_TEST(TestShareGoesToFewNewTargets);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestGoodVersionIsCompleteInTime() {
    Play play(Behaviour{}, 1);
    CPPUNIT_ASSERT(play.Run() == RolloutState::kComplete);
    CPPUNIT_ASSERT(play.ended_at() < std::chrono::seconds(15));
  }

  void TestGoodVersionIsRarelyRolledBack() {
    int wrong = 0;
    for (int seed = 0; seed < kSeeds; ++seed) {
      // Targets of one version differ in speed.
      Behaviour good;
      good.speed = seed % 2 == 0 ? 1 : 1.5;
      wrong += Play(good, static_cast<std::uint64_t>(seed)).Run() ==
                       RolloutState::kRolledBack
                   ? 1
                   : 0;
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(wrong), wrong <= kSeeds / 1000);
  }

  void TestBadVersionsAreRolledBack() {
    Behaviour errors;
    errors.failures = 0.5;
    Behaviour slow;
    slow.slow_part = 0.5;
    Behaviour late = errors;
    late.from = std::chrono::seconds(3);
    Behaviour one_route = errors;
    one_route.on_one_route = true;
    Behaviour late_slow = slow;
    late_slow.from = std::chrono::seconds(3);
    for (const Behaviour& it : {errors, slow, late, one_route, late_slow}) {
      for (std::uint64_t seed = 0; seed < 200; ++seed) {
        Play play(it, seed);
        CPPUNIT_ASSERT(play.Run() == RolloutState::kRolledBack);
        // A tenth of the requests of the order's time.
        CPPUNIT_ASSERT(play.exposed() < 0.1 * 40 * kRequestsPerStep);
      }
    }
  }

  void TestVersionThatNeverAppearsStaysActive() {
    RolloutPlan plan(MakeOrder(), kStart);
    Rollout rollout;
    for (int i = 0; i < 100; ++i) {
      rollout = plan.Decide(kStart + i * kReportStep);
    }
    CPPUNIT_ASSERT(rollout.state == RolloutState::kActive);
    CPPUNIT_ASSERT_EQUAL(RolloutPlan::kFirstShare, rollout.share);
  }

  void TestFinalStateIsNeverLeft() {
    Rollout known;
    known.order = MakeOrder();
    known.state = RolloutState::kRolledBack;
    Rollout received = known;
    received.state = RolloutState::kActive;
    received.share = 1;
    received.stamp = 99;
    CPPUNIT_ASSERT(!MergeRollout(received, &known));
    received.state = RolloutState::kComplete;
    CPPUNIT_ASSERT(!MergeRollout(received, &known));
    CPPUNIT_ASSERT(known.state == RolloutState::kRolledBack);
  }

  void TestLaterOrderReplaces() {
    Rollout known;
    known.order = MakeOrder();
    known.state = RolloutState::kRolledBack;
    Rollout later;
    later.order = MakeOrder();
    later.order.revision = 6;
    later.order.to_version = "v3";
    CPPUNIT_ASSERT(MergeRollout(later, &known));
    CPPUNIT_ASSERT(known.state == RolloutState::kActive);
    Rollout earlier;
    earlier.order = MakeOrder();
    CPPUNIT_ASSERT(!MergeRollout(earlier, &known));
  }

  void TestOldTargetsOnlyUntilShareIsGiven() {
    const std::vector<VmId> chosen = ChooseMany({"v2", false, 1});
    for (const VmId& it : chosen) {
      CPPUNIT_ASSERT_EQUAL(std::string("old"), it.str().substr(0, 3));
    }
  }

  void TestShareGoesToFewNewTargets() {
    const std::vector<VmId> chosen = ChooseMany({"v2", true, 0.07});
    for (const VmId& it : chosen) {
      CPPUNIT_ASSERT_EQUAL(std::string("new0"), it.str());
    }
  }

 private:
  static std::vector<VmId> ChooseMany(const VersionChoice& version) {
    constexpr int kTargets = 10;
    TargetChooser chooser(Locality{RegionId("r"), FailureDomainId("d")});
    std::vector<Member> members;
    for (int i = 0; i < 2 * kTargets; ++i) {
      const bool is_new = i < kTargets;
      Member member;
      member.vm = VmId((is_new ? "new" : "old") + std::to_string(i));
      member.region = RegionId("r");
      member.failure_domain = FailureDomainId("d");
      AnnouncedTarget target;
      target.service = ServiceId("s");
      target.slots = 12;
      target.state = TargetState::kReady;
      target.version = is_new ? "v2" : "v1";
      member.target = target;
      members.push_back(member);
    }
    chooser.SetMembers(members, kStart);
    SeededRandom random(1);
    std::vector<VmId> chosen;
    for (int i = 0; i < 100; ++i) {
      ChooseRequest request;
      request.service = ServiceId("s");
      request.version = version;
      Refusal refusal;
      chosen.push_back(chooser.Choose(request, kStart, random, &refusal)->vm);
      chooser.Finish(chosen.back());
    }
    return chosen;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RolloutTest);

}  // namespace

}  // namespace cumin
