#include "cumin_proxy/call_planner.h"

#include <cppunit/extensions/HelperMacros.h>

#include "cumin_proxy/call_headers.h"
#include "proxy/sample_config.h"
#include "support/property.h"

namespace cumin {

namespace {

const MonoTime kNow = MonoTime(std::chrono::seconds(1000));

HttpRequest MakeRequest(const std::string& method, const std::string& path) {
  HttpRequest request;
  request.method = method;
  request.path = path;
  request.headers.Set(kCustomerHeader, "fabricators");
  return request;
}

RefusalReason ReasonFor(const HttpRequest& request) {
  const CallPlan plan = PlanCall(request, *test::SampleSnapshot(), kNow);
  const auto* refusal = std::get_if<Refusal>(&plan);
  if (refusal == nullptr) {
    return RefusalReason::kNone;
  }
  CPPUNIT_ASSERT_EQUAL(Verdict::kNotRun, refusal->verdict);
  return refusal->reason;
}

class CallPlannerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallPlannerTest);
  CPPUNIT_TEST(TestPlansGrantedCall);
  CPPUNIT_TEST(TestCallerCannotRaiseDeadline);
  CPPUNIT_TEST(TestRefusalsNameTheirReason);
  CPPUNIT_TEST(TestAtMostOnceNeedsKey);
  CPPUNIT_TEST(TestOversizeHeadersAreRefused);
  CPPUNIT_TEST(TestHopByHopFieldsAreDropped);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestPlansGrantedCall() {
    const CallPlan plan = PlanCall(MakeRequest("GET", "/prices/coil"),
                                   *test::SampleSnapshot(), kNow);
    const Call& call = std::get<PlannedCall>(plan).call;
    CPPUNIT_ASSERT_EQUAL(ServiceId("orderdesk"), call.service);
    CPPUNIT_ASSERT_EQUAL(OperationId("price"), call.operation);
    CPPUNIT_ASSERT(call.deadline == kNow + std::chrono::milliseconds(400));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, call.config_version);
  }

  void TestCallerCannotRaiseDeadline() {
    test::CheckProperty("the deadline is the smaller of the two", [] {
      const int millis = *rc::gen::inRange(0, 100000);
      HttpRequest request = MakeRequest("GET", "/prices/coil");
      request.headers.Set(kDeadlineHeader, std::to_string(millis));
      const CallPlan plan = PlanCall(request, *test::SampleSnapshot(), kNow);
      const Call& call = std::get<PlannedCall>(plan).call;
      RC_ASSERT(call.deadline ==
                kNow + std::chrono::milliseconds(std::min(millis, 400)));
    });
  }

  void TestRefusalsNameTheirReason() {
    HttpRequest stranger = MakeRequest("GET", "/prices/coil");
    stranger.headers.Set(kCustomerHeader, "stranger");
    CPPUNIT_ASSERT_EQUAL(RefusalReason::kUnknownCustomer, ReasonFor(stranger));
    CPPUNIT_ASSERT_EQUAL(RefusalReason::kUnknownRoute,
                         ReasonFor(MakeRequest("GET", "/nowhere")));
    CPPUNIT_ASSERT_EQUAL(RefusalReason::kNotGranted,
                         ReasonFor(MakeRequest("DELETE", "/quotes")));
    HttpRequest large = MakeRequest("GET", "/prices/coil");
    large.body = "eleven byte";
    CPPUNIT_ASSERT_EQUAL(RefusalReason::kBodyTooLarge, ReasonFor(large));
    HttpRequest garbled = MakeRequest("GET", "/prices/coil");
    garbled.headers.Set(kDeadlineHeader, "-5");
    CPPUNIT_ASSERT_EQUAL(RefusalReason::kBadRequest, ReasonFor(garbled));
  }

  void TestAtMostOnceNeedsKey() {
    HttpRequest request = MakeRequest("POST", "/quotes");
    CPPUNIT_ASSERT_EQUAL(RefusalReason::kKeyRequired, ReasonFor(request));
    request.headers.Set(kKeyHeader, std::string(129, 'k'));
    CPPUNIT_ASSERT_EQUAL(RefusalReason::kKeyRequired, ReasonFor(request));
    request.headers.Set(kKeyHeader, "k-1");
    request.headers.Set(kFirstSentHeader, "yesterday");
    CPPUNIT_ASSERT_EQUAL(RefusalReason::kBadRequest, ReasonFor(request));
    request.headers.Set(kFirstSentHeader, "1700000000000");
    CPPUNIT_ASSERT_EQUAL(RefusalReason::kNone, ReasonFor(request));
  }

  void TestOversizeHeadersAreRefused() {
    HttpRequest request = MakeRequest("GET", "/prices/coil");
    request.headers.Set("X-Large", std::string(3000, 'x'));
    CPPUNIT_ASSERT_EQUAL(RefusalReason::kBadRequest, ReasonFor(request));
  }

  void TestHopByHopFieldsAreDropped() {
    HttpRequest request = MakeRequest("GET", "/prices/coil");
    request.headers.Set("connection", "close");
    request.headers.Set(kAttemptHeader, "forged");
    request.headers.Set("Accept", "text/plain");
    const CallPlan plan = PlanCall(request, *test::SampleSnapshot(), kNow);
    const HttpHeaders& headers =
        std::get<PlannedCall>(plan).call.request.headers;
    CPPUNIT_ASSERT(!headers.Has("Connection"));
    CPPUNIT_ASSERT(!headers.Has(kAttemptHeader));
    CPPUNIT_ASSERT(headers.Has("Accept"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallPlannerTest);

}  // namespace

}  // namespace cumin
