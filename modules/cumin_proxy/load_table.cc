#include "cumin_proxy/load_table.h"

namespace cumin {

void LoadTable::Note(const VmId& vm, const TargetLoad& load, MonoTime now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  loads_[vm] = ObservedLoad{load, now};
}

std::optional<ObservedLoad> LoadTable::Find(const VmId& vm) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto it = loads_.find(vm);
  if (it == loads_.end()) {
    return std::nullopt;
  }
  return it->second;
}

}  // namespace cumin
