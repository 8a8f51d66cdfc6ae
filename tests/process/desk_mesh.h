#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "support/test_mesh.h"

namespace cumin::test {

/** One event of a target's run log. */
struct LoggedRun {
  std::string event;
  std::string key;
  std::string path;
  std::int64_t time_ms = 0;
};

/** A TestMesh whose targets all carry service "desk" with GET /items/ and POST
    /orders, and a customer with wide limits. */
class DeskMesh {
 public:
  /** Starts everything and waits until every daemon knows every target.
      @param vms             how many daemons and targets
      @param target_options  options of each target's command line
      @param settings        more lines of each daemon's settings */
  DeskMesh(int vms, const std::vector<std::string>& target_options,
           const std::string& settings = "");

  /** Sends one request to a daemon over a fresh connection.
      @param deadline  as the Cumin-Deadline-Ms header */
  Result<HttpResponse> Call(int vm, const HttpRequest& request,
                            std::chrono::milliseconds deadline);

  /** @returns a request for an item; `mark` goes into the X-Mark header */
  static HttpRequest Item(const std::string& name, const std::string& mark);

  /** @returns an order with this key */
  static HttpRequest Order(const std::string& key);

  /** Sets faults of a target. */
  void Control(int vm, const std::string& json);

  /** Starts a VM's daemon and target again after both ended, and waits until
      the daemon serves and the target has run a call. */
  void Replace(int vm);

  /** @returns the target's log, in order */
  std::vector<LoggedRun> Runs(int vm) const;

  ChildProcess& daemon(int vm) { return mesh_.daemon(Index(vm)); }
  ChildProcess& target(int vm) { return mesh_.target(Index(vm)); }
  int size() const { return vms_; }

 private:
  static std::size_t Index(int vm) { return static_cast<std::size_t>(vm); }
  bool HasRun(int vm, const std::string& path) const;
  void AwaitKnown(int ingress, int target, const std::string& name);

  int vms_;
  TestMesh mesh_;
  int replacements_ = 0;
};

}  // namespace cumin::test
