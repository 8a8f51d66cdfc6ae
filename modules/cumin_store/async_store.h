#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cumin_core/error.h"
#include "cumin_http/asio.h"

namespace cumin {

/** A key-value pair of the store. */
struct StoreItem {
  std::string key;
  std::string value;
  /** Store revision of the last modification; 0 for a removed key. */
  std::uint64_t revision = 0;

  friend bool operator==(const StoreItem& a, const StoreItem& b) {
    return a.key == b.key && a.value == b.value && a.revision == b.revision;
  }
};

/** Result of a read or a watch. */
struct StoreItems {
  std::vector<StoreItem> items;
  /** Store revision of the result; pass it to Watch(). */
  std::uint64_t as_of = 0;
  /** Why entries that could not be read were left out, one error for each. */
  std::vector<Error> skipped;
};

/** Consistency of a read. */
enum class ReadFreshness {
  kCurrent,
  /** The result may be seconds old; costs the store a tenth of a kCurrent
      read. */
  kStale,
};

/** ID of a lease in the store. */
using LeaseId = std::uint64_t;
constexpr LeaseId kNoLease = 0;

/** Coroutine interface of the platform's key-value store.

    Errors:
    - kUnavailable: the request certainly had no effect;
    - kOutcomeUnknown: a write may have taken effect or still may;
    - kConflict: a condition did not hold, or the store no longer has the
      history that a watch needs and the keys must be read again;
    - kNotFound: the key or lease does not exist;
    - kProtocol: the response could not be parsed.
*/
class AsyncStore {
 public:
  virtual ~AsyncStore() = default;

  virtual Task<Result<StoreItem>> Get(std::string key,
                                      ReadFreshness freshness) = 0;

  /** Reads every key with a prefix, page by page; the result is not a
      consistent snapshot. */
  virtual Task<Result<StoreItems>> List(std::string prefix,
                                        ReadFreshness freshness) = 0;

  /** Waits for changes of keys with a prefix.
      @param after  returns changes after this revision
      @param wait   maximum time that the store waits
      @returns the changes; none when the wait timed out */
  virtual Task<Result<StoreItems>> Watch(std::string prefix,
                                         std::uint64_t after,
                                         Duration wait) = 0;

  /** Writes a key.
      @param lease  the key is removed when this lease ends; kNoLease for none
      @returns the store revision after the write */
  virtual Task<Result<std::uint64_t>> Put(std::string key, std::string value,
                                          LeaseId lease) = 0;

  /** Grants a lease with at least this time to live. */
  virtual Task<Result<LeaseId>> GrantLease(Duration length) = 0;

  /** Renews a lease; kNotFound when it has ended. */
  virtual Task<Result<void>> RenewLease(LeaseId lease) = 0;

  /** Ends a lease and removes its keys. */
  virtual Task<Result<void>> EndLease(LeaseId lease) = 0;

  /** Writes a key unless it was changed.
      @param revision  the revision at which the key was read; 0 if it must not
                       exist
      @returns the store revision after the write; kConflict if the key has
      another revision */
  virtual Task<Result<std::uint64_t>> PutIf(std::string key, std::string value,
                                            std::uint64_t revision) = 0;

  /** @returns the highest era of the store that a response has told; 0 before
      the first one. It rises when the store comes back from a copy that lacks
      what was written since; revisions and leases of an earlier era mean
      nothing in a later one. Responses of an earlier era are dropped as
      kUnavailable or kOutcomeUnknown. */
  virtual std::uint64_t era() const = 0;
};

}  // namespace cumin
