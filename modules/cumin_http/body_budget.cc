#include "cumin_http/body_budget.h"

#include <tuple>
#include <utility>

namespace cumin {

BodyBudget::Reservation::Reservation(RefPtr<BodyBudget> budget, Endpoint server,
                                     Reader& reader)
    : budget_(std::move(budget)), server_(std::move(server)), reader_(&reader) {
  budget_->reservations_.push_back(*this);
}

BodyBudget::Reservation::~Reservation() { budget_->Release(*this); }

bool BodyBudget::Reservation::Resize(std::size_t n) {
  BodyBudget& budget = *budget_;
  budget.total_bytes_ += n - bytes_;
  bytes_ = n;
  while (budget.total_bytes_ > budget.max_bytes_) {
    Reservation* const victim = budget.ChooseVictim();
    if (victim == nullptr) {
      return true;
    }
    budget.Release(*victim);
    Reader* const reader = std::exchange(victim->reader_, nullptr);
    if (victim == this) {
      return false;
    }
    reader->OnBodyAborted();
  }
  return true;
}

BodyBudget::Reservation* BodyBudget::ChooseVictim() {
  Reservation* victim = nullptr;
  std::size_t victim_server_bytes = 0;
  for (Reservation& it : reservations_) {
    if (!it.IsAbortable()) {
      continue;
    }
    const std::size_t server_bytes = BytesOf(it.server_);
    if (victim == nullptr ||
        std::tie(server_bytes, it.bytes_) >
            std::tie(victim_server_bytes, victim->bytes_)) {
      victim = &it;
      victim_server_bytes = server_bytes;
    }
  }
  return victim;
}

std::size_t BodyBudget::BytesOf(const Endpoint& server) const {
  std::size_t n = 0;
  for (const Reservation& it : reservations_) {
    n += it.server_ == server ? it.bytes_ : 0;
  }
  return n;
}

void BodyBudget::Release(Reservation& reservation) {
  total_bytes_ -= std::exchange(reservation.bytes_, 0);
}

}  // namespace cumin
