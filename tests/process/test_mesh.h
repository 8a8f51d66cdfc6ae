#pragma once

#include <json/json.h>

#include <memory>
#include <string>
#include <vector>

#include "cumin_rpc/http_client.h"
#include "support/child_process.h"
#include "support/temp_dir.h"

namespace cumin::test {

/** One event of a target's run log. */
struct LoggedRun {
  std::string event;
  std::string key;
  std::string path;
  std::int64_t time_ms = 0;
};

/** A store, and daemons with a target beside each, as processes; every target
    carries service "desk" with GET /items/ and POST /orders. */
class TestMesh {
 public:
  /** Starts everything and waits until each target serves.
      @param vms             how many daemons and targets
      @param target_options  options added to each target's command line */
  TestMesh(int vms, const std::vector<std::string>& target_options);

  /** Sends one request to a daemon over a fresh connection.
      @param deadline  as the Cumin-Deadline-Ms header */
  Result<HttpResponse> Call(int vm, const HttpRequest& request,
                            std::chrono::milliseconds deadline) const;

  /** @returns a request for an item; `mark` goes into the X-Mark header */
  static HttpRequest Item(const std::string& name, const std::string& mark);

  /** @returns an order with this key */
  static HttpRequest Order(const std::string& key);

  /** Sets faults of a target. */
  void Control(int vm, const std::string& json) const;

  /** @returns the target's log, in order */
  std::vector<LoggedRun> Runs(int vm) const;

  ChildProcess& daemon(int vm) { return *vms_.at(Index(vm)).daemon; }
  ChildProcess& target(int vm) { return *vms_.at(Index(vm)).target; }
  int size() const { return static_cast<int>(vms_.size()); }

 private:
  struct Vm {
    std::unique_ptr<ChildProcess> daemon;
    Endpoint daemon_address;
    std::unique_ptr<ChildProcess> target;
    Endpoint target_address;
    std::string log;
  };

  static std::size_t Index(int vm) { return static_cast<std::size_t>(vm); }
  void ApplyConfiguration(const Endpoint& store);
  void AddVm(int number, const Endpoint& store,
             const std::vector<std::string>& target_options);
  void AwaitServing();

  TempDir dir_;
  std::unique_ptr<ChildProcess> store_;
  std::vector<Vm> vms_;
};

}  // namespace cumin::test
