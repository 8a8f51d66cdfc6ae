#pragma once

#include <json/json.h>

#include <string>
#include <vector>

#include "cumin_config/config_version_record.h"
#include "cumin_config/wall_time_text.h"

namespace cumin {

/** @returns e.g. "version 12 (change c-…, by anna, accepted 2026-12-04 02:10:07
    UTC, \"raise burst\") changed customer/fabricators." */
std::string Describe(const ConfigVersionRecord& record);

/** @returns one line for each record, or a sentence that there is none */
std::string DescribeHistory(const std::vector<ConfigVersionRecord>& history);

/** @returns the records as a JSON list */
Json::Value ToJson(const std::vector<ConfigVersionRecord>& history);

/** Reads a list of records; errors are kept by the reader. */
std::vector<ConfigVersionRecord> ReadHistory(JsonObject& fields,
                                             const std::string& field);

/** Finds the version that a note with a time speaks of.
    @param history  in any order; only versions in it are found
    @param at       the minute or second that the note names
    @returns the newest version accepted before the span's end, or null */
const ConfigVersionRecord* FindVersionAt(
    const std::vector<ConfigVersionRecord>& history, const WallTimeSpan& at);

}  // namespace cumin
