#include "process/desk_mesh.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <sstream>

#include "cumin_core/json_text.h"
#include "support/wait_until.h"

namespace cumin::test {

namespace {

constexpr std::chrono::milliseconds kWarmUpDeadline{1000};

constexpr char kMesh[] = R"(
mesh: test
services:
  - name: desk
    operations:
      - {name: item, method: GET, path: /items/, runs: idempotent}
      - {name: order, method: POST, path: /orders, runs: at-most-once}
)";

constexpr char kContract[] = R"(
customer: buyers
rate_per_s: 100000
burst: 10000
concurrency: 64
queue: 256
grants:
  - {service: desk, operation: item, deadline_ms: 5000, retries: 2}
  - {service: desk, operation: order, deadline_ms: 5000, retries: 2}
)";

}  // namespace

DeskMesh::DeskMesh(int vms, const std::vector<std::string>& target_options,
                   const std::string& settings)
    : vms_(vms) {
  const AcceptanceOutcome outcome = mesh_.Publish(
      0, {PartEdit{MeshPartName(), kMesh},
          PartEdit{CustomerPartName(CustomerId("buyers")), kContract}});
  CPPUNIT_ASSERT(outcome.result == AcceptanceResult::kAccepted);
  for (int i = 0; i < vms; ++i) {
    TestVm vm;
    vm.name = "vm-" + std::to_string(i);
    vm.service = "desk";
    vm.target_options = target_options;
    vm.settings = settings;
    mesh_.Add(vm);
  }
  CPPUNIT_ASSERT(mesh_.WaitUntilReady());
  for (int ingress = 0; ingress < vms; ++ingress) {
    for (int target = 0; target < vms; ++target) {
      AwaitReachable(ingress, target, "warm-" + std::to_string(ingress));
    }
  }
}

Result<HttpResponse> DeskMesh::Call(int vm, const HttpRequest& request,
                                    std::chrono::milliseconds deadline) {
  HttpRequest sent = request;
  sent.headers.Set("Cumin-Customer", "buyers");
  sent.headers.Set("Cumin-Deadline-Ms", std::to_string(deadline.count()));
  return mesh_.Call(Index(vm), sent);
}

HttpRequest DeskMesh::Item(const std::string& name, const std::string& mark) {
  HttpRequest request;
  request.path = "/items/" + name;
  if (!mark.empty()) {
    request.headers.Set("X-Mark", mark);
  }
  return request;
}

HttpRequest DeskMesh::Order(const std::string& key) {
  HttpRequest request;
  request.method = "POST";
  request.path = "/orders";
  request.headers.Set("Idempotency-Key", key);
  const WallTime now = SystemClock().WallNow();
  request.headers.Set("Cumin-First-Sent", std::to_string(ToUnixMillis(now)));
  request.body = "order " + key;
  return request;
}

void DeskMesh::Control(int vm, const std::string& json) {
  mesh_.ControlTarget(Index(vm), json);
}

void DeskMesh::Replace(int vm) {
  mesh_.RestartDaemon(Index(vm));
  mesh_.RestartTarget(Index(vm));
  const std::string name = "again-" + std::to_string(replacements_++);
  AwaitReachable((vm + 1) % vms_, vm, name);
}

std::vector<LoggedRun> DeskMesh::Runs(int vm) const {
  std::vector<LoggedRun> runs;
  std::istringstream lines(ReadFile(mesh_.RunLog(Index(vm))));
  std::string line;
  while (std::getline(lines, line)) {
    const Json::Value in = ParseJson(line, "run log").value();
    runs.push_back(LoggedRun{in["event"].asString(), in["key"].asString(),
                             in["path"].asString(), in["time_ms"].asInt64()});
  }
  return runs;
}

bool DeskMesh::HasRun(int vm, const std::string& path) const {
  const std::vector<LoggedRun> runs = Runs(vm);
  return std::any_of(runs.begin(), runs.end(), [&](const LoggedRun& it) {
    return it.event == "finish" && it.path == path;
  });
}

void DeskMesh::AwaitReachable(int ingress, int target,
                              const std::string& name) {
  CPPUNIT_ASSERT(WaitUntil([&] {
    Call(ingress, Item(name, ""), kWarmUpDeadline).has_value();
    return HasRun(target, "/items/" + name);
  }));
}

}  // namespace cumin::test
