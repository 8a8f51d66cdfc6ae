#pragma once

#include <cstdint>
#include <string>

#include "cumin_core/error.h"
#include "cumin_core/time.h"
#include "cumin_store/store.h"

namespace cumin {

/** Which method of Store a StoreCall calls. */
enum class StoreCallKind {
  kNone,
  kGet,
  kCompareAndSwap,
  kGrantLease,
  kRenewLease,
};

/** A call of the store as a value, for decisions that ask for store calls and
    leave making them to others. */
struct StoreCall {
  StoreCallKind kind = StoreCallKind::kNone;
  std::string key;
  /** The value to write. */
  std::string value;
  /** The expected index of a write. */
  std::uint64_t expected = kAbsentIndex;
  /** The lease to renew or to hold the key with. */
  std::string lease;
  /** The length of the lease to grant. */
  Duration length{0};
};

/** Makes the call.
    @returns the entry read, or an entry with the granted lease's name, or an
    empty entry for the other writes; or the store's error */
Result<StoreEntry> ExecuteStoreCall(Store& store, const StoreCall& call);

}  // namespace cumin
