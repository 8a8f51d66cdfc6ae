#include "cumin_admission/allotment_ledger.h"

#include <algorithm>
#include <iterator>

namespace cumin {

namespace {

/** Part of the tolerance that is used; the rest is for requests that are not
    reported yet. */
constexpr double kUsedTolerance = 0.5;
/** Part of the rate that is given out even while the ledger takes back. */
constexpr double kMinRate = 0.5;
/** Weight of a report beside the demand known before. */
constexpr double kReportWeight = 0.6;
constexpr Duration kForgetAfter = std::chrono::seconds(30);
/** A report that covers less time says little of the demand. */
constexpr Duration kMinInterval = std::chrono::milliseconds(100);

double ToSeconds(Duration length) {
  return std::chrono::duration<double>(length).count();
}

}  // namespace

AllotmentShare AllotmentLedger::OnReport(const VmId& source,
                                         const UsageReport& report,
                                         const Customer& customer,
                                         MonoTime now) {
  const auto [it, is_new] = customers_.try_emplace(customer.name);
  Account& account = it->second;
  if (is_new) {
    // Nothing at first: the daemon that was responsible before may have
    // admitted a burst just now.
    account.created_at = now;
    account.updated_at = now;
  }
  Refill(account, customer, now);
  account.level -= report.admitted;
  Demand& demand = account.demands[source];
  const double per_s =
      report.offered / ToSeconds(std::max(report.interval, kMinInterval));
  const bool is_first = demand.reported_at == MonoTime();
  // A rise counts at once.
  demand.per_s =
      is_first || per_s > demand.per_s
          ? per_s
          : kReportWeight * per_s + (1 - kReportWeight) * demand.per_s;
  demand.reported_at = now;
  const double total = TotalDemand(account, now);

  AllotmentShare share;
  share.customer = customer.name;
  share.demand_part = total > 0 ? demand.per_s / total : 0;
  if (report.share_per_s && now - account.created_at < kLearningTime) {
    share.rate_per_s = report.share_per_s;
    return share;
  }
  const double left = account.level + Margin(customer);
  const double excess = total - customer.rate_per_s;
  const bool has_room = left > 0 && excess * ToSeconds(kForesight) <= left;
  account.limited_to_per_s.reset();
  if (!has_room) {
    const double rate =
        std::max(kMinRate * customer.rate_per_s,
                 customer.rate_per_s + left / ToSeconds(kSettleTime));
    account.limited_to_per_s = rate;
    share.rate_per_s = rate * share.demand_part;
  }
  return share;
}

std::vector<AllotmentShare> AllotmentLedger::Limited(std::size_t daemons,
                                                     MonoTime now) const {
  std::vector<AllotmentShare> shares;
  for (const auto& [name, account] : customers_) {
    const bool is_limited =
        account.limited_to_per_s && now - account.updated_at < kDemandLifetime;
    if (is_limited) {
      const double part =
          1 / static_cast<double>(std::max<std::size_t>(1, daemons));
      shares.push_back(
          AllotmentShare{name, *account.limited_to_per_s * part, part});
    }
  }
  return shares;
}

double AllotmentLedger::Margin(const Customer& customer) const {
  const double in_window =
      customer.rate_per_s * ToSeconds(tolerance_.window) + customer.burst;
  return kUsedTolerance * (tolerance_.part * in_window + tolerance_.slack);
}

void AllotmentLedger::Refill(Account& account, const Customer& customer,
                             MonoTime now) {
  const double added =
      customer.rate_per_s *
      std::chrono::duration<double>(now - account.updated_at).count();
  account.level = std::min(customer.burst, account.level + added);
  account.updated_at = now;
}

double AllotmentLedger::TotalDemand(Account& account, MonoTime now) {
  double total = 0;
  for (auto it = account.demands.begin(); it != account.demands.end();) {
    if (now - it->second.reported_at >= kDemandLifetime) {
      it = account.demands.erase(it);
      continue;
    }
    total += it->second.per_s;
    ++it;
  }
  return total;
}

void AllotmentLedger::Expire(MonoTime now) {
  for (auto it = customers_.begin(); it != customers_.end();) {
    it = now - it->second.updated_at >= kForgetAfter ? customers_.erase(it)
                                                     : std::next(it);
  }
}

}  // namespace cumin
