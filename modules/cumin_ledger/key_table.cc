#include "cumin_ledger/key_table.h"

#include <utility>

namespace cumin {

namespace {

bool IsInProgress(const KeyEntry& entry) {
  return entry.state == KeyState::kAdmitted ||
         entry.state == KeyState::kDispatched;
}

}  // namespace

KeyEntry* KeyTable::Find(const CallKey& key) {
  const auto it = entries_.find(key);
  return it == entries_.end() ? nullptr : &it->second;
}

KeyEntry* KeyTable::Insert(const Attempt& attempt, WallTime expires_at) {
  if (entries_.size() >= options_.max_keys) {
    return nullptr;
  }
  KeyEntry* entry = Add(attempt.key, expires_at);
  entry->request_hash = attempt.request_hash;
  return entry;
}

KeyEntry* KeyTable::Add(const CallKey& key, WallTime expires_at) {
  KeyEntry& entry = entries_[key];
  entry.key = key;
  entry.serial = next_serial_++;
  entry.expires_at = expires_at;
  expiry_order_.push_back(entry);
  return &entry;
}

void KeyTable::Erase(const KeyEntry& entry) {
  if (entry.answer) {
    answer_bytes_ -= entry.answer->bytes();
  }
  const CallKey key = entry.key;
  entries_.erase(key);
}

void KeyTable::SetRan(KeyEntry* entry, StoredAnswerPtr answer) {
  entry->state = KeyState::kRan;
  if (!answer || answer->bytes() > options_.max_answer_bytes) {
    return;
  }
  answer_bytes_ += answer->bytes();
  entry->answer = std::move(answer);
  answer_order_.push_back(*entry);
  while (answer_bytes_ > options_.max_answer_bytes) {
    EvictAnswer(&answer_order_.front());
  }
}

void KeyTable::EvictAnswer(KeyEntry* entry) {
  answer_bytes_ -= entry->answer->bytes();
  entry->answer.reset();
  entry->answer_hook.unlink();
}

void KeyTable::RemoveExpired(WallTime now) {
  auto it = expiry_order_.begin();
  while (it != expiry_order_.end() && it->expires_at <= now) {
    const KeyEntry& entry = *it;
    ++it;
    if (!IsInProgress(entry)) {
      Erase(entry);
    }
  }
}

void KeyTable::Clear() {
  entries_.clear();
  answer_bytes_ = 0;
}

void KeyTable::EraseAdmitted() {
  auto it = expiry_order_.begin();
  while (it != expiry_order_.end()) {
    const KeyEntry& entry = *it;
    ++it;
    if (entry.state == KeyState::kAdmitted) {
      Erase(entry);
    }
  }
}

std::vector<ExportedKey> KeyTable::Export() const {
  std::vector<ExportedKey> keys;
  for (const KeyEntry& it : expiry_order_) {
    if (it.state == KeyState::kAdmitted) {
      continue;
    }
    const KeyState state =
        it.state == KeyState::kRan ? KeyState::kRan : KeyState::kMayHaveRun;
    keys.push_back(
        ExportedKey{it.key, it.request_hash, state, it.expires_at, it.answer});
  }
  return keys;
}

void KeyTable::Import(const std::vector<ExportedKey>& keys) {
  Clear();
  for (const ExportedKey& it : keys) {
    KeyEntry* entry = Add(it.key, it.expires_at);
    entry->request_hash = it.request_hash;
    entry->state = it.state;
    if (it.state == KeyState::kRan) {
      SetRan(entry, it.answer);
    }
  }
}

}  // namespace cumin
