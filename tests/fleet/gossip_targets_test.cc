#include "cumin_fleet/gossip_targets.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include "cumin_fleet/contact_list.h"
#include "support/property.h"

namespace cumin {

namespace {

constexpr MonoTime kStart{std::chrono::hours(1)};
constexpr int kRegions = 3;

RegionId RegionOf(int number) {
  return RegionId("region-" + std::to_string(number % kRegions));
}

Member MakeMember(int number) {
  Member member;
  member.vm = VmId("vm-" + std::to_string(number));
  member.endpoint =
      Endpoint{"10.0.0.1", static_cast<std::uint16_t>(number + 1)};
  member.region = RegionOf(number);
  member.failure_domain = FailureDomainId("domain");
  member.incarnation = 1;
  return member;
}

/** The member table of one daemon in a fleet that is spread over regions. */
class Fleet {
 public:
  Fleet(int self, int members)
      : table_(MakeMember(self), MemberTableSettings{}) {
    for (int i = 0; i < members; ++i) {
      if (i != self) {
        (void)table_.Merge(MakeMember(i), MergeSource::kTableSync, kStart);
      }
    }
  }

  void MarkDead(int number) {
    table_.MarkUnresponsive(MakeMember(number).vm, 1, MemberState::kDead,
                            kStart);
  }

  const MemberTable& table() const { return table_; }

 private:
  MemberTable table_;
};

class GossipTargetsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GossipTargetsTest);
  CPPUNIT_TEST(TestOneMessageInFiveLeavesTheRegion);
  CPPUNIT_TEST(TestSmallFleets);
  CPPUNIT_TEST(TestDepartedMemberHearsFromItsRegionOnly);
  CPPUNIT_TEST(TestJoinReadsAFixedNumberOfTables);
  CPPUNIT_TEST(TestJoinReachesOtherRegionsWithoutItsOwn);
  CPPUNIT_TEST(TestContactText);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestOneMessageInFiveLeavesTheRegion() {
    SeededRandom random(1);
    const Fleet fleet(0, 295);
    GossipTargets targets(fleet.table());
    int other_region = 0;
    for (int i = 0; i < 500; ++i) {
      for (const VmId& it : targets.Choose(1, random)) {
        other_region += fleet.table().Find(it)->region == RegionOf(0) ? 0 : 1;
      }
    }
    CPPUNIT_ASSERT_EQUAL(100, other_region);
  }

  void TestSmallFleets() {
    test::CheckProperty(
        "different live members, without the daemon itself", [] {
          SeededRandom random(*rc::gen::arbitrary<std::uint64_t>());
          const int n = *rc::gen::inRange(1, 9);
          const int count = *rc::gen::inRange(0, 9);
          const Fleet fleet(0, n);
          const std::vector<VmId> chosen =
              GossipTargets(fleet.table()).Choose(count, random);
          const std::set<VmId> different(chosen.begin(), chosen.end());
          RC_ASSERT(different.size() == chosen.size());
          RC_ASSERT(static_cast<int>(chosen.size()) == std::min(count, n - 1));
          RC_ASSERT(different.count(fleet.table().self().vm) == 0U);
        });
  }

  // Load: a third of the fleet is replaced. Each departed member is sent
  // gossip for 30 s, whatever the size of the fleet.
  void TestDepartedMemberHearsFromItsRegionOnly() {
    constexpr int kIntervals = 20;
    constexpr int kDeparted = 1;
    // Every stride-th daemon is asked; strides that share no factor with the
    // number of regions.
    const std::pair<int, int> sizes[] = {{30, 1}, {295, 10}, {1431, 50}};
    for (const auto& [n, stride] : sizes) {
      SeededRandom random(1);
      int senders = 0;
      for (int i = 0; i < n; i += stride) {
        if (i == kDeparted) {
          continue;
        }
        Fleet fleet(i, n);
        fleet.MarkDead(kDeparted);
        const GossipTargets targets(fleet.table());
        for (int k = 0; k < kIntervals; ++k) {
          const bool sends =
              targets.MustGossipTo(MakeMember(kDeparted).vm, random);
          CPPUNIT_ASSERT(!sends || RegionOf(i) == RegionOf(kDeparted));
          senders += sends ? stride : 0;
        }
      }
      CPPUNIT_ASSERT(senders > 1 * kIntervals);
      CPPUNIT_ASSERT(senders < 6 * kIntervals);
    }
  }

  // Load: the whole fleet starts. Each daemon read three member tables of any
  // region, two of three of them over a link between regions.
  void TestJoinReadsAFixedNumberOfTables() {
    for (const int n : {30, 295, 1431}) {
      SeededRandom random(1);
      std::vector<Contact> contacts;
      for (int i = 1; i < n; ++i) {
        contacts.push_back(Contact{MakeMember(i).endpoint, RegionOf(i)});
      }
      ContactList list(contacts, RegionOf(0));
      std::set<RegionId> known = {RegionOf(0)};
      std::map<RegionId, int> joined;
      while (const auto next = list.Next(known, random)) {
        const RegionId region = RegionOf(next->port - 1);
        joined[region] += 1;
        known.insert(region);
        list.OnJoined();
      }
      CPPUNIT_ASSERT_EQUAL(ContactList::kOwnRegionContacts,
                           joined[RegionOf(0)]);
      CPPUNIT_ASSERT_EQUAL(1, joined[RegionOf(1)]);
      CPPUNIT_ASSERT_EQUAL(1, joined[RegionOf(2)]);
    }
  }

  void TestJoinReachesOtherRegionsWithoutItsOwn() {
    SeededRandom random(1);
    const Contact dead{MakeMember(0).endpoint, RegionOf(0)};
    const Contact far{MakeMember(1).endpoint, RegionOf(1)};
    const Contact unknown{MakeMember(2).endpoint, std::nullopt};
    ContactList list({dead, far, unknown}, RegionOf(0));
    const std::set<RegionId> known = {RegionOf(0)};
    CPPUNIT_ASSERT(*list.Next(known, random) == dead.endpoint);
    std::set<Endpoint> rest;
    while (const auto next = list.Next(known, random)) {
      rest.insert(*next);
    }
    CPPUNIT_ASSERT(
        (rest == std::set<Endpoint>{far.endpoint, unknown.endpoint}));
  }

  void TestContactText() {
    const Contact contact{Endpoint{"10.0.0.1", 80}, RegionId("perth")};
    CPPUNIT_ASSERT(ParseContact(ToString(contact)).value() == contact);
    const Contact plain{Endpoint{"10.0.0.1", 80}, std::nullopt};
    CPPUNIT_ASSERT(ParseContact("10.0.0.1:80").value() == plain);
    CPPUNIT_ASSERT(!ParseContact("perth 10.0.0.1:80"));
    CPPUNIT_ASSERT(!ParseContact(""));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GossipTargetsTest);

}  // namespace

}  // namespace cumin
