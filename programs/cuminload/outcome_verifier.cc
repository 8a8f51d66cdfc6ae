#include "cuminload/outcome_verifier.h"

#include <algorithm>

namespace cumin::load {

namespace {

constexpr std::size_t kMaxExamples = 20;

void AddExample(const std::string& text, VerificationResult* out) {
  if (out->examples.size() < kMaxExamples) {
    out->examples.push_back(text);
  }
}

std::string NameOf(const PlannedCall& planned, const CallOutcome& outcome) {
  return planned.key.empty() ? outcome.attempts.front().request_id
                             : planned.key.str();
}

bool HasEnd(const CallOutcome& outcome, AttemptEnd end) {
  return std::any_of(outcome.attempts.begin(), outcome.attempts.end(),
                     [&](const AttemptOutcome& it) { return it.end == end; });
}

}  // namespace

bool VerificationResult::Passed() const {
  return doubled + lost + false_not_run + cut + no_answer + mismatched == 0;
}

OutcomeVerifier::OutcomeVerifier(const std::vector<RunRecord>& records) {
  const auto count = [](const RunRecord& record, Runs* runs) {
    runs->started += record.event == RunEvent::kStart ? 1 : 0;
    runs->finished += record.event == RunEvent::kFinish ? 1 : 0;
    runs->stopped += record.event == RunEvent::kCut ? 1 : 0;
  };
  Runs all;
  for (const RunRecord& it : records) {
    count(it, &all);
    count(it, &by_request_[it.request_id]);
    if (!it.key.empty()) {
      count(it, &by_key_[it.key]);
    }
  }
  const std::size_t ended = all.finished + all.stopped;
  unfinished_ = all.started - std::min(all.started, ended);
}

VerificationResult OutcomeVerifier::Verify(
    const std::vector<PlannedCall>& planned,
    const std::vector<CallOutcome>& outcomes, bool has_run_logs) const {
  VerificationResult verification;
  verification.has_run_logs = has_run_logs;
  verification.unfinished_runs = unfinished_;
  for (const CallOutcome& it : outcomes) {
    if (!it.attempts.empty()) {
      VerifyCall(planned[it.planned], it, &verification);
    }
  }
  return verification;
}

OutcomeVerifier::Runs OutcomeVerifier::RunsOfRequest(
    const std::string& request_id) const {
  const auto it = by_request_.find(request_id);
  return it == by_request_.end() ? Runs{} : it->second;
}

OutcomeVerifier::Runs OutcomeVerifier::RunsOfKey(
    const IdempotencyKey& key) const {
  const auto it = by_key_.find(key);
  return it == by_key_.end() ? Runs{} : it->second;
}

OutcomeVerifier::Runs OutcomeVerifier::RunsOfCall(
    const PlannedCall& planned, const CallOutcome& outcome) const {
  if (!planned.key.empty()) {
    return RunsOfKey(planned.key);
  }
  Runs runs;
  for (const AttemptOutcome& it : outcome.attempts) {
    const Runs more = RunsOfRequest(it.request_id);
    runs.started += more.started;
    runs.finished += more.finished;
    runs.stopped += more.stopped;
  }
  return runs;
}

void OutcomeVerifier::VerifyCall(const PlannedCall& planned,
                                 const CallOutcome& outcome,
                                 VerificationResult* out) const {
  if (HasEnd(outcome, AttemptEnd::kCut)) {
    ++out->cut;
    AddExample("cut: " + NameOf(planned, outcome), out);
  }
  if (HasEnd(outcome, AttemptEnd::kNoAnswer)) {
    ++out->no_answer;
    AddExample("no answer: " + NameOf(planned, outcome), out);
  }
  for (const AttemptOutcome& it : outcome.attempts) {
    if (it.mismatched) {
      ++out->mismatched;
      AddExample("mismatched: " + it.request_id, out);
    }
  }
  if (out->has_run_logs) {
    VerifyAttempts(outcome, out);
    VerifyAgainstRuns(planned, outcome, out);
  }
}

void OutcomeVerifier::VerifyAttempts(const CallOutcome& outcome,
                                     VerificationResult* out) const {
  for (const AttemptOutcome& it : outcome.attempts) {
    if (it.end == AttemptEnd::kNotRun &&
        RunsOfRequest(it.request_id).started > 0) {
      ++out->false_not_run;
      AddExample("started but reported as not-run: " + it.request_id, out);
    }
  }
}

void OutcomeVerifier::VerifyAgainstRuns(const PlannedCall& planned,
                                        const CallOutcome& outcome,
                                        VerificationResult* out) const {
  const Runs runs = RunsOfCall(planned, outcome);
  if (!planned.key.empty() && runs.started > 1) {
    ++out->doubled;
    AddExample("doubled: " + planned.key.str(), out);
  }
  const AttemptEnd end = outcome.End();
  if (end == AttemptEnd::kRan && runs.finished + runs.stopped == 0) {
    ++out->lost;
    AddExample("reported as ran but not executed: " + NameOf(planned, outcome),
               out);
  }
  if (end != AttemptEnd::kRan && end != AttemptEnd::kNotRun) {
    ++out->uncertain;
    out->uncertain_started += runs.started > 0 ? 1 : 0;
  }
}

}  // namespace cumin::load
