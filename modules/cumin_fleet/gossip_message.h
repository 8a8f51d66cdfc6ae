#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cumin_core/time.h"
#include "cumin_fleet/member.h"

namespace cumin {

/** The configuration version that a daemon has in force. */
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

/** What rides on each probe and each acknowledgement. */
struct GossipMessage {
  VmId from;
  std::uint64_t from_incarnation = 0;
  /** The incarnation at which the sender holds the receiver alive; 0 when it
      does not know the receiver or holds it otherwise. */
  std::uint64_t known_incarnation = 0;
  VersionStamp in_force;
  /** The highest version that the sender has known the receiver to have; tells
      a restarted daemon what it must not fall behind. */
  std::uint64_t known_version = 0;
  /** How long ago a fetcher of the sender's region last heard the store. */
  Duration store_quiet{0};
  /** Digest of the sender's member table. */
  std::uint64_t table_digest = 0;
  /** Member changes, news first. */
  std::vector<Member> updates;
};

}  // namespace cumin
