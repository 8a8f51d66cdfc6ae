#pragma once

#include <boost/intrusive/set.hpp>
#include <cstdint>
#include <map>
#include <vector>

#include "cumin_fleet/member_table.h"

namespace cumin {

/** Limits of a GossipQueue. */
struct GossipSettings {
  /** A change is sent this many times log10 of the member count, rounded up. */
  int retransmit_factor = 3;
  /** Changes in one message at most. */
  std::size_t max_updates = 8;
  /** How often a change is sent before it counts as no longer fresh. */
  int eager_sends = 3;
  /** Bytes of changes in one message at most. */
  std::size_t max_bytes = 420;
};

/** Member changes that wait to ride on probes and acknowledgements.

    Those sent least often go first, the newest of them first. A newer change
    of the same member takes the place of the waiting one. Not thread-safe.
*/
class GossipQueue final : public MemberTable::Listener {
 public:
  /** @param settings  the limits */
  explicit GossipQueue(const GossipSettings& settings);
  ~GossipQueue() override;
  GossipQueue(const GossipQueue&) = delete;
  GossipQueue& operator=(const GossipQueue&) = delete;

  /** Adds a change, or replaces the waiting one of the same member. */
  void Push(const Member& member);

  /** Takes what the next message carries and counts it as sent once.
      @param member_count  live members, which sets how often a change is sent
      @returns the changes, within the limits */
  std::vector<Member> Take(std::size_t member_count);

  /** @returns true when a change waits that was sent fewer times than
      `eager_sends` */
  bool HasFresh() const;

  /** A peer told what waits here: it counts as sent once, so that news which
      most members have dies out early.
      @param member        as heard
      @param member_count  as for Take */
  void NoteHeard(const Member& member, std::size_t member_count);

  /** @returns how many changes wait */
  std::size_t size() const { return items_.size(); }

  void OnMemberChanged(const Member* before, const Member& after,
                       MergeSource source) override;
  void OnMemberForgotten(const Member& last) override;

 private:
  using Hook = boost::intrusive::set_base_hook<>;
  struct Item : Hook {
    Member member;
    int sent = 0;
    std::uint64_t sequence = 0;

    friend bool operator<(const Item& a, const Item& b) {
      return a.sent != b.sent ? a.sent < b.sent : a.sequence > b.sequence;
    }
  };

  void CountAsSent(Item& item, int limit);
  int RetransmitLimit(std::size_t member_count) const;

  const GossipSettings settings_;
  std::uint64_t next_sequence_ = 0;
  std::map<VmId, Item> items_;
  boost::intrusive::set<Item> order_;
};

}  // namespace cumin
