#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "cumin_config/config_delta.h"

namespace cumin {

/** The deltas that led a daemon to the version it holds, newest last, bounded
    by count and bytes. Brings peers that are a few versions behind up to date
    without the whole bundle.

    Not thread-safe.
*/
class RecentDeltas {
 public:
  /** @param max_count  the most deltas to keep
      @param max_bytes  the most bytes of part text to keep */
  RecentDeltas(std::size_t max_count, std::size_t max_bytes);

  /** Adds the delta to the version now held. One that does not start where the
      last one ended drops those before it. */
  void Add(ConfigDelta delta);

  /** Forgets everything, as when a whole bundle replaced the held version. */
  void Clear();

  /** @returns one delta from a peer's version to the newest, with the changes
      of all versions between merged; empty when the peer's version is not
      covered, and then it needs the whole bundle */
  std::optional<ConfigDelta> From(std::uint64_t version) const;

  /** @returns how many deltas are kept */
  std::size_t size() const { return deltas_.size(); }

 private:
  void DropOldest();

  std::size_t max_count_;
  std::size_t max_bytes_;
  std::size_t bytes_ = 0;
  std::deque<ConfigDelta> deltas_;
};

}  // namespace cumin
