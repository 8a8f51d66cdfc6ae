#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cumin_core/error.h"
#include "cumin_http/asio.h"

namespace cumin {

/** One key of the store. */
struct StoreItem {
  std::string key;
  std::string value;
  /** The store's revision of the last change; 0 for a removed key. */
  std::uint64_t revision = 0;

  friend bool operator==(const StoreItem& a, const StoreItem& b) {
    return a.key == b.key && a.value == b.value && a.revision == b.revision;
  }
};

/** The items of a read or a watch, and the revision to watch from. */
struct StoreItems {
  std::vector<StoreItem> items;
  std::uint64_t as_of = 0;
};

/** How current a read has to be. */
enum class ReadFreshness {
  kCurrent,
  /** May be seconds old; costs the store a tenth. */
  kStale,
};

/** Names a lease of the store. */
using LeaseId = std::uint64_t;
constexpr LeaseId kNoLease = 0;

/** The platform's key-value store, driven by coroutines.

    Errors are kUnavailable when the store surely did nothing, kOutcomeUnknown
    when a write may have taken effect or may still, kConflict when a condition
    did not hold, kNotFound for an absent key or lease, and kProtocol for an
    answer that cannot be read. A watch whose history is gone ends with
    kConflict: read again.
*/
class AsyncStore {
 public:
  virtual ~AsyncStore() = default;

  /** Reads one key. */
  virtual Task<Result<StoreItem>> Get(std::string key,
                                      ReadFreshness freshness) = 0;

  /** Reads every key under a prefix, page by page; not a snapshot. */
  virtual Task<Result<StoreItems>> List(std::string prefix,
                                        ReadFreshness freshness) = 0;

  /** Waits for changes under a prefix.
      @param after  the revision known so far
      @param wait   how long the store waits at most
      @returns the changes; none when the wait ran out */
  virtual Task<Result<StoreItems>> Watch(std::string prefix,
                                         std::uint64_t after,
                                         Duration wait) = 0;

  /** Writes a key.
      @param lease  the key is removed when this lease ends; kNoLease for none
      @returns the store's revision */
  virtual Task<Result<std::uint64_t>> Put(std::string key, std::string value,
                                          LeaseId lease) = 0;

  /** Makes a lease of at least this length. */
  virtual Task<Result<LeaseId>> GrantLease(Duration length) = 0;

  /** Renews a lease; kNotFound when it has ended. */
  virtual Task<Result<void>> RenewLease(LeaseId lease) = 0;

  /** Ends a lease and removes its keys. */
  virtual Task<Result<void>> EndLease(LeaseId lease) = 0;
};

}  // namespace cumin
