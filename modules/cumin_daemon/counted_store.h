#pragma once

#include <string>

#include "cumin_daemon/mesh_metrics.h"
#include "cumin_store/async_store.h"

namespace cumin {

/** Decorates a store: counts each call by its kind and result. */
class CountedStore final : public AsyncStore {
 public:
  /** Both outlive this. */
  CountedStore(AsyncStore& store, MeshMetrics& metrics)
      : store_(store), metrics_(metrics) {}

  Task<Result<StoreItem>> Get(std::string key,
                              ReadFreshness freshness) override;
  Task<Result<StoreItems>> List(std::string prefix,
                                ReadFreshness freshness) override;
  Task<Result<StoreItems>> Watch(std::string prefix, std::uint64_t after,
                                 Duration wait) override;
  Task<Result<std::uint64_t>> Put(std::string key, std::string value,
                                  LeaseId lease) override;
  Task<Result<LeaseId>> GrantLease(Duration length) override;
  Task<Result<void>> RenewLease(LeaseId lease) override;
  Task<Result<void>> EndLease(LeaseId lease) override;
  Task<Result<std::uint64_t>> PutIf(std::string key, std::string value,
                                    std::uint64_t revision) override;
  std::uint64_t era() const override { return store_.era(); }

 private:
  AsyncStore& store_;
  MeshMetrics& metrics_;
};

}  // namespace cumin
