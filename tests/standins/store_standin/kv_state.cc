#include "standins/store_standin/kv_state.h"

#include <algorithm>
#include <cstdio>

namespace cumin::test {

namespace {

bool HasPrefix(const std::string& key, const std::string& prefix) {
  return key.compare(0, prefix.size(), prefix) == 0;
}

}  // namespace

const StoreEntry* KvState::Find(const std::string& key) const {
  const auto it = entries_.find(key);
  return it == entries_.end() ? nullptr : &it->second;
}

std::vector<StoreEntry> KvState::List(const std::string& prefix) const {
  std::vector<StoreEntry> found;
  for (auto it = entries_.lower_bound(prefix);
       it != entries_.end() && HasPrefix(it->first, prefix); ++it) {
    found.push_back(it->second);
  }
  return found;
}

std::uint64_t KvState::LastChangeIndex(const std::string& prefix) const {
  std::uint64_t index = 1;
  for (auto it = entries_.lower_bound(prefix);
       it != entries_.end() && HasPrefix(it->first, prefix); ++it) {
    index = std::max(index, it->second.modify_index);
  }
  for (auto it = removal_indexes_.lower_bound(prefix);
       it != removal_indexes_.end() && HasPrefix(it->first, prefix); ++it) {
    index = std::max(index, it->second);
  }
  return index;
}

bool KvState::CompareAndSwap(const std::string& key, const std::string& value,
                             std::uint64_t expected) {
  if (!MatchesIndex(key, expected)) {
    return false;
  }
  StoreEntry& entry = entries_[key];
  entry.key = key;
  entry.value = value;
  entry.modify_index = ++index_;
  removal_indexes_.erase(key);
  return true;
}

bool KvState::CompareSwapAndLock(const std::string& key,
                                 const std::string& value,
                                 std::uint64_t expected,
                                 const std::string& session) {
  if (sessions_.count(session) == 0) {
    return false;
  }
  const StoreEntry* present = Find(key);
  const bool locked_by_other = present != nullptr && !present->lease.empty() &&
                               present->lease != session;
  if (locked_by_other || !CompareAndSwap(key, value, expected)) {
    return false;
  }
  entries_[key].lease = session;
  return true;
}

void KvState::Remove(const std::string& key) {
  if (entries_.erase(key) > 0) {
    removal_indexes_[key] = ++index_;
  }
}

std::string KvState::CreateSession(Duration ttl, MonoTime now) {
  char name[64];
  std::snprintf(name, sizeof(name), "5e550000-0000-4000-8000-%012llx",
                static_cast<unsigned long long>(++sessions_created_));
  sessions_[name] = Session{ttl, now + ttl};
  return name;
}

bool KvState::RenewSession(const std::string& session, MonoTime now) {
  const auto it = sessions_.find(session);
  if (it == sessions_.end()) {
    return false;
  }
  it->second.expires_at = now + it->second.ttl;
  return true;
}

void KvState::DestroySession(const std::string& session) {
  sessions_.erase(session);
  RemoveSessionKeys(session);
}

bool KvState::ExpireSessions(MonoTime now) {
  bool removed = false;
  for (auto it = sessions_.begin(); it != sessions_.end();) {
    if (it->second.expires_at > now) {
      ++it;
      continue;
    }
    removed = RemoveSessionKeys(it->first) || removed;
    it = sessions_.erase(it);
  }
  return removed;
}

bool KvState::MatchesIndex(const std::string& key,
                           std::uint64_t expected) const {
  const StoreEntry* entry = Find(key);
  return (entry == nullptr ? kAbsentIndex : entry->modify_index) == expected;
}

bool KvState::RemoveSessionKeys(const std::string& session) {
  std::vector<std::string> keys;
  for (const auto& it : entries_) {
    if (it.second.lease == session) {
      keys.push_back(it.first);
    }
  }
  for (const std::string& it : keys) {
    Remove(it);
  }
  return !keys.empty();
}

}  // namespace cumin::test
