#include "soak/soak_judge.h"

#include <algorithm>

#include "cumin_core/stable_hash.h"

namespace cumin::test {

namespace {

/** Up to several segments, so that an answer can be cut on its way. */
constexpr std::size_t kMaxAnswerBytes = 6000;

bool SaysNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace

const char* ToString(Promise promise) {
  switch (promise) {
    case Promise::kOnce:
      return "once";
    case Promise::kRefusedNotRun:
      return "refused-not-run";
    case Promise::kWholeAnswer:
      return "whole-answer";
    case Promise::kOnlyAsked:
      return "only-asked";
    case Promise::kAnswered:
      return "answered";
    case Promise::kLeft:
      return "left";
    case Promise::kForward:
      return "forward";
    case Promise::kLives:
      return "lives";
    case Promise::kRecovers:
      return "recovers";
  }
  return "";
}

std::string SoakJudge::RequestBody(const std::string& attempt) {
  return "request of " + attempt;
}

std::string SoakJudge::AnswerBody(const std::string& attempt) {
  std::string body = "answer to " + attempt + " ";
  body.resize(body.size() + StableHash(attempt) % kMaxAnswerBytes, 'a');
  return body;
}

void SoakJudge::OnSent(const std::string& attempt, bool may_repeat, int vm,
                       MonoTime now) {
  Call call;
  call.may_repeat = may_repeat;
  call.vm = vm;
  call.sent_at = now;
  calls_[attempt] = call;
}

void SoakJudge::OnRun(const std::string& attempt, int vm,
                      const std::string& body, MonoTime now) {
  const auto found = calls_.find(attempt);
  if (found == calls_.end() || body != RequestBody(attempt)) {
    Add(Promise::kOnlyAsked, attempt);
    return;
  }
  Call& call = found->second;
  call.runs += 1;
  call.ran_at_vm = vm;
  if (!call.may_repeat && call.runs > 1) {
    Add(Promise::kOnce, attempt);
  }
  if (!call.may_repeat && call.was_refused) {
    Add(Promise::kRefusedNotRun, attempt + " ran after its refusal");
  }
  const auto left = left_.find(vm);
  const bool is_late =
      left != left_.end() && now > left->second + bounds_.leave;
  if (is_late && !WasHarmedSince(vm, left->second)) {
    Add(Promise::kLeft, attempt + " at vm" + std::to_string(vm));
  }
}

void SoakJudge::OnAnswer(const std::string& attempt, int status,
                         const std::string& body, bool has_digest) {
  Call& call = calls_[attempt];
  const bool is_success = status >= 200 && status < 300;
  if (is_success) {
    served_ += 1;
    if (!has_digest || call.runs == 0 || body != AnswerBody(attempt)) {
      Add(Promise::kWholeAnswer, attempt);
    }
    return;
  }
  if (SaysNotRun(status) && !call.may_repeat) {
    call.was_refused = true;
    if (call.runs > 0) {
      Add(Promise::kRefusedNotRun,
          attempt + " ran and was answered " + std::to_string(status));
    }
  }
}

void SoakJudge::OnClosed(const std::string& attempt, MonoTime now) {
  const Call& call = calls_[attempt];
  if (call.runs == 0 || WasHarmedSince(call.vm, call.sent_at) ||
      WasHarmedSince(call.ran_at_vm, call.sent_at)) {
    return;
  }
  Add(Promise::kAnswered,
      attempt + " closed after " +
          std::to_string(ToMillis(
              std::chrono::duration_cast<Duration>(now - call.sent_at))) +
          " ms at vm" + std::to_string(call.vm));
}

void SoakJudge::OnHarm(int vm) { harms_[vm].open += 1; }

void SoakJudge::OnHarmEnd(int vm, MonoTime now) {
  Harm& harm = harms_[vm];
  harm.open -= 1;
  harm.ended_at = now;
}

void SoakJudge::OnLeaveAcknowledged(int vm, MonoTime now) {
  left_.emplace(vm, now);
}

void SoakJudge::OnServedVersion(int vm, int boot, int version, MonoTime sent_at,
                                MonoTime now) {
  Boot& seen = boots_[vm];
  if (seen.number > boot) {
    return;
  }
  if (seen.number < boot) {
    seen = Boot{boot, 0, MonoTime{}};
  }
  if (version < seen.newest && sent_at > seen.newest_at) {
    Add(Promise::kForward, "vm" + std::to_string(vm) + " served version " +
                               std::to_string(version) + " after " +
                               std::to_string(seen.newest));
  }
  if (version > seen.newest) {
    seen.newest = version;
    seen.newest_at = now;
  }
}

void SoakJudge::Add(Promise promise, const std::string& detail) {
  broken_.push_back(BrokenPromise{promise, detail});
}

bool SoakJudge::WasHarmedSince(int vm, MonoTime since) const {
  const auto found = harms_.find(vm);
  if (found == harms_.end()) {
    return false;
  }
  return found->second.open > 0 ||
         found->second.ended_at + bounds_.contact >= since;
}

}  // namespace cumin::test
