#include "cumin_admission/announcement_tracker.h"

#include "cumin_core/stable_hash.h"

namespace cumin {

namespace {

Withdrawal WithdrawalOf(const TargetAnnouncement& report) {
  return Withdrawal{StableHash(report.instance), report.process_started_at};
}

}  // namespace

AnnouncementOutcome AnnouncementTracker::Take(const TargetAnnouncement& report,
                                              MonoTime now) {
  const bool is_known = last_ && last_->instance == report.instance &&
                        last_->process_started_at == report.process_started_at;
  if (!is_known) {
    const bool is_replaced =
        last_ && report.process_started_at <= last_->process_started_at;
    if (is_replaced || WasWithdrawn(report)) {
      return AnnouncementOutcome::kStale;
    }
    last_ = report;
    received_at_ = now;
    if (report.leaving) {
      LearnWithdrawal(WithdrawalOf(report));
    }
    return AnnouncementOutcome::kNewTarget;
  }
  if (report.sequence <= last_->sequence) {
    return AnnouncementOutcome::kStale;
  }
  const bool was_leaving = last_->leaving;
  last_ = report;
  last_->leaving = was_leaving || report.leaving;
  received_at_ = now;
  if (last_->leaving) {
    LearnWithdrawal(WithdrawalOf(report));
  }
  return AnnouncementOutcome::kUpdated;
}

bool AnnouncementTracker::Withdraw(const std::string& instance, WallTime now) {
  if (!last_ || last_->instance != instance) {
    LearnWithdrawal(Withdrawal{StableHash(instance), now});
    return false;
  }
  LearnWithdrawal(WithdrawalOf(*last_));
  last_->leaving = true;
  return true;
}

void AnnouncementTracker::LearnWithdrawal(const Withdrawal& learned) {
  if (!withdrawal_ || *withdrawal_ < learned) {
    withdrawal_ = learned;
  }
  if (last_ && WasWithdrawn(*last_)) {
    last_->leaving = true;
  }
}

bool AnnouncementTracker::WasWithdrawn(const TargetAnnouncement& report) const {
  return withdrawal_ && withdrawal_->instance == StableHash(report.instance) &&
         report.process_started_at <= withdrawal_->started_through;
}

bool AnnouncementTracker::IsReady(MonoTime now) const {
  return last_ && !last_->leaving && last_->slots > 0 &&
         now - received_at_ < report_timeout_ && IsHistoryKnown(now);
}

}  // namespace cumin
