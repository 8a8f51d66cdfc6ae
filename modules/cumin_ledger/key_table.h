#pragma once

#include <boost/intrusive/list.hpp>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "cumin_ledger/key_export.h"
#include "cumin_ledger/ledger_types.h"

namespace cumin {

/** One call in a KeyTable. */
struct KeyEntry {
  using Hook = boost::intrusive::list_member_hook<
      boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

  CallKey key;
  std::uint64_t request_hash = 0;
  /** Distinguishes this admission of the key from earlier ones. */
  std::uint64_t serial = 0;
  KeyState state = KeyState::kAdmitted;
  WallTime expires_at{};
  StoredAnswerPtr answer;
  /** Position in the expiry order. */
  Hook expiry_hook;
  /** Position in the order of answer eviction; unlinked when no answer is
      stored. */
  Hook answer_hook;
};

/** Idempotency keys of one shard, bounded in number and in total answer size.

    A call that is admitted or dispatched never expires. When the answers exceed
    their limit, the oldest are evicted; the call stays recorded as executed.
*/
class KeyTable {
 public:
  /** @param options  size limits */
  explicit KeyTable(const LedgerOptions& options) : options_(options) {}
  ~KeyTable() { Clear(); }
  KeyTable(const KeyTable&) = delete;
  KeyTable& operator=(const KeyTable&) = delete;

  /** @returns the entry of a call, or null; valid until the next
      modification of the table */
  KeyEntry* Find(const CallKey& key);

  /** Adds a call in the state kAdmitted.
      @param attempt     the call, not in the table yet
      @param expires_at  not earlier than that of the previous Insert()
      @returns the entry, or null when the table is full */
  KeyEntry* Insert(const Attempt& attempt, WallTime expires_at);

  /** Removes a call; used for calls that certainly did not run. */
  void Erase(const KeyEntry& entry);

  /** Marks a call as executed.
      @param entry   the call
      @param answer  its answer; null to store none */
  void SetRan(KeyEntry* entry, StoredAnswerPtr answer);

  /** Removes the calls that expired by this time. */
  void RemoveExpired(WallTime now);

  void Clear();

  /** Removes the calls that are admitted but not dispatched. */
  void EraseAdmitted();

  /** @returns the calls that ran or may have run, in order of expiry */
  std::vector<ExportedKey> Export() const;

  /** Replaces the contents with the exported calls; `max_keys` is not
      applied. */
  void Import(const std::vector<ExportedKey>& keys);

  /** @returns the number of calls */
  std::size_t size() const { return entries_.size(); }

  /** @returns the total size of the stored answers in bytes */
  std::size_t answer_bytes() const { return answer_bytes_; }

 private:
  using ExpiryOrder = boost::intrusive::list<
      KeyEntry,
      boost::intrusive::member_hook<KeyEntry, KeyEntry::Hook,
                                    &KeyEntry::expiry_hook>,
      boost::intrusive::constant_time_size<false>>;
  using AnswerOrder = boost::intrusive::list<
      KeyEntry,
      boost::intrusive::member_hook<KeyEntry, KeyEntry::Hook,
                                    &KeyEntry::answer_hook>,
      boost::intrusive::constant_time_size<false>>;

  KeyEntry* Add(const CallKey& key, WallTime expires_at);
  void EvictAnswer(KeyEntry* entry);

  LedgerOptions options_;
  // Declared before the lists so that it is destroyed after them: the entries
  // hold the list hooks.
  std::unordered_map<CallKey, KeyEntry, CallKeyHash> entries_;
  ExpiryOrder expiry_order_;
  AnswerOrder answer_order_;
  std::size_t answer_bytes_ = 0;
  std::uint64_t next_serial_ = 1;
};

}  // namespace cumin
