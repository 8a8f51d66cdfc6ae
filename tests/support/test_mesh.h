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

/** One VM of a TestMesh: a daemon and perhaps a target. */
struct TestVm {
  std::string name;
  std::string region = "perth";
  std::string failure_domain = "perth-a";
  /** Empty for a VM without a target. */
  std::string service;
  /** More options of the target stand-in, e.g. "--slots", "2". */
  std::vector<std::string> target_options;
  /** More lines of the daemon's settings file. */
  std::string settings;
};

/** A mesh of real processes on loopback: the store stand-in, a daemon for each
    VM and its target stand-in, with their files in a directory of their own.

    Everything is ended with this object. Failures to start are thrown as
    std::runtime_error with the process's standard error.
*/
class TestMesh {
 public:
  /** Starts the store, with no configuration in it. */
  TestMesh();
  ~TestMesh();

  TestMesh(const TestMesh&) = delete;
  TestMesh& operator=(const TestMesh&) = delete;

  /** Makes a change the next configuration version.
      @param based_on  the version before
      @param edits     mesh and contracts as YAML */
  AcceptanceOutcome Publish(std::uint64_t based_on,
                            std::vector<PartEdit> edits);

  /** Starts a VM's processes.
      @returns its position */
  std::size_t Add(const TestVm& vm);

  /** Starts the daemon of a VM again, at the same address, after it ended. */
  void RestartDaemon(std::size_t vm);
  /** Starts the target of a VM again after it ended. */
  void RestartTarget(std::size_t vm);

  /** Waits until every daemon says that it is ready.
      @returns false when one does not in time */
  bool WaitUntilReady();

  /** Sends one request on a new connection. */
  Result<HttpResponse> Send(const Endpoint& to, const HttpRequest& request);
  /** Sends a request to a VM's daemon. */
  Result<HttpResponse> Call(std::size_t vm, const HttpRequest& request);
  /** Sets faults of a VM's target; see TargetStandin. */
  void ControlTarget(std::size_t vm, const std::string& json);
  /** Sets faults of the store; see StoreStandin. */
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

  /** @returns the path of the run log of a VM's target */
  std::string RunLog(std::size_t vm) const;

  /** Starts another program, e.g. cuminload.
      @param name       its name in the build, without a folder
      @param arguments  its arguments */
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
  Endpoint AwaitAddress(ChildProcess& process);
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
