#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <vector>

#include "cumin_fleet/member.h"

namespace cumin {

/** The members of the fleet as this daemon believes them to be; a copy that
    call paths read while the fleet's controller works on its own state.
    Thread-safe. */
class FleetView {
 public:
  /** @returns a number that changes with each change of the view */
  std::uint64_t revision() const { return revision_.load(); }

  /** Replaces the whole view. */
  void Replace(std::vector<Member> members);

  /** @returns every member that is alive or suspect */
  std::vector<Member> Members() const;

  /** @returns live members with a target of the service */
  std::vector<Member> Carriers(const ServiceId& service) const;

 private:
  mutable std::mutex mutex_;
  std::vector<Member> members_;
  std::atomic<std::uint64_t> revision_{1};
};

}  // namespace cumin
