#include "process/desk_mesh.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

#include "cumin_core/json_text.h"
#include "support/wait_until.h"

namespace cumin::test {

namespace {

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

std::size_t Index(int vm) { return static_cast<std::size_t>(vm); }

}  // namespace

DeskMesh::DeskMesh(int vms, const std::vector<std::string>& target_options)
    : size_(vms) {
  const AcceptanceOutcome outcome =
      Publish(0, {PartEdit{MeshPartName(), kMesh},
                  PartEdit{CustomerPartName(CustomerId("buyers")), kContract}});
  CPPUNIT_ASSERT(outcome.result == AcceptanceResult::kAccepted);
  for (int i = 0; i < vms; ++i) {
    TestVm vm;
    vm.name = "vm-" + std::to_string(i);
    vm.service = "desk";
    vm.target_options = target_options;
    Add(vm);
  }
  AwaitServing();
}

Result<HttpResponse> DeskMesh::Call(int vm, const HttpRequest& request,
                                    std::chrono::milliseconds deadline) const {
  HttpRequest sent = request;
  sent.headers.Set("Cumin-Customer", "buyers");
  sent.headers.Set("Cumin-Deadline-Ms", std::to_string(deadline.count()));
  HttpClient client(daemon_endpoint(Index(vm)));
  return client.Exchange(sent, deadline * 2 + std::chrono::seconds(1),
                         ConnectionUse::kFreshOnly);
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
  ControlTarget(Index(vm), json);
}

std::vector<LoggedRun> DeskMesh::Runs(int vm) const {
  std::vector<LoggedRun> runs;
  std::istringstream lines(ReadFile(RunLog(Index(vm))));
  std::string line;
  while (std::getline(lines, line)) {
    const Json::Value in = ParseJson(line, "run log").value();
    runs.push_back(LoggedRun{in["event"].asString(), in["key"].asString(),
                             in["path"].asString(), in["time_ms"].asInt64()});
  }
  return runs;
}

void DeskMesh::AwaitServing() {
  // Once every target has run a call of every daemon's, all know all.
  for (int i = 0; i < size(); ++i) {
    const std::string path = "/items/warm-" + std::to_string(i);
    CPPUNIT_ASSERT(WaitUntil([&] {
      int served = 0;
      for (int vm = 0; vm < size(); ++vm) {
        Call(i, Item("warm-" + std::to_string(i), ""),
             std::chrono::milliseconds(1000))
            .has_value();
      }
      for (int vm = 0; vm < size(); ++vm) {
        for (const LoggedRun& it : Runs(vm)) {
          if (it.event == "finish" && it.path == path) {
            served += 1;
            break;
          }
        }
      }
      return served == size();
    }));
  }
}

}  // namespace cumin::test
