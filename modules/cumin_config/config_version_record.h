#pragma once

#include <json/json.h>

#include <cstdint>
#include <string>
#include <vector>

#include "cumin_core/identifier.h"
#include "cumin_core/json_object.h"
#include "cumin_core/time.h"

namespace cumin {

/** Names one attempt to change the configuration, chosen before it is sent, so
    that a lost answer can be resolved by looking for it. */
using ChangeId = Identifier<struct ChangeIdTag>;

/** Names one part of a configuration: "mesh" or "customer/<id>". */
using PartName = Identifier<struct PartNameTag>;

/** @returns the part that holds the mesh */
PartName MeshPartName();

/** @returns the part that holds the customer's contract */
PartName CustomerPartName(const CustomerId& customer);

/** Who changed what and when: one line of the configuration's history. */
struct ConfigVersionRecord {
  /** Counted from 1 without gaps; 0 means that there is no configuration. */
  std::uint64_t version = 0;
  ChangeId change_id;
  /** By the clock of the operator's program. */
  WallTime accepted_at;
  std::string author;
  std::string note;
  /** The parts that differ from the version before, ordered by name. */
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

/** The most parts that one configuration may have. */
constexpr std::size_t kMaxParts = 4096;

/** The most bytes of an author's name. */
constexpr std::size_t kMaxAuthorBytes = 128;

/** The most bytes of a note. */
constexpr std::size_t kMaxNoteBytes = 1024;

/** @returns the record as a JSON object */
Json::Value ToJson(const ConfigVersionRecord& record);

/** Reads a record; errors are kept by the reader. */
ConfigVersionRecord ReadConfigVersionRecord(JsonObject& fields);

}  // namespace cumin
