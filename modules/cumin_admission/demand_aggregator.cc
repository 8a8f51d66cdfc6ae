#include "cumin_admission/demand_aggregator.h"

#include <iterator>

namespace cumin {

double DemandAggregator::Exchange(const DemandReport& report, MonoTime now) {
  DemandBySource& demands = customers_[report.customer];
  demands[report.source] = Demand{report.demand_per_s, now};
  RemoveExpired(&demands, now);
  double others = 0;
  for (const auto& [source, demand] : demands) {
    if (source != report.source) {
      others += demand.per_s;
    }
  }
  return others;
}

void DemandAggregator::RemoveExpired(DemandBySource* demands,
                                     MonoTime now) const {
  for (auto it = demands->begin(); it != demands->end();) {
    const bool is_expired = now - it->second.received_at > max_age_;
    it = is_expired ? demands->erase(it) : std::next(it);
  }
}

}  // namespace cumin
