#include "support/loopback.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace cumin::test {

namespace {

/** The system assigns about 28,000 ephemeral ports, so that this many draws
    almost certainly repeat one if assigned ports are not remembered. */
constexpr int kDraws = 2000;

class LoopbackTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoopbackTest);
  CPPUNIT_TEST(TestEndpointsAreUnique);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestEndpointsAreUnique() {
    std::set<Endpoint> given;
    for (int i = 0; i < kDraws; ++i) {
      CPPUNIT_ASSERT(
          given.insert(FreeEndpoint(UniqueLoopbackAddress(200))).second);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoopbackTest);

}  // namespace

}  // namespace cumin::test
