// Calls through real processes while targets and the store fail, checked
// against the answers to callers and the targets' run logs.

#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "cumin_core/json_text.h"
#include "process/small_mesh.h"
#include "support/wait_until.h"

namespace cumin {

namespace {

using test::SmallMesh;

constexpr int kStatusOk = 200;
constexpr int kMaxCrashes = 2;
constexpr int kResends = 6;

std::string VerdictOf(const Result<HttpResponse>& response) {
  return response ? response.value().headers.Get("Cumin-Verdict")
                  : "no answer: " + Describe(response.error());
}

/** @returns whether this is the complete answer of a target to this key */
bool IsWholeAnswer(const HttpResponse& response, const std::string& key) {
  const Result<Json::Value> body = ParseJson(response.body, "answer");
  return response.status == kStatusOk && body && body.value()["key"] == key;
}

class FaultTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FaultTest);
  CPPUNIT_TEST(TestTruncatedAnswerIsNotDelivered);
  CPPUNIT_TEST(TestCallThatCrashesTargetsIsStopped);
  CPPUNIT_TEST(TestSilentConnectionsAreReplaced);
  CPPUNIT_TEST(TestCallsSucceedDuringStoreOutage);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestTruncatedAnswerIsNotDelivered() {
    SmallMesh small;
    test::TestMesh& mesh = small.mesh();
    for (const std::size_t vm : {test::kOrderdeskOne, test::kOrderdeskTwo}) {
      mesh.ControlTarget(vm, R"({"truncate":1})");
    }
    const auto first = mesh.Call(test::kEdge, SmallMesh::Acceptance("cut-1"));
    CPPUNIT_ASSERT_EQUAL(std::string("may-have-run"), VerdictOf(first));
    CPPUNIT_ASSERT(!IsWholeAnswer(first.value(), "cut-1"));
    CPPUNIT_ASSERT_EQUAL(1, small.CountStarts("cut-1"));
  }

  void TestCallThatCrashesTargetsIsStopped() {
    SmallMesh small;
    test::TestMesh& mesh = small.mesh();
    for (const std::size_t vm : {test::kCatalogueOne, test::kCatalogueTwo}) {
      mesh.ControlTarget(vm, R"({"crash_on":"deadly"})");
    }
    HttpRequest crashing_call = SmallMesh::PriceCheck("deadly");
    crashing_call.headers.Set("X-Mark", "deadly");
    for (int i = 0; i < kResends; ++i) {
      const auto answer = mesh.Call(test::kEdge, crashing_call);
      CPPUNIT_ASSERT(answer.has_value());
      RestartCrashedTargets(mesh);
      CPPUNIT_ASSERT(test::WaitUntil([&] { return IsServed(mesh); }));
    }
    const int crashes = small.CountStarts("/prices/deadly");
    CPPUNIT_ASSERT_MESSAGE(std::to_string(crashes) + " targets crashed",
                           crashes >= 1 && crashes <= kMaxCrashes);
  }

  void TestSilentConnectionsAreReplaced() {
    SmallMesh small;
    test::TestMesh& mesh = small.mesh();
    for (const std::size_t vm : {test::kCatalogueOne, test::kCatalogueTwo}) {
      mesh.ControlTarget(vm, R"({"silent":true})");
    }
    // Every answer has a verdict, and the mesh replaces the silent connections.
    CPPUNIT_ASSERT(test::WaitUntil([&] {
      const auto answer = mesh.Call(test::kEdge, SmallMesh::PriceCheck("x"));
      CPPUNIT_ASSERT_MESSAGE(VerdictOf(answer), answer.has_value());
      CPPUNIT_ASSERT(!VerdictOf(answer).empty());
      return answer.value().status == kStatusOk;
    }));
  }

  void TestCallsSucceedDuringStoreOutage() {
    SmallMesh small;
    const auto load = small.StartLoad(
        {test::kCatalogueTwo, test::kOrderdeskOne, test::kEdge});
    CPPUNIT_ASSERT(
        test::WaitUntil([&] { return small.CountStarts("/prices/coil") > 0; }));
    small.mesh().ControlStore(R"({"outage":true})");
    CPPUNIT_ASSERT(test::WaitUntil(
        [&] { return small.CountStarts("/prices/coil") > 50; }));
    small.mesh().ControlStore(R"({"outage":false})");
    small.AwaitPassed(*load);
  }

 private:
  static void RestartCrashedTargets(test::TestMesh& mesh) {
    for (const std::size_t vm : {test::kCatalogueOne, test::kCatalogueTwo}) {
      if (!mesh.target(vm).IsRunning()) {
        mesh.RestartTarget(vm);
        mesh.ControlTarget(vm, R"({"crash_on":"deadly"})");
      }
    }
  }

  static bool IsServed(test::TestMesh& mesh) {
    const auto answer = mesh.Call(test::kEdge, SmallMesh::PriceCheck("ok"));
    return answer && answer.value().status == kStatusOk;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FaultTest);

}  // namespace

}  // namespace cumin
