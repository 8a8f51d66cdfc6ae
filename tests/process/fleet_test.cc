// The configuration in force at real daemon processes while daemons and the
// store fail.

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>
#include <string>
#include <vector>

#include "cumin_core/json_text.h"
#include "support/test_mesh.h"
#include "support/wait_until.h"

namespace cumin {

namespace {

constexpr char kMesh[] =
    "mesh: fleet\n"
    "services:\n"
    "  - name: catalogue\n"
    "    operations:\n"
    "      - {name: price, method: GET, path: /prices/, runs: idempotent}\n";

std::string Contract(std::uint64_t rate) {
  return "customer: buyers\nrate_per_s: " + std::to_string(rate) +
         "\ngrants:\n  - {service: catalogue, operation: price}\n";
}

/** A mesh of daemons without targets, spread over two regions. */
class Fleet {
 public:
  explicit Fleet(std::size_t daemons) {
    Edit(PartEdit{PartName("mesh"), std::string(kMesh)});
    for (std::size_t i = 0; i < daemons; ++i) {
      AddDaemon();
    }
    CPPUNIT_ASSERT(mesh.WaitUntilReady());
    CPPUNIT_ASSERT(AwaitVersion(All()));
    CPPUNIT_ASSERT(test::WaitUntil(
        [&] { return ReportedVms(0, true).size() == mesh_size_; }));
  }

  void AddDaemon() {
    test::TestVm vm;
    const std::size_t i = mesh_size_++;
    vm.name = "vm-" + std::to_string(i);
    vm.region = i % 2 == 0 ? "perth" : "pilbara";
    vm.failure_domain = vm.region + (i / 2 % 2 == 0 ? "-a" : "-b");
    mesh.Add(vm);
  }

  /** Publishes a change of the contract. */
  AcceptanceResult PublishChange() {
    return Edit(PartEdit{PartName("customer/buyers"), Contract(version + 1)});
  }

  std::vector<std::size_t> All() const {
    std::vector<std::size_t> all;
    for (std::size_t i = 0; i < mesh_size_; ++i) {
      all.push_back(i);
    }
    return all;
  }

  /** @returns the version in a daemon's metrics, or 0 without an answer */
  std::uint64_t VersionOf(std::size_t vm) {
    HttpRequest request;
    request.path = "/-/metrics";
    const Result<HttpResponse> response = mesh.Call(vm, request);
    if (!response) {
      return 0;
    }
    std::istringstream lines(response.value().body);
    std::string name;
    std::string value;
    while (lines >> name >> value) {
      if (name == "config_version") {
        return std::stoull(value);
      }
    }
    return 0;
  }

  bool IsReady(std::size_t vm) {
    HttpRequest request;
    request.path = "/-/ready";
    const Result<HttpResponse> response = mesh.Call(vm, request);
    return response && response.value().status == 200;
  }

  /** Waits until the daemons have the newest version in force. */
  bool AwaitVersion(const std::vector<std::size_t>& vms) {
    return test::WaitUntil([&] {
      for (const std::size_t it : vms) {
        if (VersionOf(it) != version) {
          return false;
        }
      }
      return true;
    });
  }

  /** Queries a daemon for the status of the fleet.
      @returns the VMs that it has heard from and reports as reachable, or as
               not reachable */
  std::vector<std::string> ReportedVms(std::size_t vm, bool reachable) {
    HttpRequest request;
    request.method = "POST";
    request.path = "/-/rpc";
    request.body =
        R"({"jsonrpc":"2.0","id":1,"method":"status.gather","params":{}})";
    std::vector<std::string> vms;
    const Result<HttpResponse> response = mesh.Call(vm, request);
    if (!response) {
      return vms;
    }
    const Json::Value answer = ParseJson(response.value().body, "vm").value();
    for (const Json::Value& it : answer["result"]["members"]) {
      const bool heard = it["last_heard_ms"].asInt64() > 0;
      if (it["reachable"].asBool() == reachable && heard) {
        vms.push_back(it["vm"].asString());
      }
    }
    return vms;
  }

  test::TestMesh mesh;
  std::uint64_t version = 0;

 private:
  AcceptanceResult Edit(const PartEdit& edit) {
    const AcceptanceOutcome outcome = mesh.Publish(version, {edit});
    version += outcome.result == AcceptanceResult::kAccepted ? 1 : 0;
    return outcome.result;
  }

  std::size_t mesh_size_ = 0;
};

class FleetProcessTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetProcessTest);
  CPPUNIT_TEST(TestHalfOfTheDaemonsKilled);
  CPPUNIT_TEST(TestEachDaemonPausedInTurn);
  CPPUNIT_TEST(TestStoreOutageDuringAnEdit);
  CPPUNIT_TEST(TestRestartDuringAnEdit);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestHalfOfTheDaemonsKilled() {
    Fleet fleet(8);
    // The daemon queried below must have heard from each of those killed.
    CPPUNIT_ASSERT(test::WaitUntil(
        [&] { return fleet.ReportedVms(2, true).size() == 8; }));
    for (const std::size_t it : {0, 1, 4, 5}) {
      fleet.mesh.daemon(it).Kill();
    }
    CPPUNIT_ASSERT(fleet.PublishChange() == AcceptanceResult::kAccepted);
    CPPUNIT_ASSERT(fleet.AwaitVersion({2, 3, 6, 7}));
    const std::vector<std::string> killed{"vm-0", "vm-1", "vm-4", "vm-5"};
    CPPUNIT_ASSERT(fleet.ReportedVms(2, false) == killed);
    for (const std::size_t it : {0, 1, 4, 5}) {
      CPPUNIT_ASSERT(fleet.mesh.daemon(it).WaitForEnd().has_value());
      fleet.mesh.RestartDaemon(it);
    }
    CPPUNIT_ASSERT(fleet.AwaitVersion(fleet.All()));
  }

  /** One of the four fetches changes from the store for all; pausing each in
      turn is sure to pause that one. */
  void TestEachDaemonPausedInTurn() {
    Fleet fleet(4);
    for (const std::size_t paused : fleet.All()) {
      fleet.mesh.daemon(paused).Pause();
      std::vector<std::size_t> others = fleet.All();
      others.erase(others.begin() + static_cast<std::ptrdiff_t>(paused));
      CPPUNIT_ASSERT(fleet.PublishChange() == AcceptanceResult::kAccepted);
      CPPUNIT_ASSERT(fleet.AwaitVersion(others));
      fleet.mesh.daemon(paused).Resume();
      CPPUNIT_ASSERT(fleet.AwaitVersion(fleet.All()));
    }
  }

  void TestStoreOutageDuringAnEdit() {
    Fleet fleet(4);
    CPPUNIT_ASSERT(fleet.PublishChange() == AcceptanceResult::kAccepted);
    CPPUNIT_ASSERT(fleet.AwaitVersion(fleet.All()));
    fleet.mesh.ControlStore(R"({"outage":true})");
    CPPUNIT_ASSERT(fleet.PublishChange() != AcceptanceResult::kAccepted);
    fleet.AddDaemon();
    const std::size_t late = fleet.All().back();
    CPPUNIT_ASSERT(test::WaitUntil([&] { return fleet.IsReady(late); }));
    for (const std::size_t it : fleet.All()) {
      CPPUNIT_ASSERT_EQUAL(fleet.version, fleet.VersionOf(it));
    }
    fleet.mesh.ControlStore(R"({"outage":false})");
    CPPUNIT_ASSERT(fleet.PublishChange() == AcceptanceResult::kAccepted);
    CPPUNIT_ASSERT(fleet.AwaitVersion(fleet.All()));
  }

  void TestRestartDuringAnEdit() {
    Fleet fleet(4);
    for (const std::size_t it : fleet.All()) {
      fleet.mesh.daemon(it).Kill();
      CPPUNIT_ASSERT(fleet.mesh.daemon(it).WaitForEnd().has_value());
      CPPUNIT_ASSERT(fleet.PublishChange() == AcceptanceResult::kAccepted);
      fleet.mesh.RestartDaemon(it);
      CPPUNIT_ASSERT(test::WaitUntil([&] { return fleet.IsReady(it); }));
      CPPUNIT_ASSERT_EQUAL(fleet.version, fleet.VersionOf(it));
      CPPUNIT_ASSERT(fleet.AwaitVersion(fleet.All()));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetProcessTest);

}  // namespace

}  // namespace cumin
