#include <algorithm>

#include "cumin_config/status_report.h"

namespace cumin {

namespace {

std::string VersionText(std::uint64_t version) {
  return "version " + std::to_string(version);
}

/** @returns e.g. "(change c-1, by anna, accepted ..., "note")", or a remark
    that the record is not known */
std::string RecordText(const ConfigVersionRecord* record) {
  if (record == nullptr) {
    return "(its record is not known here)";
  }
  return "(change " + record->change_id.str() + ", by " + record->author +
         ", accepted " + ToUtcText(record->accepted_at) + ", \"" +
         record->note + "\")";
}

std::string InForceText(const StatusReport& report, std::uint64_t newest) {
  const ConfigVersionRecord* record = FindRecord(report.history, newest);
  const std::size_t confirmed =
      report.members.size() - UnconfirmedMembers(report).size();
  std::string text = "Version " + std::to_string(newest) + " " +
                     RecordText(record) + " is in force on " +
                     std::to_string(confirmed) + " of " +
                     std::to_string(report.members.size()) + " daemons";
  if (confirmed == 0) {
    return text + ".\n";
  }
  WallTime last;
  for (const MemberVersionReport& it : report.members) {
    if (it.reachable && it.version == newest) {
      last = std::max(last, it.in_force_since);
    }
  }
  const WallTime day = record == nullptr ? report.made_at : record->accepted_at;
  return text + " since " + ToUtcText(last, day) + ".\n";
}

std::string UnconfirmedText(const MemberVersionReport& member,
                            const StatusReport& report) {
  std::string text = "Not confirmed by " + member.vm.str() + " (" +
                     member.region.str() + "/" + member.failure_domain.str() +
                     "): it ";
  if (!member.reachable) {
    text += "cannot be heard; it ";
  }
  text += member.version == 0 ? "reported no version"
                              : "reported " + VersionText(member.version);
  return text + " and was last heard " +
         ToUtcText(member.last_heard, report.made_at) + ".\n";
}

std::string SpanText(const WallTimeSpan& at) {
  const bool minute = at.end - at.begin > std::chrono::seconds(1);
  return std::string(minute ? "the minute from " : "the second from ") +
         ToUtcText(at.begin);
}

std::string LaterText(const std::vector<ConfigVersionRecord>& history,
                      const WallTimeSpan& at) {
  std::vector<ConfigVersionRecord> later;
  for (const ConfigVersionRecord& it : history) {
    if (it.accepted_at >= at.end) {
      later.push_back(it);
    }
  }
  if (later.empty()) {
    return "Nothing has been accepted since.\n";
  }
  std::sort(later.begin(), later.end(),
            [](const ConfigVersionRecord& a, const ConfigVersionRecord& b) {
              return a.version < b.version;
            });
  std::string text;
  for (const ConfigVersionRecord& it : later) {
    text += "Since then: " + Describe(it) + "\n";
  }
  return text;
}

}  // namespace

std::string Describe(const StatusReport& report) {
  const std::uint64_t newest = NewestVersion(report);
  std::string text;
  if (newest == 0) {
    text = "No configuration has been accepted yet.\n";
  } else {
    text = InForceText(report, newest);
    for (const MemberVersionReport& it : UnconfirmedMembers(report)) {
      text += UnconfirmedText(it, report);
    }
  }
  const MemberVersionReport* knowing_more = FindMemberKnowingMore(report);
  if (knowing_more != nullptr) {
    text += "Incomplete: " + knowing_more->vm.str() + " knows of " +
            std::to_string(knowing_more->known_daemons) +
            " daemons. Ask again, or ask that one.\n";
  }
  if (!report.store_answered) {
    text +=
        "The store does not answer, so a newer version may exist that no "
        "daemon has heard of.\n";
  }
  return text + "Reported by " + report.made_by.str() + " at " +
         ToUtcText(report.made_at) + ".\n";
}

std::string DescribeAt(const std::vector<ConfigVersionRecord>& history,
                       const WallTimeSpan& at) {
  std::string text;
  for (const ConfigVersionRecord& it : history) {
    if (it.accepted_at >= at.begin && it.accepted_at < at.end) {
      // The history is ordered newest first, the text oldest first.
      text.insert(0,
                  "Accepted in " + SpanText(at) + ": " + Describe(it) + "\n");
    }
  }
  if (!text.empty()) {
    return text + LaterText(history, at);
  }
  text = "Nothing was accepted in " + SpanText(at) + ".\n";
  const ConfigVersionRecord* newest = FindVersionAt(history, at);
  text += newest == nullptr ? "No version accepted before that is known here.\n"
                            : "The newest then: " + Describe(*newest) + "\n";
  return text + LaterText(history, at);
}

}  // namespace cumin
