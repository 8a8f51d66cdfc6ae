#pragma once

#include <cstdint>
#include <string>

#include "cumin_core/error.h"
#include "cumin_core/identifier.h"
#include "cumin_core/time.h"
#include "cumin_ledger/ledger_types.h"

namespace cumin {

/** A shard's owner, as stored under ShardKey(). The record is replaced but
    never removed. */
struct ShardRecord {
  VmId owner;
  /** The owner's lease; the ownership ends with it. */
  std::string lease;
  /** Increases by one with each change of the owner or its lease. */
  std::uint64_t epoch = 0;
  /** The owner knows every call that ran and was first sent at this time or
      later; the Unix epoch when it knows all calls. */
  WallTime known_since{};

  friend bool operator==(const ShardRecord& a, const ShardRecord& b) {
    return a.owner == b.owner && a.lease == b.lease && a.epoch == b.epoch &&
           a.known_since == b.known_since;
  }
};

/** @returns the store key of a shard's record, "ledger/<service>/<shard>" */
std::string ShardKey(const ShardId& shard);

/** Serializes a record as JSON. */
std::string ToText(const ShardRecord& record);

/** Parses a record.
    @param text    the store's value
    @param source  the store key, for error messages
    @returns the record, or ErrorCode::kInvalid */
Result<ShardRecord> ParseShardRecord(const std::string& text,
                                     const std::string& source);

}  // namespace cumin
