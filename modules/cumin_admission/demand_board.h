#pragma once

#include <unordered_map>

#include "cumin_admission/rate_share.h"
#include "cumin_core/identifier.h"
#include "cumin_core/time.h"

namespace cumin {

/** Adds up the daemons' demand of the customers that this daemon coordinates,
    so that each daemon exchanges one message with one peer and not with all.

    Losing the coordinator loses nothing that lasts: daemons report to the next
    one within the lifetime of a report. Not thread-safe.
*/
class DemandBoard {
 public:
  /** @param max_age  a report that was not renewed for so long no longer counts
   */
  explicit DemandBoard(Duration max_age) : max_age_(max_age) {}

  /** Notes a daemon's demand and answers with that of all others.
      @param report  from the daemon itself
      @returns the other daemons' calls a second for the same customer */
  double Exchange(const DemandReport& report, MonoTime now);

 private:
  struct Demand {
    double per_s = 0;
    MonoTime heard_at;
  };
  using DemandBySource = std::unordered_map<VmId, Demand>;

  void Forget(DemandBySource* demands, MonoTime now) const;

  Duration max_age_;
  std::unordered_map<CustomerId, DemandBySource> customers_;
};

}  // namespace cumin
