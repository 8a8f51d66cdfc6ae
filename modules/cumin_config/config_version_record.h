#pragma once

#include <json/json.h>

#include <cstdint>
#include <string>
#include <vector>

#include "cumin_core/identifier.h"
#include "cumin_core/json_object.h"
#include "cumin_core/time.h"

namespace cumin {

/** Identifies a change to the configuration. Chosen before the change is sent,
    so that after a lost response the store can be searched for it. */
using ChangeId = Identifier<struct ChangeIdTag>;

/** Name of a configuration part: "mesh" or "customer/<id>". */
using PartName = Identifier<struct PartNameTag>;

PartName MeshPartName();

/** @returns the name of the part with the customer's contract */
PartName CustomerPartName(const CustomerId& customer);

/** One entry of the configuration history: who changed what, and when. */
struct ConfigVersionRecord {
  /** Consecutive, starting at 1; 0 means no configuration. */
  std::uint64_t version = 0;
  ChangeId change_id;
  /** Measured by the clock of the operator's client program. */
  WallTime accepted_at;
  std::string author;
  std::string note;
  /** Parts that differ from the preceding version, ordered by name. */
  std::vector<PartName> changed_parts;

  friend bool operator==(const ConfigVersionRecord& a,
                         const ConfigVersionRecord& b) {
    return a.version == b.version && a.change_id == b.change_id &&
           a.accepted_at == b.accepted_at && a.author == b.author &&
           a.note == b.note && a.changed_parts == b.changed_parts;
  }
  friend bool operator!=(const ConfigVersionRecord& a,
                         const ConfigVersionRecord& b) {
    return !(a == b);
  }
};

/** Maximum number of parts of a configuration. */
constexpr std::size_t kMaxParts = 4096;

/** Maximum size of an author's name, in bytes. */
constexpr std::size_t kMaxAuthorBytes = 128;

/** Maximum size of a note, in bytes. */
constexpr std::size_t kMaxNoteBytes = 1024;

/** @returns the record as a JSON object */
Json::Value ToJson(const ConfigVersionRecord& record);

/** Reads a record; errors are recorded in `fields`. */
ConfigVersionRecord ReadConfigVersionRecord(JsonObject& fields);

}  // namespace cumin
