#pragma once

#include <json/json.h>

#include <memory>
#include <string>
#include <vector>

#include "cumin_rpc/http_client.h"
#include "support/test_mesh.h"

namespace cumin::test {

/** One event of a target's run log. */
struct LoggedRun {
  std::string event;
  std::string key;
  std::string path;
  std::int64_t time_ms = 0;
};

/** A TestMesh in which every target carries service "desk" with GET /items/ and
    POST /orders, and customer "buyers" may call both. */
class DeskMesh : public TestMesh {
 public:
  /** Starts everything and waits until each target serves.
      @param vms             how many daemons and targets
      @param target_options  options added to each target's command line */
  DeskMesh(int vms, const std::vector<std::string>& target_options);

  /** Sends one request to a daemon over a fresh connection.
      @param deadline  as the Cumin-Deadline-Ms header */
  Result<HttpResponse> Call(int vm, const HttpRequest& request,
                            std::chrono::milliseconds deadline) const;

  /** @returns a request for an item; `mark` goes into the X-Mark header */
  static HttpRequest Item(const std::string& name, const std::string& mark);

  /** @returns an order with this key */
  static HttpRequest Order(const std::string& key);

  /** Sets faults of a target. */
  void Control(int vm, const std::string& json);

  /** @returns the target's log, in order */
  std::vector<LoggedRun> Runs(int vm) const;

  int size() const { return size_; }

 private:
  void AwaitServing();

  int size_;
};

}  // namespace cumin::test
