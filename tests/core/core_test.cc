#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

#include "cumin_core/cumin_core.h"
#include "support/property.h"

namespace cumin {

namespace {

class CoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CoreTest);
  CPPUNIT_TEST(TestVerdictTextRoundTrip);
  CPPUNIT_TEST(TestEndpointRoundTrip);
  CPPUNIT_TEST(TestEndpointRefusesHostNames);
  CPPUNIT_TEST(TestQuantileBoundsObservations);
  CPPUNIT_TEST(TestTraceContinuesFromHeader);
  CPPUNIT_TEST(TestDigestIsStable);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestVerdictTextRoundTrip() {
    for (const Verdict it :
         {Verdict::kNotRun, Verdict::kMayHaveRun, Verdict::kRan}) {
      Verdict parsed = Verdict::kNotRun;
      CPPUNIT_ASSERT(ParseVerdict(ToString(it), &parsed));
      CPPUNIT_ASSERT_EQUAL(it, parsed);
    }
    CPPUNIT_ASSERT_EQUAL(
        RefusalReason::kQueueFull,
        ParseRefusalReason(ToString(RefusalReason::kQueueFull)));
  }

  void TestEndpointRoundTrip() {
    const Endpoint endpoint{"127.0.0.1", 8080};
    CPPUNIT_ASSERT_EQUAL(endpoint, ParseEndpoint(ToString(endpoint)).value());
  }

  void TestEndpointRefusesHostNames() {
    for (const char* it : {"localhost:80", "127.0.0.1", "127.0.0.1:0",
                           "127.0.0.1:70000", ":1", "127.0.0.1:8x"}) {
      CPPUNIT_ASSERT_MESSAGE(it, !ParseEndpoint(it).has_value());
    }
  }

  void TestQuantileBoundsObservations() {
    test::CheckProperty("the top quantile covers every observation", [] {
      LatencyHistogram histogram;
      std::int64_t longest = 0;
      const int n = *rc::gen::inRange(1, 50);
      for (int i = 0; i < n; ++i) {
        const std::int64_t us = *rc::gen::inRange(1, 10000000);
        longest = std::max(longest, us);
        histogram.Observe(Duration(us));
      }
      RC_ASSERT(histogram.Quantile(1.0).count() >= longest);
      RC_ASSERT(histogram.count() == static_cast<std::uint64_t>(n));
    });
  }

  void TestTraceContinuesFromHeader() {
    std::ostringstream lines;
    const JsonTracer tracer("vm-1", lines, 1);
    const auto parent = StartSpan(tracer, "ingress", "");
    const auto child = StartSpan(tracer, "owner", TraceParent(*parent));
    CPPUNIT_ASSERT_EQUAL(parent->context().ToTraceID(),
                         child->context().ToTraceID());
    child->Finish();
    const Json::Value line = ParseJson(lines.str(), "span").value();
    CPPUNIT_ASSERT_EQUAL(parent->context().ToSpanID(),
                         line["parent_id"].asString());
  }

  void TestDigestIsStable() {
    CPPUNIT_ASSERT_EQUAL(std::string("ba7816bf8f01cfea414140de5dae2223"
                                     "b00361a396177a9cb410ff61f20015ad"),
                         Sha256Hex("abc"));
    // The published test vector of XXH64 with seed 0.
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0x44bc2cf5ad770999}, StableHash("abc"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CoreTest);

}  // namespace

}  // namespace cumin
