#include "cumin_admission/allotment_ledger.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace cumin {

namespace {

/** Part of the tolerance that is used; the rest is for requests that are not
    reported yet. */
constexpr double kUsedTolerance = 0.3;
/** Part of the rate that is given out even while the ledger takes back. */
constexpr double kMinRate = 0.5;
/** Requests of this time are not reported yet. */
constexpr Duration kReportLag = std::chrono::milliseconds(350);
/** Time constants of a customer's demand, and of the daemons' parts in it. */
constexpr Duration kDemandTime = std::chrono::seconds(1);
constexpr Duration kPartTime = std::chrono::seconds(3);
/** Recent requests of a daemon below which it is forgotten. */
constexpr double kNegligible = 0.01;
constexpr Duration kForgetAfter = std::chrono::seconds(30);

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
    // Without a burst of its own: the daemon that was responsible before may
    // have admitted one just now.
    account.level = std::min(0.0, report.level);
    account.created_at = now;
    account.updated_at = now;
  }
  Refill(account, customer, now);
  account.level -= report.admitted;
  account.offered.Add(report.offered, kDemandTime, now);
  account.demands[source].Add(report.offered, kPartTime, now);
  const double total =
      account.offered.At(kDemandTime, now) / ToSeconds(kDemandTime);

  AllotmentShare share;
  share.customer = customer.name;
  share.demand_part = PartOf(account, source, now);
  share.level = account.level;
  if (now - account.created_at < kLearningTime) {
    share.is_unchanged = true;
    return share;
  }
  const double left =
      account.level + Margin(customer) - total * ToSeconds(kReportLag);
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

bool AllotmentLedger::IsLimited(const CustomerId& customer) const {
  const auto found = customers_.find(customer);
  return found != customers_.end() && found->second.limited_to_per_s;
}

std::vector<std::pair<VmId, AllotmentShare>> AllotmentLedger::SharesOf(
    const CustomerId& customer, MonoTime now) const {
  std::vector<std::pair<VmId, AllotmentShare>> shares;
  const auto found = customers_.find(customer);
  if (found == customers_.end() || !found->second.limited_to_per_s) {
    return shares;
  }
  for (const auto& [vm, demand] : found->second.demands) {
    const double part = PartOf(found->second, vm, now);
    shares.emplace_back(
        vm, AllotmentShare{customer, *found->second.limited_to_per_s * part,
                           part, found->second.level});
  }
  return shares;
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
      shares.push_back(AllotmentShare{name, *account.limited_to_per_s * part,
                                      part, account.level});
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

void AllotmentLedger::Recent::Add(int n, Duration time, MonoTime now) {
  sum_ = At(time, now) + n;
  updated_at_ = now;
}

double AllotmentLedger::Recent::At(Duration time, MonoTime now) const {
  return sum_ * std::exp(-std::chrono::duration<double>(now - updated_at_) /
                         std::chrono::duration<double>(time));
}

double AllotmentLedger::PartOf(const Account& account, const VmId& source,
                               MonoTime now) {
  double total = 0;
  double own = 0;
  for (const auto& [vm, demand] : account.demands) {
    const double recent = demand.At(kPartTime, now);
    total += recent;
    own += vm == source ? recent : 0;
  }
  return total > 0 ? own / total : 0;
}

void AllotmentLedger::Expire(MonoTime now) {
  for (auto it = customers_.begin(); it != customers_.end();) {
    if (now - it->second.updated_at >= kForgetAfter) {
      it = customers_.erase(it);
      continue;
    }
    auto& demands = it->second.demands;
    for (auto demand = demands.begin(); demand != demands.end();) {
      demand = demand->second.At(kPartTime, now) < kNegligible
                   ? demands.erase(demand)
                   : std::next(demand);
    }
    ++it;
  }
}

}  // namespace cumin
