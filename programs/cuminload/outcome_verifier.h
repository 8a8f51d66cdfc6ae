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

/** Discrepancies between the results that callers received and the runs that
    targets logged. */
struct VerificationResult {
  /** At-most-once calls that targets started more than once. */
  std::size_t doubled = 0;
  /** Calls reported as ran that no target finished or stopped. */
  std::size_t lost = 0;
  /** Attempts reported as not-run that a target started. */
  std::size_t false_not_run = 0;
  /** Calls of which any attempt ended with a broken connection or a truncated
      response. */
  std::size_t cut = 0;
  /** Calls of which any attempt had no response until after the deadline. */
  std::size_t no_answer = 0;
  /** Attempts that received the response of another call. */
  std::size_t mismatched = 0;
  /** Runs that were started and neither finished nor stopped. */
  std::size_t unfinished_runs = 0;
  /** Calls whose execution the caller cannot determine, and how many of these
      targets started. */
  std::size_t uncertain = 0;
  std::size_t uncertain_started = 0;
  /** False when there were no run logs, so that only the callers' observations
      are verified. */
  bool has_run_logs = false;
  /** Keys and request ids of the first discrepancies. */
  std::vector<std::string> examples;

  /** @returns true when doubled, lost, false_not_run, cut, no_answer and
      mismatched are all zero */
  bool Passed() const;
};

/** Verifies callers' outcomes against the targets' run logs. */
class OutcomeVerifier {
 public:
  /** @param records  the records of all targets' run logs, in any order */
  explicit OutcomeVerifier(const std::vector<RunRecord>& records);
  virtual ~OutcomeVerifier() = default;

  /** @param planned       the plan
      @param outcomes      one for each planned call
      @param has_run_logs  whether the records are complete */
  VerificationResult Verify(const std::vector<PlannedCall>& planned,
                            const std::vector<CallOutcome>& outcomes,
                            bool has_run_logs) const;

 protected:
  /** Number of starts, completions and aborts of a call. */
  struct Runs {
    std::size_t started = 0;
    std::size_t finished = 0;
    std::size_t stopped = 0;
  };

  /** @returns the runs of one attempt; an idempotent call may have several */
  Runs RunsOfRequest(const std::string& request_id) const;
  /** @returns the runs of a key over all its attempts */
  virtual Runs RunsOfKey(const IdempotencyKey& key) const;

 private:
  Runs RunsOfCall(const PlannedCall& planned, const CallOutcome& outcome) const;
  void VerifyCall(const PlannedCall& planned, const CallOutcome& outcome,
                  VerificationResult* out) const;
  void VerifyAttempts(const CallOutcome& outcome,
                      VerificationResult* out) const;
  void VerifyAgainstRuns(const PlannedCall& planned, const CallOutcome& outcome,
                         VerificationResult* out) const;

  std::map<std::string, Runs> by_request_;
  std::map<IdempotencyKey, Runs> by_key_;
  std::size_t unfinished_ = 0;
};

}  // namespace cumin::load
