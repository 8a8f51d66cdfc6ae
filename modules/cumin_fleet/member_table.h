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
  /** Entries kept at most, tombstones included. */
  std::size_t max_members = 8192;
  /** How long a dead or left member's entry is kept, so that late news of it
      is recognised as old and a healed network finds it again. */
  Duration tombstone_lifetime = std::chrono::hours(2);
};

/** How an entry reached the table. */
enum class MergeSource {
  /** News that rides on probes; to be passed on. */
  kGossip,
  /** One bucket of a peer's table; it is not news, so not passed on. */
  kState,
};

/** Every daemon that one daemon knows of, itself included.

    Entries only move forward in (incarnation, state). A daemon refutes what
    others say of it by a higher incarnation, which it alone may raise. Entries
    stand in buckets by the hash of their VM, so that two daemons find where
    their tables differ without sending them whole.

    Not thread-safe.
*/
class MemberTable {
 public:
  /** Number of buckets; also the pages in which a table is read. */
  static constexpr int kBuckets = 64;

  /** Receives changes of the table. */
  class Listener {
   public:
    virtual ~Listener() = default;

    /** An entry was added or replaced.
        @param before  the earlier entry, or null
        @param after   the entry now
        @param source  whether the change is news to pass on */
    virtual void OnMemberChanged(const Member* before, const Member& after,
                                 MergeSource source) = 0;

    /** A tombstone's time has ended. */
    virtual void OnMemberForgotten(const Member& last) = 0;
  };

  /** @param self      this daemon's entry, alive, incarnation at least 1
      @param settings  the limits */
  MemberTable(Member self, const MemberTableSettings& settings);
  virtual ~MemberTable() = default;
  MemberTable(const MemberTable&) = delete;
  MemberTable& operator=(const MemberTable&) = delete;

  /** @param listener  called within the changing call; outlives the table or
      is removed first */
  void AddListener(Listener* listener);
  void RemoveListener(Listener* listener);

  /** Takes an entry heard from a peer.
      @param heard   the entry
      @param source  whether it is news
      @param now     the time
      @returns whether the table changed; ErrorCode::kInvalid for an impossible
      entry, kUnavailable when the table is full */
  Result<bool> Merge(const Member& heard, MergeSource source, MonoTime now);

  /** States that a member does not answer.
      @param vm           the member
      @param incarnation  the incarnation that did not answer; nothing happens
      when the member has raised it since
      @param state        kSuspect or kDead */
  void Accuse(const VmId& vm, std::uint64_t incarnation, MemberState state,
              MonoTime now);

  /** Replaces the target that this daemon announces. */
  void SetTarget(const std::optional<AnnouncedTarget>& target, MonoTime now);

  /** Replaces the address at which this daemon is reached. */
  void SetEndpoint(const Endpoint& endpoint, MonoTime now);

  /** States anew that this daemon is alive.
      @param above  the new incarnation is higher than this one too */
  void RaiseIncarnation(MonoTime now, std::uint64_t above = 0);

  /** States that this daemon ends; it refutes nothing afterwards. */
  void Leave(MonoTime now);

  /** Drops tombstones whose time has ended. */
  void Expire(MonoTime now);

  const Member& self() const { return entries_.at(self_).member; }

  /** @returns the entry, or null */
  const Member* Find(const VmId& vm) const;

  /** @returns the alive and suspect members, this daemon included, by VM */
  std::vector<Member> Live() const;

  /** @returns every entry by VM, tombstones included */
  std::vector<Member> All() const;

  /** @returns the number of alive and suspect members, this daemon included */
  std::size_t live_count() const { return live_count_; }

  /** @returns how often this daemon refuted what others said of it */
  std::uint64_t refutations() const { return refutations_; }

  /** @returns a digest of the live members and their incarnations; equal
      tables have equal digests */
  std::uint64_t digest() const;

  /** @returns one digest for each bucket */
  const std::vector<std::uint64_t>& bucket_digests() const {
    return bucket_digests_;
  }

  /** @param bucket  from 0 to kBuckets - 1
      @returns the bucket's entries, tombstones included */
  std::vector<Member> Bucket(int bucket) const;

 protected:
  /** @returns true when what was heard takes the place of what is held */
  virtual bool IsNewer(const Member& heard, const Member& held) const;

  /** @returns true when what was heard of this daemon must be refuted */
  virtual bool MustRefute(const Member& heard) const;

 private:
  struct Entry {
    Member member;
    MonoTime changed_at;
    int bucket = 0;
    std::uint64_t hash = 0;
  };

  Result<bool> MergeSelf(const Member& heard, MonoTime now);
  void Put(const Member& member, MergeSource source, MonoTime now);
  void PutSelf(Member member, std::uint64_t above, MonoTime now);
  void CountOut(const Entry& entry);
  void CountIn(const Entry& entry);

  const VmId self_;
  const MemberTableSettings settings_;
  std::map<VmId, Entry> entries_;
  std::vector<std::uint64_t> bucket_digests_;
  std::vector<Listener*> listeners_;
  std::size_t live_count_ = 0;
  std::uint64_t refutations_ = 0;
};

}  // namespace cumin
