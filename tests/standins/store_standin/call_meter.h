#pragma once

#include <json/json.h>

#include <array>
#include <cstdint>

#include "cumin_core/time.h"

namespace cumin::test {

/** The kinds of call that the platform counts; a waiting watch is one. */
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

/** Counts calls and refuses those above a ceiling in each second; not
    thread-safe. */
class CallMeter {
 public:
  /** @param reads_per_s   ceiling of reads and watches
      @param writes_per_s  ceiling of everything else */
  CallMeter(int reads_per_s, int writes_per_s)
      : reads_per_s_(reads_per_s), writes_per_s_(writes_per_s) {}

  /** Counts a call.
      @returns false when it is above the ceiling */
  bool Admit(StoreCall call, MonoTime now);

  /** @returns the counts by kind, their total and the refused ones */
  Json::Value Stats() const;

 private:
  int reads_per_s_;
  int writes_per_s_;
  std::array<std::uint64_t, kStoreCallKinds> counts_{};
  std::uint64_t refused_ = 0;
  MonoTime second_starts_at_{};
  int reads_in_second_ = 0;
  int writes_in_second_ = 0;
};

}  // namespace cumin::test
