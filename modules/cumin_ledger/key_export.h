#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cumin_core/error.h"
#include "cumin_ledger/ledger_types.h"

namespace cumin {

/** What the ledger knows of a call. */
enum class KeyState {
  /** Admitted and not handed to a target. */
  kAdmitted,
  /** Handed to a target that has not answered. */
  kDispatched,
  /** Handed to a target whose answer is lost. */
  kMayHaveRun,
  /** Executed. */
  kRan,
};

/** One call in a KeyExport. */
struct ExportedKey {
  CallKey key;
  std::uint64_t request_hash = 0;
  KeyState state = KeyState::kMayHaveRun;
  /** When the key may be forgotten. */
  WallTime forget_at{};
  /** The kept answer; null when none is. */
  StoredAnswerPtr answer;
};

/** A shard's memory, handed by an owner that stopped to its successor. */
struct KeyExport {
  ShardId shard;
  /** The epoch and lease under which the sender owned the shard; the sender
      dispatches nothing more under them. */
  std::uint64_t epoch = 0;
  std::string lease;
  /** The keys hold every call that ran and was first sent at this time or
      later. */
  WallTime known_since{};
  /** Ordered by the time when they may be forgotten. */
  std::vector<ExportedKey> keys;
};

/** @returns the export as JSON */
std::string ToText(const KeyExport& exported);

/** Parses an export.
    @param text    JSON
    @param source  the peer, to name in errors
    @returns the export, or ErrorCode::kInvalid */
Result<KeyExport> ParseKeyExport(const std::string& text,
                                 const std::string& source);

}  // namespace cumin
