#include "process/small_mesh.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <sstream>

#include "cumin_core/json_text.h"
#include "cumin_core/time.h"
#include "support/wait_until.h"

namespace cumin::test {

namespace {

constexpr auto kLoadTimeout = std::chrono::seconds(120);

constexpr char kMesh[] =
    "mesh: small\n"
    "services:\n"
    "  - name: catalogue\n"
    "    operations:\n"
    "      - {name: price-check, method: GET, path: /prices/,\n"
    "         runs: idempotent}\n"
    "  - name: orderdesk\n"
    "    operations:\n"
    "      - {name: accept, method: POST, path: /accept,\n"
    "         runs: at-most-once}\n";

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

HttpRequest MakeRequest(const std::string& method, const std::string& path) {
  HttpRequest request;
  request.method = method;
  request.path = path;
  request.headers.Set("Cumin-Customer", "buyers");
  return request;
}

}  // namespace

SmallMesh::SmallMesh() {
  const AcceptanceOutcome accepted = mesh_.Publish(
      0, {PartEdit{MeshPartName(), kMesh},
          PartEdit{CustomerPartName(CustomerId("buyers")), kContract}});
  CPPUNIT_ASSERT_MESSAGE(Describe(accepted),
                         accepted.result == AcceptanceResult::kAccepted);
  AddVm("c1", "perth", "catalogue");
  AddVm("c2", "pilbara", "catalogue");
  AddVm("o1", "perth", "orderdesk");
  AddVm("o2", "pilbara", "orderdesk");
  AddVm("edge", "goldfields", "");
  CPPUNIT_ASSERT(mesh_.WaitUntilReady());
  for (std::size_t vm = 0; vm <= kEdge; ++vm) {
    CPPUNIT_ASSERT(WaitUntil([this, vm] { return IsServed(vm); }));
  }
}

HttpRequest SmallMesh::PriceCheck(const std::string& item) {
  return MakeRequest("GET", "/prices/" + item);
}

HttpRequest SmallMesh::Acceptance(const std::string& key) {
  HttpRequest request = MakeRequest("POST", "/accept");
  request.headers.Set("Idempotency-Key", key);
  const std::int64_t now = ToUnixMillis(SystemClock().WallNow());
  request.headers.Set("Cumin-First-Sent", std::to_string(now));
  return request;
}

std::unique_ptr<ChildProcess> SmallMesh::StartLoad(
    const std::vector<std::size_t>& entries) {
  const TempDir& directory = mesh_.directory();
  std::vector<std::string> arguments{
      "run", directory.Write("scenario.yaml", kScenario), "--json",
      directory.File("report.json")};
  for (const std::size_t it : entries) {
    arguments.insert(arguments.end(),
                     {"--entry", ToString(mesh_.daemon_endpoint(it))});
  }
  for (std::size_t vm = 0; vm < kEdge; ++vm) {
    arguments.insert(arguments.end(), {"--run-log", mesh_.RunLog(vm)});
  }
  return mesh_.StartProgram("cuminload", arguments);
}

Json::Value SmallMesh::AwaitPassed(ChildProcess& load) {
  CPPUNIT_ASSERT(WaitUntil([&] { return !load.IsRunning(); }, kLoadTimeout));
  CPPUNIT_ASSERT_EQUAL_MESSAGE(load.Output() + load.ErrorOutput(), 0,
                               load.WaitForEnd().value_or(-1));
  const std::string file = mesh_.directory().File("report.json");
  return ParseJson(ReadFile(file), file).value();
}

int SmallMesh::CountStarts(const std::string& text) const {
  int starts = 0;
  for (std::size_t vm = 0; vm < kEdge; ++vm) {
    std::istringstream log(ReadFile(mesh_.RunLog(vm)));
    std::string line;
    while (std::getline(log, line)) {
      const bool is_start = line.find("\"start\"") != std::string::npos;
      starts += is_start && line.find(text) != std::string::npos ? 1 : 0;
    }
  }
  return starts;
}

void SmallMesh::AddVm(const std::string& name, const std::string& region,
                      const std::string& service) {
  TestVm vm;
  vm.name = name;
  vm.region = region;
  vm.failure_domain = region + "-a";
  vm.service = service;
  mesh_.Add(vm);
}

bool SmallMesh::IsServed(std::size_t vm) {
  const std::string key = "warm-up-" + std::to_string(++warm_ups_);
  const auto price = mesh_.Call(vm, PriceCheck("warm-up"));
  const auto accepted = mesh_.Call(vm, Acceptance(key));
  return price && price.value().status == 200 && accepted &&
         accepted.value().status == 200;
}

}  // namespace cumin::test
