#include "standins/store_standin/call_meter.h"

#include <numeric>

namespace cumin::test {

namespace {

constexpr const char* kNames[kStoreCallKinds] = {
    "get",    "list",           "watch",         "swap",
    "remove", "session_create", "session_renew", "session_destroy"};

bool IsRead(StoreCall call) {
  return call == StoreCall::kGet || call == StoreCall::kList ||
         call == StoreCall::kWatch;
}

}  // namespace

bool CallMeter::Admit(StoreCall call, MonoTime now) {
  ++counts_[static_cast<std::size_t>(call)];
  if (now - second_starts_at_ >= std::chrono::seconds(1)) {
    second_starts_at_ = now;
    reads_in_second_ = 0;
    writes_in_second_ = 0;
  }
  const bool admitted = IsRead(call) ? ++reads_in_second_ <= reads_per_s_
                                     : ++writes_in_second_ <= writes_per_s_;
  refused_ += admitted ? 0 : 1;
  return admitted;
}

Json::Value CallMeter::Stats() const {
  Json::Value stats;
  for (std::size_t i = 0; i < kStoreCallKinds; ++i) {
    stats["calls"][kNames[i]] = static_cast<Json::UInt64>(counts_[i]);
  }
  stats["total"] = static_cast<Json::UInt64>(
      std::accumulate(counts_.begin(), counts_.end(), std::uint64_t{0}));
  stats["refused"] = static_cast<Json::UInt64>(refused_);
  return stats;
}

}  // namespace cumin::test
