#include "cumin_config/config_diff.h"

#include <cppunit/extensions/HelperMacros.h>

#include "config/config_samples.h"

namespace cumin {

namespace {

ConfigBundle WithContract(const ConfigBundle& before, const std::string& text) {
  return test::MakeBundle(&before, {{MeshPartName(), test::SampleMesh()},
                                    {PartName("customer/fabricators"), text}});
}

class ConfigDiffTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigDiffTest);
  CPPUNIT_TEST(TestNamesChangedFields);
  CPPUNIT_TEST(TestFormattingIsNotAChange);
  CPPUNIT_TEST(TestAddedAndRemovedParts);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestNamesChangedFields() {
    const ConfigBundle from = test::SampleBundle();
    const ConfigBundle to = WithContract(
        from,
        "customer: fabricators\nrate_per_s: 150.5\ngrants:\n"
        "  - {service: catalogue, operation: price, retries: 0}\n");
    CPPUNIT_ASSERT_EQUAL(
        std::string(
            "customer/fabricators: grants.catalogue/price.retries was 1 and is "
            "0.\ncustomer/fabricators: rate_per_s was 100 and is 150.5.\n"),
        Describe(DiffBundles(from, to).value()));
  }

  void TestFormattingIsNotAChange() {
    const ConfigBundle from = test::SampleBundle();
    const ConfigBundle to = WithContract(
        from, "# a comment\n" + test::SampleContract("fabricators", 100) +
                  "burst: 100  # the default\n");
    CPPUNIT_ASSERT(DiffBundles(from, to).value().empty());
  }

  void TestAddedAndRemovedParts() {
    const ConfigBundle with = test::SampleBundle();
    const ConfigBundle without =
        test::MakeBundle(&with, {{MeshPartName(), test::SampleMesh()}});
    const auto removed = DiffBundles(with, without).value();
    const auto added = DiffBundles(without, with).value();
    CPPUNIT_ASSERT_EQUAL(removed.size(), added.size());
    CPPUNIT_ASSERT(!removed[0].after.has_value());
    CPPUNIT_ASSERT(!added[0].before.has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigDiffTest);

}  // namespace

}  // namespace cumin
