#pragma once

#include <boost/intrusive/list.hpp>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "cumin_ledger/key_export.h"
#include "cumin_ledger/ledger_types.h"

namespace cumin {

/** One remembered call of a KeyTable. */
struct KeyEntry {
  using Hook = boost::intrusive::list_member_hook<
      boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

  CallKey key;
  std::uint64_t request_hash = 0;
  /** Tells this admission of the key from an earlier one. */
  std::uint64_t serial = 0;
  KeyState state = KeyState::kAdmitted;
  WallTime forget_at{};
  StoredAnswerPtr answer;
  /** Position in the order of forgetting. */
  Hook forget_hook;
  /** Position in the order of dropping answers; unlinked without an answer. */
  Hook answer_hook;
};

/** The calls that one shard remembers, bounded in number and in bytes of
    answers.

    A call that is admitted or dispatched is never forgotten. Answers are
    dropped oldest first; that the call ran is remembered on.
*/
class KeyTable {
 public:
  /** @param options  the bounds */
  explicit KeyTable(const LedgerOptions& options) : options_(options) {}
  ~KeyTable() { Clear(); }
  KeyTable(const KeyTable&) = delete;
  KeyTable& operator=(const KeyTable&) = delete;

  /** @returns the entry of a call, or null; valid until the next change */
  KeyEntry* Find(const CallKey& key);

  /** Adds a call in the state kAdmitted.
      @param attempt    the call, not in the table yet
      @param forget_at  not before that of the entry added last
      @returns the entry, or null when the table is full */
  KeyEntry* Insert(const Attempt& attempt, WallTime forget_at);

  /** Removes a call that was surely not run. */
  void Erase(const KeyEntry& entry);

  /** Marks a call as executed.
      @param entry   the call
      @param answer  its answer; null when there is none to keep */
  void SetRan(KeyEntry* entry, StoredAnswerPtr answer);

  /** Forgets the calls whose time has come. */
  void ForgetUntil(WallTime now);

  /** Removes every call. */
  void Clear();

  /** Removes the calls that were admitted and not dispatched. */
  void EraseAdmitted();

  /** @returns the calls that ran or may have run, by time of forgetting */
  std::vector<ExportedKey> Export() const;

  /** Replaces the table by exported calls, all of them. */
  void Import(const std::vector<ExportedKey>& keys);

  /** @returns how many calls are remembered */
  std::size_t size() const { return entries_.size(); }

  /** @returns the bytes of the answers kept */
  std::size_t answer_bytes() const { return answer_bytes_; }

 private:
  using ForgetOrder = boost::intrusive::list<
      KeyEntry,
      boost::intrusive::member_hook<KeyEntry, KeyEntry::Hook,
                                    &KeyEntry::forget_hook>,
      boost::intrusive::constant_time_size<false>>;
  using AnswerOrder = boost::intrusive::list<
      KeyEntry,
      boost::intrusive::member_hook<KeyEntry, KeyEntry::Hook,
                                    &KeyEntry::answer_hook>,
      boost::intrusive::constant_time_size<false>>;

  KeyEntry* Add(const CallKey& key, WallTime forget_at);
  void DropAnswer(KeyEntry* entry);

  LedgerOptions options_;
  // The entries outlive their places in the lists: members are destroyed in
  // reverse order.
  std::unordered_map<CallKey, KeyEntry, CallKeyHash> entries_;
  ForgetOrder forget_order_;
  AnswerOrder answer_order_;
  std::size_t answer_bytes_ = 0;
  std::uint64_t next_serial_ = 1;
};

}  // namespace cumin
