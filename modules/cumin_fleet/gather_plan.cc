#include "cumin_fleet/gather_plan.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace cumin {

namespace {

bool TakesPrecedence(const MemberVersionReport& a,
                     const MemberVersionReport& b) {
  return a.reachable != b.reachable ? a.reachable : a.last_heard > b.last_heard;
}

}  // namespace

std::vector<GatherChunk> SplitForGather(const std::vector<Member>& members) {
  std::map<RegionId, std::vector<VmId>> regions;
  for (const Member& it : members) {
    regions[it.region].push_back(it.vm);
  }
  const auto size = static_cast<std::size_t>(
      std::ceil(std::sqrt(static_cast<double>(members.size()))));
  std::vector<GatherChunk> chunks;
  for (auto& it : regions) {
    std::sort(it.second.begin(), it.second.end());
    for (std::size_t i = 0; i < it.second.size(); ++i) {
      if (i % size == 0) {
        chunks.push_back(GatherChunk{it.second[i], {}});
      }
      chunks.back().members.push_back(it.second[i]);
    }
  }
  return chunks;
}

void GatherReport::Add(const MemberVersionReport& report) {
  const auto it = std::lower_bound(
      members.begin(), members.end(), report,
      [](const MemberVersionReport& a, const MemberVersionReport& b) {
        return a.vm < b.vm;
      });
  if (it == members.end() || it->vm != report.vm) {
    members.insert(it, report);
  } else if (TakesPrecedence(report, *it)) {
    *it = report;
  }
}

std::vector<VmId> GatherReport::Unconfirmed() const {
  std::vector<VmId> vms;
  for (const MemberVersionReport& it : members) {
    if (!it.reachable) {
      vms.push_back(it.vm);
    }
  }
  return vms;
}

}  // namespace cumin
