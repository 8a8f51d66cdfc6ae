#include "cumin_admission/allotment_gate.h"

#include <algorithm>
#include <iterator>

namespace cumin {

namespace {

/** Time for which a share may be saved up. */
constexpr double kShareBurstSeconds = 0.5;
constexpr double kMinShareBurst = 1;
/** Requests of a customer that a daemon admits at once before the ledger has
    answered: its part of those of kFirstSeconds, within these limits. */
constexpr double kMinFirstRequests = 2;
constexpr double kMaxFirstRequests = 4;
constexpr double kFirstSeconds = 3;
/** Requests beyond those expected that make a report early. */
constexpr double kEarlyReportMargin = 2;
constexpr double kEarlyReportFactor = 1.5;
constexpr Duration kForgetAfter = std::chrono::seconds(30);
/** Shortest and longest Retry-After; the longest is how long the demand of a
    burst typically lasts. */
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(5);

double ToSeconds(Duration length) {
  return std::chrono::duration<double>(length).count();
}

double Count(std::size_t daemons) {
  return static_cast<double>(std::max<std::size_t>(1, daemons));
}

double Capacity(const Customer& customer) {
  return std::max(1.0, customer.burst);
}

double FirstRequests(const Customer& customer, std::size_t daemons) {
  return std::min(
      Capacity(customer),
      std::clamp(kFirstSeconds * customer.rate_per_s / Count(daemons),
                 kMinFirstRequests, kMaxFirstRequests));
}

}  // namespace

AllotmentGate::Usage::Usage(const Customer& customer, std::size_t daemons,
                            MonoTime now)
    : whole(customer.rate_per_s, Capacity(customer), now),
      own(customer.rate_per_s / Count(daemons),
          FirstRequests(customer, daemons), now),
      share_per_s(customer.rate_per_s / Count(daemons)),
      rate_per_s(customer.rate_per_s),
      burst(customer.burst),
      reported_at(now) {}

AllotmentGate::Usage& AllotmentGate::UsageOf(const Customer& customer,
                                             std::size_t daemons,
                                             MonoTime now) {
  const auto [it, is_new] =
      customers_.try_emplace(customer.name, customer, daemons, now);
  Usage& usage = it->second;
  if (usage.rate_per_s != customer.rate_per_s ||
      usage.burst != customer.burst) {
    usage.rate_per_s = customer.rate_per_s;
    usage.burst = customer.burst;
    usage.whole.SetRate(customer.rate_per_s, Capacity(customer), now);
  }
  return usage;
}

std::optional<Refusal> AllotmentGate::Admit(const Customer& customer,
                                            std::size_t daemons, MonoTime now) {
  if (!customer.IsLimited()) {
    return std::nullopt;
  }
  Usage& usage = UsageOf(customer, daemons, now);
  usage.offered += 1;
  const bool is_out_of_contact =
      usage.unanswered_since &&
      now - *usage.unanswered_since >= kContactTimeout;
  if (is_out_of_contact && !usage.share_per_s) {
    SetShare(usage, usage.rate_per_s * usage.demand_part, now);
  } else if (usage.has_answer && !is_out_of_contact &&
             now - usage.share_at >= kShareLifetime) {
    usage.share_per_s.reset();
  }
  TokenBucket& bucket = usage.share_per_s ? usage.own : usage.whole;
  if (!bucket.TryTake(now)) {
    return NotRun(
        RefusalReason::kRateLimited, "the customer is above its allotment",
        std::clamp(bucket.TimeToToken(now), kMinRetryAfter, kMaxRetryAfter));
  }
  usage.admitted += 1;
  return std::nullopt;
}

void AllotmentGate::Refund(const CustomerId& customer) {
  const auto found = customers_.find(customer);
  if (found != customers_.end()) {
    found->second.admitted -= 1;
  }
}

bool AllotmentGate::IsReportDue(const Usage& usage, MonoTime now) {
  const Duration since = now - usage.reported_at;
  if (usage.offered == 0 && usage.admitted == 0) {
    // Asks again whether the ledger knows more.
    return !usage.has_answer && since >= kReportInterval / 2;
  }
  const double expected = usage.reported_per_s * ToSeconds(since);
  const bool has_risen =
      usage.offered > kEarlyReportFactor * expected + kEarlyReportMargin ||
      usage.share_per_s.has_value();
  return since >= (has_risen ? kEarlyReportInterval : kReportInterval);
}

std::vector<UsageReport> AllotmentGate::TakeReports(MonoTime now) {
  std::vector<UsageReport> reports;
  for (auto& [name, usage] : customers_) {
    if (!IsReportDue(usage, now)) {
      continue;
    }
    const Duration interval = now - usage.reported_at;
    reports.push_back(
        UsageReport{name, usage.offered, usage.admitted, usage.level});
    usage.reported_per_s = usage.offered / ToSeconds(interval);
    usage.offered = 0;
    usage.admitted = 0;
    usage.reported_at = now;
    if (!usage.unanswered_since) {
      usage.unanswered_since = now;
    }
  }
  return reports;
}

void AllotmentGate::OnShare(const AllotmentShare& share,
                            const Customer& customer, std::size_t daemons,
                            MonoTime now) {
  Usage& usage = UsageOf(customer, daemons, now);
  usage.unanswered_since.reset();
  if (share.is_unchanged) {
    usage.share_at = now;
    return;
  }
  if (!usage.has_answer && share.rate_per_s) {
    // The first share starts empty: many daemons get one at once.
    while (usage.own.TryTake(now)) {
    }
  }
  usage.has_answer = true;
  usage.demand_part = share.demand_part;
  usage.level = share.level;
  SetShare(usage, share.rate_per_s, now);
}

void AllotmentGate::SetShare(Usage& usage, std::optional<double> per_s,
                             MonoTime now) {
  if (per_s) {
    const double rate = std::max(0.0, *per_s);
    usage.own.SetRate(rate, std::max(kMinShareBurst, rate * kShareBurstSeconds),
                      now);
  }
  usage.share_per_s = per_s;
  usage.share_at = now;
}

void AllotmentGate::Expire(MonoTime now) {
  for (auto it = customers_.begin(); it != customers_.end();) {
    const bool is_idle =
        it->second.offered == 0 && now - it->second.reported_at >= kForgetAfter;
    it = is_idle ? customers_.erase(it) : std::next(it);
  }
}

}  // namespace cumin
