#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "cumin_core/time.h"
#include "cumin_fleet/member.h"

namespace cumin {

/** Limits of a MemberTable. */
struct MemberTableSettings {
  /** Maximum number of entries, including tombstones. */
  std::size_t max_members = 8192;
  /** How long the entry of a dead or left member is kept, so that late updates
      about it are recognised as stale and the member is found again after a
      network partition heals. */
  Duration tombstone_lifetime = std::chrono::hours(2);
};

/** How an entry was received. */
enum class MergeSource {
  /** Piggybacked on a probe; to be disseminated further. */
  kGossip,
  /** Part of a bucket of a peer's table; not disseminated further. */
  kTableSync,
};

/** Table of all daemons known to one daemon, including itself.

    Entries only advance in the order of (incarnation, state). A daemon refutes
    false information about itself with a higher incarnation, which only it may
    raise. The last withdrawal of a member's target is kept across incarnations,
    so that a restarted daemon learns from its peers what it acknowledged
   before. Entries are grouped in buckets by the hash of their VM, so that two
    daemons can find differences without exchanging their whole tables.

    Not thread-safe.
*/
class MemberTable {
 public:
  /** Number of buckets; a table is transferred one bucket at a time. */
  static constexpr int kBuckets = 64;

  /** Observer of table changes. */
  class Listener {
   public:
    virtual ~Listener() = default;

    /** Called when an entry was added or replaced.
        @param before  the previous entry, or null
        @param after   the new entry
        @param source  whether the change is to be disseminated */
    virtual void OnMemberChanged(const Member* before, const Member& after,
                                 MergeSource source) = 0;

    /** Called when a tombstone has expired and was removed. */
    virtual void OnMemberExpired(const Member& last) = 0;
  };

  /** @param self  entry of this daemon, alive, incarnation at least 1 */
  MemberTable(Member self, const MemberTableSettings& settings);
  virtual ~MemberTable() = default;
  MemberTable(const MemberTable&) = delete;
  MemberTable& operator=(const MemberTable&) = delete;

  /** @param listener  called synchronously on each change; must outlive the
      table or be removed first */
  void AddListener(Listener* listener);
  void RemoveListener(Listener* listener);

  /** Merges an entry received from a peer.
      @param source  whether the entry is to be disseminated
      @returns whether the table changed; ErrorCode::kInvalid for an invalid
      entry, kUnavailable when the table is full */
  Result<bool> Merge(const Member& received, MergeSource source, MonoTime now);

  /** Records that a member does not respond.
      @param incarnation  incarnation that was probed; the call has no effect
      when the member has another one by now
      @param state        kSuspect or kDead */
  void MarkUnresponsive(const VmId& vm, std::uint64_t incarnation,
                        MemberState state, MonoTime now);

  /** Replaces the target that this daemon announces. */
  void SetTarget(const std::optional<AnnouncedTarget>& target, MonoTime now);

  /** Records a withdrawal of the target on this VM; an earlier one than the
      known one has no effect. */
  void SetWithdrawal(const Withdrawal& withdrawal, MonoTime now);

  /** Replaces the address announced for this daemon. */
  void SetEndpoint(const Endpoint& endpoint, MonoTime now);

  /** Raises this daemon's incarnation and disseminates its entry again.
      @param above  lower bound, exclusive, of the new incarnation */
  void RaiseIncarnation(MonoTime now, std::uint64_t above = 0);

  /** Announces the shutdown of this daemon, which then refutes nothing more. */
  void Leave(MonoTime now);

  /** Removes tombstones older than their lifetime. */
  void Expire(MonoTime now);

  const Member& self() const { return entries_.at(self_).member; }

  /** @returns the entry, or null */
  const Member* Find(const VmId& vm) const;

  /** @returns the alive and suspect members including this daemon, ordered by
      VM */
  std::vector<Member> Live() const;

  /** @returns all entries including tombstones, ordered by VM */
  std::vector<Member> All() const;

  /** @returns the number of alive and suspect members including this daemon */
  std::size_t live_count() const { return live_count_; }

  /** @returns how often this daemon refuted information about itself */
  std::uint64_t refutations() const { return refutations_; }

  /** @returns a digest of the live members and their incarnations; equal
      tables have equal digests */
  std::uint64_t digest() const;

  /** @returns the digest of each bucket */
  const std::vector<std::uint64_t>& bucket_digests() const {
    return bucket_digests_;
  }

  /** @param bucket  from 0 to kBuckets - 1
      @returns the entries of the bucket, including tombstones */
  std::vector<Member> Bucket(int bucket) const;

 protected:
  /** @returns true when the received entry replaces the stored one */
  virtual bool IsNewer(const Member& received, const Member& stored) const;

  /** @returns true when a received entry about this daemon must be refuted */
  virtual bool MustRefute(const Member& received) const;

 private:
  struct Entry {
    Member member;
    MonoTime changed_at;
    int bucket = 0;
    std::uint64_t hash = 0;
  };

  Result<bool> MergeSelf(const Member& received, MonoTime now);
  void Put(const Member& member, MergeSource source, MonoTime now);
  void PutSelf(Member member, std::uint64_t above, MonoTime now);
  void RemoveFromDigest(const Entry& entry);
  void AddToDigest(const Entry& entry);

  const VmId self_;
  const MemberTableSettings settings_;
  std::map<VmId, Entry> entries_;
  std::vector<std::uint64_t> bucket_digests_;
  std::vector<Listener*> listeners_;
  std::size_t live_count_ = 0;
  std::uint64_t refutations_ = 0;
};

}  // namespace cumin
