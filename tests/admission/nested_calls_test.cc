#include "cumin_admission/nested_calls.h"

#include <cppunit/extensions/HelperMacros.h>

#include "cumin_core/random.h"

namespace cumin {

namespace {

const ServiceId kBooking("booking");
const ServiceId kTariffs("tariffs");
const ServiceId kRecords("records");

/** A burst of less urgent requests at a service that other runs call. */
class NestedCallsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NestedCallsTest);
  CPPUNIT_TEST(TestCallsOfOneServiceAreNested);
  CPPUNIT_TEST(TestRequestsOfCallersAreNotNested);
  CPPUNIT_TEST(TestFewCallsDecideNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestCallsOfOneServiceAreNested() {
    for (int i = 0; i < 1000; ++i) {
      calls_.OnCall("rate-table", kRecords);
    }
    CPPUNIT_ASSERT(calls_.IsNested("rate-table", shares_));
    CPPUNIT_ASSERT(!calls_.IsNested("rate-table", {{kRecords, 1.0}}));
  }

  void TestRequestsOfCallersAreNotNested() {
    SeededRandom random(1);
    for (int i = 0; i < 20000; ++i) {
      const double unit = random.Unit();
      calls_.OnCall("tariff-view", unit < 0.5   ? kBooking
                                   : unit < 0.9 ? kTariffs
                                                : kRecords);
      CPPUNIT_ASSERT(!calls_.IsNested("tariff-view", shares_));
    }
  }

  void TestFewCallsDecideNothing() {
    for (int i = 0; i < 5; ++i) {
      calls_.OnCall("rate-table", kRecords);
    }
    CPPUNIT_ASSERT(!calls_.IsNested("rate-table", shares_));
    CPPUNIT_ASSERT(!calls_.IsNested("unknown", shares_));
  }

 private:
  NestedCalls calls_;
  const ServiceShares shares_{
      {kBooking, 0.5}, {kTariffs, 0.4}, {kRecords, 0.1}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(NestedCallsTest);

}  // namespace

}  // namespace cumin
