#pragma once

#include <cstddef>
#include <cstdint>
#include <set>

#include "cumin_core/identifier.h"

namespace cumin {

/** Determines when a restarted daemon may serve. A daemon does not persist its
    version, so it must first put in force a version that is not older than any
    it could have served before the restart.

    The store's head alone is sufficient, because no daemon can be ahead of the
    store. Without the store, enough peers must have responded, and the highest
    version that any of them holds or has heard of must be in force here. Once
    ready, the daemon stays ready: versions accepted later do not interrupt
    service.

    Not thread-safe.
*/
class ReadinessRule {
 public:
  /** @param min_peers  number of distinct peers that must have responded if the
      store has not, or fewer if fewer are known; values below 1 count as 1 */
  explicit ReadinessRule(std::size_t min_peers);

  /** Records the version of the store's head, read after this daemon started.
      @param version  0 if the store holds no configuration yet */
  void RecordStoreVersion(std::uint64_t version);

  /** Records a peer's response.
      @param vm       the peer
      @param version  the highest version that the peer holds or has heard of,
                      including from this VM before its restart */
  void RecordPeerVersion(const VmId& vm, std::uint64_t version);

  /** @param count  number of other daemons believed to be alive */
  void SetKnownPeers(std::size_t count) { known_peers_ = count; }

  /** @param version_in_force  0 for none
      @returns true if this daemon may serve; stays true from then on */
  bool IsReady(std::uint64_t version_in_force);

  std::uint64_t highest_reported_version() const {
    return highest_reported_version_;
  }

 private:
  std::size_t min_peers_;
  std::size_t known_peers_ = 0;
  std::uint64_t highest_reported_version_ = 0;
  bool store_version_known_ = false;
  bool ready_ = false;
  std::set<VmId> responding_peers_;
};

}  // namespace cumin
