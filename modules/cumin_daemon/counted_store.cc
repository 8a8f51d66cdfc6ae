#include "cumin_daemon/counted_store.h"

#include <utility>

namespace cumin {

namespace {

/** Awaits a call and counts it. */
template <typename T>
Task<Result<T>> Count(MeshMetrics& metrics, const char* kind,
                      Task<Result<T>> call) {
  Result<T> result = co_await std::move(call);
  metrics.CountStoreCall(kind, result ? "ok" : ToString(result.error().code));
  co_return result;
}

}  // namespace

Task<Result<StoreItem>> CountedStore::Get(std::string key,
                                          ReadFreshness freshness) {
  return Count(metrics_, "get", store_.Get(std::move(key), freshness));
}

Task<Result<StoreItems>> CountedStore::List(std::string prefix,
                                            ReadFreshness freshness) {
  return Count(metrics_, "list", store_.List(std::move(prefix), freshness));
}

Task<Result<StoreItems>> CountedStore::Watch(std::string prefix,
                                             std::uint64_t after,
                                             Duration wait) {
  return Count(metrics_, "watch", store_.Watch(std::move(prefix), after, wait));
}

Task<Result<std::uint64_t>> CountedStore::Put(std::string key,
                                              std::string value,
                                              LeaseId lease) {
  return Count(metrics_, "put",
               store_.Put(std::move(key), std::move(value), lease));
}

Task<Result<LeaseId>> CountedStore::GrantLease(Duration length) {
  return Count(metrics_, "grant-lease", store_.GrantLease(length));
}

Task<Result<void>> CountedStore::RenewLease(LeaseId lease) {
  return Count(metrics_, "renew-lease", store_.RenewLease(lease));
}

Task<Result<void>> CountedStore::EndLease(LeaseId lease) {
  return Count(metrics_, "end-lease", store_.EndLease(lease));
}

Task<Result<std::uint64_t>> CountedStore::PutIf(std::string key,
                                                std::string value,
                                                std::uint64_t revision) {
  return Count(metrics_, "put-if",
               store_.PutIf(std::move(key), std::move(value), revision));
}

}  // namespace cumin
