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

/** Which configuration version is in force on which daemon, as one daemon
    knows it. */
struct StatusReport {
  WallTime made_at;
  /** The daemon that made the report. */
  VmId made_by;
  /** Whether the store's head was read for this report; if not, there may be a
      newer version that no daemon has heard of. */
  bool store_answered = false;
  /** The known part of the history, newest first. */
  std::vector<ConfigVersionRecord> history;
  /** Every daemon that is known, the reporting one included. */
  std::vector<MemberVersionReport> members;

  friend bool operator==(const StatusReport& a, const StatusReport& b) {
    return a.made_at == b.made_at && a.made_by == b.made_by &&
           a.store_answered == b.store_answered && a.history == b.history &&
           a.members == b.members;
  }
};

/** @returns the newest version in the history or on any daemon; 0 for none */
std::uint64_t NewestVersion(const StatusReport& report);

/** @returns the record of a version, or null when it is not known */
const ConfigVersionRecord* FindRecord(
    const std::vector<ConfigVersionRecord>& history, std::uint64_t version);

/** @returns the daemons that cannot be said to have the newest version in
    force, because they report another or cannot be heard */
std::vector<MemberVersionReport> Unconfirmed(const StatusReport& report);

/** @returns the member that knows of the most daemons, if it knows of more than
    the report names; else null. The reporting daemon may have joined only just
    now, and then it does not know everyone yet. */
const MemberVersionReport* FindBetterInformed(const StatusReport& report);

/** @returns true when there is a version, the store's head is known, nobody
    knows of more daemons, and every one is heard and has the newest version in
    force */
bool IsEverywhereInForce(const StatusReport& report);

/** @returns which version is in force where, since when, and who has not
    confirmed it, in plain sentences, one a line */
std::string Describe(const StatusReport& report);

/** @returns which change a note with a time speaks of, and what has become of
    it, in plain sentences, one a line */
std::string DescribeAt(const std::vector<ConfigVersionRecord>& history,
                       const WallTimeSpan& at);

/** @returns the report as a JSON object, with what follows from it */
Json::Value ToJson(const StatusReport& report);

/** Reads a report; errors are kept by the reader. */
StatusReport ReadStatusReport(JsonObject& fields);

}  // namespace cumin
