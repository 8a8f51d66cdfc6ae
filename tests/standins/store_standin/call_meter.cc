#include "standins/store_standin/call_meter.h"

#include <numeric>

namespace cumin::test {

namespace {

constexpr const char* kStoreCallNames[kStoreCallKinds] = {
    "get",    "list",           "watch",         "swap",
    "remove", "session_create", "session_renew", "session_destroy"};

bool IsRead(StoreCall call) {
  return call == StoreCall::kGet || call == StoreCall::kList ||
         call == StoreCall::kWatch;
}

}  // namespace

bool CallMeter::Admit(StoreCall call, MonoTime now) {
  ++counts_[static_cast<std::size_t>(call)];
  if (now - window_start_ >= std::chrono::seconds(1)) {
    window_start_ = now;
    reads_in_window_ = 0;
    writes_in_window_ = 0;
  }
  const bool admitted = IsRead(call) ? ++reads_in_window_ <= reads_per_s_
                                     : ++writes_in_window_ <= writes_per_s_;
  rejected_ += admitted ? 0 : 1;
  return admitted;
}

Json::Value CallMeter::Stats() const {
  Json::Value stats;
  for (std::size_t i = 0; i < kStoreCallKinds; ++i) {
    stats["calls"][kStoreCallNames[i]] = static_cast<Json::UInt64>(counts_[i]);
  }
  stats["total"] = static_cast<Json::UInt64>(
      std::accumulate(counts_.begin(), counts_.end(), std::uint64_t{0}));
  stats["refused"] = static_cast<Json::UInt64>(rejected_);
  return stats;
}

}  // namespace cumin::test
