#include "cumin_config/version_gate.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>

#include "config/config_samples.h"
#include "cumin_config/readiness_rule.h"
#include "support/property.h"

namespace cumin {

namespace {

RefPtr<const ConfigSnapshot> MakeVersion(std::uint64_t version) {
  const Mesh mesh = ParseMesh(test::SampleMesh(), "mesh.yaml").value();
  return ConfigSnapshot::Make(version, "d" + std::to_string(version), mesh, {})
      .value();
}

/** @param faulty  injected fault: the most recently offered snapshot is put in
    force instead of the highest version */
void CheckVersionNeverDecreases(bool faulty) {
  const auto versions =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 10));
  VersionGate gate;
  RefPtr<const ConfigSnapshot> last;
  std::uint64_t highest = 0;
  for (const int it : versions) {
    const std::uint64_t before = last == nullptr ? 0 : last->version();
    const auto offered = MakeVersion(static_cast<std::uint64_t>(it));
    const GateDecision decision = gate.Offer(offered);
    last = faulty ? offered : gate.Current();
    highest = std::max(highest, offered->version());
    RC_ASSERT(last->version() >= before);
    RC_ASSERT(last->version() == highest);
    RC_ASSERT((decision == GateDecision::kTaken) == (highest > before));
  }
}

/** Guards against a restarted daemon that serves an older version than before.
    Every daemon gossips the highest version that it has heard any VM has in
    force. The restarted daemon receives its peers' responses in random order.
    @param faulty  injected fault: a single response makes the daemon ready */
void CheckRestartNeverServesOlder(bool faulty) {
  constexpr std::size_t kPeersNeeded = 3;
  const auto reported_versions =
      *rc::gen::container<std::vector<int>>(5, rc::gen::inRange(1, 6));
  // Gossip has distributed this VM's earlier version to all but two peers.
  const int earlier =
      *std::max_element(reported_versions.begin(), reported_versions.end());
  std::vector<int> answers(5, earlier);
  answers[0] = reported_versions[0];
  answers[1] = reported_versions[1];
  const auto order = *rc::gen::inRange(0, 5);
  ReadinessRule rule(faulty ? 1 : kPeersNeeded);
  rule.SetKnownPeers(answers.size());
  std::uint64_t held = 0;
  for (std::size_t i = 0; i < answers.size(); ++i) {
    const std::size_t peer = (i + static_cast<std::size_t>(order)) % 5;
    const auto version = static_cast<std::uint64_t>(answers[peer]);
    rule.RecordPeerVersion(VmId("vm-" + std::to_string(peer)), version);
    // The gate installs only newer versions, so it holds the highest one.
    held = std::max(held, version);
    if (rule.IsReady(held)) {
      RC_ASSERT(held >= static_cast<std::uint64_t>(earlier));
    }
  }
}

class VersionGateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(VersionGateTest);
  CPPUNIT_TEST(TestVersionNeverDecreases);
  CPPUNIT_TEST(TestDetectsConflictingContent);
  CPPUNIT_TEST(TestReaderKeepsItsVersion);
  CPPUNIT_TEST(TestRestartNeverServesOlder);
  CPPUNIT_TEST(TestReadiness);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestVersionNeverDecreases() {
    test::CheckPropertyFails("the last arrival is in force",
                             []() { CheckVersionNeverDecreases(true); });
    test::CheckProperty("the version in force never goes back",
                        []() { CheckVersionNeverDecreases(false); });
  }

  void TestDetectsConflictingContent() {
    VersionGate gate;
    gate.Offer(MakeVersion(3));
    CPPUNIT_ASSERT(gate.Offer(MakeVersion(3)) == GateDecision::kSame);
    CPPUNIT_ASSERT(gate.Offer(MakeVersion(2)) == GateDecision::kOlder);
    const auto other = ConfigSnapshot::Make(3, "other", Mesh(), {}).value();
    CPPUNIT_ASSERT(gate.Offer(other) == GateDecision::kDiffers);
    CPPUNIT_ASSERT_EQUAL(std::string("d3"), gate.Current()->digest());
  }

  void TestReaderKeepsItsVersion() {
    VersionGate gate;
    CPPUNIT_ASSERT(gate.Current() == nullptr);
    gate.Offer(MakeVersion(1));
    const auto held = gate.Current();
    gate.Offer(MakeVersion(2));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, held->version());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, gate.Version());
  }

  void TestRestartNeverServesOlder() {
    test::CheckPropertyFails("one peer is enough",
                             []() { CheckRestartNeverServesOlder(true); });
    test::CheckProperty("a restarted daemon never serves an older version",
                        []() { CheckRestartNeverServesOlder(false); });
  }

  void TestReadiness() {
    ReadinessRule store_only(3);
    CPPUNIT_ASSERT(!store_only.IsReady(0));
    CPPUNIT_ASSERT(!store_only.IsReady(7));
    store_only.RecordStoreVersion(8);
    CPPUNIT_ASSERT(!store_only.IsReady(7));
    CPPUNIT_ASSERT(store_only.IsReady(8));
    store_only.RecordStoreVersion(9);
    CPPUNIT_ASSERT_MESSAGE("readiness is not taken back",
                           store_only.IsReady(8));
    ReadinessRule few_peers(3);
    few_peers.SetKnownPeers(1);
    few_peers.RecordPeerVersion(VmId("vm-1"), 4);
    CPPUNIT_ASSERT(few_peers.IsReady(4));
    ReadinessRule empty(1);
    empty.RecordStoreVersion(0);
    CPPUNIT_ASSERT_MESSAGE("nothing to serve yet", !empty.IsReady(0));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(VersionGateTest);

}  // namespace

}  // namespace cumin
