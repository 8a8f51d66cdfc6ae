#include "cumin_config/config_snapshot.h"

#include <algorithm>
#include <utility>

namespace cumin {

namespace {

Result<void> CheckGrants(const Contract& contract, const Mesh& mesh) {
  const std::string source = "contract of " + contract.customer.str();
  for (std::size_t i = 0; i < contract.grants.size(); ++i) {
    const Grant& grant = contract.grants[i];
    const std::string field = "grants[" + std::to_string(i) + "]";
    const Service* service = mesh.FindService(grant.service);
    if (service == nullptr) {
      return Error{ErrorCode::kInvalid, source, 0, field + ".service",
                   "the mesh has no service \"" + grant.service.str() + "\""};
    }
    if (service->FindOperation(grant.operation) == nullptr) {
      return Error{ErrorCode::kInvalid, source, 0, field + ".operation",
                   "the service " + grant.service.str() +
                       " has no operation \"" + grant.operation.str() + "\""};
    }
  }
  return Ok();
}

}  // namespace

Result<RefPtr<const ConfigSnapshot>> ConfigSnapshot::Make(
    std::uint64_t version, std::string digest, Mesh mesh,
    std::vector<Contract> contracts) {
  if (version == 0) {
    return Error{ErrorCode::kInvalid, "", 0, "version", "must be at least 1"};
  }
  auto* raw = new ConfigSnapshot();
  const RefPtr<const ConfigSnapshot> owner(raw);
  raw->version_ = version;
  raw->digest_ = std::move(digest);
  raw->mesh_ = std::move(mesh);
  raw->IndexRoutes();
  for (Contract& it : contracts) {
    const Result<void> checked = CheckGrants(it, raw->mesh_);
    if (!checked) {
      return checked.error();
    }
    const CustomerId customer = it.customer;
    if (!raw->contracts_.emplace(customer, std::move(it)).second) {
      return Error{ErrorCode::kInvalid, "", 0, "customer",
                   "\"" + customer.str() + "\" has two contracts"};
    }
  }
  return owner;
}

const Contract* ConfigSnapshot::FindContract(const CustomerId& customer) const {
  const auto it = contracts_.find(customer);
  return it == contracts_.end() ? nullptr : &it->second;
}

RouteMatch ConfigSnapshot::FindRoute(const std::string& method,
                                     const std::string& path) const {
  RouteMatch match = FindPattern(method, path);
  std::size_t end = path.size();
  while (match.operation == nullptr && end > 0) {
    const std::size_t slash = path.rfind('/', end - 1);
    if (slash == std::string::npos) {
      break;
    }
    match = FindPattern(method, path.substr(0, slash + 1));
    end = slash;
  }
  return match;
}

void ConfigSnapshot::IndexRoutes() {
  for (const Service& service : mesh_.services) {
    for (const Operation& it : service.operations) {
      routes_.emplace(it.method + " " + it.path, RouteMatch{&service, &it});
    }
  }
}

RouteMatch ConfigSnapshot::FindPattern(const std::string& method,
                                       const std::string& pattern) const {
  const auto it = routes_.find(method + " " + pattern);
  return it == routes_.end() ? RouteMatch{} : it->second;
}

}  // namespace cumin
