#include "cumin_admission/inbound_link.h"

#include <cppunit/extensions/HelperMacros.h>

#include "cumin_admission/byte_rate.h"

namespace cumin {

namespace {

constexpr MonoTime kNow{std::chrono::hours(1)};
constexpr std::size_t kBody = 60000;
constexpr Duration kLeft = std::chrono::seconds(4);

/** More large uploads than the link of the target's VM carries. */
class InboundLinkTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(InboundLinkTest);
  CPPUNIT_TEST(TestBodiesTakePartOfLink);
  CPPUNIT_TEST(TestBodyThatWouldWaitForLongIsRefused);
  CPPUNIT_TEST(TestSingleLargeBodyIsGranted);
  CPPUNIT_TEST(TestUnknownLinkGrantsAll);
  CPPUNIT_TEST(TestRateOfBytesDecays);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Twenty bodies of 60 kB a second come to a link of 10 Mbit/s, for 10 s.
  void TestBodiesTakePartOfLink() {
    InboundLink link(10);
    std::size_t granted_bytes = 0;
    for (int i = 0; i < 200; ++i) {
      const MonoTime now = kNow + i * std::chrono::milliseconds(50);
      granted_bytes += link.Reserve(kBody, kLeft, now).is_granted ? kBody : 0;
    }
    const double link_bytes = 10 * 1.25e6;
    CPPUNIT_ASSERT(granted_bytes < 0.85 * link_bytes);
    CPPUNIT_ASSERT(granted_bytes > 0.65 * link_bytes);
  }

  void TestBodyThatWouldWaitForLongIsRefused() {
    InboundLink link(10);
    InboundGrant grant;
    int granted = 0;
    while ((grant = link.Reserve(kBody, kLeft, kNow)).is_granted) {
      CPPUNIT_ASSERT(grant.wait <= InboundLink::kMaxWait);
      granted += 1;
    }
    CPPUNIT_ASSERT(granted >= 5);
    CPPUNIT_ASSERT(grant.wait > Duration::zero());
    CPPUNIT_ASSERT(link.Reserve(kBody, kLeft, kNow + grant.wait).is_granted);
  }

  // A body inside the limits is passed on in calm, however long it takes.
  void TestSingleLargeBodyIsGranted() {
    InboundLink link(10);
    CPPUNIT_ASSERT((link.Reserve(std::size_t{64} << 20U, kLeft, kNow) ==
                    InboundGrant{true, Duration::zero()}));
  }

  void TestUnknownLinkGrantsAll() {
    InboundLink link(0);
    for (int i = 0; i < 100; ++i) {
      CPPUNIT_ASSERT(link.Reserve(kBody, kLeft, kNow).is_granted);
    }
  }

  void TestRateOfBytesDecays() {
    ByteRate rate;
    for (int i = 0; i < 100; ++i) {
      rate.OnBytes(1000, kNow + i * std::chrono::milliseconds(100));
    }
    const MonoTime end = kNow + std::chrono::seconds(10);
    CPPUNIT_ASSERT(rate.PerSecond(end) > 8000 && rate.PerSecond(end) < 11000);
    CPPUNIT_ASSERT(rate.PerSecond(end + std::chrono::seconds(10)) < 10);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InboundLinkTest);

}  // namespace

}  // namespace cumin
