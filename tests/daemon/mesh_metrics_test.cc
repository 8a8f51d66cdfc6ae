#include "cumin_daemon/mesh_metrics.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cumin {

namespace {

class MeshMetricsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MeshMetricsTest);
  CPPUNIT_TEST(TestTextContainsAllMetrics);
  CPPUNIT_TEST(TestBucketsAreCumulative);
  CPPUNIT_TEST(TestLabelsAreEscaped);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestTextContainsAllMetrics() {
    MeshMetrics metrics;
    metrics.CountAnswer(503);
    metrics.CountAnswer(503);
    metrics.CountOutcome(CallHop::kTarget, Verdict::kNotRun,
                         RefusalReason::kShed);
    metrics.CountRetry(false);
    metrics.CountStoreCall("watch", "unavailable");
    metrics.CountPush("failed");
    metrics.CountPeerAnswer(100);
    metrics.CountPeerAnswer(90000);
    metrics.CountCut("callers", "caller-gone");
    metrics.ObserveLoopLag(std::chrono::milliseconds(300));
    const std::string page = metrics.Text();
    for (const char* const it :
         {"# TYPE cumin_answers_total counter\n",
          "cumin_answers_total{status=\"503\"} 2\n",
          "cumin_calls_total{hop=\"target\",verdict=\"not-run\","
          "reason=\"shed\"} 1\n",
          "cumin_connections_cut_total{from=\"callers\",reason=\"caller-gone\"}"
          " "
          "1\n",
          "cumin_loop_lag_seconds_bucket{le=\"0.1\"} 0\n",
          "cumin_loop_lag_seconds_count{} 1\n",
          "cumin_retries_total{allowed=\"no\"} 1\n",
          "cumin_config_pushes_total{result=\"failed\"} 1\n",
          "cumin_peer_answer_bytes_total{size=\"small\"} 100\n",
          "cumin_peer_answer_bytes_total{size=\"large\"} 90000\n",
          "cumin_store_calls_total{kind=\"watch\",result=\"unavailable\"} "
          "1\n"}) {
      CPPUNIT_ASSERT_MESSAGE(it, page.find(it) != std::string::npos);
    }
  }

  void TestBucketsAreCumulative() {
    DurationHistogram histogram;
    for (const int millis : {3, 30, 300, 30000}) {
      histogram.Observe(std::chrono::milliseconds(millis));
    }
    const std::string text = histogram.Text("t", "a=\"b\"");
    for (const char* const it :
         {"t_bucket{a=\"b\",le=\"0.002\"} 0\n",
          "t_bucket{a=\"b\",le=\"0.005\"} 1\n",
          "t_bucket{a=\"b\",le=\"0.1\"} 2\n", "t_bucket{a=\"b\",le=\"10\"} 3\n",
          "t_bucket{a=\"b\",le=\"+Inf\"} 4\n", "t_sum{a=\"b\"} 30.333000\n",
          "t_count{a=\"b\"} 4\n"}) {
      CPPUNIT_ASSERT_MESSAGE(it, text.find(it) != std::string::npos);
    }
  }

  void TestLabelsAreEscaped() {
    CPPUNIT_ASSERT_EQUAL(std::string("a\\\"b\\\\c\\n"),
                         EscapeLabel("a\"b\\c\n"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MeshMetricsTest);

}  // namespace

}  // namespace cumin
