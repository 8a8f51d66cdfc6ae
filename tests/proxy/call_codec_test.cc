#include "cumin_proxy/call_codec.h"

#include <cppunit/extensions/HelperMacros.h>

#include "cumin_proxy/call_headers.h"
#include "cumin_proxy/call_planner.h"
#include "cumin_proxy/target_slot.h"
#include "cumin_routing/call_deadline.h"
#include "proxy/sample_config.h"
#include "support/property.h"

namespace cumin {

namespace {

const MonoTime kNow = MonoTime(std::chrono::seconds(1000));

Call SampleCall() {
  HttpRequest request;
  request.method = "POST";
  request.path = "/quotes";
  request.query = "lot=3";
  request.body = "body";
  request.headers.Set(kCustomerHeader, "fabricators");
  request.headers.Set(kKeyHeader, "k-1");
  request.headers.Set(kFirstSentHeader, "1700000000000");
  const CallPlan plan = PlanCall(request, *test::SampleSnapshot(), kNow);
  Call call = std::get<PlannedCall>(plan).call;
  call.attempt = AttemptId("vm-1-9");
  return call;
}

class CallCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallCodecTest);
  CPPUNIT_TEST(TestCallRoundTrip);
  CPPUNIT_TEST(TestUnknownOperationIsRefused);
  CPPUNIT_TEST(TestAnswerOfAnotherAttemptIsNotDelivered);
  CPPUNIT_TEST(TestRefusalRoundTrip);
  CPPUNIT_TEST(TestBadAnnouncementsNameTheField);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestCallRoundTrip() {
    const Call sent = SampleCall();
    const HttpRequest wire = EncodeCall(sent, kNow);
    const Call got = DecodeCall(wire, *test::SampleSnapshot(), kNow).value();
    CPPUNIT_ASSERT_EQUAL(sent.attempt, got.attempt);
    CPPUNIT_ASSERT_EQUAL(sent.key, got.key);
    CPPUNIT_ASSERT(sent.first_sent == got.first_sent);
    // The answer's way back is left out of the time that the owner may take.
    const std::int64_t millis = CallDeadline(sent.deadline).NextHopMillis(kNow);
    CPPUNIT_ASSERT(got.deadline == kNow + std::chrono::milliseconds(millis));
    CPPUNIT_ASSERT(got.deadline < sent.deadline);
    CPPUNIT_ASSERT(got.repeatability == Repeatability::kAtMostOnce);
    CPPUNIT_ASSERT_EQUAL(std::string("/quotes"), got.request.path);
    CPPUNIT_ASSERT_EQUAL(std::string("lot=3"), got.request.query);
    CPPUNIT_ASSERT_EQUAL(std::string("body"), got.request.body);
  }

  void TestUnknownOperationIsRefused() {
    HttpRequest wire = EncodeCall(SampleCall(), kNow);
    wire.headers.Set(kOperationHeader, "other");
    CPPUNIT_ASSERT_EQUAL(
        std::string(kOperationHeader),
        DecodeCall(wire, *test::SampleSnapshot(), kNow).error().field);
  }

  void TestAnswerOfAnotherAttemptIsNotDelivered() {
    CallResult ran;
    ran.verdict = Verdict::kRan;
    ran.response.body = "another caller's answer";
    const HttpResponse wire = EncodeResult(ran, AttemptId("vm-1-8"));
    const CallResult got = DecodeResult(wire, AttemptId("vm-1-9"));
    CPPUNIT_ASSERT_EQUAL(Verdict::kMayHaveRun, got.verdict);
    CPPUNIT_ASSERT(got.response.body.empty());
  }

  void TestRefusalRoundTrip() {
    test::CheckProperty("a refusal keeps its verdict and reason", [] {
      const auto verdict =
          *rc::gen::element(Verdict::kNotRun, Verdict::kMayHaveRun);
      const auto reason = *rc::gen::element(
          RefusalReason::kQueueFull, RefusalReason::kKeyUncertain,
          RefusalReason::kDeadlineExpired, RefusalReason::kTargetLeaving);
      CallResult sent = CallResult::Refused(
          Refusal{verdict, reason, "because", std::chrono::seconds(2)});
      sent.load = TargetLoad{3, 1, 12, true};
      const AttemptId attempt("vm-1-9");
      const CallResult got = DecodeResult(EncodeResult(sent, attempt), attempt);
      RC_ASSERT(got.refusal == sent.refusal);
      RC_ASSERT(got.load == sent.load);
    });
  }

  void TestBadAnnouncementsNameTheField() {
    const std::string good =
        R"({"service":"s","address":"127.0.0.1:1","slots":1,"state":"ready"})";
    CPPUNIT_ASSERT(ParseAnnouncement(good).has_value());
    for (
        const char* it :
        {R"({"address":"127.0.0.1:1","slots":1,"state":"ready"})",
         R"({"service":"s","address":"host:1","slots":1,"state":"ready"})",
         R"({"service":"s","address":"127.0.0.1:1","slots":-1,"state":"ready"})",
         R"({"service":"s","address":"127.0.0.1:1","slots":1e99,"state":"ready"})",
         R"({"service":"s","address":"127.0.0.1:1","slots":1,"state":"odd"})"}) {
      const auto parsed = ParseAnnouncement(it);
      CPPUNIT_ASSERT_MESSAGE(it, !parsed);
      CPPUNIT_ASSERT_MESSAGE(it, !parsed.error().field.empty());
    }
    for (const char* it : {"", "[]", "7", "{", "null"}) {
      CPPUNIT_ASSERT_MESSAGE(it, !ParseAnnouncement(it));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallCodecTest);

}  // namespace

}  // namespace cumin
