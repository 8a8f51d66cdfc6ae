#include "cuminctl/explain_command.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>
#include <utility>

#include "cumin_core/json_text.h"

namespace cumin {

namespace {

/** A parsed log line and the time of its event. */
struct LogEntry {
  std::int64_t at_ms = 0;
  Json::Value fields;
};

std::string FieldText(const Json::Value& fields, const char* name) {
  const Json::Value& value = fields[name];
  return value.isNull() ? "?" : value.asString();
}

bool ParseLogLine(const std::string& line, Json::Value* value) {
  const std::size_t begin = line.find('{');
  if (begin == std::string::npos) {
    return false;
  }
  const Result<Json::Value> parsed = ParseJson(line.substr(begin), "log");
  if (!parsed || !parsed.value().isObject()) {
    return false;
  }
  *value = parsed.value();
  return (*value)["event"].isString();
}

std::string DescribeAttempt(const Json::Value& fields) {
  const std::string verdict = FieldText(fields, "verdict");
  std::string text = "tried the target beside " + FieldText(fields, "target");
  if (verdict == "ran") {
    return text + ": it ran";
  }
  return text + ": " + verdict + " (" + FieldText(fields, "reason") + ", " +
         FieldText(fields, "detail") + ")";
}

std::string DescribeOwnerEnd(const Json::Value& fields) {
  const std::string load = ", with " + FieldText(fields, "in_flight") +
                           " calls at the target and " +
                           FieldText(fields, "queued") + " waiting";
  if (fields.isMember("reason")) {
    return "ended the call as " + FieldText(fields, "verdict") + " (" +
           FieldText(fields, "reason") + ", " + FieldText(fields, "detail") +
           ")" + load;
  }
  return "received the target's response, status " +
         FieldText(fields, "status") + load;
}

std::string DescribeEvent(const Json::Value& fields) {
  const std::string event = fields["event"].asString();
  if (event == "ingress-accepted") {
    return "accepted the call on route " + FieldText(fields, "route") +
           " of version " + FieldText(fields, "version") + " for service " +
           FieldText(fields, "service") + ", " + FieldText(fields, "left_ms") +
           " ms left";
  }
  if (event == "ingress-refused") {
    std::string text = "refused the call: " + FieldText(fields, "reason");
    if (!fields["fingerprint"].isNull()) {
      text += "; " + FieldText(fields, "crashes") +
              " targets crashed under request " +
              FieldText(fields, "fingerprint") + ", refused for another " +
              FieldText(fields, "ends_in_ms") + " ms";
    }
    return text;
  }
  if (event == "ingress-answered") {
    return "responded to the caller with status " + FieldText(fields, "status");
  }
  if (event == "tried") {
    return DescribeAttempt(fields);
  }
  if (event == "no-target") {
    return "found no further target: " + FieldText(fields, "detail");
  }
  if (event == "peer-failed") {
    return "could not complete the request to the daemon at " +
           FieldText(fields, "peer") + ": " + FieldText(fields, "end") + ", " +
           FieldText(fields, "reason");
  }
  if (event == "peer-forbid" || event == "forbid-asked") {
    return "recorded the attempt's state after a request to forbid it: " +
           FieldText(fields, "state");
  }
  if (event == "owner-queued") {
    return "queued the call for " + FieldText(fields, "waited_ms") +
           " ms until a slot was free";
  }
  if (event == "owner-dispatched") {
    return "dispatched the call to target " + FieldText(fields, "instance") +
           ": " + FieldText(fields, "end") + " " + FieldText(fields, "reason");
  }
  if (event == "owner-end") {
    return DescribeOwnerEnd(fields);
  }
  return event;
}

/** @returns true for an event after which the attempt could no longer succeed
    at the daemon that logged it */
bool IsFailure(const Json::Value& fields) {
  const std::string event = fields["event"].asString();
  const bool has_verdict = event == "tried" || event == "owner-end";
  return event == "ingress-refused" || event == "peer-failed" ||
         (has_verdict && FieldText(fields, "verdict") != "ran");
}

std::vector<std::string> ReadLines(std::istream& in) {
  std::vector<std::string> lines;
  for (std::string line; std::getline(in, line);) {
    lines.push_back(line);
  }
  return lines;
}

}  // namespace

Explanation ExplainAttempt(const std::vector<std::string>& lines,
                           const std::string& attempt) {
  Explanation explanation;
  std::vector<LogEntry> entries;
  for (const std::string& line : lines) {
    if (line.find(attempt) == std::string::npos) {
      continue;
    }
    LogEntry entry;
    if (!ParseLogLine(line, &entry.fields)) {
      explanation.unreadable += 1;
    } else if (FieldText(entry.fields, "id") == attempt) {
      entry.at_ms = entry.fields["at"].asInt64();
      entries.push_back(std::move(entry));
    }
  }
  std::stable_sort(
      entries.begin(), entries.end(),
      [](const LogEntry& a, const LogEntry& b) { return a.at_ms < b.at_ms; });
  bool succeeded = false;
  for (const LogEntry& it : entries) {
    const std::int64_t offset_ms = it.at_ms - entries.front().at_ms;
    explanation.sentences.push_back("+" + std::to_string(offset_ms) + " ms " +
                                    FieldText(it.fields, "vm") + " " +
                                    DescribeEvent(it.fields));
    if (IsFailure(it.fields)) {
      explanation.deciding = static_cast<int>(explanation.sentences.size()) - 1;
    }
    succeeded = succeeded || (it.fields["event"] == "ingress-answered" &&
                              it.fields["status"].asInt() < 400);
  }
  if (succeeded) {
    explanation.deciding = -1;
  }
  return explanation;
}

ExitCode RunExplain(const std::string& attempt,
                    const std::vector<std::string>& files,
                    const Output& output) {
  std::vector<std::string> lines;
  if (files.empty()) {
    lines = ReadLines(std::cin);
  }
  for (const std::string& it : files) {
    std::ifstream file(it);
    if (!file) {
      return output.Fail(
          Error{ErrorCode::kInvalid, it, 0, "", "file cannot be read"});
    }
    const std::vector<std::string> more = ReadLines(file);
    lines.insert(lines.end(), more.begin(), more.end());
  }
  const Explanation explanation = ExplainAttempt(lines, attempt);
  if (explanation.sentences.empty()) {
    return output.Fail(Error{ErrorCode::kNotFound, "", 0, attempt,
                             "no log line has this attempt id; successful "
                             "attempts are logged for a sample of ids only"});
  }
  std::string text;
  Json::Value value;
  for (std::size_t i = 0; i < explanation.sentences.size(); ++i) {
    const bool decides = static_cast<int>(i) == explanation.deciding;
    text += (decides ? "=> " : "   ") + explanation.sentences[i] + "\n";
    value["sentences"].append(explanation.sentences[i]);
  }
  value["deciding"] = explanation.deciding;
  value["unreadable"] = explanation.unreadable;
  output.Write(text, value);
  if (explanation.unreadable > 0) {
    output.Note(std::to_string(explanation.unreadable) +
                " lines with the attempt's id could not be parsed");
  }
  return kExitOk;
}

}  // namespace cumin
