#pragma once

#include <map>
#include <string>

#include "cumin_store/store.h"

namespace cumin::test {

/** In-memory store whose clock is set by the test. */
class FakeStore final : public Store {
 public:
  /** Sets the store's clock and ends the leases that expired. */
  void SetNow(MonoTime now) {
    now_ = now;
    for (auto it = leases_.begin(); it != leases_.end();) {
      const std::string lease = it->first;
      const bool is_expired = it->second.ends_at <= now_;
      ++it;
      if (is_expired) {
        EndLease(lease);
      }
    }
  }

  /** Makes every call fail with kUnavailable. */
  void SetDown(bool down) { down_ = down; }

  /** Injected fault: every compare-and-swap writes. */
  void IgnoreExpectedIndex() { ignores_expected_index_ = true; }

  /** @returns the number of writes that took effect */
  int writes() const { return writes_; }

  Result<StoreEntry> Get(const std::string& key) override {
    const auto it = entries_.find(key);
    if (down_ || it == entries_.end()) {
      return Fail(ErrorCode::kNotFound);
    }
    return it->second;
  }

  Result<StoreListing> List(const std::string&) override {
    return Fail(ErrorCode::kNotFound);
  }

  Result<StoreListing> Watch(const std::string&, std::uint64_t,
                             Duration) override {
    return Fail(ErrorCode::kNotFound);
  }

  Result<void> CompareAndSwap(const std::string& key, const std::string& value,
                              std::uint64_t expected,
                              const std::string& lease) override {
    StoreEntry& entry = entries_[key];
    const bool is_expected =
        entry.modify_index == expected || ignores_expected_index_;
    const bool has_lease = lease.empty() || leases_.count(lease) > 0;
    const bool may_write = !down_ && is_expected && has_lease;
    if (may_write) {
      entry = StoreEntry{key, value, NextIndex(), lease};
    } else if (entry.modify_index == kAbsentIndex) {
      entries_.erase(key);
    }
    return may_write ? Ok() : Result<void>(Fail(ErrorCode::kConflict));
  }

  Result<void> Remove(const std::string&) override { return Ok(); }

  Result<std::string> GrantLease(Duration length) override {
    if (down_) {
      return Fail(ErrorCode::kNotFound);
    }
    const std::string lease = "lease-" + std::to_string(NextIndex());
    leases_[lease] = LeaseState{length, now_ + length};
    return lease;
  }

  Result<void> RenewLease(const std::string& lease) override {
    const auto it = leases_.find(lease);
    if (down_ || it == leases_.end()) {
      return Fail(ErrorCode::kNotFound);
    }
    it->second.ends_at = now_ + it->second.length;
    ++writes_;
    return Ok();
  }

  Result<void> RevokeLease(const std::string& lease) override {
    EndLease(lease);
    return Ok();
  }

 private:
  struct LeaseState {
    Duration length{0};
    MonoTime ends_at{};
  };

  Error Fail(ErrorCode code) const {
    return Error{down_ ? ErrorCode::kUnavailable : code, "", 0, "", "fake"};
  }

  std::uint64_t NextIndex() {
    ++writes_;
    return ++index_;
  }

  void EndLease(const std::string& lease) {
    leases_.erase(lease);
    for (auto it = entries_.begin(); it != entries_.end();) {
      it = it->second.lease == lease ? entries_.erase(it) : std::next(it);
    }
  }

  std::map<std::string, StoreEntry> entries_;
  std::map<std::string, LeaseState> leases_;
  MonoTime now_{};
  std::uint64_t index_ = 0;
  int writes_ = 0;
  bool down_ = false;
  bool ignores_expected_index_ = false;
};

}  // namespace cumin::test
