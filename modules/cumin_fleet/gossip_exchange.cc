#include "cumin_fleet/gossip_exchange.h"

#include <algorithm>

namespace cumin {

namespace {

/** Consecutive messages with a different table digest after which the tables
   are compared. Digests differ briefly after each change; only a lasting
    difference means that gossip missed one. */
constexpr int kDigestMismatchesBeforeComparison = 12;

}  // namespace

GossipExchange::GossipExchange(MemberTable& table, GossipQueue& queue)
    : table_(table), queue_(queue) {}

GossipMessage GossipExchange::Compose(const VmId& to) {
  GossipMessage message;
  message.from = table_.self().vm;
  message.from_incarnation = table_.self().incarnation;
  message.table_digest = table_.digest();
  message.updates = queue_.Take(table_.live_count());
  const Member* stored = table_.Find(to);
  if (stored == nullptr) {
    return message;
  }
  if (stored->state == MemberState::kAlive) {
    message.known_incarnation = stored->incarnation;
    return message;
  }
  const bool carried =
      std::any_of(message.updates.begin(), message.updates.end(),
                  [&](const Member& it) { return it.vm == to; });
  if (!carried) {
    message.updates.push_back(*stored);
  }
  return message;
}

GossipMergeResult GossipExchange::Absorb(const GossipMessage& message,
                                         MonoTime now) {
  GossipMergeResult absorbed;
  for (const Member& it : message.updates) {
    const Result<bool> merged = table_.Merge(it, MergeSource::kGossip, now);
    if (!merged) {
      ++absorbed.refused;
    } else if (!merged.value()) {
      // The table has not changed. If this same change is still to be sent, it
      // counts as sent once more, since the peer knows it.
      queue_.OnReceivedFromPeer(it, table_.live_count());
    }
  }
  // The incarnation at which the sender considers this daemon alive; 0 when it
  // does not.
  HandleKnownIncarnation(message.known_incarnation, now);
  const Member* const sender = table_.Find(message.from);
  const bool is_own_region =
      sender == nullptr || sender->region == table_.self().region;
  absorbed.needs_table_comparison = HandleDigest(
      message.table_digest,
      is_own_region ? own_region_mismatches_ : other_region_mismatches_);
  return absorbed;
}

void GossipExchange::HandleKnownIncarnation(std::uint64_t known, MonoTime now) {
  const Member& self = table_.self();
  if (self.state == MemberState::kLeft || known >= kMaxIncarnation - 1) {
    return;
  }
  if (known > self.incarnation) {
    // A previous run of this daemon had a higher incarnation.
    table_.RaiseIncarnation(now, known);
  } else if (known < self.incarnation) {
    queue_.Push(self);
  }
}

bool GossipExchange::HandleDigest(std::uint64_t digest, int& mismatches) const {
  if (digest == table_.digest()) {
    mismatches = 0;
    return false;
  }
  ++mismatches;
  if (mismatches < kDigestMismatchesBeforeComparison) {
    return false;
  }
  mismatches = 0;
  return true;
}

}  // namespace cumin
