#pragma once

#include <string>

#include "cumin_core/metrics.h"
#include "cumin_store/store.h"

namespace cumin {

/** Decorator that counts the calls to another Store by operation and by error;
    thread-safe if the other store is. */
class MeteredStore final : public Store {
 public:
  /** @param store    the decorated store; must outlive this object
      @param metrics  registry of the `store_*_total` counters; must outlive
                      this object */
  MeteredStore(Store& store, MetricRegistry& metrics);

  Result<StoreEntry> Get(const std::string& key) override;
  Result<StoreListing> List(const std::string& prefix) override;
  Result<StoreListing> Watch(const std::string& prefix, std::uint64_t index,
                             Duration wait) override;
  Result<void> CompareAndSwap(const std::string& key, const std::string& value,
                              std::uint64_t expected,
                              const std::string& lease) override;
  Result<void> Remove(const std::string& key) override;
  Result<std::string> GrantLease(Duration length) override;
  Result<void> RenewLease(const std::string& lease) override;
  Result<void> RevokeLease(const std::string& lease) override;

 private:
  template <typename T>
  Result<T> Count(Counter& calls, Result<T> result);
  void CountError(ErrorCode code);

  Store& store_;
  Counter& reads_;
  Counter& watches_;
  Counter& swaps_;
  Counter& removals_;
  Counter& grants_;
  Counter& renewals_;
  Counter& revocations_;
  Counter& unavailable_;
  Counter& unknown_outcomes_;
  Counter& conflicts_;
  Counter& protocol_errors_;
};

}  // namespace cumin
