#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "cumin_core/identifier.h"

namespace cumin {

/** Fraction of the VMs that run each service; the sum is 1. */
using ServiceShares = std::map<ServiceId, double>;

/** Recognizes the routes of nested calls: calls that a target makes while it
    runs a request. They originate on the VMs of the services that make them
    only, while callers' requests originate on all VMs.

    Answers the load "a burst of less urgent requests fills a service that runs
    of other services call": the run that makes a nested call holds a slot until
    the call ends, so a call that waits behind new requests takes capacity from
    the service that made it. Not thread-safe.
*/
class NestedCalls {
 public:
  /** Records a call.
      @param origin  the service on the VM where the call originates */
  void OnCall(const std::string& route, const ServiceId& origin);

  /** @param shares  of the fleet
      @returns true if calls on the route are nested: calls from all VMs would
      have come from so few services with a probability below kMaxChance */
  bool IsNested(const std::string& route, const ServiceShares& shares) const;

 private:
  static constexpr double kMaxChance = 1e-6;
  /** Number of recent calls that decide. */
  static constexpr int kWindow = 256;
  /** Number of routes whose origins are recorded. */
  static constexpr std::size_t kMaxRoutes = 256;

  struct Origins {
    std::map<ServiceId, int> counts;
    int total = 0;
  };

  std::map<std::string, Origins> routes_;
};

}  // namespace cumin
