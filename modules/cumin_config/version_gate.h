#pragma once

#include <cstdint>
#include <mutex>

#include "cumin_config/config_snapshot.h"
#include "cumin_core/ref_counted.h"

namespace cumin {

/** Result of offering a version to a VersionGate or ConfigReplica. */
enum class GateDecision {
  /** The offered version is now in force. */
  kTaken,
  /** The offered version was already in force. */
  kSame,
  /** The offered version is older than the one in force. */
  kOlder,
  /** Same version number as the one in force but different content, so it
      belongs to a different history. */
  kDiffers,
};

/** Holds the snapshot in force and replaces it only by newer versions.

    Thread-safe. A reader keeps its snapshot valid for as long as it holds the
    reference.
*/
class VersionGate {
 public:
  /** Puts a snapshot in force if its version is newer.
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
