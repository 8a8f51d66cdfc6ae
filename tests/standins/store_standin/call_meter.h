#pragma once

#include <json/json.h>

#include <array>
#include <cstdint>

#include "cumin_core/time.h"

namespace cumin::test {

/** The operations that the platform counts. A blocking watch counts as one
    call. */
enum class StoreCall {
  kGet,
  kList,
  kWatch,
  kSwap,
  kRemove,
  kSessionCreate,
  kSessionRenew,
  kSessionDestroy,
};

constexpr std::size_t kStoreCallKinds = 8;

/** Counts calls and rejects those above the rate limit, in fixed windows of one
    second. Not thread-safe. */
class CallMeter {
 public:
  /** @param reads_per_s   limit of gets, lists and watches per second
      @param writes_per_s  limit of all other calls per second */
  CallMeter(int reads_per_s, int writes_per_s)
      : reads_per_s_(reads_per_s), writes_per_s_(writes_per_s) {}

  /** Counts a call.
      @returns false when it exceeds the rate limit */
  bool Admit(StoreCall call, MonoTime now);

  /** @returns the counts per operation, their total and the number of rejected
      calls */
  Json::Value Stats() const;

 private:
  int reads_per_s_;
  int writes_per_s_;
  std::array<std::uint64_t, kStoreCallKinds> counts_{};
  std::uint64_t rejected_ = 0;
  MonoTime window_start_{};
  int reads_in_window_ = 0;
  int writes_in_window_ = 0;
};

}  // namespace cumin::test
