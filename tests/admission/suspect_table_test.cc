#include "cumin_admission/suspect_table.h"

#include <algorithm>
#include <set>

#include "support/property.h"

namespace cumin {

namespace {

constexpr MonoTime kStart{std::chrono::hours(1)};

/** Simulates targets that crash when they execute a certain request, which its
    caller retries after each crash.
    @param share_records  whether the daemons exchange their records
    @returns the number of crashes */
int CountCrashes(bool share_records) {
  const ServiceId service("catalogue");
  const RequestFingerprint poison{1};
  std::vector<SuspectTable> daemons(6);
  std::set<std::uint64_t> quarantined_innocent;
  int crashes = 0;
  MonoTime now = kStart;
  for (int attempt = 0; attempt < 12; ++attempt) {
    const auto vm = *rc::gen::inRange<std::size_t>(0, daemons.size());
    SuspectTable& table = daemons.at(vm);
    now += std::chrono::seconds(*rc::gen::inRange(1, 5));
    std::vector<RequestFingerprint> in_flight;
    const int others = *rc::gen::inRange(0, 5);
    for (int i = 0; i < others; ++i) {
      const RequestFingerprint other{*rc::gen::inRange<std::uint64_t>(2, 40)};
      const SuspectDecision decision = table.Begin(service, other, now);
      RC_ASSERT(decision != SuspectDecision::kQuarantined);
      if (decision == SuspectDecision::kNotSuspect) {
        in_flight.push_back(other);
      } else if (decision == SuspectDecision::kRunAlone) {
        table.Finish(service, other, true);
      }
    }
    const SuspectDecision decision = table.Begin(service, poison, now);
    if (decision == SuspectDecision::kQuarantined) {
      continue;
    }
    in_flight.push_back(poison);
    crashes += 1;
    const TargetCrash crash{VmId("vm-" + std::to_string(vm)),
                            static_cast<std::uint64_t>(crashes)};
    table.OnCrash(crash, in_flight, now);
    table.Finish(service, poison, false);
    for (SuspectTable& peer : daemons) {
      for (const SuspectRecord& it : table.Export(now)) {
        if (share_records) {
          peer.Import(it, now);
          peer.Import(it, now);
        }
      }
    }
  }
  return crashes;
}

class SuspectTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SuspectTableTest);
  CPPUNIT_TEST(TestQuarantineAfterTwoTargets);
  CPPUNIT_TEST(TestSuspectsRunOneAtATime);
  CPPUNIT_TEST(TestQuarantineEnds);
  CPPUNIT_TEST(TestExchangeDoesNotExtendTheLifetimeOfRecords);
  CPPUNIT_TEST(TestSizeIsBounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestQuarantineAfterTwoTargets() {
    test::CheckPropertyFails(
        "at most two targets crash; fault: records not shared",
        [] { RC_ASSERT(CountCrashes(false) <= 2); });
    test::CheckProperty("at most two targets crash",
                        [] { RC_ASSERT(CountCrashes(true) <= 2); });
  }

  void TestSuspectsRunOneAtATime() {
    const ServiceId service("catalogue");
    SuspectTable table;
    table.OnCrash({VmId("a"), 1}, {{1}, {2}}, kStart);
    CPPUNIT_ASSERT(SuspectDecision::kRunAlone ==
                   table.Begin(service, {1}, kStart));
    CPPUNIT_ASSERT(SuspectDecision::kWait == table.Begin(service, {2}, kStart));
    CPPUNIT_ASSERT(SuspectDecision::kWait == table.Begin(service, {1}, kStart));
    CPPUNIT_ASSERT(SuspectDecision::kNotSuspect ==
                   table.Begin(service, {3}, kStart));
    table.Finish(service, {1}, true);
    CPPUNIT_ASSERT(SuspectDecision::kRunAlone ==
                   table.Begin(service, {2}, kStart));
    CPPUNIT_ASSERT(SuspectDecision::kNotSuspect ==
                   table.Begin(service, {1}, kStart));
  }

  void TestQuarantineEnds() {
    const ServiceId service("catalogue");
    SuspectTable table;
    table.OnCrash({VmId("a"), 1}, {{1}}, kStart);
    table.OnCrash({VmId("a"), 1}, {{1}}, kStart);
    CPPUNIT_ASSERT(SuspectDecision::kRunAlone ==
                   table.Begin(service, {1}, kStart));
    table.OnCrash({VmId("b"), 1}, {{1}}, kStart);
    table.Finish(service, {1}, false);
    CPPUNIT_ASSERT(SuspectDecision::kQuarantined ==
                   table.Begin(service, {1}, kStart + std::chrono::minutes(9)));
    CPPUNIT_ASSERT(
        SuspectDecision::kNotSuspect ==
        table.Begin(service, {1}, kStart + std::chrono::minutes(11)));
    CPPUNIT_ASSERT_EQUAL(
        Verdict::kNotRun,
        SuspectTable::RefusalFor(SuspectDecision::kQuarantined).verdict);
  }

  void TestExchangeDoesNotExtendTheLifetimeOfRecords() {
    SuspectTable a;
    SuspectTable b;
    a.OnCrash({VmId("a"), 1}, {{1}}, kStart);
    MonoTime now = kStart;
    for (int i = 0; i < 10; ++i) {
      now += std::chrono::seconds(20);
      for (const SuspectRecord& it : a.Export(now)) {
        b.Import(it, now);
      }
      for (const SuspectRecord& it : b.Export(now)) {
        a.Import(it, now);
      }
    }
    a.Expire(now);
    CPPUNIT_ASSERT(a.empty());
  }

  void TestSizeIsBounded() {
    SuspectLimits limits;
    limits.max_records = 8;
    SuspectTable table(limits);
    table.OnCrash({VmId("a"), 1}, {{1}}, kStart);
    table.OnCrash({VmId("b"), 1}, {{1}}, kStart);
    for (std::uint64_t i = 2; i < 100; ++i) {
      table.OnCrash({VmId("c"), i}, {{i}}, kStart);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, table.size());
    // Quarantined requests are evicted last.
    CPPUNIT_ASSERT(SuspectDecision::kQuarantined ==
                   table.Begin(ServiceId("s"), {1}, kStart));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SuspectTableTest);

}  // namespace

}  // namespace cumin
