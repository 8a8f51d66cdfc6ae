#pragma once

#include <json/json.h>

#include <cstdint>
#include <string>
#include <vector>

#include "cumin_config/config_history.h"
#include "cumin_config/config_version_record.h"
#include "cumin_config/member_version_report.h"
#include "cumin_core/error.h"

namespace cumin {

/** The configuration versions in force on all daemons, as known to one of
    them. */
struct StatusReport {
  WallTime made_at;
  /** The daemon that made the report. */
  VmId made_by;
  /** Whether the store's head was read for this report. If not, a newer version
      may exist that no daemon has heard of. */
  bool store_answered = false;
  /** The known part of the history, newest first. */
  std::vector<ConfigVersionRecord> history;
  /** All known daemons, including the one that made the report. */
  std::vector<MemberVersionReport> members;

  friend bool operator==(const StatusReport& a, const StatusReport& b) {
    return a.made_at == b.made_at && a.made_by == b.made_by &&
           a.store_answered == b.store_answered && a.history == b.history &&
           a.members == b.members;
  }
};

/** @returns the newest version in the history or on any daemon; 0 for none */
std::uint64_t NewestVersion(const StatusReport& report);

/** @returns the record of the version, or null */
const ConfigVersionRecord* FindRecord(
    const std::vector<ConfigVersionRecord>& history, std::uint64_t version);

/** @returns the daemons that are not confirmed to have the newest version in
    force, because they report an older one or do not respond */
std::vector<MemberVersionReport> UnconfirmedMembers(const StatusReport& report);

/** Detects an incomplete report: a daemon that joined recently may not know all
    others yet.
    @returns the member that knows of the most daemons, if that number exceeds
    the number of members in the report, or null */
const MemberVersionReport* FindMemberKnowingMore(const StatusReport& report);

/** @returns true if there is a version, the store's head was read, no member
    knows of more daemons than the report contains, and every member responds
    and has the newest version in force */
bool IsEverywhereInForce(const StatusReport& report);

/** @returns sentences for the operator, one per line: the version in force,
    since when, and the daemons that have not confirmed it */
std::string Describe(const StatusReport& report);

/** @returns sentences for the operator, one per line: the changes accepted in
    the given minute or second, and those accepted since */
std::string DescribeAt(const std::vector<ConfigVersionRecord>& history,
                       const WallTimeSpan& at);

/** @returns the report as a JSON object, with the derived values added */
Json::Value ToJson(const StatusReport& report);

/** Reads a report; errors are recorded in `fields`. */
StatusReport ReadStatusReport(JsonObject& fields);

}  // namespace cumin
