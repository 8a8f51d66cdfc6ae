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
  CPPUNIT_TEST(TestNamesTheFields);
  CPPUNIT_TEST(TestLayoutIsNoChange);
  CPPUNIT_TEST(TestPartsComeAndGo);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestNamesTheFields() {
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

  void TestLayoutIsNoChange() {
    const ConfigBundle from = test::SampleBundle();
    const ConfigBundle to = WithContract(
        from, "# a comment\n" + test::SampleContract("fabricators", 100) +
                  "burst: 100  # the default\n");
    CPPUNIT_ASSERT(DiffBundles(from, to).value().empty());
  }

  void TestPartsComeAndGo() {
    const ConfigBundle with = test::SampleBundle();
    const ConfigBundle without =
        test::MakeBundle(&with, {{MeshPartName(), test::SampleMesh()}});
    const auto gone = DiffBundles(with, without).value();
    const auto added = DiffBundles(without, with).value();
    CPPUNIT_ASSERT_EQUAL(gone.size(), added.size());
    CPPUNIT_ASSERT(!gone[0].after.has_value());
    CPPUNIT_ASSERT(!added[0].before.has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigDiffTest);

}  // namespace

}  // namespace cumin
