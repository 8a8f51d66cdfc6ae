#include "cumin_store/store_call.h"

namespace cumin {

namespace {

Result<StoreEntry> ToEmptyEntry(const Result<void>& done) {
  return done ? Result<StoreEntry>(StoreEntry())
              : Result<StoreEntry>(done.error());
}

Result<StoreEntry> GrantLease(Store& store, Duration length) {
  const Result<std::string> lease = store.GrantLease(length);
  if (!lease) {
    return lease.error();
  }
  StoreEntry entry;
  entry.lease = lease.value();
  return entry;
}

}  // namespace

Result<StoreEntry> ExecuteStoreCall(Store& store, const StoreCall& call) {
  switch (call.kind) {
    case StoreCallKind::kNone:
      return StoreEntry();
    case StoreCallKind::kGet:
      return store.Get(call.key);
    case StoreCallKind::kCompareAndSwap:
      return ToEmptyEntry(store.CompareAndSwap(call.key, call.value,
                                               call.expected, call.lease));
    case StoreCallKind::kGrantLease:
      return GrantLease(store, call.length);
    case StoreCallKind::kRenewLease:
      return ToEmptyEntry(store.RenewLease(call.lease));
  }
  return StoreEntry();
}

}  // namespace cumin
