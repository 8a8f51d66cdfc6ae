#include "cumin_admission/announcement_tracker.h"

namespace cumin {

AnnouncementOutcome AnnouncementTracker::Take(const TargetAnnouncement& report,
                                              MonoTime now) {
  const bool is_known = last_ && last_->instance == report.instance &&
                        last_->process_started_at == report.process_started_at;
  const bool was_withdrawn = report.instance == withdrawn_instance_ &&
                             report.process_started_at <= withdrawn_at_;
  if (was_withdrawn) {
    return AnnouncementOutcome::kStale;
  }
  if (!is_known) {
    if (last_ && report.process_started_at <= last_->process_started_at) {
      return AnnouncementOutcome::kStale;
    }
    last_ = report;
    received_at_ = now;
    return AnnouncementOutcome::kNewTarget;
  }
  if (report.sequence <= last_->sequence) {
    return AnnouncementOutcome::kStale;
  }
  const bool was_leaving = last_->leaving;
  last_ = report;
  last_->leaving = was_leaving || report.leaving;
  received_at_ = now;
  return AnnouncementOutcome::kUpdated;
}

bool AnnouncementTracker::Withdraw(const std::string& instance, WallTime now) {
  if (!last_ || last_->instance != instance) {
    withdrawn_instance_ = instance;
    withdrawn_at_ = now;
    return false;
  }
  last_->leaving = true;
  return true;
}

bool AnnouncementTracker::IsReady(MonoTime now) const {
  return last_ && !last_->leaving && last_->slots > 0 &&
         now - received_at_ < report_timeout_;
}

}  // namespace cumin
