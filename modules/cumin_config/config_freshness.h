#pragma once

#include <cstdint>
#include <optional>

#include "cumin_core/time.h"

namespace cumin {

/** A statement about the store: at `as_of` it held no newer configuration than
    `version`. */
struct DatedVersion {
  /** Era of the store, which rises when it comes back from a copy. */
  std::uint64_t era = 0;
  /** Store revision from which changes can be watched. */
  std::uint64_t revision = 0;
  std::uint64_t version = 0;
  /** By the clock of this VM; never later than the true time. */
  MonoTime as_of;

  friend bool operator==(const DatedVersion& a, const DatedVersion& b) {
    return a.era == b.era && a.revision == b.revision &&
           a.version == b.version && a.as_of == b.as_of;
  }
};

/** Decides whether this daemon's configuration is recent enough to serve
    requests with keys.

    A key that a version withdraws must not be served any more a limited time
    after the acknowledgement of the version, on any daemon, also on one that is
    cut off or was restarted. So a daemon serves keys only while it knows from a
    dated statement that the configuration in force was the newest one less than
    this time ago. Statements come from the store, or from peers, which pass on
    their age; the receiver counts the age from before its question.

    After the store has come back from a copy, its content may be older than
    what it had acknowledged, until that has been written again: statements of
    the first kEraSettleTime of an era are not used.

    Answers the load "keys are withdrawn while daemons are cut off from the
    store, or all of them restart". Not thread-safe.
*/
class ConfigFreshness {
 public:
  static constexpr Duration kEraSettleTime = std::chrono::seconds(1);

  /** @param limit  as MeshSettings::key_withdrawal_limit; zero if withdrawals
                    have no limit of their own */
  explicit ConfigFreshness(Duration limit) : limit_(limit) {}

  /** Takes a statement. One about a version that is not in force yet is kept
      until it is.
      @param active_version  the version in force here
      @returns true if the statement is the latest one from now on */
  bool Learn(const DatedVersion& statement, std::uint64_t active_version);

  /** Must be called with each version that is put in force. */
  void OnActiveVersion(std::uint64_t version);

  /** @returns true if requests with keys may be served */
  bool MayServeKeys(MonoTime now) const;

  /** @returns the time since the latest statement; nothing before the first */
  std::optional<Duration> Age(MonoTime now) const;

  /** @returns the latest statement that applies to the version in force */
  const std::optional<DatedVersion>& latest() const { return latest_; }

  Duration limit() const { return limit_; }

 private:
  bool IsOfSettledEra(const DatedVersion& statement);

  const Duration limit_;
  std::optional<DatedVersion> latest_;
  /** The latest statement about a version that is not in force yet. */
  std::optional<DatedVersion> pending_;
  std::optional<std::uint64_t> era_;
  /** Statements before this are too early in their era. */
  MonoTime settled_at_;
};

}  // namespace cumin
