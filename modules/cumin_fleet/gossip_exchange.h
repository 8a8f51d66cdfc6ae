#pragma once

#include <cstdint>

#include "cumin_fleet/gossip_message.h"
#include "cumin_fleet/gossip_queue.h"
#include "cumin_fleet/member_table.h"

namespace cumin {

/** Result of processing a received gossip message. */
struct GossipMergeResult {
  /** Number of updates rejected as invalid. */
  int refused = 0;
  /** True when the digests of the member tables have differed in several
      consecutive exchanges, so a change was missed and the buckets need to be
      compared. */
  bool needs_table_comparison = false;
};

/** Composes and processes the gossip messages piggybacked on probes. They carry
    member changes in both directions, and tell the receiver when the sender
    considers it suspect, dead or unknown, so that it can refute immediately.

    Not thread-safe.
*/
class GossipExchange {
 public:
  /** @param table  member table of this daemon
      @param queue  member changes to disseminate; both must outlive this */
  GossipExchange(MemberTable& table, GossipQueue& queue);

  /** Composes the membership fields of the next message to a receiver. */
  GossipMessage Compose(const VmId& to);

  /** Merges the membership fields of a received message. */
  GossipMergeResult Absorb(const GossipMessage& message, MonoTime now);

 private:
  void HandleKnownIncarnation(std::uint64_t known, MonoTime now);
  /** @param mismatches  consecutive ones of the sender's group of members */
  bool HandleDigest(std::uint64_t digest, int& mismatches) const;

  MemberTable& table_;
  GossipQueue& queue_;
  /** Counted apart, so that a change that has reached the own region but not
      the others does not cause comparisons over the links between them. */
  int own_region_mismatches_ = 0;
  int other_region_mismatches_ = 0;
};

}  // namespace cumin
