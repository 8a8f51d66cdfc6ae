#include "cumin_config/status_report.h"

#include <cppunit/extensions/HelperMacros.h>

#include "cumin_core/json_text.h"

namespace cumin {

namespace {

constexpr std::int64_t kAcceptedMs = 1796350207000;  // 2026-12-04 02:10:07 UTC

WallTime Seconds(int offset) {
  return FromUnixMillis(kAcceptedMs + std::int64_t{1000} * offset);
}

ConfigVersionRecord Record(std::uint64_t version, int offset) {
  ConfigVersionRecord record;
  record.version = version;
  record.change_id = ChangeId("c-" + std::to_string(version));
  record.accepted_at = Seconds(offset);
  record.author = "anna";
  record.note = "raise burst";
  record.changed_parts = {PartName("customer/fabricators")};
  return record;
}

MemberVersionReport MemberAt(int number, std::uint64_t version) {
  MemberVersionReport member;
  member.vm = VmId("vm-" + std::to_string(number));
  member.endpoint = {"127.0.0.1", 7000};
  member.region = RegionId("perth");
  member.failure_domain = FailureDomainId("perth-a");
  member.version = version;
  member.in_force_since = Seconds(1);
  member.last_heard = Seconds(50);
  member.reachable = true;
  member.known_daemons = 3;
  return member;
}

StatusReport Report() {
  StatusReport report;
  report.made_at = Seconds(60);
  report.made_by = VmId("vm-1");
  report.store_answered = true;
  report.history = {Record(12, 0), Record(11, -600)};
  report.members = {MemberAt(1, 12), MemberAt(2, 12), MemberAt(3, 12)};
  return report;
}

void AssertContains(const std::string& text, const std::string& sentence) {
  CPPUNIT_ASSERT_MESSAGE(text, text.find(sentence) != std::string::npos);
}

WallTimeSpan At(const std::string& text) {
  return ParseWallTime(text, Seconds(60)).value();
}

class StatusReportTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StatusReportTest);
  CPPUNIT_TEST(TestEverywhereInForce);
  CPPUNIT_TEST(TestNamesUnconfirmedMembers);
  CPPUNIT_TEST(TestUnreachableIsNotConfirmed);
  CPPUNIT_TEST(TestStoreUnavailable);
  CPPUNIT_TEST(TestIncompleteReport);
  CPPUNIT_TEST(TestVersionWithoutRecord);
  CPPUNIT_TEST(TestNothingAccepted);
  CPPUNIT_TEST(TestJsonRoundTrip);
  CPPUNIT_TEST(TestFindsTheVersionAtATime);
  CPPUNIT_TEST(TestParsesTimes);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestEverywhereInForce() {
    CPPUNIT_ASSERT(IsEverywhereInForce(Report()));
    AssertContains(
        Describe(Report()),
        "Version 12 (change c-12, by anna, accepted 2026-12-04 02:10:07 "
        "UTC, \"raise burst\") is in force on 3 of 3 daemons since "
        "02:10:08.\n");
  }

  void TestNamesUnconfirmedMembers() {
    StatusReport report = Report();
    report.members[2] = MemberAt(3, 11);
    report.members[2].last_heard = Seconds(-9);
    CPPUNIT_ASSERT(!IsEverywhereInForce(report));
    AssertContains(Describe(report), "is in force on 2 of 3 daemons");
    AssertContains(
        Describe(report),
        "Not confirmed by vm-3 (perth/perth-a): it reported version 11 "
        "and was last heard 02:09:58.\n");
  }

  void TestUnreachableIsNotConfirmed() {
    StatusReport report = Report();
    report.members[2].reachable = false;
    CPPUNIT_ASSERT(!IsEverywhereInForce(report));
    AssertContains(
        Describe(report),
        "it cannot be heard; it reported version 12 and was last heard "
        "02:10:57.");
  }

  void TestStoreUnavailable() {
    StatusReport report = Report();
    report.store_answered = false;
    CPPUNIT_ASSERT(!IsEverywhereInForce(report));
    AssertContains(Describe(report), "The store does not answer");
  }

  void TestIncompleteReport() {
    StatusReport report = Report();
    report.members[1].known_daemons = 3;
    CPPUNIT_ASSERT(IsEverywhereInForce(report));
    report.members[1].known_daemons = 18;
    CPPUNIT_ASSERT(!IsEverywhereInForce(report));
    AssertContains(Describe(report), "Incomplete: vm-2 knows of 18 daemons.");
  }

  void TestVersionWithoutRecord() {
    StatusReport report = Report();
    report.members[0].version = 13;
    AssertContains(
        Describe(report),
        "Version 13 (its record is not known here) is in force on 1 of "
        "3 daemons");
    AssertContains(Describe(report), "Not confirmed by vm-2");
  }

  void TestNothingAccepted() {
    StatusReport report = Report();
    report.history.clear();
    report.members = {MemberAt(1, 0)};
    CPPUNIT_ASSERT(!IsEverywhereInForce(report));
    AssertContains(Describe(report), "No configuration has been accepted yet.");
  }

  void TestJsonRoundTrip() {
    const std::string text = ToJsonText(ToJson(Report()));
    const Json::Value value = ParseJson(text, "").value();
    JsonObject fields(value, "peer");
    CPPUNIT_ASSERT(Report() == ReadStatusReport(fields));
    CPPUNIT_ASSERT(fields.Finish());
  }

  void TestFindsTheVersionAtATime() {
    const std::vector<ConfigVersionRecord> history = Report().history;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{12},
                         FindVersionAt(history, At("02:10"))->version);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{11},
                         FindVersionAt(history, At("02:09"))->version);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{11},
                         FindVersionAt(history, At("02:10:06"))->version);
    CPPUNIT_ASSERT(FindVersionAt(history, At("01:00")) == nullptr);
    AssertContains(
        DescribeAt(history, At("02:10")),
        "Accepted in the minute from 2026-12-04 02:10:00 UTC: version "
        "12 (change c-12");
    AssertContains(DescribeAt(history, At("02:10")),
                   "Nothing has been accepted since.");
    AssertContains(DescribeAt(history, At("02:05")),
                   "The newest then: version 11");
    AssertContains(DescribeAt(history, At("02:05")), "Since then: version 12");
    AssertContains(DescribeAt(history, At("01:00")),
                   "No version accepted before that is known here.");
  }

  void TestParsesTimes() {
    CPPUNIT_ASSERT_EQUAL(std::string("2026-12-04 02:10:00 UTC"),
                         ToUtcText(At("02:10").begin));
    CPPUNIT_ASSERT(At("02:10") == At("2026-12-04T02:10Z"));
    CPPUNIT_ASSERT(At("02:10") == At("10:10+08:00"));
    CPPUNIT_ASSERT_MESSAGE("a time of day after now refers to the previous day",
                           At("23:00") == At("2026-12-03 23:00"));
    for (const char* it :
         {"", "2:10", "24:00", "02:60", "02:10:61", "2026-13-01T00:00",
          "2026-02-30T00:00", "02:10+99:00", "yesterday"}) {
      CPPUNIT_ASSERT(!ParseWallTime(it, Seconds(0)));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StatusReportTest);

}  // namespace

}  // namespace cumin
