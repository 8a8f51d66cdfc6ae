#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cumin_core/time.h"
#include "cumin_fleet/member.h"

namespace cumin {

/** Configuration version that a daemon has in force. */
struct VersionStamp {
  /** 0 when the daemon has none yet. */
  std::uint64_t version = 0;
  /** Digest of the version's manifest. */
  std::string digest;

  friend bool operator==(const VersionStamp& a, const VersionStamp& b) {
    return a.version == b.version && a.digest == b.digest;
  }
  friend bool operator!=(const VersionStamp& a, const VersionStamp& b) {
    return !(a == b);
  }
};

/** Payload piggybacked on each probe and each acknowledgement. */
struct GossipMessage {
  VmId from;
  std::uint64_t from_incarnation = 0;
  /** Incarnation at which the sender considers the receiver alive; 0 when the
      receiver is unknown to it or not considered alive. */
  std::uint64_t known_incarnation = 0;
  VersionStamp in_force;
  /** Highest configuration version that the sender knows the receiver to have
      had; a restarted daemon must not fall behind it. */
  std::uint64_t known_version = 0;
  /** Time since a fetcher of the sender's region last had contact with the
      store. */
  Duration store_quiet{0};
  /** Digest of the sender's member table. */
  std::uint64_t table_digest = 0;
  /** Digest of the requests that the sender has quarantined; 0 for none. */
  std::uint64_t quarantine_digest = 0;
  /** Member changes, least often sent first. */
  std::vector<Member> updates;
};

}  // namespace cumin
