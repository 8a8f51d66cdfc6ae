#pragma once

#include <cstdint>

#include "cumin_fleet/gossip_message.h"
#include "cumin_fleet/gossip_queue.h"
#include "cumin_fleet/member_table.h"

namespace cumin {

/** What a received message says beside its member changes. */
struct AbsorbedMessage {
  /** Updates that were refused as impossible. */
  int refused = 0;
  /** Whether the two member tables have had different digests on several
      exchanges in a row, so that a change was missed and the buckets need to
      be compared. */
  bool compare_tables = false;
};

/** Writes and reads the messages that ride on probes: member changes both
    ways, and a word to the other side when it is held suspect, dead or
    unknown, so that it can refute at once.

    Not thread-safe.
*/
class GossipExchange {
 public:
  /** @param table  this daemon's members
      @param queue  this daemon's changes to pass on; both outlive this */
  GossipExchange(MemberTable& table, GossipQueue& queue);

  /** Writes the member part of the next message.
      @param to  the receiver */
  GossipMessage Compose(const VmId& to);

  /** Reads the member part of a message. */
  AbsorbedMessage Absorb(const GossipMessage& message, MonoTime now);

 private:
  void NoteKnownIncarnation(std::uint64_t known, MonoTime now);
  bool NoteDigest(std::uint64_t digest);

  MemberTable& table_;
  GossipQueue& queue_;
  int different_digests_ = 0;
};

}  // namespace cumin
