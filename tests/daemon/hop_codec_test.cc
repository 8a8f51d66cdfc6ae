#include "cumin_daemon/hop_codec.h"

#include "support/property.h"

namespace cumin {

namespace {

constexpr MonoTime kNow{std::chrono::hours(1)};
constexpr MonoTime kOtherNow{std::chrono::hours(7)};

MeshCall MakeCall() {
  MeshCall call;
  call.attempt = "9c41";
  call.service = ServiceId("orders");
  call.caller = ServiceId("board");
  call.route = "r-1";
  call.kind = RouteKind::kAtMostOnce;
  call.priority = 1;
  call.deadline = kNow + std::chrono::milliseconds(700);
  call.wanted_by = kNow + std::chrono::milliseconds(300);
  call.request.method = "POST";
  call.request.path = "/a/b";
  call.request.query = "c=d";
  call.request.headers.Add("Other", "1");
  call.request.headers.Add("Other", "2");
  call.request.body = "body";
  return call;
}

class HopCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HopCodecTest);
  CPPUNIT_TEST(TestEncodedCallRoundTrip);
  CPPUNIT_TEST(TestMalformedCallIsRefused);
  CPPUNIT_TEST(TestEncodedOutcomeRoundTrip);
  CPPUNIT_TEST(TestRefusalHasNoBody);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestEncodedCallRoundTrip() {
    const MeshCall call = MakeCall();
    HttpRequest sent = EncodeHop(call, kNow);
    CPPUNIT_ASSERT(sent.body.empty());
    sent.body = call.request.body;
    const MeshCall read = DecodeHop(sent, kOtherNow).value();
    CPPUNIT_ASSERT_EQUAL(call.attempt, read.attempt);
    CPPUNIT_ASSERT_EQUAL(call.service, read.service);
    CPPUNIT_ASSERT_EQUAL(call.caller, read.caller);
    CPPUNIT_ASSERT_EQUAL(call.route, read.route);
    CPPUNIT_ASSERT_EQUAL(call.kind, read.kind);
    CPPUNIT_ASSERT_EQUAL(call.priority, read.priority);
    // The clocks of two daemons are not comparable, but the remaining time is.
    CPPUNIT_ASSERT(call.deadline - kNow == read.deadline - kOtherNow);
    CPPUNIT_ASSERT(call.wanted_by - kNow == read.wanted_by - kOtherNow);
    CPPUNIT_ASSERT_EQUAL(call.request.path, read.request.path);
    CPPUNIT_ASSERT_EQUAL(call.request.query, read.request.query);
    CPPUNIT_ASSERT_EQUAL(call.request.body, read.request.body);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, read.request.headers.all().size());
  }

  void TestMalformedCallIsRefused() {
    for (const char* const it :
         {"", "a", "a b c d 1 2", "a b c d 9 0 1 1", "a b c d x 0 1 1"}) {
      HttpRequest request;
      request.headers.Set(kHopField, it);
      CPPUNIT_ASSERT(!DecodeHop(request, kNow));
    }
  }

  void TestEncodedOutcomeRoundTrip() {
    test::CheckProperty("an outcome survives encoding and decoding", [] {
      CallOutcome outcome;
      outcome.verdict = static_cast<Verdict>(*rc::gen::inRange(0, 3));
      outcome.refusal.verdict = outcome.verdict;
      outcome.refusal.reason =
          static_cast<RefusalReason>(*rc::gen::inRange(0, 28));
      outcome.refusal.retry_after = Duration(*rc::gen::inRange(0, 1000000));
      outcome.reached_target = *rc::gen::arbitrary<bool>();
      outcome.has_load = *rc::gen::arbitrary<bool>();
      outcome.load = TargetLoad{*rc::gen::inRange(0, 9),
                                *rc::gen::inRange(0, 9),
                                *rc::gen::inRange(0, 9),
                                *rc::gen::arbitrary<bool>(),
                                Duration(*rc::gen::inRange(0, 999999)),
                                Duration(*rc::gen::inRange(0, 999999))};
      outcome.response.status = 500;
      outcome.response.body = "failed";
      const CallOutcome read = DecodeOutcome(EncodeOutcome(outcome)).value();
      RC_ASSERT(read.verdict == outcome.verdict);
      RC_ASSERT(read.refusal == outcome.refusal);
      RC_ASSERT(read.reached_target == outcome.reached_target);
      RC_ASSERT(read.load == outcome.load);
      if (outcome.verdict == Verdict::kRan) {
        RC_ASSERT(read.response.status == 500);
        RC_ASSERT(read.response.body == "failed");
      }
    });
  }

  void TestRefusalHasNoBody() {
    CallOutcome outcome = FailedOutcome(
        Verdict::kNotRun, RefusalReason::kQueueFull, "the queue is full");
    outcome.response.body = "of an earlier attempt";
    const HttpResponse sent = EncodeOutcome(outcome);
    CPPUNIT_ASSERT(sent.body.empty());
    CPPUNIT_ASSERT_EQUAL(std::string("the queue is full"),
                         DecodeOutcome(sent).value().refusal.detail);
    CPPUNIT_ASSERT(!DecodeOutcome(HttpResponse{}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HopCodecTest);

}  // namespace

}  // namespace cumin
