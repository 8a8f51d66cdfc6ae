#include "cumin_config/config_delta.h"

#include <cppunit/extensions/HelperMacros.h>

#include "config/config_samples.h"
#include "cumin_config/recent_deltas.h"
#include "cumin_core/json_text.h"
#include "support/property.h"

namespace cumin {

namespace {

constexpr std::size_t kManyBytes = 1 << 20;

/** A random change: sets a customer's contract; a rate of 0 removes it. */
struct Edit {
  int customer = 0;
  int rate = 0;
};

/** @returns consecutive versions; version i + 1 is at index i */
std::vector<ConfigBundle> MakeHistory(const std::vector<Edit>& edits) {
  std::map<PartName, std::string> texts = {
      {MeshPartName(), test::SampleMesh()}};
  std::vector<ConfigBundle> history = {test::MakeBundle(nullptr, texts)};
  for (const Edit& it : edits) {
    const std::string customer = "c" + std::to_string(it.customer);
    const PartName name("customer/" + customer);
    if (it.rate == 0) {
      texts.erase(name);
    } else {
      texts[name] = test::SampleContract(customer, it.rate);
    }
    history.push_back(test::MakeBundle(&history.back(), texts));
  }
  return history;
}

std::vector<Edit> RandomEdits() {
  std::vector<Edit> edits;
  const int count = *rc::gen::inRange(1, 8);
  edits.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    edits.push_back({*rc::gen::inRange(0, 3), *rc::gen::inRange(0, 4)});
  }
  return edits;
}

ConfigDelta JsonRoundTrip(const ConfigDelta& delta) {
  const Json::Value value = ParseJson(ToJsonText(ToJson(delta)), "").value();
  JsonObject fields(value, "peer");
  ConfigDelta read = ReadConfigDelta(fields);
  RC_ASSERT(static_cast<bool>(fields.Finish()));
  return read;
}

/** @param drop_removals  injected fault: merged deltas lose their removals */
void CheckMergedDeltas(bool drop_removals) {
  const std::vector<ConfigBundle> history = MakeHistory(RandomEdits());
  RecentDeltas recent(history.size(), kManyBytes);
  for (std::size_t i = 1; i < history.size(); ++i) {
    recent.Add(MakeDelta(history[i - 1], history[i]));
  }
  for (std::size_t k = 0; k + 1 < history.size(); ++k) {
    std::optional<ConfigDelta> delta = recent.From(k + 1);
    RC_ASSERT(delta.has_value());
    if (drop_removals) {
      delta->removed.clear();
    }
    const auto applied = ApplyDelta(history[k], JsonRoundTrip(*delta));
    RC_ASSERT(static_cast<bool>(applied));
    RC_ASSERT(applied.value() == history.back());
    RC_ASSERT(static_cast<bool>(MakeSnapshot(applied.value())));
  }
}

class ConfigDeltaTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigDeltaTest);
  CPPUNIT_TEST(TestMergedDeltasProduceTheNewestBundle);
  CPPUNIT_TEST(TestRefusesAnotherBase);
  CPPUNIT_TEST(TestRefusesAlteredParts);
  CPPUNIT_TEST(TestRecentDeltasAreBounded);
  CPPUNIT_TEST(TestSizeGrowsWithTheChange);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestMergedDeltasProduceTheNewestBundle() {
    test::CheckPropertyFails("merged deltas without their removals",
                             []() { CheckMergedDeltas(true); });
    test::CheckProperty("a chain of deltas equals the whole bundle",
                        []() { CheckMergedDeltas(false); });
  }

  void TestRefusesAnotherBase() {
    const auto history = MakeHistory({{0, 1}, {0, 2}});
    const ConfigDelta delta = MakeDelta(history[1], history[2]);
    CPPUNIT_ASSERT_EQUAL(ErrorCode::kConflict,
                         ApplyDelta(history[0], delta).error().code);
    // A bundle of the same version from another history.
    const auto other = MakeHistory({{1, 1}});
    CPPUNIT_ASSERT_EQUAL(ErrorCode::kConflict,
                         ApplyDelta(other[1], delta).error().code);
  }

  void TestRefusesAlteredParts() {
    const auto history = MakeHistory({{0, 1}, {0, 2}});
    ConfigDelta delta = MakeDelta(history[1], history[2]);
    delta.changed[0].text += " ";
    CPPUNIT_ASSERT_EQUAL(ErrorCode::kInvalid,
                         ApplyDelta(history[1], delta).error().code);
  }

  void TestRecentDeltasAreBounded() {
    const auto history = MakeHistory({{0, 1}, {0, 2}, {0, 3}, {0, 4}});
    RecentDeltas recent(2, kManyBytes);
    for (std::size_t i = 1; i < history.size(); ++i) {
      recent.Add(MakeDelta(history[i - 1], history[i]));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, recent.size());
    CPPUNIT_ASSERT(!recent.From(2));
    CPPUNIT_ASSERT(recent.From(3));
    // A delta that does not continue the last one drops the earlier ones.
    recent.Add(MakeDelta(history[0], history[1]));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, recent.size());
    RecentDeltas small(10, 10);
    small.Add(MakeDelta(history[0], history[1]));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, small.size());
  }

  void TestSizeGrowsWithTheChange() {
    std::map<PartName, std::string> texts = {
        {MeshPartName(), test::SampleMesh()}};
    for (int i = 0; i < 200; ++i) {
      const std::string customer = "parlour-" + std::to_string(i);
      texts[PartName("customer/" + customer)] =
          test::SampleContract(customer, 5);
    }
    const ConfigBundle before = test::MakeBundle(nullptr, texts);
    texts[PartName("customer/parlour-7")] =
        test::SampleContract("parlour-7", 6);
    const ConfigBundle after = test::MakeBundle(&before, texts);
    const std::size_t delta_bytes =
        ToJsonText(ToJson(MakeDelta(before, after))).size();
    CPPUNIT_ASSERT(delta_bytes < 1024);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigDeltaTest);

}  // namespace

}  // namespace cumin
