#include "cumin_config/recent_deltas.h"

#include <algorithm>
#include <utility>

namespace cumin {

namespace {

std::size_t TextBytes(const ConfigDelta& delta) {
  std::size_t bytes = 0;
  for (const ConfigPart& it : delta.changed) {
    bytes += it.text.size();
  }
  return bytes;
}

}  // namespace

RecentDeltas::RecentDeltas(std::size_t max_count, std::size_t max_bytes)
    : max_count_(max_count), max_bytes_(max_bytes) {}

void RecentDeltas::Add(ConfigDelta delta) {
  if (!deltas_.empty() && deltas_.back().change.version != delta.from_version) {
    Clear();
  }
  bytes_ += TextBytes(delta);
  deltas_.push_back(std::move(delta));
  while (!deltas_.empty() &&
         (deltas_.size() > max_count_ || bytes_ > max_bytes_)) {
    DropOldest();
  }
}

void RecentDeltas::Clear() {
  deltas_.clear();
  bytes_ = 0;
}

std::optional<ConfigDelta> RecentDeltas::From(std::uint64_t version) const {
  auto it = std::find_if(
      deltas_.begin(), deltas_.end(),
      [&](const ConfigDelta& each) { return each.from_version == version; });
  if (it == deltas_.end()) {
    return std::nullopt;
  }
  ConfigDelta merged = *it;
  for (++it; it != deltas_.end(); ++it) {
    Result<ConfigDelta> joined = MergeDeltas(merged, *it);
    if (!joined) {
      return std::nullopt;
    }
    merged = std::move(joined.value());
  }
  return merged;
}

void RecentDeltas::DropOldest() {
  bytes_ -= TextBytes(deltas_.front());
  deltas_.pop_front();
}

}  // namespace cumin
