#include "cumin_config/mesh.h"

#include <algorithm>
#include <set>
#include <utility>

#include "cumin_core/yaml_object.h"

namespace cumin {

namespace {

constexpr int kMaxShards = 256;
constexpr int kMaxKeyWindowS = 7 * 24 * 3600;
constexpr int kDefaultKeyWindowS = 600;
constexpr int kDefaultShards = 8;

WorkClass ParseWorkClass(const std::string& word) {
  if (word == "internal") {
    return WorkClass::kInternal;
  }
  return word == "bulk" ? WorkClass::kBulk : WorkClass::kInteractive;
}

Operation ParseOperation(YamlObject& fields) {
  Operation operation;
  operation.name = OperationId(fields.RequiredName("name"));
  // "method" and "runs" are required, since their fallback is empty.
  operation.method =
      fields.Choice("method", {"GET", "POST", "PUT", "DELETE"}, "");
  operation.path = fields.RequiredString("path");
  if (!operation.path.empty() && operation.path[0] != '/') {
    fields.Fail("path", "must begin with '/'");
  }
  const std::string runs =
      fields.Choice("runs", {"idempotent", "at-most-once"}, "");
  operation.repeatability = runs == "at-most-once" ? Repeatability::kAtMostOnce
                                                   : Repeatability::kIdempotent;
  operation.work_class = ParseWorkClass(fields.Choice(
      "class", {"internal", "interactive", "bulk"}, "interactive"));
  return operation;
}

Service ParseService(YamlObject& fields) {
  Service service;
  service.name = ServiceId(fields.RequiredName("name"));
  service.ledger_shards = static_cast<int>(
      fields.Int("ledger_shards", kDefaultShards, 1, kMaxShards));
  service.key_window = std::chrono::seconds(
      fields.Int("key_window_s", kDefaultKeyWindowS, 1, kMaxKeyWindowS));
  std::set<OperationId> names;
  for (YamlObject& it : fields.Objects("operations")) {
    Operation operation = ParseOperation(it);
    if (!names.insert(operation.name).second) {
      it.Fail("name", "the service has another operation of this name");
    }
    fields.Absorb(it);
    service.operations.push_back(std::move(operation));
  }
  if (service.operations.empty()) {
    fields.Fail("operations", "must list at least one operation");
  }
  return service;
}

}  // namespace

const Operation* Service::FindOperation(const OperationId& operation) const {
  const auto it = std::find_if(
      operations.begin(), operations.end(),
      [&](const Operation& each) { return each.name == operation; });
  return it == operations.end() ? nullptr : &*it;
}

const Service* Mesh::FindService(const ServiceId& service) const {
  const auto it =
      std::find_if(services.begin(), services.end(),
                   [&](const Service& each) { return each.name == service; });
  return it == services.end() ? nullptr : &*it;
}

Result<Mesh> ParseMesh(const std::string& text, const std::string& source) {
  YamlObject root = YamlObject::Parse(text, source);
  Mesh mesh;
  mesh.name = root.RequiredName("mesh");
  std::set<ServiceId> names;
  std::set<std::pair<std::string, std::string>> routes;
  for (YamlObject& it : root.Objects("services")) {
    Service service = ParseService(it);
    if (!names.insert(service.name).second) {
      it.Fail("name", "the mesh has another service of this name");
    }
    for (const Operation& op : service.operations) {
      if (!routes.insert({op.method, op.path}).second) {
        it.Fail("operations",
                op.method + " " + op.path + " is the path of two operations");
      }
    }
    root.Absorb(it);
    mesh.services.push_back(std::move(service));
  }
  const Result<void> checked = root.Finish();
  if (!checked) {
    return checked.error();
  }
  return mesh;
}

}  // namespace cumin
