#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cumin_core/time.h"
#include "cumin_store/store.h"

namespace cumin::test {

/** In-memory key-value state with modify indexes and sessions, as in Consul.
    Not thread-safe. */
class KvState {
 public:
  /** @returns the entry of the key, or nullptr */
  const StoreEntry* Find(const std::string& key) const;

  /** @returns the entries whose keys start with the prefix */
  std::vector<StoreEntry> List(const std::string& prefix) const;

  /** @returns the index of the last change below the prefix, removals included;
      at least 1 */
  std::uint64_t LastChangeIndex(const std::string& prefix) const;

  /** Writes the key if its modify index equals `expected`.
      @param expected  the index, or 0 for a key that must not exist
      @returns false when the index differs */
  bool CompareAndSwap(const std::string& key, const std::string& value,
                      std::uint64_t expected);

  /** Like CompareAndSwap, and locks the key with the session.
      @returns false also when the session has expired or another session holds
      the lock */
  bool CompareSwapAndLock(const std::string& key, const std::string& value,
                          std::uint64_t expected, const std::string& session);

  void Remove(const std::string& key);

  /** @returns the ID of the new session */
  std::string CreateSession(Duration ttl, MonoTime now);

  /** @returns false when the session does not exist or has expired */
  bool RenewSession(const std::string& session, MonoTime now);

  void DestroySession(const std::string& session);

  /** Destroys the sessions whose TTL has elapsed and removes their keys.
      @returns true when a key was removed */
  bool ExpireSessions(MonoTime now);

 private:
  struct Session {
    Duration ttl{0};
    MonoTime expires_at;
  };

  bool MatchesIndex(const std::string& key, std::uint64_t expected) const;
  bool RemoveSessionKeys(const std::string& session);

  std::map<std::string, StoreEntry> entries_;
  /** Removed keys, with the index of their removal. */
  std::map<std::string, std::uint64_t> removal_indexes_;
  std::map<std::string, Session> sessions_;
  std::uint64_t index_ = 1;
  std::uint64_t sessions_created_ = 0;
};

}  // namespace cumin::test
