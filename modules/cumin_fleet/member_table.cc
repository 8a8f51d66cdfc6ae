#include "cumin_fleet/member_table.h"

#include <algorithm>
#include <string>
#include <utility>

#include "cumin_core/stable_hash.h"

namespace cumin {

namespace {

/** Leaves out the state: a suspicion either leads to a tombstone, which is not
    in the digest, or is refuted with a new incarnation. */
std::uint64_t HashOf(const Member& member) {
  return StableHash(member.vm.str() + "|" + std::to_string(member.incarnation));
}

int BucketOf(const VmId& vm) {
  return static_cast<int>(StableHash(vm.str()) % MemberTable::kBuckets);
}

bool IsTombstone(const Member& member) { return !IsLive(member); }

/** @returns whether `a` knows a later withdrawal than `b` */
bool HasLaterWithdrawal(const Member& a, const Member& b) {
  return a.withdrawal && (!b.withdrawal || *b.withdrawal < *a.withdrawal);
}

}  // namespace

MemberTable::MemberTable(Member self, const MemberTableSettings& settings)
    : self_(self.vm), settings_(settings), bucket_digests_(kBuckets, 0) {
  Entry entry{std::move(self), MonoTime{}, 0, 0};
  entry.bucket = BucketOf(self_);
  entry.hash = HashOf(entry.member);
  AddToDigest(entry);
  entries_.emplace(self_, std::move(entry));
}

void MemberTable::AddListener(Listener* listener) {
  listeners_.push_back(listener);
}

void MemberTable::RemoveListener(Listener* listener) {
  listeners_.erase(std::remove(listeners_.begin(), listeners_.end(), listener),
                   listeners_.end());
}

Result<bool> MemberTable::Merge(const Member& received, MergeSource source,
                                MonoTime now) {
  const Result<void> checked = CheckMember(received);
  if (!checked) {
    return checked.error();
  }
  if (received.vm == self_) {
    return MergeSelf(received, now);
  }
  const auto it = entries_.find(received.vm);
  if (it == entries_.end()) {
    if (entries_.size() >= settings_.max_members) {
      return Error{ErrorCode::kUnavailable, received.vm.str(), 0, "",
                   "the member table is full"};
    }
    Put(received, source, now);
    return true;
  }
  const Member& stored = it->second.member;
  const bool is_newer = IsNewer(received, stored);
  const bool has_later_withdrawal = HasLaterWithdrawal(received, stored);
  if (!is_newer && !has_later_withdrawal) {
    return false;
  }
  Member merged = is_newer ? received : stored;
  merged.withdrawal =
      has_later_withdrawal ? received.withdrawal : stored.withdrawal;
  Put(merged, source, now);
  return true;
}

Result<bool> MemberTable::MergeSelf(const Member& received, MonoTime now) {
  const bool has_later_withdrawal = HasLaterWithdrawal(received, self());
  const bool must_refute = MustRefute(received);
  if (self().state == MemberState::kLeft ||
      (!must_refute && !has_later_withdrawal)) {
    return false;
  }
  Member changed = self();
  if (has_later_withdrawal) {
    changed.withdrawal = received.withdrawal;
  }
  refutations_ += must_refute ? 1 : 0;
  PutSelf(std::move(changed), received.incarnation, now);
  return true;
}

void MemberTable::MarkUnresponsive(const VmId& vm, std::uint64_t incarnation,
                                   MemberState state, MonoTime now) {
  const Member* stored = Find(vm);
  if (stored == nullptr || vm == self_ || stored->incarnation != incarnation) {
    return;
  }
  Member marked = *stored;
  marked.state = state;
  if (IsNewer(marked, *stored)) {
    Put(marked, MergeSource::kGossip, now);
  }
}

void MemberTable::SetTarget(const std::optional<AnnouncedTarget>& target,
                            MonoTime now) {
  if (self().target == target) {
    return;
  }
  Member changed = self();
  changed.target = target;
  PutSelf(std::move(changed), 0, now);
}

void MemberTable::SetWithdrawal(const Withdrawal& withdrawal, MonoTime now) {
  Member changed = self();
  changed.withdrawal = withdrawal;
  if (HasLaterWithdrawal(changed, self())) {
    PutSelf(std::move(changed), 0, now);
  }
}

void MemberTable::SetEndpoint(const Endpoint& endpoint, MonoTime now) {
  if (self().endpoint == endpoint) {
    return;
  }
  Member changed = self();
  changed.endpoint = endpoint;
  PutSelf(std::move(changed), 0, now);
}

void MemberTable::RaiseIncarnation(MonoTime now, std::uint64_t above) {
  PutSelf(self(), above, now);
}

void MemberTable::Leave(MonoTime now) {
  Member changed = self();
  changed.state = MemberState::kLeft;
  PutSelf(std::move(changed), 0, now);
}

void MemberTable::Expire(MonoTime now) {
  std::vector<Member> forgotten;
  for (auto it = entries_.begin(); it != entries_.end();) {
    const Entry& entry = it->second;
    const bool ended = entry.changed_at + settings_.tombstone_lifetime <= now;
    if (it->first == self_ || !IsTombstone(entry.member) || !ended) {
      ++it;
      continue;
    }
    forgotten.push_back(entry.member);
    it = entries_.erase(it);
  }
  for (const Member& it : forgotten) {
    for (Listener* listener : listeners_) {
      listener->OnMemberExpired(it);
    }
  }
}

const Member* MemberTable::Find(const VmId& vm) const {
  const auto it = entries_.find(vm);
  return it == entries_.end() ? nullptr : &it->second.member;
}

std::vector<Member> MemberTable::Live() const {
  std::vector<Member> live;
  live.reserve(live_count_);
  for (const auto& it : entries_) {
    if (IsLive(it.second.member)) {
      live.push_back(it.second.member);
    }
  }
  return live;
}

std::vector<Member> MemberTable::All() const {
  std::vector<Member> all;
  all.reserve(entries_.size());
  for (const auto& it : entries_) {
    all.push_back(it.second.member);
  }
  return all;
}

std::uint64_t MemberTable::digest() const {
  std::uint64_t digest = 0;
  for (const std::uint64_t it : bucket_digests_) {
    digest ^= it;
  }
  return digest;
}

std::vector<Member> MemberTable::Bucket(int bucket) const {
  std::vector<Member> members;
  for (const auto& it : entries_) {
    if (it.second.bucket == bucket) {
      members.push_back(it.second.member);
    }
  }
  return members;
}

bool MemberTable::IsNewer(const Member& received, const Member& stored) const {
  return Supersedes(received, stored);
}

bool MemberTable::MustRefute(const Member& received) const {
  if (received.incarnation != self().incarnation) {
    return received.incarnation > self().incarnation;
  }
  return received != self();
}

void MemberTable::Put(const Member& member, MergeSource source, MonoTime now) {
  const auto it = entries_.find(member.vm);
  std::optional<Member> before;
  if (it != entries_.end()) {
    before = it->second.member;
    RemoveFromDigest(it->second);
  }
  Entry entry{member, now, BucketOf(member.vm), HashOf(member)};
  AddToDigest(entry);
  entries_.insert_or_assign(member.vm, std::move(entry));
  const Member after = member;
  for (Listener* listener : std::vector<Listener*>(listeners_)) {
    listener->OnMemberChanged(before ? &*before : nullptr, after, source);
  }
}

void MemberTable::PutSelf(Member member, std::uint64_t above, MonoTime now) {
  member.incarnation = std::max(member.incarnation, above) + 1;
  Put(member, MergeSource::kGossip, now);
}

void MemberTable::RemoveFromDigest(const Entry& entry) {
  if (IsLive(entry.member)) {
    bucket_digests_.at(entry.bucket) ^= entry.hash;
    --live_count_;
  }
}

void MemberTable::AddToDigest(const Entry& entry) {
  if (IsLive(entry.member)) {
    bucket_digests_.at(entry.bucket) ^= entry.hash;
    ++live_count_;
  }
}

}  // namespace cumin
