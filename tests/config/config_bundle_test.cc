#include "cumin_config/config_bundle.h"

#include <cppunit/extensions/HelperMacros.h>

#include "config/config_samples.h"
#include "cumin_core/json_text.h"

namespace cumin {

namespace {

ConfigBundle RoundTrip(const ConfigBundle& bundle) {
  const Json::Value value = ParseJson(ToJsonText(ToJson(bundle)), "").value();
  JsonObject fields(value, "peer");
  ConfigBundle read = ReadConfigBundle(fields);
  CPPUNIT_ASSERT(fields.Finish());
  return read;
}

class ConfigBundleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigBundleTest);
  CPPUNIT_TEST(TestJsonRoundTrip);
  CPPUNIT_TEST(TestSnapshotOfBundle);
  CPPUNIT_TEST(TestRefusesIncompleteBundles);
  CPPUNIT_TEST(TestRefusesBrokenReferences);
  CPPUNIT_TEST(TestRefusesMalformedHeadRecords);
  CPPUNIT_TEST(TestRefusesLargeParts);
  CPPUNIT_TEST(TestIdentifiesParts);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestJsonRoundTrip() {
    const ConfigBundle bundle = test::SampleBundle();
    CPPUNIT_ASSERT(bundle == RoundTrip(bundle));
    const std::string text = ToJsonText(ToJson(bundle.head));
    CPPUNIT_ASSERT(bundle.head == ParseHeadRecord(text, "head").value());
  }

  void TestSnapshotOfBundle() {
    const auto snapshot = MakeSnapshot(test::SampleBundle()).value();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, snapshot->version());
    const Contract* contract =
        snapshot->FindContract(CustomerId("fabricators"));
    CPPUNIT_ASSERT(contract != nullptr);
    CPPUNIT_ASSERT_EQUAL(100.0, contract->rate_per_s);
  }

  void TestRefusesIncompleteBundles() {
    ConfigBundle missing = test::SampleBundle();
    missing.parts.pop_back();
    CheckRefused(missing, "is missing");
    ConfigBundle altered = test::SampleBundle();
    altered.parts[0].text += " ";
    CheckRefused(altered, "does not match its digest");
    ConfigBundle extra = test::SampleBundle();
    extra.parts.push_back({PartName("zzz"), "customer: zzz"});
    CheckRefused(extra, "is not in the manifest");
    CheckRefused(
        test::MakeBundle(nullptr, {{PartName("customer/fabricators"),
                                    test::SampleContract("fabricators", 1)}}),
        "is missing");
  }

  void TestRefusesBrokenReferences() {
    const std::string grant =
        "customer: x\ngrants: [{service: drawstore, operation: get}]";
    CheckRefused(
        test::MakeBundle(nullptr, {{MeshPartName(), test::SampleMesh()},
                                   {PartName("customer/x"), grant}}),
        "the mesh has no service");
    CheckRefused(
        test::MakeBundle(
            nullptr, {{MeshPartName(), test::SampleMesh()},
                      {PartName("customer/x"), test::SampleContract("y", 5)}}),
        "holds the contract of \"y\"");
  }

  void TestRefusesMalformedHeadRecords() {
    for (const char* it : {"", "null", "[]", "12", "{}", "{\"version\":\"1\"}",
                           "{\"version\":-1}", "not json"}) {
      const Result<HeadRecord> head = ParseHeadRecord(it, "config/head");
      CPPUNIT_ASSERT(!head);
      CPPUNIT_ASSERT_EQUAL(ErrorCode::kInvalid, head.error().code);
      CPPUNIT_ASSERT_EQUAL(std::string("config/head"), head.error().source);
    }
    Json::Value value = ToJson(test::SampleBundle().head);
    value["manifest"]["mesh"] = std::string(64, '0');
    const auto head = ParseHeadRecord(ToJsonText(value), "config/head");
    CPPUNIT_ASSERT(!head);
    CPPUNIT_ASSERT_EQUAL(std::string("manifest_digest"), head.error().field);
  }

  void TestRefusesLargeParts() {
    const std::string text(kMaxPartBytes + 1, '#');
    CPPUNIT_ASSERT(!IdentifyPart(text, "big.yaml"));
    CheckRefused(test::MakeBundle(nullptr, {{MeshPartName(), text}}),
                 "has more than");
  }

  void TestIdentifiesParts() {
    const auto mesh = IdentifyPart(test::SampleMesh(), "mesh.yaml");
    CPPUNIT_ASSERT(mesh.value().name == MeshPartName());
    const auto contract = IdentifyPart(test::SampleContract("a", 1), "a.yaml");
    CPPUNIT_ASSERT_EQUAL(std::string("customer/a"),
                         contract.value().name.str());
    const auto bad = IdentifyPart("customer: a\nburst: 0\n", "a.yaml");
    CPPUNIT_ASSERT_EQUAL(std::string("burst"), bad.error().field);
    CPPUNIT_ASSERT_EQUAL(2, bad.error().line);
  }

 private:
  static void CheckRefused(const ConfigBundle& bundle,
                           const std::string& reason) {
    const auto snapshot = MakeSnapshot(bundle);
    CPPUNIT_ASSERT(!snapshot);
    CPPUNIT_ASSERT_MESSAGE(
        Describe(snapshot.error()),
        snapshot.error().reason.find(reason) != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigBundleTest);

}  // namespace

}  // namespace cumin
