#include "cumin_ledger/shard_map.h"

#include <algorithm>
#include <cstdint>
#include <string>

#include "cumin_core/stable_hash.h"

namespace cumin {

namespace {

// Separates the hashed names, which contain no control characters.
constexpr char kSeparator = '\n';

std::uint64_t Weight(const ShardId& shard, const VmId& vm) {
  return StableHash(shard.service.str() + kSeparator +
                    std::to_string(shard.index) + kSeparator + vm.str());
}

}  // namespace

ShardMap::ShardMap(ServiceId service, int shards, std::vector<VmId> members)
    : service_(std::move(service)),
      shards_(shards),
      members_(std::move(members)) {}

ShardId ShardMap::ShardOf(const CallKey& key) const {
  const std::uint64_t hash =
      StableHash(key.customer.str() + kSeparator + key.key.str());
  return ShardId{service_,
                 static_cast<int>(hash % static_cast<std::uint64_t>(shards_))};
}

VmId ShardMap::PreferredOwner(const ShardId& shard) const {
  const std::vector<VmId> ranked = RankedOwners(shard);
  return ranked.empty() ? VmId() : ranked.front();
}

std::vector<VmId> ShardMap::RankedOwners(const ShardId& shard) const {
  std::vector<std::pair<std::uint64_t, VmId>> weighed;
  weighed.reserve(members_.size());
  for (const VmId& it : members_) {
    weighed.emplace_back(Weight(shard, it), it);
  }
  std::sort(weighed.rbegin(), weighed.rend());
  std::vector<VmId> ranked;
  ranked.reserve(weighed.size());
  for (const auto& it : weighed) {
    ranked.push_back(it.second);
  }
  return ranked;
}

std::vector<ShardId> ShardMap::Shards() const {
  std::vector<ShardId> all;
  all.reserve(static_cast<std::size_t>(shards_));
  for (int i = 0; i < shards_; ++i) {
    all.push_back(ShardId{service_, i});
  }
  return all;
}

}  // namespace cumin
