#pragma once

#include <cstdint>
#include <string>

#include "cumin_core/error.h"
#include "cumin_core/time.h"
#include "cumin_store/store.h"

namespace cumin {

/** The method of Store that a StoreCall invokes. */
enum class StoreCallKind {
  kNone,
  kGet,
  kCompareAndSwap,
  kGrantLease,
  kRenewLease,
};

/** A call to Store as a value, returned by state machines that do no I/O
    themselves. */
struct StoreCall {
  StoreCallKind kind = StoreCallKind::kNone;
  std::string key;
  std::string value;
  /** Expected index of a compare-and-swap. */
  std::uint64_t expected = kAbsentIndex;
  /** The lease to renew or to attach the key to. */
  std::string lease;
  /** Time to live of the lease to grant. */
  Duration length{0};
};

/** Executes a call.
    @returns the entry read; an entry with the ID of the granted lease; an empty
    entry for other writes; or the store's error */
Result<StoreEntry> ExecuteStoreCall(Store& store, const StoreCall& call);

}  // namespace cumin
