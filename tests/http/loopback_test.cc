#include "support/loopback.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace cumin::test {

namespace {

/** Against some 28,000 ports that a system hands out: without a memory of those
    given out, one that is drawn twice is all but certain. */
constexpr int kDraws = 2000;

class LoopbackTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoopbackTest);
  CPPUNIT_TEST(TestNoEndpointIsGivenTwice);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestNoEndpointIsGivenTwice() {
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
