#pragma once

#include <atomic>
#include <cstdint>
#include <string>

#include "cumin_store/store.h"

namespace cumin::load {

/** Decorator that counts the calls made to a store. */
class CountingStore final : public Store {
 public:
  /** @param store  outlives this object */
  explicit CountingStore(Store& store) : store_(store) {}

  std::uint64_t calls() const { return calls_.load(); }

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
  Store& store_;
  std::atomic<std::uint64_t> calls_{0};
};

}  // namespace cumin::load
