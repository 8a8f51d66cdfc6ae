#include "cumin_config/config_snapshot.h"

#include <algorithm>
#include <utility>

namespace cumin {

namespace {

bool PathMatches(const std::string& pattern, const std::string& path) {
  if (pattern.back() != '/') {
    return path == pattern;
  }
  return path.compare(0, pattern.size(), pattern) == 0;
}

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
    const bool known = std::any_of(
        service->operations.begin(), service->operations.end(),
        [&](const Operation& it) { return it.name == grant.operation; });
    if (!known) {
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
  RouteMatch match;
  for (const Service& service : mesh_.services) {
    for (const Operation& it : service.operations) {
      if (it.method != method || !PathMatches(it.path, path)) {
        continue;
      }
      if (match.operation == nullptr ||
          it.path.size() > match.operation->path.size()) {
        match = RouteMatch{&service, &it};
      }
    }
  }
  return match;
}

}  // namespace cumin
