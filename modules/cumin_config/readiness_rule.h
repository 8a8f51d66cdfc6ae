#pragma once

#include <cstddef>
#include <cstdint>
#include <set>

#include "cumin_core/identifier.h"

namespace cumin {

/** Decides when a restarted daemon may serve: once it holds a version at least
    as high as any it could have held before, which it has no memory of.

    The store's head is proof on its own, since no daemon can be ahead of it.
    Without the store, enough peers must have answered, and the highest version
    that any of them holds or has heard of must be in force here. Readiness is
    not taken back: a version that is accepted later does not stop service.

    Not thread-safe.
*/
class ReadinessRule {
 public:
  /** @param peers_needed  how many distinct peers must have answered when the
      store has not, unless fewer are known; at least 1 */
  explicit ReadinessRule(std::size_t peers_needed);

  /** Notes the version of the store's head, read after this daemon started; 0
      when the store holds no configuration yet. */
  void RecordStoreVersion(std::uint64_t version);

  /** Notes a peer's answer.
      @param vm       the peer
      @param version  the highest version that the peer holds or has heard of,
                      this VM's earlier one included */
  void RecordPeerVersion(const VmId& vm, std::uint64_t version);

  /** @param count  how many other daemons are believed to be alive */
  void SetKnownPeers(std::size_t count) { known_peers_ = count; }

  /** @param version_in_force  0 for none
      @returns true from the moment on that this daemon may serve */
  bool IsReady(std::uint64_t version_in_force);

  /** @returns the highest version heard of */
  std::uint64_t highest_heard() const { return highest_heard_; }

 private:
  std::size_t peers_needed_;
  std::size_t known_peers_ = 0;
  std::uint64_t highest_heard_ = 0;
  bool store_heard_ = false;
  bool ready_ = false;
  std::set<VmId> peers_heard_;
};

}  // namespace cumin
