#pragma once

#include <optional>
#include <string>

#include "cumin_core/time.h"

namespace cumin {

/** How long a call may still take; passed on from daemon to daemon as a length,
    since clocks differ between VMs. */
class CallDeadline {
 public:
  /** The deadline of an arriving call.
      @param granted  the contract's limit for the operation
      @param header   value of the Cumin-Deadline-Ms header, or empty; text that
                      is no number counts as none
      @param now      when the call arrived */
  CallDeadline(Duration granted, const std::string& header, MonoTime now);

  MonoTime at() const { return at_; }

  /** @returns the time left, at least zero */
  Duration Remaining(MonoTime now) const;

  /** @returns true when there is not even time for the way to a target */
  bool IsExpired(MonoTime now) const;

  /** @returns the header for the next hop: the time left less a margin for the
      answer's way back; nothing when none would be left */
  std::optional<std::string> NextHopHeader(MonoTime now) const;

 private:
  MonoTime at_;
};

}  // namespace cumin
