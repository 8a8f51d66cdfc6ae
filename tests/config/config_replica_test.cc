#include "cumin_config/config_replica.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <vector>

#include "config/config_samples.h"
#include "cumin_config/config_queries.h"
#include "support/property.h"

namespace cumin {

namespace {

constexpr int kVersions = 6;

std::vector<ConfigBundle> MakeHistory() {
  std::vector<ConfigBundle> history = {test::SampleBundle()};
  for (int i = 2; i <= kVersions; ++i) {
    history.push_back(test::MakeBundle(
        &history.back(),
        {{MeshPartName(), test::SampleMesh()},
         {PartName("customer/c" + std::to_string(i % 3)),
          test::SampleContract("c" + std::to_string(i % 3), i)}}));
  }
  return history;
}

/** An update sent to the replica; updates arrive reordered and repeated. */
struct Update {
  int from = 0;
  int to = 0;
  bool full_bundle = false;
};

rc::Gen<Update> GenUpdate() {
  return rc::gen::build<Update>(
      rc::gen::set(&Update::from, rc::gen::inRange(0, kVersions - 1)),
      rc::gen::set(&Update::to, rc::gen::inRange(0, kVersions)),
      rc::gen::set(&Update::full_bundle, rc::gen::arbitrary<bool>()));
}

/** @param faulty  injected fault: gate and replica are recreated before each
    update, so any version is installed */
void CheckReorderedUpdates(bool faulty) {
  const std::vector<ConfigBundle> history = MakeHistory();
  const auto updates =
      *rc::gen::container<std::vector<Update>>(20, GenUpdate());
  auto gate = std::make_unique<VersionGate>();
  auto replica = std::make_unique<ConfigReplica>(*gate);
  std::uint64_t highest = 0;
  for (const Update& it : updates) {
    if (faulty) {
      gate = std::make_unique<VersionGate>();
      replica = std::make_unique<ConfigReplica>(*gate);
    }
    const ConfigBundle& to = history[static_cast<std::size_t>(it.to)];
    const ConfigBundle& from = history[static_cast<std::size_t>(it.from)];
    if (it.full_bundle) {
      RC_ASSERT(static_cast<bool>(replica->TakeBundle(to)));
    } else if (it.from < it.to) {
      (void)replica->TakeDelta(MakeDelta(from, to));
    }
    RC_ASSERT(gate->Version() >= highest);
    highest = gate->Version();
    RC_ASSERT(replica->version() == highest);
    if (highest > 0) {
      RC_ASSERT(*replica->bundle() == history[highest - 1]);
    }
  }
}

class ConfigReplicaTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigReplicaTest);
  CPPUNIT_TEST(TestReorderedAndRepeatedUpdates);
  CPPUNIT_TEST(TestBadVersionChangesNothing);
  CPPUNIT_TEST(TestProvidesDeltasAndBundles);
  CPPUNIT_TEST(TestReturnsTheHistory);
  CPPUNIT_TEST(TestQueriesRoundTrip);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestReorderedAndRepeatedUpdates() {
    test::CheckPropertyFails("the last update is in force",
                             []() { CheckReorderedUpdates(true); });
    test::CheckProperty(
        "reordered and repeated updates never decrease the version",
        []() { CheckReorderedUpdates(false); });
  }

  void TestBadVersionChangesNothing() {
    VersionGate gate;
    ConfigReplica replica(gate);
    const ConfigBundle first = test::SampleBundle();
    replica.TakeBundle(first).value();
    const ConfigBundle bad =
        test::MakeBundle(&first, {{MeshPartName(), "mesh: [\n"}});
    CPPUNIT_ASSERT(!replica.TakeBundle(bad));
    CPPUNIT_ASSERT(!replica.TakeDelta(MakeDelta(first, bad)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, gate.Version());
    CPPUNIT_ASSERT(*replica.bundle() == first);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, replica.History(9).size());
  }

  void TestProvidesDeltasAndBundles() {
    const std::vector<ConfigBundle> history = MakeHistory();
    VersionGate gate;
    ConfigReplica replica(gate);
    replica.TakeBundle(history[0]).value();
    replica.TakeBundle(history[2]).value();
    replica.TakeDelta(MakeDelta(history[2], history[3])).value();
    const ConfigDelta delta = replica.DeltaFrom(1).value();
    CPPUNIT_ASSERT(ApplyDelta(history[0], delta).value() == history[3]);
    CPPUNIT_ASSERT(!replica.DeltaFrom(2));
    CPPUNIT_ASSERT(*replica.FindBundle(0) == history[3]);
    CPPUNIT_ASSERT(*replica.FindBundle(3) == history[2]);
    CPPUNIT_ASSERT(replica.FindBundle(2) == nullptr);
  }

  void TestReturnsTheHistory() {
    const std::vector<ConfigBundle> history = MakeHistory();
    VersionGate gate;
    ConfigReplica replica(gate);
    replica.TakeBundle(history[0]).value();
    const ConfigDelta second = MakeDelta(history[0], history[1]);
    const ConfigDelta third = MakeDelta(history[1], history[2]);
    replica.TakeDelta(MergeDeltas(second, third).value()).value();
    // Records of versions newer than the one in force are not returned.
    replica.MergeHistory({history[4].head.change});
    const auto known = replica.History(9);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, known.size());
    CPPUNIT_ASSERT(known[0] == history[2].head.change);
    CPPUNIT_ASSERT(known[1] == history[1].head.change);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, replica.History(1).size());
  }

  void TestQueriesRoundTrip() {
    const ConfigBundle bundle = test::SampleBundle();
    CPPUNIT_ASSERT_EQUAL(
        std::uint64_t{7},
        ParseHistoryQuery(ToJson(HistoryQuery{7}), "").value().limit);
    CPPUNIT_ASSERT(!ParseHistoryQuery(ToJson(HistoryQuery{0}), ""));
    const HistoryAnswer answer{{bundle.head.change}};
    CPPUNIT_ASSERT(ParseHistoryAnswer(ToJson(answer), "").value().history ==
                   answer.history);
    CPPUNIT_ASSERT_EQUAL(
        std::uint64_t{3},
        ParseBundleQuery(ToJson(BundleQuery{3}), "").value().version);
    CPPUNIT_ASSERT(
        ParseBundleAnswer(ToJson(BundleAnswer{bundle}), "").value().bundle ==
        bundle);
    CPPUNIT_ASSERT(!ParseBundleAnswer(Json::Value("no"), "vm-1"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigReplicaTest);

}  // namespace

}  // namespace cumin
