#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "cumin_config/acceptance_outcome.h"
#include "cumin_config/change_request.h"
#include "cumin_core/endpoint.h"
#include "cumin_http/http_message.h"
#include "support/child_process.h"
#include "support/temp_dir.h"

namespace cumin::test {

/** Description of a VM in a TestMesh: a daemon and optionally a target. */
struct TestVm {
  std::string name;
  std::string region = "perth";
  std::string failure_domain = "perth-a";
  /** Empty for a VM without a target. */
  std::string service;
  /** Additional options of the target stand-in, e.g. "--slots", "2". */
  std::vector<std::string> target_options;
  /** Additional lines of the daemon's settings file. */
  std::string settings;
};

/** A mesh of real processes on loopback: the store stand-in and, for each VM, a
    daemon and optionally a target stand-in. Their files are in a temporary
    directory.

    The destructor kills all processes. Failures to start are thrown as
    std::runtime_error with the standard error of the process.
*/
class TestMesh {
 public:
  /** Starts the store, without a configuration. */
  TestMesh();
  ~TestMesh();

  TestMesh(const TestMesh&) = delete;
  TestMesh& operator=(const TestMesh&) = delete;

  /** Publishes a change as the next configuration version.
      @param based_on  the version that the change is based on
      @param edits     edits of the mesh and the contracts, as YAML */
  AcceptanceOutcome Publish(std::uint64_t based_on,
                            std::vector<PartEdit> edits);

  /** Starts the processes of a VM.
      @returns the index of the VM */
  std::size_t Add(const TestVm& vm);

  /** Restarts the daemon of a VM at the same address after it exited. */
  void RestartDaemon(std::size_t vm);
  /** Restarts the target of a VM after it exited. */
  void RestartTarget(std::size_t vm);

  /** Waits until every daemon reports that it is ready.
      @returns false when one is not ready within kWaitBound */
  bool WaitUntilReady();

  /** Sends a request on a new connection. */
  Result<HttpResponse> Send(const Endpoint& to, const HttpRequest& request);
  /** Sends a request to the daemon of a VM. */
  Result<HttpResponse> Call(std::size_t vm, const HttpRequest& request);
  /** Injects faults into the target of a VM; see TargetStandin. */
  void ControlTarget(std::size_t vm, const std::string& json);
  /** Injects faults into the store; see StoreStandin. */
  void ControlStore(const std::string& json);

  ChildProcess& store() { return *store_; }
  ChildProcess& daemon(std::size_t vm) { return *vms_[vm].daemon; }
  ChildProcess& target(std::size_t vm) { return *vms_[vm].target; }
  Endpoint store_endpoint() const { return store_endpoint_; }
  Endpoint daemon_endpoint(std::size_t vm) const { return vms_[vm].address; }
  Endpoint target_endpoint(std::size_t vm) const {
    return vms_[vm].target_address;
  }
  const TempDir& directory() const { return directory_; }

  /** @returns the path of the run log of the target of a VM */
  std::string RunLog(std::size_t vm) const;

  /** Starts another program, e.g. cuminload.
      @param name       its file name in the build folder
      @param arguments  command-line arguments */
  std::unique_ptr<ChildProcess> StartProgram(
      const std::string& name, const std::vector<std::string>& arguments);

 private:
  struct RunningVm {
    TestVm description;
    std::string settings_file;
    Endpoint address;
    Endpoint target_address;
    std::unique_ptr<ChildProcess> daemon;
    std::unique_ptr<ChildProcess> target;
  };

  std::unique_ptr<ChildProcess> Start(const std::vector<std::string>& command,
                                      const std::string& output);
  Endpoint WaitForListenAddress(ChildProcess& process);
  void WriteSettings(RunningVm& vm);
  void StartDaemon(RunningVm& vm);
  void StartTarget(RunningVm& vm);

  TempDir directory_;
  std::unique_ptr<ChildProcess> store_;
  Endpoint store_endpoint_;
  std::vector<RunningVm> vms_;
  int programs_started_ = 0;
};

}  // namespace cumin::test
