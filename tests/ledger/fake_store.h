#pragma once

#include <map>
#include <string>

#include "cumin_core/time.h"
#include "cumin_store/store.h"

namespace cumin::test {

/** A store in memory on a clock that the test sets. */
class FakeStore final : public Store {
 public:
  /** Moves the store's clock and ends leases that are due. */
  void SetNow(MonoTime now) {
    now_ = now;
    for (auto it = leases_.begin(); it != leases_.end();) {
      if (it->second.ends_at <= now_) {
        DropKeys(it->first);
        it = leases_.erase(it);
      } else {
        ++it;
      }
    }
  }

  /** Refuses every call as unavailable. */
  void SetDown(bool down) { down_ = down; }

  /** A deliberate fault: every compare-and-swap succeeds. */
  void IgnoreExpectedIndex() { ignores_index_ = true; }

  int writes() const { return writes_; }

  Result<StoreEntry> Get(const std::string& key) override {
    if (down_) {
      return Fail(ErrorCode::kUnavailable);
    }
    const auto it = entries_.find(key);
    return it == entries_.end() ? Result<StoreEntry>(Fail(ErrorCode::kNotFound))
                                : Result<StoreEntry>(it->second);
  }

  Result<StoreListing> List(const std::string&) override {
    return Fail(ErrorCode::kUnavailable);
  }

  Result<StoreListing> Watch(const std::string&, std::uint64_t,
                             Duration) override {
    return Fail(ErrorCode::kUnavailable);
  }

  Result<void> CompareAndSwap(const std::string& key, const std::string& value,
                              std::uint64_t expected,
                              const std::string& lease) override {
    if (down_) {
      return Fail(ErrorCode::kUnavailable);
    }
    if (!lease.empty() && leases_.count(lease) == 0) {
      return Fail(ErrorCode::kNotFound);
    }
    const auto it = entries_.find(key);
    const std::uint64_t index =
        it == entries_.end() ? kAbsentIndex : it->second.modify_index;
    if (index != expected && !ignores_index_) {
      return Fail(ErrorCode::kConflict);
    }
    entries_[key] = StoreEntry{key, value, ++index_, lease};
    ++writes_;
    return Ok();
  }

  Result<void> Remove(const std::string& key) override {
    entries_.erase(key);
    return Ok();
  }

  Result<std::string> GrantLease(Duration length) override {
    if (down_) {
      return Fail(ErrorCode::kUnavailable);
    }
    const std::string lease = "lease-" + std::to_string(++index_);
    leases_[lease] = HeldLease{length, now_ + length};
    ++writes_;
    return lease;
  }

  Result<void> RenewLease(const std::string& lease) override {
    if (down_) {
      return Fail(ErrorCode::kUnavailable);
    }
    const auto it = leases_.find(lease);
    if (it == leases_.end()) {
      return Fail(ErrorCode::kNotFound);
    }
    it->second.ends_at = now_ + it->second.length;
    ++writes_;
    return Ok();
  }

  Result<void> RevokeLease(const std::string& lease) override {
    DropKeys(lease);
    leases_.erase(lease);
    return Ok();
  }

 private:
  struct HeldLease {
    Duration length{0};
    MonoTime ends_at{};
  };

  static Error Fail(ErrorCode code) { return Error{code, "", 0, "", "fake"}; }

  void DropKeys(const std::string& lease) {
    for (auto it = entries_.begin(); it != entries_.end();) {
      it = it->second.lease == lease ? entries_.erase(it) : std::next(it);
    }
  }

  std::map<std::string, StoreEntry> entries_;
  std::map<std::string, HeldLease> leases_;
  MonoTime now_{};
  std::uint64_t index_ = 0;
  int writes_ = 0;
  bool down_ = false;
  bool ignores_index_ = false;
};

}  // namespace cumin::test
