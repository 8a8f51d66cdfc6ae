#pragma once

#include <cstdint>
#include <mutex>

#include "cumin_config/config_snapshot.h"
#include "cumin_core/ref_counted.h"

namespace cumin {

/** What a VersionGate did with an offered snapshot. */
enum class GateDecision {
  /** It is in force now. */
  kTaken,
  /** It is in force already. */
  kSame,
  /** It is older than the one in force. */
  kOlder,
  /** It has the version in force but other content; the history it comes from
      is not ours. */
  kDiffers,
};

/** Holds the configuration in force and moves it forward only.

    Thread-safe. A reader holds one whole version for as long as it needs it.
*/
class VersionGate {
 public:
  /** Puts a snapshot in force if its version is higher.
      @param snapshot  not null */
  GateDecision Offer(RefPtr<const ConfigSnapshot> snapshot);

  /** @returns the snapshot in force, or null before the first */
  RefPtr<const ConfigSnapshot> Current() const;

  /** @returns the version in force, or 0 before the first */
  std::uint64_t Version() const;

 private:
  mutable std::mutex mutex_;
  RefPtr<const ConfigSnapshot> current_;
};

}  // namespace cumin
