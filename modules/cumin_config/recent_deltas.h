#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "cumin_config/config_delta.h"

namespace cumin {

/** The most recent deltas up to a daemon's current version, limited in number
    and size. Peers that are a few versions behind are updated from these
    instead of the complete bundle.

    Not thread-safe.
*/
class RecentDeltas {
 public:
  /** @param max_count  maximum number of deltas to retain
      @param max_bytes  maximum total size of their part texts */
  RecentDeltas(std::size_t max_count, std::size_t max_bytes);

  /** Adds the delta that produced the current version. If it does not start at
      the version that the last delta produced, the earlier deltas are dropped.
   */
  void Add(ConfigDelta delta);

  /** Drops all deltas. */
  void Clear();

  /** @returns a single merged delta from a peer's version to the current one,
      or nullopt if the retained deltas do not reach back to the peer's version
      and it needs the complete bundle */
  std::optional<ConfigDelta> From(std::uint64_t version) const;

  std::size_t size() const { return deltas_.size(); }

 private:
  void DropOldest();

  std::size_t max_count_;
  std::size_t max_bytes_;
  std::size_t bytes_ = 0;
  std::deque<ConfigDelta> deltas_;
};

}  // namespace cumin
