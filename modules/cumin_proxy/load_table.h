#pragma once

#include <mutex>
#include <optional>
#include <unordered_map>

#include "cumin_core/identifier.h"
#include "cumin_core/time.h"
#include "cumin_proxy/call.h"

namespace cumin {

/** A target's load and when this daemon learned it. */
struct ObservedLoad {
  TargetLoad load;
  MonoTime observed;
};

/** The loads that rode back on answers. Thread-safe. */
class LoadTable {
 public:
  /** Notes the load that came with an answer. */
  void Note(const VmId& vm, const TargetLoad& load, MonoTime now);

  /** @returns the last load of the VM's target, if any was told */
  std::optional<ObservedLoad> Find(const VmId& vm) const;

 private:
  mutable std::mutex mutex_;
  std::unordered_map<VmId, ObservedLoad> loads_;
};

}  // namespace cumin
