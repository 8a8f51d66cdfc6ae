#include "cumin_admission/link_budget.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace cumin {

namespace {

/** Fraction of the link's bandwidth available to answers. The rest is left for
    traffic that is not accounted for: packet headers, handshakes,
    acknowledgements. */
constexpr double kAnswerFraction = 0.85;
constexpr double kBytesPerMegabit = 1e6 / 8;
constexpr double kMicrosPerSecond = 1e6;
/** On fast links, a turn lasts at least this long to limit the overhead of
    scheduling. */
constexpr Duration kMinTurn = std::chrono::milliseconds(5);
/** Weight of the newest answer in the moving average of the size. */
constexpr double kSampleWeight = 0.1;
/** Maximum number of operations with a size estimate. */
constexpr std::size_t kMaxOperations = 256;
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(50);

}  // namespace

LinkBudget::LinkBudget(double megabits_per_s)
    : bytes_per_us_(megabits_per_s * kBytesPerMegabit * kAnswerFraction /
                    kMicrosPerSecond),
      turn_bytes_(std::max(
          kLargeAnswerBytes,
          static_cast<std::size_t>(bytes_per_us_ *
                                   static_cast<double>(kMinTurn.count())))) {}

std::optional<Refusal> LinkBudget::Admit(LinkTransfer& transfer,
                                         std::size_t default_bytes,
                                         MonoTime ready_at, MonoTime now) {
  const auto known = sizes_.find(transfer.operation);
  const std::size_t n = known == sizes_.end()
                            ? default_bytes
                            : static_cast<std::size_t>(known->second);
  if (!is_limited() || n <= kLargeAnswerBytes) {
    return std::nullopt;
  }
  const std::size_t before = BytesBefore(transfer.priority);
  const MonoTime drained = std::max(free_at_, now) + SendTime(before);
  const MonoTime end = std::max(drained, ready_at) + SendTime(n);
  transfer.is_late = end > transfer.wanted_by;
  // An idle link admits any call: the next answer may be smaller than expected.
  const bool is_refused = before > 0 && (end > transfer.deadline ||
                                         (transfer.is_late && HasLate()));
  if (is_refused) {
    const MonoTime limit =
        std::max(now, std::min(transfer.wanted_by, transfer.deadline));
    const auto excess = std::chrono::duration_cast<Duration>(end - limit);
    return NotRun(RefusalReason::kShed,
                  "the link cannot send the answer before the deadline",
                  std::max(kMinRetryAfter, excess));
  }
  transfer.bytes_left = n;
  transfers_.push_back(transfer);
  return std::nullopt;
}

void LinkBudget::OnAnswer(LinkTransfer& transfer, std::size_t n) {
  AddSizeSample(transfer.operation, n);
  transfer.bytes_left = n;
  if (is_limited() && !transfer.is_linked()) {
    transfers_.push_back(transfer);
  }
}

void LinkBudget::AwaitTurn(LinkTransfer& transfer) {
  transfer.is_waiting = true;
}

LinkTransfer* LinkBudget::TakeTurn(MonoTime now, std::size_t* n) {
  if (now < free_at_) {
    return nullptr;
  }
  LinkTransfer* next = nullptr;
  for (LinkTransfer& it : transfers_) {
    if (!it.is_waiting) {
      continue;
    }
    const bool goes_before =
        next == nullptr ||
        std::tie(it.priority, it.is_late, it.wanted_by) <
            std::tie(next->priority, next->is_late, next->wanted_by);
    if (goes_before) {
      next = &it;
    }
  }
  if (next == nullptr) {
    return nullptr;
  }
  next->is_waiting = false;
  const auto min_send_time = std::chrono::duration_cast<Duration>(
      SendTime(next->bytes_left) * kAnswerFraction);
  if (now + min_send_time > next->deadline) {
    *n = 0;
    return next;
  }
  *n = std::min(turn_bytes_, next->bytes_left);
  next->bytes_left -= *n;
  Charge(*n, now);
  return next;
}

bool LinkBudget::HasWaiting() const {
  return std::any_of(transfers_.begin(), transfers_.end(),
                     [](const LinkTransfer& it) { return it.is_waiting; });
}

void LinkBudget::Charge(std::size_t n, MonoTime now) {
  free_at_ = std::max(free_at_, now) + SendTime(n);
}

Duration LinkBudget::Wait(MonoTime now) const {
  const auto busy =
      std::chrono::duration_cast<Duration>(std::max(free_at_, now) - now);
  return busy + SendTime(BytesBefore(std::numeric_limits<int>::max()));
}

Duration LinkBudget::SendTime(std::size_t n) const {
  if (!is_limited()) {
    return Duration::zero();
  }
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(n) / bytes_per_us_));
}

std::size_t LinkBudget::BytesBefore(int priority) const {
  std::size_t n = 0;
  for (const LinkTransfer& it : transfers_) {
    n += it.priority <= priority ? it.bytes_left : 0;
  }
  return n;
}

bool LinkBudget::HasLate() const {
  return std::any_of(transfers_.begin(), transfers_.end(),
                     [](const LinkTransfer& it) { return it.is_late; });
}

void LinkBudget::AddSizeSample(const std::string& operation, std::size_t n) {
  const auto known = sizes_.find(operation);
  const auto sample = static_cast<double>(n);
  if (known != sizes_.end()) {
    known->second += kSampleWeight * (sample - known->second);
  } else if (sizes_.size() < kMaxOperations) {
    sizes_.emplace(operation, sample);
  }
}

}  // namespace cumin
