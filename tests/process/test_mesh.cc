#include "process/test_mesh.h"

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

/** @returns the address in "listening ADDRESS:PORT" */
Endpoint AddressOf(ChildProcess& process) {
  const std::string line = process.FirstLine();
  const std::string prefix = "listening ";
  CPPUNIT_ASSERT_MESSAGE("started: " + line, line.rfind(prefix, 0) == 0);
  return ParseEndpoint(line.substr(prefix.size())).value();
}

}  // namespace

TestMesh::TestMesh(int vms, const std::vector<std::string>& target_options) {
  store_ = ChildProcess::Start(
               {ProgramPath("tests/store_standin"), "--listen", "127.0.0.1:0"},
               dir_.File("store.out"))
               .value();
  const Endpoint store = AddressOf(*store_);
  ApplyConfiguration(store);
  for (int i = 0; i < vms; ++i) {
    AddVm(i, store, target_options);
  }
  AwaitServing();
}

Result<HttpResponse> TestMesh::Call(int vm, const HttpRequest& request,
                                    std::chrono::milliseconds deadline) const {
  HttpRequest sent = request;
  sent.headers.Set("Cumin-Customer", "buyers");
  sent.headers.Set("Cumin-Deadline-Ms", std::to_string(deadline.count()));
  HttpClient client(vms_.at(Index(vm)).daemon_address);
  return client.Exchange(sent, deadline * 2 + std::chrono::seconds(1),
                         ConnectionUse::kFreshOnly);
}

HttpRequest TestMesh::Item(const std::string& name, const std::string& mark) {
  HttpRequest request;
  request.path = "/items/" + name;
  if (!mark.empty()) {
    request.headers.Set("X-Mark", mark);
  }
  return request;
}

HttpRequest TestMesh::Order(const std::string& key) {
  HttpRequest request;
  request.method = "POST";
  request.path = "/orders";
  request.headers.Set("Idempotency-Key", key);
  const WallTime now = SystemClock().WallNow();
  request.headers.Set("Cumin-First-Sent", std::to_string(ToUnixMillis(now)));
  request.body = "order " + key;
  return request;
}

void TestMesh::Control(int vm, const std::string& json) const {
  HttpRequest request;
  request.method = "PUT";
  request.path = "/-/target/control";
  request.body = json;
  HttpClient client(vms_.at(Index(vm)).target_address);
  const auto response = client.Exchange(request, std::chrono::seconds(5),
                                        ConnectionUse::kFreshOnly);
  CPPUNIT_ASSERT(response.has_value());
}

std::vector<LoggedRun> TestMesh::Runs(int vm) const {
  std::vector<LoggedRun> runs;
  std::istringstream lines(ReadFile(vms_.at(Index(vm)).log));
  std::string line;
  while (std::getline(lines, line)) {
    const Json::Value in = ParseJson(line, "run log").value();
    runs.push_back(LoggedRun{in["event"].asString(), in["key"].asString(),
                             in["path"].asString(), in["time_ms"].asInt64()});
  }
  return runs;
}

void TestMesh::ApplyConfiguration(const Endpoint& store) {
  const auto apply = ChildProcess::Start(
      {ProgramPath("cuminctl"), "--store", ToString(store), "apply",
       dir_.Write("mesh.yaml", kMesh), dir_.Write("buyers.yaml", kContract),
       "--based-on", "0", "--author", "test", "--note", "test"},
      dir_.File("apply.out"));
  const std::optional<int> status = apply.value()->WaitForEnd();
  // Status 6 says that no daemon has confirmed; none runs yet.
  CPPUNIT_ASSERT_MESSAGE(ReadFile(dir_.File("apply.out.err")),
                         status && (*status == 0 || *status == 6));
}

void TestMesh::AddVm(int number, const Endpoint& store,
                     const std::vector<std::string>& target_options) {
  const std::string name = "vm-" + std::to_string(number);
  Vm vm;
  const std::string settings = dir_.Write(
      name + ".yaml", "vm: " + name +
                          "\nregion: perth\nfailure_domain: perth-a\n"
                          "listen: 127.0.0.1:0\nstore: " +
                          ToString(store) + "\n");
  vm.daemon =
      ChildProcess::Start({ProgramPath("cumind"), "--settings", settings},
                          dir_.File(name + ".out"))
          .value();
  vm.daemon_address = AddressOf(*vm.daemon);
  vm.log = dir_.File(name + ".log");
  std::vector<std::string> command = {
      ProgramPath("tests/target_standin"), "--service", "desk", "--daemon",
      ToString(vm.daemon_address),         "--log",     vm.log};
  command.insert(command.end(), target_options.begin(), target_options.end());
  vm.target =
      ChildProcess::Start(command, dir_.File(name + "-target.out")).value();
  vm.target_address = AddressOf(*vm.target);
  vms_.push_back(std::move(vm));
}

void TestMesh::AwaitServing() {
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
