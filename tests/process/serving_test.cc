// Calls through a small mesh of real processes, checked by cuminload against
// the targets' run logs.

#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "process/small_mesh.h"
#include "support/wait_until.h"

namespace cumin {

namespace {

using test::SmallMesh;

class ServingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServingTest);
  CPPUNIT_TEST(TestCallsThroughAnyDaemonRunOnce);
  CPPUNIT_TEST(TestLeavingTargetAbortsNoCall);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestCallsThroughAnyDaemonRunOnce() {
    SmallMesh small;
    const auto load = small.StartLoad(
        {test::kCatalogueTwo, test::kOrderdeskOne, test::kEdge});
    const Json::Value report = small.AwaitPassed(*load);
    const Json::Value& total = report["total"];
    CPPUNIT_ASSERT(total["calls"].asInt() > 100);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(report.toStyledString(),
                                 total["calls"].asInt(),
                                 total["ends"]["ran"].asInt());
  }

  // The callers use other daemons, as callers stop using a daemon before it
  // exits.
  void TestLeavingTargetAbortsNoCall() {
    SmallMesh small;
    const auto load = small.StartLoad(
        {test::kCatalogueTwo, test::kOrderdeskOne, test::kEdge});
    CPPUNIT_ASSERT(
        test::WaitUntil([&] { return small.CountStarts("/prices/coil") > 0; }));
    test::TestMesh& mesh = small.mesh();
    mesh.target(test::kCatalogueOne).Terminate();
    AssertEndedCleanly(mesh.target(test::kCatalogueOne));
    mesh.daemon(test::kCatalogueOne).Terminate();
    AssertEndedCleanly(mesh.daemon(test::kCatalogueOne));
    small.AwaitPassed(*load);
  }

 private:
  static void AssertEndedCleanly(test::ChildProcess& process) {
    CPPUNIT_ASSERT_EQUAL(0, process.WaitForEnd().value_or(-1));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServingTest);

}  // namespace

}  // namespace cumin
