#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "cumin_store/store.h"

namespace cumin::test {

/** Fault injected into one call of a FakeStore. */
enum class StoreFault {
  kNone,
  /** The call has no effect and fails with kUnavailable. */
  kStoreUnavailable,
  /** The write takes effect but fails with kOutcomeUnknown. */
  kResponseLost,
  /** The write has no effect and fails with kOutcomeUnknown. */
  kRequestLost,
  /** The write fails with kOutcomeUnknown and takes effect at ApplyDelayed. */
  kDelayed,
};

/** In-memory key-value store with fault injection. Not thread-safe. */
class FakeStore : public Store {
 public:
  /** Injects a fault into the next call only. */
  void SetNextFault(StoreFault fault) { next_fault_ = fault; }

  /** @param unavailable  whether every call fails with kUnavailable */
  void SetUnavailable(bool unavailable) { unavailable_ = unavailable; }

  /** Applies the oldest delayed write, if any. */
  void ApplyDelayed() {
    if (delayed_writes_.empty()) {
      return;
    }
    const std::function<void()> write = delayed_writes_.front();
    delayed_writes_.erase(delayed_writes_.begin());
    write();
  }

  /** @returns the number of calls */
  std::uint64_t calls() const { return calls_; }

  /** @returns all entries; does not count as a call */
  const std::map<std::string, StoreEntry>& entries() const { return entries_; }

  /** Writes unconditionally, as an operator with another tool would. Does not
      count as a call. */
  void Put(const std::string& key, const std::string& value) {
    entries_[key] = StoreEntry{key, value, ++index_, ""};
  }

  Result<StoreEntry> Get(const std::string& key) override {
    const StoreFault fault = TakeFault();
    if (fault != StoreFault::kNone) {
      return Unavailable();
    }
    const auto it = entries_.find(key);
    if (it == entries_.end()) {
      return Error{ErrorCode::kNotFound, key, 0, "", "no such key"};
    }
    return it->second;
  }

  Result<StoreListing> List(const std::string& prefix) override {
    if (TakeFault() != StoreFault::kNone) {
      return Unavailable();
    }
    StoreListing listing;
    listing.index = index_;
    for (const auto& [key, entry] : entries_) {
      if (key.compare(0, prefix.size(), prefix) == 0) {
        listing.entries.push_back(entry);
      }
    }
    return listing;
  }

  Result<StoreListing> Watch(const std::string& prefix, std::uint64_t index,
                             Duration wait) override {
    (void)index;
    (void)wait;
    return List(prefix);
  }

  Result<void> CompareAndSwap(const std::string& key, const std::string& value,
                              std::uint64_t expected,
                              const std::string& lease) override {
    return Write([=]() { return Swap(key, value, expected, lease); });
  }

  Result<void> Remove(const std::string& key) override {
    return Write([=]() {
      entries_.erase(key);
      return Ok();
    });
  }

  Result<std::string> GrantLease(Duration length) override {
    (void)length;
    if (TakeFault() != StoreFault::kNone) {
      return Unavailable();
    }
    return "lease-" + std::to_string(++index_);
  }

  Result<void> RenewLease(const std::string& lease) override {
    (void)lease;
    return Write([]() { return Ok(); });
  }

  Result<void> RevokeLease(const std::string& lease) override {
    (void)lease;
    return Write([]() { return Ok(); });
  }

 protected:
  /** Performs a compare-and-swap; overridden to inject faults. */
  virtual Result<void> Swap(const std::string& key, const std::string& value,
                            std::uint64_t expected, const std::string& lease) {
    const auto it = entries_.find(key);
    const std::uint64_t current_index =
        it == entries_.end() ? kAbsentIndex : it->second.modify_index;
    if (current_index != expected) {
      return Error{ErrorCode::kConflict, key, 0, "",
                   "modify index does not match"};
    }
    entries_[key] = StoreEntry{key, value, ++index_, lease};
    return Ok();
  }

 private:
  static Error Unavailable() {
    return Error{ErrorCode::kUnavailable, "store", 0, "", "store unavailable"};
  }

  StoreFault TakeFault() {
    ++calls_;
    const StoreFault fault =
        unavailable_ ? StoreFault::kStoreUnavailable : next_fault_;
    next_fault_ = StoreFault::kNone;
    return fault;
  }

  Result<void> Write(const std::function<Result<void>()>& write) {
    const Error outcome_unknown{ErrorCode::kOutcomeUnknown, "store", 0, "",
                                "response lost"};
    switch (TakeFault()) {
      case StoreFault::kNone:
        return write();
      case StoreFault::kStoreUnavailable:
        return Unavailable();
      case StoreFault::kResponseLost:
        (void)write();
        return outcome_unknown;
      case StoreFault::kRequestLost:
        return outcome_unknown;
      case StoreFault::kDelayed:
        delayed_writes_.emplace_back([write]() { (void)write(); });
        break;
    }
    return outcome_unknown;
  }

  std::map<std::string, StoreEntry> entries_;
  std::vector<std::function<void()>> delayed_writes_;
  std::uint64_t index_ = 0;
  std::uint64_t calls_ = 0;
  StoreFault next_fault_ = StoreFault::kNone;
  bool unavailable_ = false;
};

}  // namespace cumin::test
