#pragma once

#include <cstddef>
#include <deque>
#include <ostream>
#include <string>
#include <unordered_map>

#include "cumin_core/time.h"

namespace cumin {

/** State of an attempt as known to the daemon beside the target. */
enum class AttemptState {
  /** Not seen since this daemon started. */
  kUnknown,
  /** Waits for a slot; nothing has been sent to the target. */
  kWaiting,
  /** Sent to the target; the outcome is not known yet. */
  kDispatched,
  /** Sent to the target; the outcome is known. */
  kEnded,
  /** Refused or forbidden before anything was sent to the target; will never be
      dispatched. */
  kForbidden,
};

/** @returns the state's name in lower case */
const char* ToString(AttemptState state);

std::ostream& operator<<(std::ostream& out, AttemptState state);

/** Attempts of at-most-once calls, kept by the only daemon that can send them
    to the target.

    An attempt is dispatched at most once, and never after it was forbidden, so
    that kForbidden guarantees that the attempt has not run and never will.
    Memory is bounded: entries are kept for longer than any caller waits, and
    the oldest are removed first.

    Not thread-safe.
*/
class AttemptTable {
 public:
  /** @param retention    how long an entry is kept after its last change
      @param max_entries  maximum number of entries */
  AttemptTable(Duration retention, std::size_t max_entries)
      : retention_(retention), max_entries_(max_entries) {}

  /** Registers an attempt that has arrived.
      @returns true if it is new and may wait for a slot; false if it is already
      known and must not be dispatched again */
  bool Begin(const std::string& attempt, MonoTime now);

  /** Marks the attempt as dispatched; called before it is sent to the target.
      @returns false if it must not be sent because it was forbidden or already
      dispatched */
  bool Dispatch(const std::string& attempt, MonoTime now);

  /** Records that the outcome of a dispatched attempt is known. */
  void End(const std::string& attempt, MonoTime now);

  /** Forbids the attempt unless it has been dispatched. An attempt that has not
      arrived yet will be refused on arrival.
      @returns the resulting state: kForbidden, kDispatched or kEnded */
  AttemptState Forbid(const std::string& attempt, MonoTime now);

  AttemptState Find(const std::string& attempt) const;

  /** Removes expired entries from the oldest on, up to one that is still
      dispatched or valid. */
  void Expire(MonoTime now);

  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    AttemptState state = AttemptState::kUnknown;
    MonoTime changed_at;
  };

  void Set(const std::string& attempt, AttemptState state, MonoTime now);
  void Drop(const std::string& attempt);

  Duration retention_;
  std::size_t max_entries_;
  std::unordered_map<std::string, Entry> entries_;
  /** Attempts in order of insertion. */
  std::deque<std::string> order_;
};

}  // namespace cumin
