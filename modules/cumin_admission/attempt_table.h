#pragma once

#include <cstddef>
#include <deque>
#include <ostream>
#include <string>
#include <unordered_map>

#include "cumin_core/time.h"

namespace cumin {

/** What the daemon beside a target knows of one attempt. */
enum class AttemptState {
  /** Never heard of since this daemon started. */
  kUnknown,
  /** Waits for a slot; no byte has gone to the target. */
  kWaiting,
  /** Handed to the target; the outcome is open. */
  kDispatched,
  /** Handed to the target, and its end is known. */
  kEnded,
  /** Was refused or forbidden before any byte went to the target; will never
      be dispatched. */
  kForbidden,
};

/** @returns the state's name in lower case */
const char* ToString(AttemptState state);

std::ostream& operator<<(std::ostream& out, AttemptState state);

/** Every attempt of calls that must run at most once, as seen by the one daemon
    that can hand them to the target.

    An attempt is dispatched at most once, and never after it was forbidden, so
    "forbidden" is a true "not run, and never will". Memory is bounded: an entry
    is kept for a time longer than any caller waits, and the oldest go first.

    Not thread-safe.
*/
class AttemptTable {
 public:
  /** @param keep_for  how long an entry is remembered after its last change
      @param max       entries at most */
  AttemptTable(Duration keep_for, std::size_t max)
      : keep_for_(keep_for), max_(max) {}

  /** An attempt arrived.
      @returns true when it is new and may wait for a slot; false when it was
      here before, so that it must not be dispatched again */
  bool Begin(const std::string& attempt, MonoTime now);

  /** The attempt is about to be handed to the target.
      @returns false when it must not be: it was forbidden or handed over
      before */
  bool Dispatch(const std::string& attempt, MonoTime now);

  /** The attempt's end at the target is known. */
  void End(const std::string& attempt, MonoTime now);

  /** Forbids the attempt unless it has been dispatched; one that has not
      arrived yet is refused when it does.
      @returns the state after this: kForbidden, kDispatched or kEnded */
  AttemptState Forbid(const std::string& attempt, MonoTime now);

  /** @returns what is known of the attempt */
  AttemptState Find(const std::string& attempt) const;

  /** Forgets entries whose time has passed. */
  void Expire(MonoTime now);

  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    AttemptState state = AttemptState::kUnknown;
    MonoTime changed_at;
  };

  void Set(const std::string& attempt, AttemptState state, MonoTime now);
  void Drop(const std::string& attempt);

  Duration keep_for_;
  std::size_t max_;
  std::unordered_map<std::string, Entry> entries_;
  /** Attempts in the order of their arrival. */
  std::deque<std::string> order_;
};

}  // namespace cumin
