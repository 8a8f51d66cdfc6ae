#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cumin_core/time.h"
#include "cumin_store/store.h"

namespace cumin::test {

/** Keys, their indexes and sessions; not thread-safe. */
class KvState {
 public:
  /** @returns the key's entry, or null */
  const StoreEntry* Find(const std::string& key) const;

  /** @returns the entries whose keys start with the prefix */
  std::vector<StoreEntry> List(const std::string& prefix) const;

  /** @returns the index of the last change under the prefix, at least 1 */
  std::uint64_t IndexOf(const std::string& prefix) const;

  /** Writes the key if its index is the expected one, or 0 for absent.
      @returns false when it is not */
  bool CompareAndSwap(const std::string& key, const std::string& value,
                      std::uint64_t expected);

  /** Writes the key under a session, on the same condition.
      @returns false also when the session has ended or another holds the key */
  bool SwapAndLock(const std::string& key, const std::string& value,
                   std::uint64_t expected, const std::string& session);

  void Remove(const std::string& key);

  /** @returns the new session's name */
  std::string CreateSession(Duration ttl, MonoTime now);

  /** @returns false when the session has ended */
  bool RenewSession(const std::string& session, MonoTime now);

  void DestroySession(const std::string& session);

  /** Ends the sessions whose time is up and removes their keys.
      @returns true when a key was removed */
  bool ExpireSessions(MonoTime now);

 private:
  struct Session {
    Duration ttl{0};
    MonoTime expires_at;
  };

  bool HasIndex(const std::string& key, std::uint64_t expected) const;
  bool RemoveKeysOf(const std::string& session);

  std::map<std::string, StoreEntry> entries_;
  /** The index at which each removed key went. */
  std::map<std::string, std::uint64_t> removed_;
  std::map<std::string, Session> sessions_;
  std::uint64_t index_ = 1;
  std::uint64_t sessions_made_ = 0;
};

}  // namespace cumin::test
