#include "cumin_store/metered_store.h"

#include <utility>

namespace cumin {

MeteredStore::MeteredStore(Store& store, MetricRegistry& metrics)
    : store_(store),
      reads_(metrics.GetCounter("store_reads_total")),
      watches_(metrics.GetCounter("store_watches_total")),
      swaps_(metrics.GetCounter("store_swaps_total")),
      removals_(metrics.GetCounter("store_removals_total")),
      grants_(metrics.GetCounter("store_lease_grants_total")),
      renewals_(metrics.GetCounter("store_lease_renewals_total")),
      revocations_(metrics.GetCounter("store_lease_revocations_total")),
      unavailable_(metrics.GetCounter("store_unavailable_total")),
      unknown_outcomes_(metrics.GetCounter("store_unknown_outcomes_total")),
      conflicts_(metrics.GetCounter("store_conflicts_total")),
      protocol_errors_(metrics.GetCounter("store_protocol_errors_total")) {}

Result<StoreEntry> MeteredStore::Get(const std::string& key) {
  return Count(reads_, store_.Get(key));
}

Result<StoreListing> MeteredStore::List(const std::string& prefix) {
  return Count(reads_, store_.List(prefix));
}

Result<StoreListing> MeteredStore::Watch(const std::string& prefix,
                                         std::uint64_t index, Duration wait) {
  return Count(watches_, store_.Watch(prefix, index, wait));
}

Result<void> MeteredStore::CompareAndSwap(const std::string& key,
                                          const std::string& value,
                                          std::uint64_t expected,
                                          const std::string& lease) {
  return Count(swaps_, store_.CompareAndSwap(key, value, expected, lease));
}

Result<void> MeteredStore::Remove(const std::string& key) {
  return Count(removals_, store_.Remove(key));
}

Result<std::string> MeteredStore::GrantLease(Duration length) {
  return Count(grants_, store_.GrantLease(length));
}

Result<void> MeteredStore::RenewLease(const std::string& lease) {
  return Count(renewals_, store_.RenewLease(lease));
}

Result<void> MeteredStore::RevokeLease(const std::string& lease) {
  return Count(revocations_, store_.RevokeLease(lease));
}

template <typename T>
Result<T> MeteredStore::Count(Counter& calls, Result<T> result) {
  calls.Add();
  if (!result) {
    CountError(result.error().code);
  }
  return result;
}

void MeteredStore::CountError(ErrorCode code) {
  switch (code) {
    case ErrorCode::kUnavailable:
      return unavailable_.Add();
    case ErrorCode::kOutcomeUnknown:
      return unknown_outcomes_.Add();
    case ErrorCode::kConflict:
      return conflicts_.Add();
    case ErrorCode::kProtocol:
      return protocol_errors_.Add();
    case ErrorCode::kInvalid:
    case ErrorCode::kNotFound:
      return;
  }
}

}  // namespace cumin
