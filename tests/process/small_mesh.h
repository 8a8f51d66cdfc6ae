#pragma once

#include <json/json.h>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "cumin_http/http_message.h"
#include "support/test_mesh.h"

namespace cumin::test {

/** The position of each VM in a SmallMesh. */
enum SmallMeshVm : std::size_t {
  kCatalogueOne,
  kCatalogueTwo,
  kOrderdeskOne,
  kOrderdeskTwo,
  /** Has a daemon and no target. */
  kEdge,
};

/** A TestMesh with two targets of each of two services in three regions, one
    customer, and a scenario for cuminload. */
class SmallMesh {
 public:
  /** Starts everything and waits until calls of both services run through
      each daemon. */
  SmallMesh();

  TestMesh& mesh() { return mesh_; }

  /** @returns an idempotent request of the customer
      @param item  the last part of the path */
  static HttpRequest PriceCheck(const std::string& item);

  /** @returns an at-most-once request of the customer, first sent now */
  static HttpRequest Acceptance(const std::string& key);

  /** Starts cuminload.
      @param entries  the VMs whose daemons the callers use */
  std::unique_ptr<ChildProcess> StartLoad(
      const std::vector<std::size_t>& entries);

  /** Waits until cuminload exits and fails the test unless its status is 0.
      @returns its JSON report */
  Json::Value AwaitPassed(ChildProcess& load);

  /** Counts the runs of a path or key in the run logs of all targets.
      @param text  the text that a counted "start" line contains */
  int CountStarts(const std::string& text) const;

 private:
  void AddVm(const std::string& name, const std::string& region,
             const std::string& service);
  bool IsServed(std::size_t vm);

  TestMesh mesh_;
  int warm_ups_ = 0;
};

}  // namespace cumin::test
