#include "cumin_config/config_freshness.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cumin {

namespace {

constexpr Duration kLimit = std::chrono::seconds(5);
constexpr MonoTime kStart{std::chrono::hours(1)};

MonoTime At(double seconds) {
  return kStart + std::chrono::duration_cast<Duration>(
                      std::chrono::duration<double>(seconds));
}

DatedVersion Statement(std::uint64_t version, double as_of,
                       std::uint64_t era = 1) {
  return DatedVersion{era, 10 * version, version, At(as_of)};
}

/** Withdrawals of keys while daemons are cut off or restart. */
class ConfigFreshnessTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigFreshnessTest);
  CPPUNIT_TEST(TestRestartedDaemonServesNoKeys);
  CPPUNIT_TEST(TestKnowledgeEndsWithItsAge);
  CPPUNIT_TEST(TestRepeatedAgeDoesNotRenew);
  CPPUNIT_TEST(TestStatementWaitsForItsVersion);
  CPPUNIT_TEST(TestAgesAddUpOverPeers);
  CPPUNIT_TEST(TestStoreThatWentBackRenewsNothing);
  CPPUNIT_TEST(TestWithoutLimitKeysAreServed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestRestartedDaemonServesNoKeys() {
    CPPUNIT_ASSERT(!freshness_.MayServeKeys(kStart));
    CPPUNIT_ASSERT(!freshness_.Age(kStart));
    CPPUNIT_ASSERT(freshness_.Learn(Statement(1, 0), 1));
    CPPUNIT_ASSERT(freshness_.MayServeKeys(At(0.1)));
  }

  void TestKnowledgeEndsWithItsAge() {
    CPPUNIT_ASSERT(freshness_.Learn(Statement(1, 0), 1));
    CPPUNIT_ASSERT(freshness_.MayServeKeys(At(4.99)));
    CPPUNIT_ASSERT(!freshness_.MayServeKeys(At(5)));
    CPPUNIT_ASSERT(freshness_.Learn(Statement(1, 4.5), 1));
    CPPUNIT_ASSERT(freshness_.MayServeKeys(At(9.4)));
  }

  // A peer that is cut off itself tells the same again and again.
  void TestRepeatedAgeDoesNotRenew() {
    CPPUNIT_ASSERT(freshness_.Learn(Statement(1, 0), 1));
    CPPUNIT_ASSERT(!freshness_.Learn(Statement(1, 0), 1));
    CPPUNIT_ASSERT(!freshness_.Learn(Statement(1, -2), 1));
    CPPUNIT_ASSERT(!freshness_.MayServeKeys(At(5)));
  }

  // The store has a version that withdraws keys; this daemon does not have it
  // yet, and must not take the date for the version in force.
  void TestStatementWaitsForItsVersion() {
    CPPUNIT_ASSERT(freshness_.Learn(Statement(1, 0), 1));
    CPPUNIT_ASSERT(!freshness_.Learn(Statement(2, 4), 1));
    CPPUNIT_ASSERT(!freshness_.MayServeKeys(At(5.5)));
    freshness_.OnActiveVersion(2);
    CPPUNIT_ASSERT(freshness_.MayServeKeys(At(5.5)));
    CPPUNIT_ASSERT(!freshness_.MayServeKeys(At(9)));
  }

  // Three daemons in a chain, each told 2 s after the one before it.
  void TestAgesAddUpOverPeers() {
    CPPUNIT_ASSERT(freshness_.Learn(Statement(1, 0), 1));
    ConfigFreshness second(kLimit);
    const Duration first_age = *freshness_.Age(At(2));
    CPPUNIT_ASSERT(second.Learn(DatedVersion{1, 10, 1, At(2) - first_age}, 1));
    ConfigFreshness third(kLimit);
    CPPUNIT_ASSERT(
        third.Learn(DatedVersion{1, 10, 1, At(4) - *second.Age(At(4))}, 1));
    CPPUNIT_ASSERT(third.MayServeKeys(At(4.9)));
    CPPUNIT_ASSERT(!third.MayServeKeys(At(5)));
  }

  // The store came back from a copy: it shows an older version until the
  // operator's is written again, and gives out its revisions again.
  void TestStoreThatWentBackRenewsNothing() {
    CPPUNIT_ASSERT(freshness_.Learn(Statement(7, 0, 1), 7));
    CPPUNIT_ASSERT(!freshness_.Learn(Statement(5, 2, 2), 7));
    CPPUNIT_ASSERT(!freshness_.Learn(Statement(7, 2.5, 1), 7));
    CPPUNIT_ASSERT(freshness_.Learn(Statement(7, 3.1, 2), 7));
    CPPUNIT_ASSERT(freshness_.MayServeKeys(At(8)));
  }

  void TestWithoutLimitKeysAreServed() {
    const ConfigFreshness unlimited{Duration(0)};
    CPPUNIT_ASSERT(unlimited.MayServeKeys(kStart));
  }

 private:
  ConfigFreshness freshness_{kLimit};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigFreshnessTest);

}  // namespace

}  // namespace cumin
