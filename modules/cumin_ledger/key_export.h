#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cumin_core/error.h"
#include "cumin_ledger/ledger_types.h"

namespace cumin {

/** Execution state of a call, as far as the ledger knows it. */
enum class KeyState {
  /** Admitted, not yet dispatched to a target. */
  kAdmitted,
  /** Dispatched to a target that has not answered. */
  kDispatched,
  /** Dispatched to a target whose answer was lost. */
  kMayHaveRun,
  /** Executed. */
  kRan,
};

/** One call in a KeyExport. */
struct ExportedKey {
  CallKey key;
  std::uint64_t request_hash = 0;
  KeyState state = KeyState::kMayHaveRun;
  /** When the key may be removed. */
  WallTime expires_at{};
  /** The stored answer; null when none is stored. */
  StoredAnswerPtr answer;
};

/** The keys of a shard, sent by an owner that stopped to its successor. */
struct KeyExport {
  ShardId shard;
  /** The epoch and lease under which the sender owned the shard. The sender
      dispatches no further attempts under them. */
  std::uint64_t epoch = 0;
  std::string lease;
  /** `keys` contains every call that ran and was first sent at this time or
      later. */
  WallTime known_since{};
  /** In order of expiry. */
  std::vector<ExportedKey> keys;
};

/** Serializes an export as JSON. */
std::string ToText(const KeyExport& exported);

/** Parses an export.
    @param text    JSON
    @param source  the peer's name, for error messages
    @returns the export, or ErrorCode::kInvalid */
Result<KeyExport> ParseKeyExport(const std::string& text,
                                 const std::string& source);

}  // namespace cumin
