#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "support/test_mesh.h"

namespace cumin::test {

/** One line of a target's run log. */
struct LoggedRun {
  std::string event;
  std::string key;
  std::string path;
  std::int64_t time_ms = 0;
};

/** A TestMesh whose targets all run the service "desk", with GET /items/ and
    POST /orders, and a customer whose limits are too high to take effect. */
class DeskMesh {
 public:
  /** Starts everything and waits until every daemon knows every target.
      @param vms             the number of VMs, each a daemon and a target
      @param target_options  command-line options of each target
      @param settings        lines added to each daemon's settings file */
  DeskMesh(int vms, const std::vector<std::string>& target_options,
           const std::string& settings = "");

  /** Sends one request to a daemon over a new connection.
      @param deadline  sent as the Cumin-Deadline-Ms header */
  Result<HttpResponse> Call(int vm, const HttpRequest& request,
                            std::chrono::milliseconds deadline);

  /** @returns an idempotent request for an item
      @param mark  the X-Mark header; empty for none */
  static HttpRequest Item(const std::string& name, const std::string& mark);

  /** @returns an at-most-once request with this key, first sent now */
  static HttpRequest Order(const std::string& key);

  /** Sets faults of a target; see TargetStandin. */
  void Control(int vm, const std::string& json);

  /** Restarts a VM's daemon and target after both have exited, and waits until
      a call through another daemon has run at the new target. */
  void Replace(int vm);

  /** @returns the target's run log, in order */
  std::vector<LoggedRun> Runs(int vm) const;

  ChildProcess& daemon(int vm) { return mesh_.daemon(Index(vm)); }
  ChildProcess& target(int vm) { return mesh_.target(Index(vm)); }
  int size() const { return vms_; }

 private:
  static std::size_t Index(int vm) { return static_cast<std::size_t>(vm); }
  bool HasRun(int vm, const std::string& path) const;
  void AwaitReachable(int ingress, int target, const std::string& name);

  int vms_;
  TestMesh mesh_;
  int replacements_ = 0;
};

}  // namespace cumin::test
