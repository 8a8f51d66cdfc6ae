#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cuminload/arrival_schedule.h"
#include "cuminload/call_outcome.h"
#include "cuminload/run_record.h"

namespace cumin::load {

/** Where what callers were told differs from what targets ran. */
struct Judgement {
  /** At-most-once calls that were started twice or more. */
  std::size_t doubled = 0;
  /** Calls answered as run that no target finished. */
  std::size_t lost = 0;
  /** Attempts answered as not run that a target started. */
  std::size_t false_not_run = 0;
  /** Calls whose connection broke or whose answer was cut short, in any
      attempt. */
  std::size_t cut = 0;
  /** Calls without an answer until after their deadline, in any attempt. */
  std::size_t no_answer = 0;
  /** Attempts answered with the answer of another call. */
  std::size_t mismatched = 0;
  /** Runs that were started and neither finished nor stopped. */
  std::size_t unfinished_runs = 0;
  /** Calls that ended as may-have-run, and how many of these were started. */
  std::size_t uncertain = 0;
  std::size_t uncertain_started = 0;
  /** False when there were no run logs, so that only what callers saw is
      judged. */
  bool has_run_logs = false;
  /** Keys and request ids of the first findings. */
  std::vector<std::string> examples;

  /** @returns true when nothing was doubled, lost, cut, left without an
      answer, answered wrongly or falsely called not run */
  bool Passed() const;
};

/** Compares callers' outcomes with targets' run logs. */
class RunJudge {
 public:
  /** @param records  the lines of every target's run log, in any order between
                      targets */
  explicit RunJudge(const std::vector<RunRecord>& records);
  virtual ~RunJudge() = default;

  /** @param planned       the plan
      @param outcomes      one for each planned call
      @param has_run_logs  whether the records are complete */
  Judgement Judge(const std::vector<PlannedCall>& planned,
                  const std::vector<CallOutcome>& outcomes,
                  bool has_run_logs) const;

 protected:
  /** How often a call was started and finished. */
  struct Runs {
    std::size_t started = 0;
    std::size_t finished = 0;
    std::size_t stopped = 0;
  };

  /** @returns the runs of an attempt, which idempotent calls may have many of
   */
  Runs RunsOfRequest(const std::string& request_id) const;
  /** @returns the runs of a key, over all its attempts */
  virtual Runs RunsOfKey(const IdempotencyKey& key) const;

 private:
  Runs RunsOfCall(const PlannedCall& planned, const CallOutcome& outcome) const;
  void JudgeCall(const PlannedCall& planned, const CallOutcome& outcome,
                 Judgement* out) const;
  void JudgeAttempts(const CallOutcome& outcome, Judgement* out) const;
  void JudgeAgainstRuns(const PlannedCall& planned, const CallOutcome& outcome,
                        Judgement* out) const;

  std::map<std::string, Runs> by_request_;
  std::map<IdempotencyKey, Runs> by_key_;
  std::size_t unfinished_ = 0;
};

}  // namespace cumin::load
