// Real processes: calls through a small mesh, judged by the targets' run logs.

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <vector>

#include "cumin_core/json_text.h"
#include "support/test_mesh.h"
#include "support/wait_until.h"

namespace cumin {

namespace {

constexpr char kMesh[] =
    "mesh: small\n"
    "services:\n"
    "  - name: catalogue\n"
    "    operations:\n"
    "      - {name: price-check, method: GET, path: /prices/, runs: "
    "idempotent}\n"
    "  - name: orderdesk\n"
    "    operations:\n"
    "      - {name: accept, method: POST, path: /accept, runs: "
    "at-most-once}\n";

constexpr char kContract[] =
    "customer: buyers\n"
    "rate_per_s: 2000\n"
    "burst: 2000\n"
    "concurrency: 64\n"
    "queue: 256\n"
    "grants:\n"
    "  - {service: catalogue, operation: price-check, deadline_ms: 5000}\n"
    "  - {service: orderdesk, operation: accept, deadline_ms: 10000}\n";

constexpr char kScenario[] =
    "scenario: small\n"
    "duration_s: 6\n"
    "workers: 32\n"
    "resend: {attempts: 20, pause_ms: 500}\n"
    "calls:\n"
    "  - {name: price, customer: buyers, method: GET, path: /prices/coil,\n"
    "     runs: idempotent, rate_per_s: 25, deadline_ms: 5000,\n"
    "     answer_bytes: 20000}\n"
    "  - {name: accept, customer: buyers, method: POST, path: /accept,\n"
    "     runs: at-most-once, rate_per_s: 10, deadline_ms: 10000,\n"
    "     body_bytes: 500}\n";

PartEdit MakeEdit(const PartName& name, const std::string& text) {
  return PartEdit{name, text};
}

class ServingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServingTest);
  CPPUNIT_TEST(TestCallsEnterAnywhereAndRunOnce);
  CPPUNIT_TEST(TestLeavingTargetCutsNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    mesh_ = std::make_unique<test::TestMesh>();
    const AcceptanceOutcome accepted = mesh_->Publish(
        0, {MakeEdit(MeshPartName(), kMesh),
            MakeEdit(CustomerPartName(CustomerId("buyers")), kContract)});
    CPPUNIT_ASSERT_MESSAGE(Describe(accepted),
                           accepted.result == AcceptanceResult::kAccepted);
    AddVm("c1", "perth", "catalogue");
    AddVm("c2", "pilbara", "catalogue");
    AddVm("o1", "perth", "orderdesk");
    AddVm("edge", "goldfields", "");
    CPPUNIT_ASSERT(mesh_->WaitUntilReady());
    CPPUNIT_ASSERT(WaitUntilServed());
  }

  void tearDown() override { mesh_.reset(); }

  void TestCallsEnterAnywhereAndRunOnce() {
    const auto load = StartLoad();
    AssertPassed(*load);
    const Json::Value total = Report()["total"];
    CPPUNIT_ASSERT(total["calls"].asInt() > 100);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(load->Output(), total["calls"].asInt(),
                                 total["ends"]["ran"].asInt());
  }

  void TestLeavingTargetCutsNothing() {
    const auto load = StartLoad();
    CPPUNIT_ASSERT(test::WaitUntil(
        [&] { return !test::ReadFile(mesh_->RunLog(0)).empty(); }));
    mesh_->target(0).Terminate();
    CPPUNIT_ASSERT_EQUAL(0, mesh_->target(0).WaitForEnd().value_or(-1));
    mesh_->daemon(0).Terminate();
    CPPUNIT_ASSERT_EQUAL(0, mesh_->daemon(0).WaitForEnd().value_or(-1));
    AssertPassed(*load);
  }

 private:
  void AddVm(const std::string& name, const std::string& region,
             const std::string& service) {
    test::TestVm vm;
    vm.name = name;
    vm.region = region;
    vm.failure_domain = region + "-a";
    vm.service = service;
    mesh_->Add(vm);
  }

  /** Waits until the daemon without a target reaches both services. */
  bool WaitUntilServed() {
    return test::WaitUntil([this] {
      return CallOnce("GET", "/prices/x", "") &&
             CallOnce("POST", "/accept", "warm-up-" + std::to_string(calls_));
    });
  }

  bool CallOnce(const std::string& method, const std::string& path,
                const std::string& key) {
    ++calls_;
    HttpRequest request;
    request.method = method;
    request.path = path;
    request.headers.Set("Cumin-Customer", "buyers");
    if (!key.empty()) {
      request.headers.Set("Idempotency-Key", key);
      const std::int64_t now = ToUnixMillis(SystemClock().WallNow());
      request.headers.Set("Cumin-First-Sent", std::to_string(now));
    }
    const Result<HttpResponse> response = mesh_->Call(kEdge, request);
    return response && response.value().status == 200;
  }

  std::unique_ptr<test::ChildProcess> StartLoad() {
    std::vector<std::string> arguments{
        "run", mesh_->directory().Write("scenario.yaml", kScenario), "--json",
        mesh_->directory().File("report.json")};
    // The callers keep away from the VM that leaves; callers inside the mesh
    // stop using an entry before they stop its daemon.
    for (const std::size_t vm : {std::size_t{1}, std::size_t{2}, kEdge}) {
      arguments.insert(arguments.end(),
                       {"--entry", ToString(mesh_->daemon_endpoint(vm))});
    }
    for (const std::size_t vm : {0, 1, 2}) {
      arguments.insert(arguments.end(), {"--run-log", mesh_->RunLog(vm)});
    }
    return mesh_->StartProgram("cuminload", arguments);
  }

  Json::Value Report() const {
    const std::string file = mesh_->directory().File("report.json");
    return ParseJson(test::ReadFile(file), file).value();
  }

  static void AssertPassed(test::ChildProcess& load) {
    CPPUNIT_ASSERT(test::WaitUntil([&] { return !load.IsRunning(); },
                                   std::chrono::seconds(120)));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(load.Output() + load.ErrorOutput(), 0,
                                 load.WaitForEnd().value_or(-1));
  }

  static constexpr std::size_t kEdge = 3;

  std::unique_ptr<test::TestMesh> mesh_;
  int calls_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServingTest);

}  // namespace

}  // namespace cumin
