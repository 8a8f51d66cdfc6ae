#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cumin_core/error.h"
#include "cumin_core/time.h"

namespace cumin {

/** One key's value as read from the store. */
struct StoreEntry {
  std::string key;
  std::string value;
  /** Grows with each write of this key; the expected value of a
      compare-and-swap. */
  std::uint64_t modify_index = 0;
  /** The lease that holds the key; empty when none does. */
  std::string lease;

  friend bool operator==(const StoreEntry& a, const StoreEntry& b) {
    return a.key == b.key && a.value == b.value &&
           a.modify_index == b.modify_index && a.lease == b.lease;
  }
};

/** The entries of a read and the index to wait past with a watch. */
struct StoreListing {
  std::vector<StoreEntry> entries;
  std::uint64_t index = 0;
};

/** The expected index of a compare-and-swap that creates its key. */
constexpr std::uint64_t kAbsentIndex = 0;

/** The platform's key-value store.

    Every method blocks the caller until the answer or the timeout. Errors are
    ErrorCode::kUnavailable when the store surely did nothing,
    kOutcomeUnknown when a write may have taken effect, kConflict when a
    compare-and-swap found another index, and kNotFound for an absent key or
    lease.
*/
class Store {
 public:
  virtual ~Store() = default;

  /** Reads one key. */
  virtual Result<StoreEntry> Get(const std::string& key) = 0;

  /** Reads every key that starts with the prefix. */
  virtual Result<StoreListing> List(const std::string& prefix) = 0;

  /** Waits until a key under the prefix changes.
      @param prefix  the prefix
      @param index   the index of the last listing
      @param wait    how long to wait at most
      @returns the listing, which is unchanged when the wait ran out */
  virtual Result<StoreListing> Watch(const std::string& prefix,
                                     std::uint64_t index, Duration wait) = 0;

  /** Writes a key if its index is still the expected one.
      @param key       the key
      @param value     at most one megabyte
      @param expected  the entry's modify_index, or kAbsentIndex to create
      @param lease     the lease to hold the key with, or empty; the key is
                       removed when the lease ends */
  virtual Result<void> CompareAndSwap(const std::string& key,
                                      const std::string& value,
                                      std::uint64_t expected,
                                      const std::string& lease) = 0;

  /** Removes a key; succeeds when it is absent already. */
  virtual Result<void> Remove(const std::string& key) = 0;

  /** Makes a lease.
      @param length  how long it lasts from this call or its last renewal
      @returns the lease's name */
  virtual Result<std::string> GrantLease(Duration length) = 0;

  /** Renews a lease; kNotFound when it has ended. */
  virtual Result<void> RenewLease(const std::string& lease) = 0;

  /** Ends a lease and removes the keys it holds. */
  virtual Result<void> RevokeLease(const std::string& lease) = 0;
};

}  // namespace cumin
