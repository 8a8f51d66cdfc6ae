#pragma once

#include <boost/intrusive/set.hpp>
#include <cstdint>
#include <map>
#include <vector>

#include "cumin_fleet/member_table.h"

namespace cumin {

/** Limits of a GossipQueue. */
struct GossipSettings {
  /** A change is sent this many times log10 of the member count plus 1, rounded
      up. */
  int retransmit_factor = 3;
  /** Maximum number of changes in one message. */
  std::size_t max_updates = 8;
  /** Number of times a change is sent before it no longer counts as recent. */
  int eager_sends = 3;
  /** Maximum size of the changes in one message, in bytes. */
  std::size_t max_bytes = 420;
};

/** Priority queue of member changes to be piggybacked on probes and
    acknowledgements.

    Changes that were sent least often are sent first, the most recent of them
    before older ones. A newer change of a member replaces its pending one. Not
    thread-safe.
*/
class GossipQueue final : public MemberTable::Listener {
 public:
  explicit GossipQueue(const GossipSettings& settings);
  ~GossipQueue() override;
  GossipQueue(const GossipQueue&) = delete;
  GossipQueue& operator=(const GossipQueue&) = delete;

  /** Adds a change, replacing any pending one of the same member. */
  void Push(const Member& member);

  /** Selects the changes for the next message and counts each as sent once.
      @param member_count  number of live members, which determines how often a
      change is sent
      @returns the changes, within the size limits */
  std::vector<Member> Take(std::size_t member_count);

  /** @returns true when a pending change was sent fewer than `eager_sends`
      times */
  bool HasRecentUpdate() const;

  /** Counts a pending change as sent once when a peer reports the same change,
      so that changes known to most members are dropped early.
      @param member        entry received from the peer
      @param member_count  as for Take */
  void OnReceivedFromPeer(const Member& member, std::size_t member_count);

  /** @returns the number of pending changes */
  std::size_t size() const { return items_.size(); }

  void OnMemberChanged(const Member* before, const Member& after,
                       MergeSource source) override;
  void OnMemberExpired(const Member& last) override;

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

  void RecordSend(Item& item, int limit);
  int RetransmitLimit(std::size_t member_count) const;

  const GossipSettings settings_;
  std::uint64_t next_sequence_ = 0;
  std::map<VmId, Item> items_;
  boost::intrusive::set<Item> order_;
};

}  // namespace cumin
