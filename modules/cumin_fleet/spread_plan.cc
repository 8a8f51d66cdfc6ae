#include "cumin_fleet/spread_plan.h"

#include <algorithm>
#include <string>
#include <utility>

#include "cumin_core/stable_hash.h"

namespace cumin {

namespace {

struct RankedMember {
  std::uint64_t hash = 0;
  VmId vm;

  friend bool operator<(const RankedMember& a, const RankedMember& b) {
    return a.hash != b.hash ? a.hash < b.hash : a.vm < b.vm;
  }
};

/** Rendezvous hashing: the hash of a member depends only on itself and the key,
    so adding or removing a member does not reorder the others. */
std::vector<VmId> OrderByHash(const std::vector<VmId>& members,
                              const std::string& key) {
  std::vector<RankedMember> ranked;
  ranked.reserve(members.size());
  for (const VmId& it : members) {
    ranked.push_back({StableHash(key + "|" + it.str()), it});
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<VmId> ordered;
  ordered.reserve(ranked.size());
  for (RankedMember& it : ranked) {
    ordered.push_back(std::move(it.vm));
  }
  return ordered;
}

}  // namespace

SpreadPlan::SpreadPlan(const std::vector<Member>& live,
                       const RegionId& source_region)
    : source_region_(source_region) {
  for (const Member& it : live) {
    members_.emplace(it.vm, it);
    domains_[it.region][it.failure_domain].push_back(it.vm);
  }
  for (const auto& it : domains_) {
    rankings_[it.first] = RankAcrossDomains(it.second);
  }
  if (domains_.count(source_region_) == 0 && !domains_.empty()) {
    source_region_ = domains_.begin()->first;
  }
}

const std::vector<VmId>& SpreadPlan::FetcherRanking(
    const RegionId& region) const {
  static const std::vector<VmId> no_members;
  const auto it = rankings_.find(region);
  return it == rankings_.end() ? no_members : it->second;
}

std::vector<VmId> SpreadPlan::Fetchers(const RegionId& region) const {
  std::vector<VmId> fetchers = FetcherRanking(region);
  fetchers.resize(
      std::min(fetchers.size(), static_cast<std::size_t>(kFetchers)));
  return fetchers;
}

int SpreadPlan::FetcherRank(const VmId& vm) const {
  const auto member = members_.find(vm);
  if (member == members_.end()) {
    return -1;
  }
  const std::vector<VmId>& ranking = FetcherRanking(member->second.region);
  const auto it = std::find(ranking.begin(), ranking.end(), vm);
  return static_cast<int>(it - ranking.begin());
}

std::vector<RegionTransfer> SpreadPlan::Transfers() const {
  std::vector<RegionTransfer> transfers;
  for (const RegionId& it : Regions()) {
    const std::vector<RegionTransfer> attempts = Attempts(it);
    if (!attempts.empty()) {
      transfers.push_back(attempts.front());
    }
  }
  return transfers;
}

std::vector<RegionTransfer> SpreadPlan::Attempts(
    const RegionId& to_region) const {
  std::vector<RegionTransfer> attempts;
  if (to_region == source_region_) {
    return attempts;
  }
  for (const VmId& from : Sources()) {
    for (const VmId& to : Fetchers(to_region)) {
      attempts.push_back(RegionTransfer{from, to, to_region});
    }
  }
  return attempts;
}

std::vector<VmId> SpreadPlan::Children(std::uint64_t version, const VmId& root,
                                       const VmId& node) const {
  std::vector<VmId> children;
  const auto root_member = members_.find(root);
  const auto node_member = members_.find(node);
  if (root_member == members_.end() || node_member == members_.end()) {
    return children;
  }
  const Member& root_entry = root_member->second;
  const std::string key = "tree|" + std::to_string(version);
  for (const auto& it : domains_.at(root_entry.region)) {
    std::vector<VmId> node_order = OrderByHash(it.second, key);
    if (it.first == root_entry.failure_domain) {
      const auto position =
          std::find(node_order.begin(), node_order.end(), root);
      std::rotate(node_order.begin(), position, position + 1);
    } else if (node == root) {
      children.push_back(node_order.front());
    }
    if (it.first != node_member->second.failure_domain) {
      continue;
    }
    const auto position = std::find(node_order.begin(), node_order.end(), node);
    const std::size_t first = (position - node_order.begin()) * kFanOut + 1;
    const std::size_t last = std::min(first + kFanOut, node_order.size());
    for (std::size_t i = first; i < last; ++i) {
      children.push_back(node_order[i]);
    }
  }
  return children;
}

std::vector<RegionId> SpreadPlan::Regions() const {
  std::vector<RegionId> regions;
  regions.reserve(domains_.size());
  for (const auto& it : domains_) {
    regions.push_back(it.first);
  }
  return regions;
}

std::vector<VmId> SpreadPlan::RankAcrossDomains(
    const DomainMembers& domains) const {
  std::vector<std::vector<VmId>> domain_orders;
  std::vector<VmId> first_members;
  std::size_t longest = 0;
  for (const auto& it : domains) {
    domain_orders.push_back(OrderByHash(it.second, "fetch"));
    first_members.push_back(domain_orders.back().front());
    longest = std::max(longest, domain_orders.back().size());
  }
  // Failure domains alternate in the hash order of their first members.
  const std::vector<VmId> domain_turns = OrderByHash(first_members, "turn");
  std::sort(
      domain_orders.begin(), domain_orders.end(),
      [&](const auto& a, const auto& b) {
        return std::find(domain_turns.begin(), domain_turns.end(), a.front()) <
               std::find(domain_turns.begin(), domain_turns.end(), b.front());
      });
  std::vector<VmId> ranking;
  for (std::size_t i = 0; i < longest; ++i) {
    for (const std::vector<VmId>& domain_order : domain_orders) {
      if (i < domain_order.size()) {
        ranking.push_back(domain_order[i]);
      }
    }
  }
  return ranking;
}

}  // namespace cumin
