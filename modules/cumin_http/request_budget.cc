#include "cumin_http/request_budget.h"

#include <algorithm>
#include <utility>

namespace cumin {

namespace {

bool IsLarge(std::size_t n) { return n > RequestBudget::kGuaranteedBytes; }

}  // namespace

RequestBudget::Reservation::Reservation(RefPtr<RequestBudget> budget,
                                        Owner* owner, Origin origin)
    : budget_(std::move(budget)), owner_(owner), origin_(origin) {
  if (budget_) {
    budget_->reservations_.push_back(*this);
    budget_->connections_.at(Index(origin_)) += 1;
  }
}

RequestBudget::Reservation::~Reservation() {
  if (budget_) {
    budget_->SetBytes(*this, 0);
    budget_->connections_.at(Index(origin_)) -= 1;
  }
}

bool RequestBudget::Reservation::Admit(MonoTime now) {
  if (!budget_ || budget_->connections(origin_) <=
                      budget_->max_connections_.at(Index(origin_))) {
    return true;
  }
  Reservation* const victim = budget_->ChooseLongestWaiting(*this, now);
  if (victim == nullptr) {
    return false;
  }
  budget_->Evict(*victim);
  return true;
}

bool RequestBudget::Reservation::Resize(std::size_t n, MonoTime now) {
  if (!budget_) {
    return true;
  }
  while (!budget_->Fits(*this, n)) {
    Reservation* const victim = budget_->ChooseVictim(*this, n, now);
    if (victim == nullptr) {
      return false;
    }
    budget_->Evict(*victim);
  }
  budget_->SetBytes(*this, n);
  return true;
}

void RequestBudget::Reservation::Await(MonoTime now) {
  is_awaited_ = true;
  progress_at_ = now;
}

void RequestBudget::SetMaxConnections(Origin origin, std::size_t n) {
  max_connections_.at(Index(origin)) = n;
}

bool RequestBudget::Fits(const Reservation& reservation, std::size_t n) const {
  const std::size_t held = reservation.bytes_;
  if (n <= held) {
    return true;
  }
  if (!IsLarge(n)) {
    return small_bytes_ - held + n <= max_bytes_ / 2;
  }
  const std::size_t others = large_bytes_ - (IsLarge(held) ? held : 0);
  return others == 0 || others + n <= max_bytes_;
}

RequestBudget::Reservation* RequestBudget::ChooseVictim(
    const Reservation& reservation, std::size_t n, MonoTime now) {
  Reservation* victim = nullptr;
  double victim_weight = 0;
  for (Reservation& it : reservations_) {
    const Duration stalled = now - it.progress_at_;
    const bool is_candidate = &it != &reservation && it.IsEvictable() &&
                              it.bytes_ > 0 &&
                              IsLarge(it.bytes_) == IsLarge(n) &&
                              (!IsLarge(n) || stalled >= kStallTime);
    // Without progress for one microsecond at least, so that of several that
    // have just sent something the largest one is chosen.
    const double weight =
        static_cast<double>(it.bytes_) *
        static_cast<double>(std::max<Duration::rep>(1, stalled.count()));
    if (is_candidate && weight > victim_weight) {
      victim = &it;
      victim_weight = weight;
    }
  }
  return victim;
}

RequestBudget::Reservation* RequestBudget::ChooseLongestWaiting(
    const Reservation& except, MonoTime now) {
  Reservation* victim = nullptr;
  Duration longest{-1};
  for (Reservation& it : reservations_) {
    const Duration waiting = now - it.progress_at_;
    if (&it != &except && it.origin_ == except.origin_ && it.IsEvictable() &&
        waiting > longest) {
      victim = &it;
      longest = waiting;
    }
  }
  return victim;
}

void RequestBudget::Evict(Reservation& victim) {
  evicted_ += 1;
  SetBytes(victim, 0);
  std::exchange(victim.owner_, nullptr)->OnEvicted();
}

void RequestBudget::SetBytes(Reservation& reservation, std::size_t n) {
  const std::size_t held = std::exchange(reservation.bytes_, n);
  (IsLarge(held) ? large_bytes_ : small_bytes_) -= held;
  (IsLarge(n) ? large_bytes_ : small_bytes_) += n;
}

}  // namespace cumin
