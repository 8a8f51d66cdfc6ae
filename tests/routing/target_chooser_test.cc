#include "cumin_routing/target_chooser.h"

#include <algorithm>
#include <map>
#include <string>

#include "support/property.h"

namespace cumin {

namespace {

constexpr MonoTime kStart{std::chrono::hours(1)};
const ServiceId kService("catalogue");

Member MakeMember(int number, const std::string& region,
                  const std::string& domain, int slots) {
  Member member;
  member.vm = VmId("vm-" + std::to_string(number));
  member.endpoint =
      Endpoint{"127.0.0.1", static_cast<std::uint16_t>(1000 + number)};
  member.region = RegionId(region);
  member.failure_domain = FailureDomainId(domain);
  AnnouncedTarget target;
  target.service = kService;
  target.endpoint =
      Endpoint{"127.0.0.1", static_cast<std::uint16_t>(2000 + number)};
  target.slots = slots;
  target.state = TargetState::kReady;
  member.target = target;
  return member;
}

std::vector<Member> RandomMembers() {
  std::vector<Member> members;
  const int n = *rc::gen::inRange(0, 8);
  for (int i = 0; i < n; ++i) {
    Member member = MakeMember(
        i, *rc::gen::element<std::string>("perth", "pilbara"),
        *rc::gen::element<std::string>("a", "b"), *rc::gen::inRange(0, 4));
    member.target->state =
        *rc::gen::element(TargetState::kReady, TargetState::kReady,
                          TargetState::kLeaving, TargetState::kStarting);
    member.state = *rc::gen::element(MemberState::kAlive, MemberState::kSuspect,
                                     MemberState::kDead, MemberState::kLeft);
    members.push_back(member);
  }
  return members;
}

/** Information withheld from the chooser, so that the property must fail. */
enum class Fault { kNone, kLeavingHidden, kTriedHidden };

void CheckChoice(Fault fault) {
  SeededRandom random(*rc::gen::arbitrary<std::uint64_t>());
  const std::vector<Member> members = RandomMembers();
  std::vector<Member> known = members;
  if (fault == Fault::kLeavingHidden) {
    for (Member& it : known) {
      it.target->state = TargetState::kReady;
    }
  }
  TargetChooser chooser({RegionId("perth"), FailureDomainId("a")});
  chooser.SetMembers(known, kStart);
  std::map<VmId, bool> leaving;
  ChooseRequest request{kService, {}};
  std::vector<VmId> tried;
  for (int i = 0; i < 6; ++i) {
    if (!members.empty() && *rc::gen::inRange(0, 2) == 0) {
      const auto which = *rc::gen::inRange<std::size_t>(0, members.size());
      const TargetLoad load{0, 0, *rc::gen::inRange(0, 3),
                            *rc::gen::inRange(0, 3) == 0};
      chooser.OnLoad(members.at(which).vm, load, kStart);
      leaving[members.at(which).vm] = load.leaving || load.usable_slots == 0;
    }
    Refusal refusal;
    const auto chosen = chooser.Choose(request, kStart, random, &refusal);
    if (!chosen) {
      RC_ASSERT(refusal.verdict == Verdict::kNotRun);
      continue;
    }
    const auto it = std::find_if(
        members.begin(), members.end(),
        [&](const Member& member) { return member.vm == chosen->vm; });
    RC_ASSERT(it->target->state == TargetState::kReady);
    RC_ASSERT(it->target->slots > 0);
    RC_ASSERT(it->state <= MemberState::kSuspect);
    RC_ASSERT(!leaving[chosen->vm]);
    RC_ASSERT(std::count(tried.begin(), tried.end(), chosen->vm) == 0);
    tried.push_back(chosen->vm);
    if (fault != Fault::kTriedHidden) {
      request.tried = tried;
    }
  }
}

class TargetChooserTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetChooserTest);
  CPPUNIT_TEST(TestNeverChoosesUnavailableTarget);
  CPPUNIT_TEST(TestOverflowsOnlyWhenNearerTargetsAreFull);
  CPPUNIT_TEST(TestReportedLoadDecays);
  CPPUNIT_TEST(TestFailingTargetIsAvoidedAndRetried);
  CPPUNIT_TEST(TestUnreachableDaemonIsAvoidedImmediately);
  CPPUNIT_TEST(TestFullTargetsAreWeighedByDelayAndDistance);
  CPPUNIT_TEST(TestLargeResponsesStayInRegion);
  CPPUNIT_TEST(TestLargeResponsesAvoidSaturatedLink);
  CPPUNIT_TEST(TestReplacedTargetIsNoLongerLeaving);
  CPPUNIT_TEST(TestTwoRandomChoicesBalanceLoad);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestNeverChoosesUnavailableTarget() {
    test::CheckPropertyFails("usable targets only, leaving hidden",
                             [] { CheckChoice(Fault::kLeavingHidden); });
    test::CheckPropertyFails("usable targets only, tried hidden",
                             [] { CheckChoice(Fault::kTriedHidden); });
    test::CheckProperty("usable targets only",
                        [] { CheckChoice(Fault::kNone); });
  }

  void TestOverflowsOnlyWhenNearerTargetsAreFull() {
    TargetChooser chooser({RegionId("perth"), FailureDomainId("a")});
    chooser.SetMembers(
        {MakeMember(0, "perth", "a", 2), MakeMember(1, "perth", "b", 2),
         MakeMember(2, "pilbara", "a", 2)},
        kStart);
    SeededRandom random(1);
    std::vector<std::string> chosen;
    for (int i = 0; i < 7; ++i) {
      Refusal refusal;
      chosen.push_back(
          chooser.Choose({kService, {}}, kStart, random, &refusal)->vm.str());
    }
    const std::vector<std::string> expected = {"vm-0", "vm-0", "vm-1", "vm-1",
                                               "vm-2", "vm-2", "vm-0"};
    CPPUNIT_ASSERT(expected == chosen);
  }

  void TestReportedLoadDecays() {
    TargetChooser chooser({RegionId("perth"), FailureDomainId("a")});
    chooser.SetMembers(
        {MakeMember(0, "perth", "a", 2), MakeMember(1, "perth", "b", 2)},
        kStart);
    chooser.OnLoad(VmId("vm-0"), {2, 6, 2, false}, kStart);
    SeededRandom random(1);
    Refusal refusal;
    const auto choose = [&](Duration later) {
      const auto chosen =
          chooser.Choose({kService, {}}, kStart + later, random, &refusal);
      chooser.Finish(chosen->vm);
      return chosen->vm.str();
    };
    CPPUNIT_ASSERT_EQUAL(std::string("vm-1"), choose(Duration(0)));
    CPPUNIT_ASSERT_EQUAL(std::string("vm-0"), choose(std::chrono::seconds(6)));
  }

  void TestFailingTargetIsAvoidedAndRetried() {
    TargetHealth health;
    health.OnFailure(kStart);
    CPPUNIT_ASSERT(health.IsUsable(kStart));
    health.OnFailure(kStart);
    CPPUNIT_ASSERT(!health.IsUsable(kStart));
    const MonoTime later = kStart + std::chrono::milliseconds(600);
    CPPUNIT_ASSERT(health.IsUsable(later));
    health.OnSent(later);
    CPPUNIT_ASSERT(!health.IsUsable(later));
    health.OnSuccess();
    CPPUNIT_ASSERT(health.IsUsable(later));
  }

  void TestUnreachableDaemonIsAvoidedImmediately() {
    TargetChooser chooser({RegionId("perth"), FailureDomainId("a")});
    chooser.SetMembers(
        {MakeMember(0, "perth", "a", 2), MakeMember(1, "pilbara", "b", 2)},
        kStart);
    chooser.OnUnreachable(VmId("vm-0"), kStart);
    SeededRandom random(1);
    Refusal refusal;
    for (int i = 0; i < 2; ++i) {
      CPPUNIT_ASSERT_EQUAL(
          std::string("vm-1"),
          chooser.Choose({kService, {}}, kStart, random, &refusal)->vm.str());
    }
  }

  void TestFullTargetsAreWeighedByDelayAndDistance() {
    // The target in the own failure domain is slow and has a long queue; the
    // one in the other region is fast. All targets are above their slot limit.
    TargetChooser chooser({RegionId("perth"), FailureDomainId("a")});
    chooser.SetMembers(
        {MakeMember(0, "perth", "a", 2), MakeMember(1, "pilbara", "b", 2)},
        kStart);
    constexpr Duration kSlow = std::chrono::milliseconds(300);
    constexpr Duration kFast = std::chrono::milliseconds(50);
    chooser.OnLoad(VmId("vm-0"), {2, 4, 2, false, kSlow}, kStart);
    chooser.OnLoad(VmId("vm-1"), {2, 1, 2, false, kFast}, kStart);
    SeededRandom random(1);
    Refusal refusal;
    int fast = 0;
    for (int i = 0; i < 20; ++i) {
      const auto chosen =
          chooser.Choose({kService, {}}, kStart, random, &refusal);
      chooser.Finish(chosen->vm);
      fast += chosen->vm.str() == "vm-1" ? 1 : 0;
    }
    CPPUNIT_ASSERT(fast > 14);
  }

  void TestLargeResponsesStayInRegion() {
    TargetChooser chooser({RegionId("perth"), FailureDomainId("a")});
    const Member near = MakeMember(0, "perth", "b", 2);
    const Member far = MakeMember(1, "pilbara", "b", 2);
    chooser.SetMembers({near, far}, kStart);
    chooser.OnLoad(near.vm, {2, 9, 2, false}, kStart);
    SeededRandom random(1);
    Refusal refusal;
    ChooseRequest request{kService, {}, true};
    for (int i = 0; i < 5; ++i) {
      CPPUNIT_ASSERT_EQUAL(
          near.vm, chooser.Choose(request, kStart, random, &refusal)->vm);
    }
    chooser.SetMembers({far}, kStart);
    CPPUNIT_ASSERT_EQUAL(far.vm,
                         chooser.Choose(request, kStart, random, &refusal)->vm);
  }

  void TestLargeResponsesAvoidSaturatedLink() {
    TargetChooser chooser({RegionId("perth"), FailureDomainId("a")});
    const Member slow_link = MakeMember(0, "perth", "a", 4);
    const Member fast_link = MakeMember(1, "perth", "b", 4);
    chooser.SetMembers({slow_link, fast_link}, kStart);
    TargetLoad load{0, 0, 4, false};
    load.link_wait = std::chrono::seconds(2);
    chooser.OnLoad(slow_link.vm, load, kStart);
    SeededRandom random(1);
    Refusal refusal;
    const ChooseRequest large{kService, {}, true};
    const ChooseRequest small{kService, {}, false};
    CPPUNIT_ASSERT_EQUAL(fast_link.vm,
                         chooser.Choose(large, kStart, random, &refusal)->vm);
    CPPUNIT_ASSERT_EQUAL(slow_link.vm,
                         chooser.Choose(small, kStart, random, &refusal)->vm);
    // The reported link backlog has been transmitted by now.
    const MonoTime later = kStart + load.link_wait;
    CPPUNIT_ASSERT_EQUAL(slow_link.vm,
                         chooser.Choose(large, later, random, &refusal)->vm);
  }

  void TestReplacedTargetIsNoLongerLeaving() {
    TargetChooser chooser({RegionId("perth"), FailureDomainId("a")});
    Member member = MakeMember(0, "perth", "a", 2);
    chooser.SetMembers({member}, kStart);
    chooser.OnLoad(member.vm, {0, 0, 2, true}, kStart);
    SeededRandom random(1);
    Refusal refusal;
    CPPUNIT_ASSERT(!chooser.Choose({kService, {}}, kStart, random, &refusal));
    CPPUNIT_ASSERT(refusal.reason == RefusalReason::kNoTarget);
    chooser.SetMembers({member}, kStart);
    CPPUNIT_ASSERT(!chooser.Choose({kService, {}}, kStart, random, &refusal));
    const MonoTime later = kStart + std::chrono::seconds(1);
    CPPUNIT_ASSERT(chooser.Choose({kService, {}}, later, random, &refusal));
    member.incarnation += 1;
    chooser.SetMembers({member}, kStart);
    CPPUNIT_ASSERT(chooser.Choose({kService, {}}, kStart, random, &refusal));
  }

  void TestTwoRandomChoicesBalanceLoad() {
    test::CheckProperty("no target has much more load than the mean", [] {
      TargetChooser chooser({RegionId("perth"), FailureDomainId("a")});
      std::vector<Member> members;
      members.reserve(6);
      for (int i = 0; i < 6; ++i) {
        members.push_back(MakeMember(i, "perth", "a", 12));
      }
      chooser.SetMembers(members, kStart);
      SeededRandom random(*rc::gen::arbitrary<std::uint64_t>());
      const int calls = *rc::gen::inRange(1, 72);
      for (int i = 0; i < calls; ++i) {
        Refusal refusal;
        chooser.Choose({kService, {}}, kStart, random, &refusal);
      }
      for (const Member& it : members) {
        RC_ASSERT(chooser.InFlight(it.vm) <= calls / 6 + 3);
      }
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetChooserTest);

}  // namespace

}  // namespace cumin
