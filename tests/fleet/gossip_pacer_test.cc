#include "cumin_fleet/gossip_pacer.h"

#include <cppunit/extensions/HelperMacros.h>

#include "support/property.h"

namespace cumin {

namespace {

/** Counts the extra messages sent over a number of ticks while a recent change
    is always pending. */
int CountSent(const GossipPacerSettings& settings, int ticks, Duration tick) {
  GossipPacer pacer(settings);
  MonoTime now(std::chrono::seconds(100));
  int sent = 0;
  for (int i = 0; i < ticks; ++i) {
    now += tick;
    sent += pacer.Take(now, true) ? 1 : 0;
  }
  return sent;
}

void BurstOfChangesIsBounded(const GossipPacerSettings& used) {
  const GossipPacerSettings promised;
  const int ticks = *rc::gen::inRange(1, 2000);
  const Duration tick = std::chrono::milliseconds(*rc::gen::inRange(10, 300));
  const std::chrono::duration<double> length = ticks * tick;
  const double bound = promised.burst + length.count() * promised.rate_per_s;
  RC_ASSERT(CountSent(used, ticks, tick) <= bound + 1e-6);
}

class GossipPacerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GossipPacerTest);
  CPPUNIT_TEST(TestBurstOfChangesIsBounded);
  CPPUNIT_TEST(TestSingleChangeIsSentImmediately);
  CPPUNIT_TEST(TestNoRecentChangeSendsNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestBurstOfChangesIsBounded() {
    GossipPacerSettings unbounded;
    unbounded.rate_per_s = 100;
    test::CheckPropertyFails("extra gossip is bounded, no budget",
                             [&] { BurstOfChangesIsBounded(unbounded); });
    test::CheckProperty("extra gossip is bounded",
                        [] { BurstOfChangesIsBounded(GossipPacerSettings{}); });
  }

  void TestSingleChangeIsSentImmediately() {
    GossipPacer pacer(GossipPacerSettings{});
    const MonoTime now(std::chrono::seconds(100));
    CPPUNIT_ASSERT(pacer.Take(now, true));
    CPPUNIT_ASSERT(!pacer.Take(now + std::chrono::milliseconds(100), true));
    CPPUNIT_ASSERT(pacer.Take(now + std::chrono::milliseconds(200), true));
  }

  void TestNoRecentChangeSendsNothing() {
    GossipPacer pacer(GossipPacerSettings{});
    CPPUNIT_ASSERT(!pacer.Take(MonoTime(std::chrono::seconds(100)), false));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GossipPacerTest);

}  // namespace

}  // namespace cumin
