#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "cumin_config/contract.h"
#include "cumin_config/mesh.h"
#include "cumin_core/ref_counted.h"

namespace cumin {

/** The service and operation that a request's method and path lead to. */
struct RouteMatch {
  const Service* service = nullptr;
  const Operation* operation = nullptr;
};

/** One configuration version, validated whole and immutable.

    Routes, services and contracts of a version stand in one object, so a
    reader that holds it sees all of one version and nothing of another.
*/
class ConfigSnapshot final : public RefCounted<ConfigSnapshot> {
 public:
  /** Validates a whole configuration.
      @param version    the version's number, at least 1
      @param digest     digest of the version's manifest
      @param mesh       the services
      @param contracts  one for each customer
      @returns the snapshot, or the first reference or sum that does not hold */
  static Result<RefPtr<const ConfigSnapshot>> Make(
      std::uint64_t version, std::string digest, Mesh mesh,
      std::vector<Contract> contracts);

  std::uint64_t version() const { return version_; }
  const std::string& digest() const { return digest_; }
  const Mesh& mesh() const { return mesh_; }

  /** @returns the customer's contract, or null */
  const Contract* FindContract(const CustomerId& customer) const;

  /** @returns every contract, ordered by customer */
  const std::map<CustomerId, Contract>& contracts() const { return contracts_; }

  /** Finds the operation with the longest matching path. The cost grows with
      the path's length, not with the number of services.
      @returns null members when no route matches */
  RouteMatch FindRoute(const std::string& method,
                       const std::string& path) const;

 private:
  ConfigSnapshot() = default;

  void IndexRoutes();
  RouteMatch FindPattern(const std::string& method,
                         const std::string& pattern) const;

  std::uint64_t version_ = 0;
  std::string digest_;
  Mesh mesh_;
  std::map<CustomerId, Contract> contracts_;
  /** Keyed by method, a space and the path pattern. */
  std::unordered_map<std::string, RouteMatch> routes_;
};

}  // namespace cumin
