// What cuminctl reads back from each of several real daemon processes while a
// daemon or the store is down.

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <vector>

#include "cumin_core/endpoint.h"
#include "support/child_process.h"
#include "support/test_mesh.h"
#include "support/wait_until.h"

namespace cumin {

namespace {

constexpr std::size_t kDaemons = 4;

constexpr char kMesh[] = R"(mesh: small
services:
  - name: catalogue
    operations:
      - {name: price, method: GET, path: /price/, runs: idempotent}
)";

std::string ContractText(int burst) {
  return "customer: buyers\nburst: " + std::to_string(burst) +
         "\ngrants:\n  - {service: catalogue, operation: price}\n";
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

class ReadbackTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReadbackTest);
  CPPUNIT_TEST(TestStatusNamesKilledDaemon);
  CPPUNIT_TEST(TestReadbackDuringStoreOutage);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    mesh_ = std::make_unique<test::TestMesh>();
    for (std::size_t i = 0; i < kDaemons; ++i) {
      test::TestVm vm;
      vm.name = "vm-" + std::to_string(i);
      vm.region = i < kDaemons / 2 ? "perth" : "pilbara";
      vm.failure_domain = vm.region + (i % 2 == 0 ? "-a" : "-b");
      mesh_->Add(vm);
    }
    const std::string mesh = mesh_->directory().Write("mesh.yaml", kMesh);
    CPPUNIT_ASSERT_EQUAL(0, Apply({mesh}, 50, 0));
    // A daemon can compare only versions that it has held itself.
    AwaitEverywhere();
    CPPUNIT_ASSERT_EQUAL(0, Apply({}, 60, 1));
    AwaitEverywhere();
  }

  void tearDown() override { mesh_.reset(); }

  void TestStatusNamesKilledDaemon() {
    mesh_->daemon(3).Kill();
    CPPUNIT_ASSERT_MESSAGE(
        output_,
        AwaitStatus(0, 6,
                    "Not confirmed by vm-3 (pilbara/pilbara-b): it cannot be "
                    "heard; it reported version 2 and was last heard"));
    CPPUNIT_ASSERT_EQUAL(0, Apply({}, 70, 2));
    mesh_->daemon(3).WaitForEnd();
    mesh_->RestartDaemon(3);
    CPPUNIT_ASSERT_MESSAGE(output_, AwaitStatus(3, 0, "Version 3 (change"));
  }

  void TestReadbackDuringStoreOutage() {
    mesh_->ControlStore("{\"outage\":true}");
    for (std::size_t i = 0; i < kDaemons; ++i) {
      CPPUNIT_ASSERT_MESSAGE(output_,
                             AwaitStatus(i, 6, "in force on 4 of 4 daemons"));
      CPPUNIT_ASSERT_MESSAGE(output_,
                             Contains(output_, "The store does not answer"));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(output_, 0, Query(i, {"history"}));
      CPPUNIT_ASSERT_MESSAGE(output_, Contains(output_, "version 1 (change"));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(output_, 0, Query(i, {"diff", "1", "2"}));
      CPPUNIT_ASSERT_MESSAGE(output_,
                             Contains(output_, "burst was 50 and is 60."));
    }
    CPPUNIT_ASSERT_EQUAL(4, Apply({}, 70, 2));
  }

 private:
  /** Runs cuminctl and stores its output in `output_`.
      @returns the exit status, or -1 when it does not end */
  int Run(const std::vector<std::string>& arguments) {
    const auto process = mesh_->StartProgram("cuminctl", arguments);
    const int status = process->WaitForEnd().value_or(-1);
    output_ = process->Output();
    return status;
  }

  int Query(std::size_t vm, std::vector<std::string> arguments) {
    arguments.insert(arguments.end(),
                     {"--daemon", ToString(mesh_->daemon_endpoint(vm))});
    return Run(arguments);
  }

  /** Queries the status until it has this exit status and contains this
      sentence. On a busy machine a daemon may be unreachable for a moment, and
      the status then says so. */
  bool AwaitStatus(std::size_t vm, int status, const std::string& sentence) {
    return test::WaitUntil([&]() {
      return Query(vm, {"status"}) == status && Contains(output_, sentence);
    });
  }

  /** Waits until every daemon reports that the newest version is in force on
      all of them. */
  void AwaitEverywhere() {
    for (std::size_t i = 0; i < kDaemons; ++i) {
      CPPUNIT_ASSERT_MESSAGE(output_,
                             AwaitStatus(i, 0, "in force on 4 of 4 daemons"));
    }
  }

  int Apply(std::vector<std::string> files, int burst, int based_on) {
    files.insert(files.begin(), "apply");
    files.push_back(
        mesh_->directory().Write("contract.yaml", ContractText(burst)));
    files.insert(files.end(), {"--based-on", std::to_string(based_on),
                               "--author", "anna", "--note", "burst", "--store",
                               ToString(mesh_->store_endpoint())});
    return Run(files);
  }

  std::unique_ptr<test::TestMesh> mesh_;
  std::string output_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReadbackTest);

}  // namespace

}  // namespace cumin
