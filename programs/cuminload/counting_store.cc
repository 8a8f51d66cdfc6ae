#include "cuminload/counting_store.h"

namespace cumin::load {

Result<StoreEntry> CountingStore::Get(const std::string& key) {
  ++calls_;
  return store_.Get(key);
}

Result<StoreListing> CountingStore::List(const std::string& prefix) {
  ++calls_;
  return store_.List(prefix);
}

Result<StoreListing> CountingStore::Watch(const std::string& prefix,
                                          std::uint64_t index, Duration wait) {
  ++calls_;
  return store_.Watch(prefix, index, wait);
}

Result<void> CountingStore::CompareAndSwap(const std::string& key,
                                           const std::string& value,
                                           std::uint64_t expected,
                                           const std::string& lease) {
  ++calls_;
  return store_.CompareAndSwap(key, value, expected, lease);
}

Result<void> CountingStore::Remove(const std::string& key) {
  ++calls_;
  return store_.Remove(key);
}

Result<std::string> CountingStore::GrantLease(Duration length) {
  ++calls_;
  return store_.GrantLease(length);
}

Result<void> CountingStore::RenewLease(const std::string& lease) {
  ++calls_;
  return store_.RenewLease(lease);
}

Result<void> CountingStore::RevokeLease(const std::string& lease) {
  ++calls_;
  return store_.RevokeLease(lease);
}

}  // namespace cumin::load
