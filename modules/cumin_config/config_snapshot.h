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

/** The service and operation selected by a request's method and path. */
struct RouteMatch {
  const Service* service = nullptr;
  const Operation* operation = nullptr;
};

/** One configuration version, validated as a whole. Immutable.

    Contains the routes, services and contracts of the version, so a reader that
    holds a snapshot never sees a mixture of versions.
*/
class ConfigSnapshot final : public RefCounted<ConfigSnapshot> {
 public:
  /** Validates a complete configuration.
      @param version    version number, at least 1
      @param digest     digest of the version's manifest
      @param mesh       the services
      @param contracts  one per customer
      @returns the snapshot, or the first invalid reference or duplicate */
  static Result<RefPtr<const ConfigSnapshot>> Make(
      std::uint64_t version, std::string digest, Mesh mesh,
      std::vector<Contract> contracts);

  std::uint64_t version() const { return version_; }
  const std::string& digest() const { return digest_; }
  const Mesh& mesh() const { return mesh_; }

  /** @returns the customer's contract, or null */
  const Contract* FindContract(const CustomerId& customer) const;

  const std::map<CustomerId, Contract>& contracts() const { return contracts_; }

  /** Finds the operation with the longest matching path. The cost depends on
      the length of the path, not on the number of services.
      @returns a match with null members if no route matches */
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
  /** Keyed by "METHOD pattern", e.g. "GET /price/". */
  std::unordered_map<std::string, RouteMatch> routes_;
};

}  // namespace cumin
