#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>

#include "fleet/fleet_driver.h"
#include "support/property.h"

namespace cumin {

namespace {

using test::FleetDriver;
using test::FleetFaults;
using test::FleetNode;

constexpr int kRepairBoundSeconds = 40;
const RegionId kSource("region-0");

std::vector<Member> MakeMembers(int n, int regions, int domains) {
  std::vector<Member> members;
  for (int i = 0; i < n; ++i) {
    Member member;
    member.vm = VmId("vm-" + std::to_string(i));
    member.region = RegionId("region-" + std::to_string(i % regions));
    member.failure_domain =
        FailureDomainId("domain-" + std::to_string(i / regions % domains));
    members.push_back(member);
  }
  return members;
}

std::vector<Member> GenerateMembers() {
  return MakeMembers(*rc::gen::inRange(1, 120), *rc::gen::inRange(1, 4),
                     *rc::gen::inRange(1, 4));
}

/** Distributes a version down the tree from a node. Dead nodes drop it. */
void DistributeFrom(FleetDriver& fleet, const SpreadPlan& plan,
                    const VersionStamp& stamp, const VmId& root,
                    const VmId& at) {
  FleetNode& node = fleet.node(std::stoi(at.str().substr(3)));
  if (node.dead) {
    return;
  }
  node.Apply(stamp, {});
  for (const VmId& it : plan.Children(stamp.version, root, at)) {
    DistributeFrom(fleet, plan, stamp, root, it);
  }
}

void NewestVersionReachesAllMembers(const FleetFaults& faults) {
  FleetDriver fleet(*rc::gen::inRange(6, 13), 2,
                    *rc::gen::arbitrary<std::uint64_t>(), faults);
  fleet.Run(3);
  const SpreadPlan plan(fleet.node(0).table->Live(), kSource);
  const VmId source = plan.Sources().front();
  const int source_index = std::stoi(source.str().substr(3));
  const int dead = fleet.size() / 3;
  for (int i = 0; i < dead; ++i) {
    const int index = *rc::gen::inRange(0, fleet.size());
    fleet.node(index).dead = index != source_index;
  }
  const VersionStamp stamp{7, "digest-7"};
  DistributeFrom(fleet, plan, stamp, source, source);
  for (const RegionTransfer& it : plan.Transfers()) {
    DistributeFrom(fleet, plan, stamp, it.to, it.to);
  }
  fleet.network.drop_percent = *rc::gen::inRange(0, 20);
  fleet.Run(kRepairBoundSeconds);
  for (int i = 0; i < fleet.size(); ++i) {
    RC_ASSERT(fleet.node(i).dead || fleet.node(i).in_force == stamp);
  }
}

void VersionsNeverDecrease(const FleetFaults& faults) {
  FleetDriver fleet(*rc::gen::inRange(3, 7), 1,
                    *rc::gen::arbitrary<std::uint64_t>(), faults);
  fleet.network = {*rc::gen::inRange(0, 30), 30, 8};
  const int changes = *rc::gen::inRange(1, 6);
  for (int i = 1; i <= changes; ++i) {
    const int at = *rc::gen::inRange(0, fleet.size());
    const VersionStamp stamp{static_cast<std::uint64_t>(i), "d"};
    fleet.node(at).Apply(stamp, faults);
    fleet.Run(*rc::gen::inRange(0, 4));
  }
  fleet.network = {};
  fleet.Run(kRepairBoundSeconds);
  for (int i = 0; i < fleet.size(); ++i) {
    RC_ASSERT(!fleet.node(i).has_regressed);
    RC_ASSERT(fleet.node(i).in_force.version ==
              static_cast<std::uint64_t>(changes));
  }
}

/** Counts the transfers that arrive in each region when none fails.
    @param eager  injected fault: all attempts are made at once */
void OneTransferForEachLink(bool eager) {
  const std::vector<Member> members = GenerateMembers();
  const SpreadPlan plan(members, kSource);
  std::map<RegionId, int> arrivals;
  for (const RegionId& region : plan.Regions()) {
    for (const RegionTransfer& it : plan.Attempts(region)) {
      const bool first = plan.Attempts(region).front() == it;
      arrivals[region] += first || eager ? 1 : 0;
    }
  }
  RC_ASSERT(arrivals.count(plan.source_region()) == 0U);
  for (const RegionTransfer& it : plan.Transfers()) {
    RC_ASSERT(arrivals.at(it.to_region) == 1);
  }
  RC_ASSERT(plan.Transfers().size() + 1 == plan.Regions().size());
}

/** The first ranks have lost contact with the store; others must take over.
    @param enabled  false is the injected fault: no daemon takes over */
void FrozenFetchersAreReplaced(bool enabled) {
  SeededRandom random(*rc::gen::arbitrary<std::uint64_t>());
  FetcherSettings settings;
  if (!enabled) {
    settings.max_silence = std::chrono::hours(1);
  }
  const int n = *rc::gen::inRange(3, 200);
  const int frozen = std::min(n - 1, *rc::gen::inRange(2, 8));
  std::vector<FetcherRotation> rotations;
  rotations.reserve(n);
  for (int i = 0; i < n; ++i) {
    rotations.emplace_back(settings, random);
  }
  const MonoTime start{};
  int new_watches = 0;
  for (int s = 0; s < 60; ++s) {
    int healthy = 0;
    new_watches = 0;
    for (int rank = 2; rank < n; ++rank) {
      const bool watching = rotations[rank].ShouldWatchStore(
          rank, n, std::chrono::seconds(s), start + std::chrono::seconds(s));
      new_watches += watching ? 1 : 0;
      healthy += watching && rank >= frozen ? 1 : 0;
    }
    RC_ASSERT(new_watches <= 2 + 2 * std::max(0, (s - 10) / 3 + 1));
    if (healthy > 0) {
      return;
    }
  }
  RC_FAIL("no daemon took over");
}

/** Simulates a store that refuses some daemons of a region, each of which asks
    its successor to take over.
    @returns the ranks that watched or attempted to, in the order of requests */
std::vector<int> RequestedWatchers(int members, const std::set<int>& refused) {
  std::vector<int> watching;
  for (int first = 0; first < std::min(members, SpreadPlan::kFetchers);
       ++first) {
    int rank = first;
    while (rank >= 0) {
      watching.push_back(rank);
      rank = refused.count(rank) > 0 ? FetcherRotation::Successor(rank, members)
                                     : -1;
    }
  }
  return watching;
}

void RefusedWatchersAskSuccessors() {
  const int n = *rc::gen::inRange(1, 40);
  const int refused_count = *rc::gen::inRange(0, 5);
  std::set<int> refused;
  for (int i = 0; i < refused_count; ++i) {
    refused.insert(i);
  }
  const std::vector<int> watching = RequestedWatchers(n, refused);
  RC_ASSERT(refused_count >= n ||
            *std::max_element(watching.begin(), watching.end()) >=
                refused_count);
  std::set<int> all_ranks;
  for (int i = 0; i < n; ++i) {
    all_ranks.insert(i);
  }
  // During an outage of the store, the number of watchers stays bounded.
  constexpr int kMaxWatchers =
      (1 + FetcherRotation::kMaxDirectTakeovers) * SpreadPlan::kFetchers;
  RC_ASSERT(static_cast<int>(RequestedWatchers(n, all_ranks).size()) <=
            kMaxWatchers);
}

/** All members return at the same time, and each needs one page from the same
    peer.
    @param jitter  false is the injected fault: fixed delays */
void ThunderingHerdIsBounded(bool jitter) {
  constexpr int kLimit = 4;
  constexpr int kTicks = 1200;
  SeededRandom random(*rc::gen::arbitrary<std::uint64_t>());
  const int n = *rc::gen::inRange(50, 200);
  std::vector<RetryBackoff> backoffs(n, RetryBackoff(BackoffSettings{}));
  std::vector<Duration> next(n);
  for (int i = 0; i < n; ++i) {
    next[i] = jitter ? backoffs[i].Next(random) : Duration(0);
  }
  std::vector<bool> done(n, false);
  int attempts = 0;
  for (int tick = 0; tick < kTicks; ++tick) {
    const Duration now = std::chrono::milliseconds(100) * tick;
    ConcurrentRequestLimit limit(kLimit);
    for (int i = 0; i < n; ++i) {
      if (done[i] || next[i] > now) {
        continue;
      }
      ++attempts;
      done[i] = limit.TryBegin();
      next[i] = now + (jitter ? backoffs[i].Next(random)
                              : Duration(std::chrono::milliseconds(200)));
    }
  }
  RC_ASSERT(std::count(done.begin(), done.end(), true) == n);
  RC_ASSERT(attempts <= n * 10);
}

class SpreadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SpreadTest);
  CPPUNIT_TEST(TestNewestVersionReachesAllMembers);
  CPPUNIT_TEST(TestVersionsNeverDecrease);
  CPPUNIT_TEST(TestOneTransferForEachLink);
  CPPUNIT_TEST(TestTreeReachesEachMemberOnce);
  CPPUNIT_TEST(TestFetchersDoNotGrowWithTheFleet);
  CPPUNIT_TEST(TestRankingIsStable);
  CPPUNIT_TEST(TestFrozenFetchersAreReplaced);
  CPPUNIT_TEST(TestRefusedWatchersAskSuccessors);
  CPPUNIT_TEST(TestRequestedWatchExpires);
  CPPUNIT_TEST(TestThunderingHerdIsBounded);
  CPPUNIT_TEST(TestDifferentContentsAreReported);
  CPPUNIT_TEST(TestGatherCoversEachMemberOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestNewestVersionReachesAllMembers() {
    FleetFaults faults;
    faults.no_anti_entropy = true;
    test::CheckPropertyFails("every live member gets the newest version",
                             [&] { NewestVersionReachesAllMembers(faults); });
    test::CheckProperty("every live member gets the newest version",
                        [] { NewestVersionReachesAllMembers({}); });
  }

  void TestVersionsNeverDecrease() {
    FleetFaults faults;
    faults.apply_older = true;
    test::CheckPropertyFails("versions never decrease",
                             [&] { VersionsNeverDecrease(faults); });
    test::CheckProperty("versions never decrease",
                        [] { VersionsNeverDecrease({}); });
  }

  void TestOneTransferForEachLink() {
    test::CheckPropertyFails("one transfer for each region link",
                             [] { OneTransferForEachLink(true); });
    test::CheckProperty("one transfer for each region link",
                        [] { OneTransferForEachLink(false); });
  }

  void TestTreeReachesEachMemberOnce() {
    test::CheckProperty("the tree reaches each member of a region once", [] {
      const std::vector<Member> members = GenerateMembers();
      const SpreadPlan plan(members, kSource);
      const auto version = *rc::gen::inRange<std::uint64_t>(1, 100);
      for (const RegionId& region : plan.Regions()) {
        const VmId root = *rc::gen::elementOf(plan.FetcherRanking(region));
        std::vector<VmId> reached{root};
        for (std::size_t i = 0; i < reached.size(); ++i) {
          const auto children = plan.Children(version, root, reached[i]);
          RC_ASSERT(children.size() <= 6U);
          reached.insert(reached.end(), children.begin(), children.end());
        }
        std::vector<VmId> expected = plan.FetcherRanking(region);
        std::sort(expected.begin(), expected.end());
        std::sort(reached.begin(), reached.end());
        RC_ASSERT(reached == expected);
      }
    });
  }

  void TestFetchersDoNotGrowWithTheFleet() {
    test::CheckProperty("two fetchers a region, in two failure domains", [] {
      const std::vector<Member> members = GenerateMembers();
      const SpreadPlan plan(members, kSource);
      for (const RegionId& region : plan.Regions()) {
        std::set<FailureDomainId> all;
        std::set<FailureDomainId> used;
        const std::vector<VmId> fetchers = plan.Fetchers(region);
        for (const Member& it : members) {
          if (it.region != region) {
            continue;
          }
          all.insert(it.failure_domain);
          if (std::count(fetchers.begin(), fetchers.end(), it.vm) > 0) {
            used.insert(it.failure_domain);
          }
        }
        RC_ASSERT(fetchers.size() <= 2U);
        RC_ASSERT(used.size() == std::min<std::size_t>(2, all.size()));
      }
    });
  }

  void TestRankingIsStable() {
    std::vector<Member> members = MakeMembers(60, 2, 2);
    const SpreadPlan before(members, kSource);
    const std::vector<VmId> fetchers = before.Fetchers(kSource);
    members.erase(std::remove_if(members.begin(), members.end(),
                                 [&](const Member& it) {
                                   return it.vm == fetchers.front();
                                 }),
                  members.end());
    const std::vector<VmId> after =
        SpreadPlan(members, kSource).Fetchers(kSource);
    CPPUNIT_ASSERT(std::count(after.begin(), after.end(), fetchers.back()) ==
                   1);
  }

  void TestFrozenFetchersAreReplaced() {
    test::CheckPropertyFails("frozen fetchers are replaced",
                             [] { FrozenFetchersAreReplaced(false); });
    test::CheckProperty("frozen fetchers are replaced",
                        [] { FrozenFetchersAreReplaced(true); });
  }

  void TestRefusedWatchersAskSuccessors() {
    test::CheckProperty("watchers that the store refuses ask their successor",
                        RefusedWatchersAskSuccessors);
  }

  void TestRequestedWatchExpires() {
    SeededRandom random(1);
    FetcherSettings settings;
    FetcherRotation rotation(settings, random);
    const MonoTime now{};
    const Duration silence(0);
    CPPUNIT_ASSERT(!rotation.ShouldWatchStore(3, 6, silence, now));
    rotation.OnWatchRequested(now);
    CPPUNIT_ASSERT(rotation.ShouldWatchStore(3, 6, silence, now));
    CPPUNIT_ASSERT(!rotation.ShouldWatchStore(3, 6, silence,
                                              now + settings.watch_duration));
  }

  void TestThunderingHerdIsBounded() {
    test::CheckPropertyFails("the load of simultaneous returns is bounded",
                             [] { ThunderingHerdIsBounded(false); });
    test::CheckProperty("the load of simultaneous returns is bounded",
                        [] { ThunderingHerdIsBounded(true); });
  }

  void TestDifferentContentsAreReported() {
    AntiEntropy anti_entropy{AntiEntropySettings{}};
    SeededRandom random(1);
    const auto result = anti_entropy.OnPeerVersion(
        VmId("vm-1"), {3, "a"}, {3, "b"}, MonoTime{}, random);
    CPPUNIT_ASSERT(!result);
    CPPUNIT_ASSERT(
        !anti_entropy.Tick({3, "b"}, MonoTime{} + std::chrono::hours(1)));
  }

  void TestGatherCoversEachMemberOnce() {
    test::CheckProperty("a gather covers each member once", [] {
      const std::vector<Member> members = GenerateMembers();
      std::set<VmId> covered;
      const auto chunks = SplitForGather(members);
      for (const GatherChunk& chunk : chunks) {
        RC_ASSERT(chunk.members.size() * chunk.members.size() <=
                  members.size() + 2 * chunk.members.size());
        for (const VmId& it : chunk.members) {
          RC_ASSERT(covered.insert(it).second);
        }
      }
      RC_ASSERT(covered.size() == members.size());
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SpreadTest);

}  // namespace

}  // namespace cumin
