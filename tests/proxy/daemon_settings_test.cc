#include "cumin_proxy/daemon_settings.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cumin {

namespace {

constexpr char kGood[] = R"(vm: vm-1
region: perth
failure_domain: perth-a
listen: 127.0.0.1:0
store: 127.0.0.1:8500
)";

class DaemonSettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DaemonSettingsTest);
  CPPUNIT_TEST(TestReadsSettings);
  CPPUNIT_TEST(TestErrorsNameFileLineFieldAndRange);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestReadsSettings() {
    const DaemonSettings settings =
        ParseDaemonSettings(std::string(kGood) + "workers: 9\n", "vm-1.yaml")
            .value();
    CPPUNIT_ASSERT_EQUAL(VmId("vm-1"), settings.vm);
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{0}, settings.listen.port);
    CPPUNIT_ASSERT_EQUAL(9, settings.workers);
  }

  void TestErrorsNameFileLineFieldAndRange() {
    CheckError("workers: 0\n",
               "vm-1.yaml:6: workers: must be a whole number from 1 to 1024");
    CheckError("worker: 4\n", "vm-1.yaml:6: worker: unknown field");
    CheckError("seeds: [here]\n",
               "vm-1.yaml:6: seeds: \"here\" is not an IPv4 number, a colon "
               "and a port from 1 to 65535");
  }

 private:
  static void CheckError(const std::string& line, const std::string& expected) {
    const auto parsed =
        ParseDaemonSettings(std::string(kGood) + line, "vm-1.yaml");
    CPPUNIT_ASSERT(!parsed);
    CPPUNIT_ASSERT_EQUAL(expected, Describe(parsed.error()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DaemonSettingsTest);

}  // namespace

}  // namespace cumin
