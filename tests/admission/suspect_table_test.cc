#include "cumin_admission/suspect_table.h"

#include <algorithm>
#include <set>

#include "cumin_admission/suspect_codec.h"
#include "cumin_core/json_text.h"
#include "support/property.h"

namespace cumin {

namespace {

constexpr MonoTime kStart{std::chrono::hours(1)};
constexpr WallTime kWallStart;

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
    std::vector<InFlightRequest> in_flight;
    const int others = *rc::gen::inRange(0, 5);
    for (int i = 0; i < others; ++i) {
      const RequestFingerprint other{*rc::gen::inRange<std::uint64_t>(2, 40)};
      const SuspectDecision decision = table.Begin(service, other, now);
      RC_ASSERT(decision != SuspectDecision::kQuarantined);
      if (decision == SuspectDecision::kNotSuspect) {
        in_flight.push_back({other, false});
      } else if (decision == SuspectDecision::kRunAlone) {
        table.Finish(service, other, true);
      }
    }
    const SuspectDecision decision = table.Begin(service, poison, now);
    if (decision == SuspectDecision::kQuarantined) {
      continue;
    }
    in_flight.push_back({poison, decision == SuspectDecision::kRunAlone});
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

/** Makes a request crash two targets, the second one while it runs alone. */
void Quarantine(SuspectTable& table, const RequestFingerprint& request,
                MonoTime now) {
  const ServiceId service("catalogue");
  table.OnCrash({VmId("a"), request.value}, {{request, false}}, now);
  CPPUNIT_ASSERT(SuspectDecision::kRunAlone ==
                 table.Begin(service, request, now));
  table.OnCrash({VmId("b"), request.value}, {{request, true}}, now);
  table.Finish(service, request, false);
}

void ImportAll(SuspectTable& to, const std::vector<SuspectRecord>& records,
               MonoTime now) {
  for (const SuspectRecord& it : records) {
    (void)to.Import(it, now);
  }
}

/** Simulates copies of a crashing request that run on several daemons before
    any crash is known, among requests that are answered; then the callers of
    all requests in flight repeat them until the crashing one is refused.
    @param known_to_all  whether the daemons exchange records between repeats
    @returns the number of crashes after the first ones */
int CountLaterCrashes(bool known_to_all) {
  const ServiceId service("catalogue");
  const RequestFingerprint crasher{1};
  const auto fleet = *rc::gen::inRange<std::size_t>(2, 60);
  const auto copies = *rc::gen::inRange<std::size_t>(1, fleet);
  std::vector<SuspectTable> daemons(fleet);
  MonoTime now = kStart;
  std::uint64_t crashes = 0;
  std::set<std::uint64_t> innocent;
  const auto crash = [&](std::size_t vm,
                         const std::vector<InFlightRequest>& in_flight) {
    crashes += 1;
    daemons[vm].OnCrash({VmId("vm-" + std::to_string(vm)), crashes}, in_flight,
                        now);
  };
  for (std::size_t vm = 0; vm < copies; ++vm) {
    const std::uint64_t other = *rc::gen::inRange<std::uint64_t>(2, 30);
    innocent.insert(other);
    crash(vm, {{crasher, false}, {{other}, false}});
  }
  const auto first = static_cast<int>(crashes);
  for (int i = 0; i < 8; ++i) {
    for (SuspectTable& to : daemons) {
      for (const SuspectTable& from : daemons) {
        if (known_to_all) {
          ImportAll(to, from.Export(now), now);
        }
      }
    }
    now += std::chrono::milliseconds(500);
    const auto vm = *rc::gen::inRange<std::size_t>(0, fleet);
    for (const std::uint64_t it : innocent) {
      const SuspectDecision decision = daemons[vm].Begin(service, {it}, now);
      RC_ASSERT(decision != SuspectDecision::kQuarantined);
      if (decision == SuspectDecision::kRunAlone) {
        daemons[vm].Finish(service, {it}, true);
      }
      daemons[vm].OnAnswered({it}, now);
    }
    const SuspectDecision decision = daemons[vm].Begin(service, crasher, now);
    if (decision != SuspectDecision::kQuarantined) {
      crash(vm, {{crasher, decision == SuspectDecision::kRunAlone}});
      daemons[vm].Finish(service, crasher, false);
    }
  }
  return static_cast<int>(crashes) - first;
}

class SuspectTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SuspectTableTest);
  CPPUNIT_TEST(TestQuarantineAfterTwoTargets);
  CPPUNIT_TEST(TestSuspectsRunOneAtATime);
  CPPUNIT_TEST(TestQuarantineEnds);
  CPPUNIT_TEST(TestExchangeDoesNotExtendTheLifetimeOfRecords);
  CPPUNIT_TEST(TestSizeIsBounded);
  CPPUNIT_TEST(TestCrashesAtOnceQuarantineNothing);
  CPPUNIT_TEST(TestRecentAnswerPreventsSuspicion);
  CPPUNIT_TEST(TestAnswerAndLiftEndQuarantine);
  CPPUNIT_TEST(TestCrashAfterLiftCountsAgain);
  CPPUNIT_TEST(TestAnswerAfterLiftKeepsTheLift);
  CPPUNIT_TEST(TestCopiesInFlightTogetherAreStopped);
  CPPUNIT_TEST(TestProvedRecordsConverge);
  CPPUNIT_TEST(TestCodecKeepsRecords);
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
    table.OnCrash({VmId("a"), 1}, {{{1}, false}, {{2}, false}}, kStart);
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
    table.OnCrash({VmId("a"), 1}, {{{1}, false}}, kStart);
    table.OnCrash({VmId("a"), 1}, {{{1}, false}}, kStart);
    CPPUNIT_ASSERT(SuspectDecision::kRunAlone ==
                   table.Begin(service, {1}, kStart));
    table.OnCrash({VmId("b"), 1}, {{{1}, true}}, kStart);
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
    a.OnCrash({VmId("a"), 1}, {{{1}, false}}, kStart);
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
    Quarantine(table, {1}, kStart);
    for (std::uint64_t i = 2; i < 100; ++i) {
      table.OnCrash({VmId("c"), i}, {{{i}, false}}, kStart);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, table.size());
    // Quarantined requests are evicted last.
    CPPUNIT_ASSERT(SuspectDecision::kQuarantined ==
                   table.Begin(ServiceId("s"), {1}, kStart));
  }

  // Many targets may end together while the same healthy request is in flight
  // at several of them.
  void TestCrashesAtOnceQuarantineNothing() {
    SuspectTable table;
    for (std::uint64_t i = 0; i < 5; ++i) {
      table.OnCrash({VmId("vm-" + std::to_string(i)), 1},
                    {{{1}, false}, {{2}, false}}, kStart);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, table.QuarantinedCount());
    CPPUNIT_ASSERT(SuspectDecision::kRunAlone ==
                   table.Begin(ServiceId("s"), {1}, kStart));
    table.OnAnswered({1}, kStart);
    table.Finish(ServiceId("s"), {1}, true);
    CPPUNIT_ASSERT(SuspectDecision::kNotSuspect ==
                   table.Begin(ServiceId("s"), {1}, kStart));
  }

  void TestRecentAnswerPreventsSuspicion() {
    SuspectTable table;
    table.OnAnswered({1}, kStart);
    table.OnCrash({VmId("a"), 1}, {{{1}, false}},
                  kStart + std::chrono::seconds(1));
    CPPUNIT_ASSERT(table.empty());
    SuspectRecord record;
    record.fingerprint = {1};
    record.crashes = {{{VmId("b"), 1}, false}};
    record.remaining = std::chrono::minutes(1);
    CPPUNIT_ASSERT(!table.Import(record, kStart + std::chrono::seconds(1)));
    CPPUNIT_ASSERT(table.empty());
    // A request may begin to crash targets after it was answered.
    table.OnCrash({VmId("a"), 2}, {{{1}, false}},
                  kStart + std::chrono::seconds(4));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.size());
  }

  void TestAnswerAndLiftEndQuarantine() {
    SuspectTable answered;
    Quarantine(answered, {1}, kStart);
    answered.OnAnswered({1}, kStart);
    CPPUNIT_ASSERT(!answered.IsQuarantined({1}, kStart));
    SuspectTable lifted;
    Quarantine(lifted, {1}, kStart);
    CPPUNIT_ASSERT(lifted.IsQuarantined({1}, kStart));
    CPPUNIT_ASSERT(lifted.Lift({1}, kWallStart));
    CPPUNIT_ASSERT(!lifted.Lift({2}, kWallStart));
    CPPUNIT_ASSERT(SuspectDecision::kNotSuspect ==
                   lifted.Begin(ServiceId("s"), {1}, kStart));
  }

  // Guards against an answer that shortens the time up to which a lift excuses
  // crashes, so that a peer's report of an earlier one quarantines again.
  void TestAnswerAfterLiftKeepsTheLift() {
    SuspectTable table;
    Quarantine(table, {1}, kStart);
    table.Lift({1}, WallTime(std::chrono::seconds(10)));
    table.OnAnswered({1}, kStart);
    SuspectRecord late;
    late.fingerprint = {1};
    late.crashes = {{{VmId("c"), 9000}, true}};
    late.remaining = std::chrono::minutes(1);
    CPPUNIT_ASSERT(!table.Import(late, kStart));
    CPPUNIT_ASSERT(!table.IsQuarantined({1}, kStart));
  }

  void TestCrashAfterLiftCountsAgain() {
    SuspectTable table;
    for (std::uint64_t i = 0; i < 20; ++i) {
      CPPUNIT_ASSERT(SuspectDecision::kNotSuspect ==
                     table.Begin(ServiceId("s"), {1}, kStart));
      table.OnCrash({VmId("a"), 2 * i + 1}, {{{1}, false}}, kStart);
      CPPUNIT_ASSERT(SuspectDecision::kRunAlone ==
                     table.Begin(ServiceId("s"), {1}, kStart));
      table.OnCrash({VmId("a"), 2 * i + 2}, {{{1}, true}}, kStart);
      table.Finish(ServiceId("s"), {1}, false);
      CPPUNIT_ASSERT(table.IsQuarantined({1}, kStart));
      table.Lift({1}, kWallStart);
    }
  }

  void TestCopiesInFlightTogetherAreStopped() {
    test::CheckPropertyFails(
        "one crash after copies ran together; fault: records not shared",
        [] { RC_ASSERT(CountLaterCrashes(false) <= 1); });
    test::CheckProperty("one crash after copies ran together",
                        [] { RC_ASSERT(CountLaterCrashes(true) <= 1); });
  }

  void TestProvedRecordsConverge() {
    test::CheckProperty("daemons that exchange proved records agree", [] {
      std::vector<SuspectTable> daemons(*rc::gen::inRange<std::size_t>(2, 8));
      const auto steps = *rc::gen::inRange(1, 40);
      for (int i = 0; i < steps; ++i) {
        const auto vm = *rc::gen::inRange<std::size_t>(0, daemons.size());
        const RequestFingerprint request{
            *rc::gen::inRange<std::uint64_t>(1, 5)};
        const auto n = static_cast<std::uint64_t>(i);
        switch (*rc::gen::inRange(0, 3)) {
          case 0:
            daemons[vm].Lift(request, kWallStart);
            break;
          case 1:
            daemons[vm].OnAnswered(request, kStart);
            break;
          default: {
            const bool is_alone =
                daemons[vm].Begin(ServiceId("s"), request, kStart) ==
                SuspectDecision::kRunAlone;
            daemons[vm].OnCrash({VmId("vm"), n + 1}, {{request, is_alone}},
                                kStart);
            daemons[vm].Finish(ServiceId("s"), request, false);
          }
        }
      }
      for (std::size_t round = 0; round < daemons.size(); ++round) {
        for (SuspectTable& to : daemons) {
          for (const SuspectTable& from : daemons) {
            ImportAll(to, from.ExportProved(kStart), kStart);
          }
        }
      }
      for (const SuspectTable& it : daemons) {
        RC_ASSERT(it.ProvedDigest() == daemons.front().ProvedDigest());
        RC_ASSERT(it.QuarantinedCount() == daemons.front().QuarantinedCount());
      }
    });
  }

  void TestCodecKeepsRecords() {
    SuspectTable table;
    Quarantine(table, {0xFEDCBA9876543210U}, kStart);
    const std::vector<SuspectRecord> records = table.Export(kStart);
    CPPUNIT_ASSERT(records == DecodeSuspects(EncodeSuspects(records)).value());
    for (
        const char* it :
        {"1", "{}", R"({"records":1})", R"({"records":[1]})",
         R"({"records":[{"fingerprint":-1,"remaining_ms":1,"crashes":[]}]})",
         R"({"records":[{"fingerprint":1,"remaining_ms":1e300,"crashes":[]}]})",
         R"({"records":[{"fingerprint":1,"remaining_ms":1,"crashes":[{}]}]})"}) {
      CPPUNIT_ASSERT(!DecodeSuspects(ParseJson(it, "test").value()));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SuspectTableTest);

}  // namespace

}  // namespace cumin
