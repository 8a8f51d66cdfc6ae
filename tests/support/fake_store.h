#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "cumin_store/store.h"

namespace cumin::test {

/** What happens to one call of a FakeStore. */
enum class StoreFault {
  kNone,
  /** Nothing happens and the caller knows it. */
  kStoreUnavailable,
  /** The call takes effect and its answer is lost. */
  kResponseLost,
  /** The call has no effect and the caller cannot know it. */
  kRequestLost,
  /** The caller gives up, and the call takes effect at ApplyDelayed. */
  kDelayed,
};

/** A key-value store in memory whose calls can fail. Not thread-safe. */
class FakeStore : public Store {
 public:
  /** The next call only meets this fault. */
  void SetNextFault(StoreFault fault) { next_fault_ = fault; }

  /** While out, every call fails with kUnavailable. */
  void SetUnavailable(bool out) { out_ = out; }

  /** Carries out the oldest delayed write, if there is one. */
  void ApplyDelayed() {
    if (delayed_.empty()) {
      return;
    }
    const std::function<void()> write = delayed_.front();
    delayed_.erase(delayed_.begin());
    write();
  }

  /** @returns how many calls were made */
  std::uint64_t calls() const { return calls_; }

  /** @returns every key and value, without counting as a call */
  const std::map<std::string, StoreEntry>& entries() const { return entries_; }

  /** Writes without checks, as an operator with another tool would. */
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
  /** Carries out a compare-and-swap; overridden to build faulty stores. */
  virtual Result<void> Swap(const std::string& key, const std::string& value,
                            std::uint64_t expected, const std::string& lease) {
    const auto it = entries_.find(key);
    const std::uint64_t present =
        it == entries_.end() ? kAbsentIndex : it->second.modify_index;
    if (present != expected) {
      return Error{ErrorCode::kConflict, key, 0, "", "another index"};
    }
    entries_[key] = StoreEntry{key, value, ++index_, lease};
    return Ok();
  }

 private:
  static Error Unavailable() {
    return Error{ErrorCode::kUnavailable, "store", 0, "", "the store is out"};
  }

  StoreFault TakeFault() {
    ++calls_;
    const StoreFault fault = out_ ? StoreFault::kStoreUnavailable : next_fault_;
    next_fault_ = StoreFault::kNone;
    return fault;
  }

  Result<void> Write(const std::function<Result<void>()>& write) {
    const Error lost{ErrorCode::kOutcomeUnknown, "store", 0, "",
                     "the answer is lost"};
    switch (TakeFault()) {
      case StoreFault::kNone:
        return write();
      case StoreFault::kStoreUnavailable:
        return Unavailable();
      case StoreFault::kResponseLost:
        (void)write();
        return lost;
      case StoreFault::kRequestLost:
        return lost;
      case StoreFault::kDelayed:
        delayed_.emplace_back([write]() { (void)write(); });
        break;
    }
    return lost;
  }

  std::map<std::string, StoreEntry> entries_;
  std::vector<std::function<void()>> delayed_;
  std::uint64_t index_ = 0;
  std::uint64_t calls_ = 0;
  StoreFault next_fault_ = StoreFault::kNone;
  bool out_ = false;
};

}  // namespace cumin::test
