#include "support/test_mesh.h"

#include <sstream>
#include <stdexcept>
#include <thread>
#include <utility>

#include "cumin_config/config_acceptor.h"
#include "cumin_core/random.h"
#include "cumin_rpc/http_client.h"
#include "cumin_store/http_store.h"
#include "support/wait_until.h"

namespace cumin::test {

namespace {

constexpr Duration kStoreTimeout = std::chrono::seconds(5);
constexpr Duration kCallTimeout = std::chrono::seconds(30);
constexpr std::uint64_t kSeed = 20261204;
constexpr char kAnyPort[] = "127.0.0.1:0";
constexpr char kListeningPrefix[] = "listening ";

class ThreadSleepWaiter final : public ConfigAcceptor::Waiter {
 public:
  void Wait(Duration length) override { std::this_thread::sleep_for(length); }
};

}  // namespace

TestMesh::TestMesh() {
  store_ = Start({ProgramPath("tests/store_standin"), "--listen", kAnyPort},
                 "store");
  store_endpoint_ = WaitForListenAddress(*store_);
}

TestMesh::~TestMesh() = default;

AcceptanceOutcome TestMesh::Publish(std::uint64_t based_on,
                                    std::vector<PartEdit> edits) {
  HttpStore store(store_endpoint_, kStoreTimeout);
  ThreadSleepWaiter waiter;
  SeededRandom random(kSeed + based_on);
  ConfigAcceptor acceptor(store, waiter, random);
  ChangeRequest request;
  request.change_id = MakeChangeId(random);
  request.based_on = based_on;
  request.author = "test";
  request.note = "edit on version " + std::to_string(based_on);
  request.accepted_at = SystemClock().WallNow();
  request.edits = std::move(edits);
  return acceptor.Accept(std::move(request));
}

std::size_t TestMesh::Add(const TestVm& vm) {
  RunningVm running;
  running.description = vm;
  running.address = Endpoint{"127.0.0.1", 0};
  StartDaemon(running);
  if (!vm.service.empty()) {
    StartTarget(running);
  }
  vms_.push_back(std::move(running));
  return vms_.size() - 1;
}

void TestMesh::RestartDaemon(std::size_t vm) { StartDaemon(vms_[vm]); }

void TestMesh::RestartTarget(std::size_t vm) { StartTarget(vms_[vm]); }

bool TestMesh::WaitUntilReady() {
  HttpRequest ready;
  ready.path = "/-/ready";
  return WaitUntil([&] {
    for (std::size_t i = 0; i < vms_.size(); ++i) {
      const Result<HttpResponse> response = Call(i, ready);
      if (!response || response.value().status != 200) {
        return false;
      }
    }
    return true;
  });
}

Result<HttpResponse> TestMesh::Send(const Endpoint& to,
                                    const HttpRequest& request) {
  HttpClient client(to);
  return client.Exchange(request, kCallTimeout, ConnectionUse::kFreshOnly);
}

Result<HttpResponse> TestMesh::Call(std::size_t vm,
                                    const HttpRequest& request) {
  return Send(vms_[vm].address, request);
}

void TestMesh::ControlTarget(std::size_t vm, const std::string& json) {
  HttpRequest request;
  request.method = "PUT";
  request.path = "/-/target/control";
  request.body = json;
  Send(vms_[vm].target_address, request).value();
}

void TestMesh::ControlStore(const std::string& json) {
  HttpRequest request;
  request.method = "PUT";
  request.path = "/standin/fault";
  request.body = json;
  Send(store_endpoint_, request).value();
}

std::string TestMesh::RunLog(std::size_t vm) const {
  return directory_.File(vms_[vm].description.name + ".runs");
}

std::unique_ptr<ChildProcess> TestMesh::StartProgram(
    const std::string& name, const std::vector<std::string>& arguments) {
  std::vector<std::string> command{ProgramPath(name)};
  command.insert(command.end(), arguments.begin(), arguments.end());
  return Start(command, name + std::to_string(programs_started_++) + ".out");
}

std::unique_ptr<ChildProcess> TestMesh::Start(
    const std::vector<std::string>& command, const std::string& output) {
  Result<std::unique_ptr<ChildProcess>> started =
      ChildProcess::Start(command, directory_.File(output));
  if (!started) {
    throw std::runtime_error(Describe(started.error()));
  }
  return std::move(started.value());
}

Endpoint TestMesh::WaitForListenAddress(ChildProcess& process) {
  const std::string line = process.FirstLine();
  const bool listening = line.rfind(kListeningPrefix, 0) == 0;
  const Result<Endpoint> address =
      ParseEndpoint(listening ? line.substr(sizeof(kListeningPrefix) - 1) : "");
  if (!address) {
    throw std::runtime_error("process did not print its listen address: \"" +
                             line + "\" " + process.ErrorOutput());
  }
  return address.value();
}

void TestMesh::WriteSettings(RunningVm& vm) {
  std::ostringstream text;
  text << "vm: " << vm.description.name << "\nregion: " << vm.description.region
       << "\nfailure_domain: " << vm.description.failure_domain
       << "\nlisten: " << vm.address << "\nstore: " << store_endpoint_
       << "\nseeds: [";
  for (std::size_t i = 0; i < vms_.size(); ++i) {
    text << (i == 0 ? "" : ", ") << vms_[i].address;
  }
  text << "]\n" << vm.description.settings;
  vm.settings_file =
      directory_.Write(vm.description.name + ".yaml", text.str());
}

void TestMesh::StartDaemon(RunningVm& vm) {
  WriteSettings(vm);
  vm.daemon = Start({ProgramPath("cumind"), "--settings", vm.settings_file},
                    vm.description.name + ".daemon");
  vm.address = WaitForListenAddress(*vm.daemon);
}

void TestMesh::StartTarget(RunningVm& vm) {
  std::ostringstream daemon;
  daemon << vm.address;
  std::vector<std::string> command{
      ProgramPath("tests/target_standin"),
      "--listen",
      kAnyPort,
      "--daemon",
      daemon.str(),
      "--service",
      vm.description.service,
      "--log",
      directory_.File(vm.description.name + ".runs")};
  command.insert(command.end(), vm.description.target_options.begin(),
                 vm.description.target_options.end());
  vm.target = Start(command, vm.description.name + ".target");
  vm.target_address = WaitForListenAddress(*vm.target);
}

}  // namespace cumin::test
