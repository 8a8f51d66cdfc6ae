#include "cumin_admission/attempt_table.h"

namespace cumin {

const char* ToString(AttemptState state) {
  switch (state) {
    case AttemptState::kUnknown:
      return "unknown";
    case AttemptState::kWaiting:
      return "waiting";
    case AttemptState::kDispatched:
      return "dispatched";
    case AttemptState::kEnded:
      return "ended";
    case AttemptState::kForbidden:
      return "forbidden";
  }
  return "unknown";
}

std::ostream& operator<<(std::ostream& out, AttemptState state) {
  return out << ToString(state);
}

bool AttemptTable::Begin(const std::string& attempt, MonoTime now) {
  if (Find(attempt) != AttemptState::kUnknown) {
    return false;
  }
  Set(attempt, AttemptState::kWaiting, now);
  return true;
}

bool AttemptTable::Dispatch(const std::string& attempt, MonoTime now) {
  if (Find(attempt) != AttemptState::kWaiting) {
    return false;
  }
  Set(attempt, AttemptState::kDispatched, now);
  return true;
}

void AttemptTable::End(const std::string& attempt, MonoTime now) {
  if (Find(attempt) == AttemptState::kDispatched) {
    Set(attempt, AttemptState::kEnded, now);
  }
}

AttemptState AttemptTable::Forbid(const std::string& attempt, MonoTime now) {
  const AttemptState state = Find(attempt);
  if (state == AttemptState::kDispatched || state == AttemptState::kEnded) {
    return state;
  }
  Set(attempt, AttemptState::kForbidden, now);
  return AttemptState::kForbidden;
}

AttemptState AttemptTable::Find(const std::string& attempt) const {
  const auto it = entries_.find(attempt);
  return it == entries_.end() ? AttemptState::kUnknown : it->second.state;
}

void AttemptTable::Expire(MonoTime now) {
  while (!order_.empty()) {
    const auto it = entries_.find(order_.front());
    const bool is_dispatched =
        it != entries_.end() && it->second.state == AttemptState::kDispatched;
    if (is_dispatched ||
        (it != entries_.end() && now - it->second.changed_at < retention_)) {
      return;
    }
    Drop(order_.front());
  }
}

void AttemptTable::Set(const std::string& attempt, AttemptState state,
                       MonoTime now) {
  const auto [it, is_new] = entries_.try_emplace(attempt);
  it->second = Entry{state, now};
  if (!is_new) {
    return;
  }
  order_.push_back(attempt);
  if (order_.size() > max_entries_) {
    Drop(order_.front());
  }
}

void AttemptTable::Drop(const std::string& attempt) {
  entries_.erase(attempt);
  order_.pop_front();
}

}  // namespace cumin
