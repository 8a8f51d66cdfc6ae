#include "cumin_admission/target_runs.h"

#include <iterator>

namespace cumin {

namespace {

/** Bounds the memory while a target answers nothing; the oldest go first. */
constexpr std::size_t kMaxRuns = 4096;

}  // namespace

TargetRuns::RunId TargetRuns::Begin(const InFlightRequest& request,
                                    MonoTime now) {
  if (runs_.size() >= kMaxRuns) {
    runs_.erase(runs_.begin());
  }
  const RunId run = next_run_++;
  runs_[run] = Run{request, now, false, MonoTime()};
  return run;
}

void TargetRuns::EndAnswered(RunId run) { runs_.erase(run); }

bool TargetRuns::EndUnanswered(RunId run, MonoTime now) {
  const auto it = runs_.find(run);
  if (it == runs_.end()) {
    return false;
  }
  it->second.has_ended = true;
  it->second.ended_at = now;
  return true;
}

std::vector<InFlightRequest> TargetRuns::TakeUnanswered(MonoTime lost_at,
                                                        Duration within) {
  std::vector<InFlightRequest> requests;
  for (auto it = runs_.begin(); it != runs_.end();) {
    const Run& run = it->second;
    if (run.began_at > lost_at) {
      ++it;
      continue;
    }
    if (!run.has_ended || lost_at - run.ended_at <= within) {
      requests.push_back(run.request);
    }
    it = runs_.erase(it);
  }
  return requests;
}

void TargetRuns::Expire(MonoTime now) {
  for (auto it = runs_.begin(); it != runs_.end();) {
    const bool is_old =
        it->second.has_ended && now - it->second.ended_at > kept_for_;
    it = is_old ? runs_.erase(it) : std::next(it);
  }
}

}  // namespace cumin
