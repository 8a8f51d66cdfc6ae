#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cumin_core/error.h"
#include "cumin_core/time.h"

namespace cumin {

/** A key-value pair as read from the store. */
struct StoreEntry {
  std::string key;
  std::string value;
  /** Increases with each write of this key; a compare-and-swap expects it. */
  std::uint64_t modify_index = 0;
  /** The lease that the key is attached to; empty for none. */
  std::string lease;

  friend bool operator==(const StoreEntry& a, const StoreEntry& b) {
    return a.key == b.key && a.value == b.value &&
           a.modify_index == b.modify_index && a.lease == b.lease;
  }
};

/** Result of a List() or Watch(). */
struct StoreListing {
  std::vector<StoreEntry> entries;
  /** Pass it to the next Watch(). */
  std::uint64_t index = 0;
};

/** Expected index of a compare-and-swap that creates the key. */
constexpr std::uint64_t kAbsentIndex = 0;

/** Blocking interface of the platform's key-value store.

    Every method blocks until the response arrives or the request times out.
    Errors:
    - ErrorCode::kUnavailable: the request certainly had no effect;
    - kOutcomeUnknown: a write may have taken effect;
    - kConflict: a compare-and-swap found an index other than expected;
    - kNotFound: the key or lease does not exist.
*/
class Store {
 public:
  virtual ~Store() = default;

  virtual Result<StoreEntry> Get(const std::string& key) = 0;

  /** Reads every key with a prefix. */
  virtual Result<StoreListing> List(const std::string& prefix) = 0;

  /** Waits until a key with the prefix changes.
      @param prefix  the key prefix
      @param index   the index of the previous listing
      @param wait    maximum time to wait
      @returns the current listing; unchanged when the wait timed out */
  virtual Result<StoreListing> Watch(const std::string& prefix,
                                     std::uint64_t index, Duration wait) = 0;

  /** Writes a key if its modify_index equals the expected one.
      @param key       the key
      @param value     at most one megabyte
      @param expected  the entry's modify_index, or kAbsentIndex to create
      @param lease     the lease to attach the key to, or empty; the key is
                       removed when the lease ends */
  virtual Result<void> CompareAndSwap(const std::string& key,
                                      const std::string& value,
                                      std::uint64_t expected,
                                      const std::string& lease) = 0;

  /** Removes a key; succeeds when it does not exist. */
  virtual Result<void> Remove(const std::string& key) = 0;

  /** Grants a lease.
      @param length  time to live from this call or the last renewal
      @returns the lease's ID */
  virtual Result<std::string> GrantLease(Duration length) = 0;

  /** Renews a lease; kNotFound when it has ended. */
  virtual Result<void> RenewLease(const std::string& lease) = 0;

  /** Ends a lease and removes the keys attached to it. */
  virtual Result<void> RevokeLease(const std::string& lease) = 0;
};

}  // namespace cumin
