#include "cumin_fleet/gossip_exchange.h"

#include <algorithm>

namespace cumin {

namespace {

/** Tables differ for a while after each change; only a longer difference
    means that gossip missed a change. */
constexpr int kDifferentDigestsBeforeCompare = 12;

}  // namespace

GossipExchange::GossipExchange(MemberTable& table, GossipQueue& queue)
    : table_(table), queue_(queue) {}

GossipMessage GossipExchange::Compose(const VmId& to) {
  GossipMessage message;
  message.from = table_.self().vm;
  message.from_incarnation = table_.self().incarnation;
  message.table_digest = table_.digest();
  message.updates = queue_.Take(table_.live_count());
  const Member* held = table_.Find(to);
  if (held == nullptr) {
    return message;
  }
  if (held->state == MemberState::kAlive) {
    message.known_incarnation = held->incarnation;
    return message;
  }
  const bool carried =
      std::any_of(message.updates.begin(), message.updates.end(),
                  [&](const Member& it) { return it.vm == to; });
  if (!carried) {
    message.updates.push_back(*held);
  }
  return message;
}

AbsorbedMessage GossipExchange::Absorb(const GossipMessage& message,
                                       MonoTime now) {
  AbsorbedMessage absorbed;
  for (const Member& it : message.updates) {
    const Result<bool> merged = table_.Merge(it, MergeSource::kGossip, now);
    if (!merged) {
      ++absorbed.refused;
    } else if (!merged.value()) {
      queue_.NoteHeard(it, table_.live_count());
    }
  }
  NoteKnownIncarnation(message.known_incarnation, now);
  absorbed.compare_tables = NoteDigest(message.table_digest);
  return absorbed;
}

void GossipExchange::NoteKnownIncarnation(std::uint64_t known, MonoTime now) {
  const Member& self = table_.self();
  if (self.state == MemberState::kLeft || known >= kMaxIncarnation - 1) {
    return;
  }
  if (known > self.incarnation) {
    // An earlier run of this daemon had a higher incarnation.
    table_.RaiseIncarnation(now, known);
  } else if (known < self.incarnation) {
    queue_.Push(self);
  }
}

bool GossipExchange::NoteDigest(std::uint64_t digest) {
  if (digest == table_.digest()) {
    different_digests_ = 0;
    return false;
  }
  ++different_digests_;
  if (different_digests_ < kDifferentDigestsBeforeCompare) {
    return false;
  }
  different_digests_ = 0;
  return true;
}

}  // namespace cumin
