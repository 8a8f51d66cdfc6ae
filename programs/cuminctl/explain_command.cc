#include "cuminctl/explain_command.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>
#include <utility>

#include "cumin_core/json_text.h"

namespace cumin {

namespace {

/** A parsed line and when its event happened. */
struct Entry {
  std::int64_t at_ms = 0;
  Json::Value fields;
};

std::string Text(const Json::Value& fields, const char* name) {
  const Json::Value& value = fields[name];
  return value.isNull() ? "?" : value.asString();
}

bool Parse(const std::string& line, Json::Value* value) {
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

std::string DescribeTry(const Json::Value& fields) {
  const std::string verdict = Text(fields, "verdict");
  std::string text = "tried the target beside " + Text(fields, "target");
  if (verdict == "ran") {
    return text + ": it ran";
  }
  return text + ": " + verdict + " (" + Text(fields, "reason") + ", " +
         Text(fields, "detail") + ")";
}

std::string DescribeOwnerEnd(const Json::Value& fields) {
  const std::string load = ", with " + Text(fields, "in_flight") +
                           " calls at the target and " +
                           Text(fields, "queued") + " waiting";
  if (fields.isMember("reason")) {
    return "ended it as " + Text(fields, "verdict") + " (" +
           Text(fields, "reason") + ", " + Text(fields, "detail") + ")" + load;
  }
  return "got the target's answer, status " + Text(fields, "status") + load;
}

std::string Describe(const Json::Value& fields) {
  const std::string event = fields["event"].asString();
  if (event == "ingress-accepted") {
    return "took the call on route " + Text(fields, "route") + " of version " +
           Text(fields, "version") + " for service " + Text(fields, "service") +
           ", " + Text(fields, "left_ms") + " ms left";
  }
  if (event == "ingress-refused") {
    return "refused the call: " + Text(fields, "reason");
  }
  if (event == "ingress-answered") {
    return "answered the caller with status " + Text(fields, "status");
  }
  if (event == "tried") {
    return DescribeTry(fields);
  }
  if (event == "no-target") {
    return "had no further target: " + Text(fields, "detail");
  }
  if (event == "peer-failed") {
    return "lost the way to the daemon at " + Text(fields, "peer") + ": " +
           Text(fields, "end") + ", " + Text(fields, "reason");
  }
  if (event == "peer-forbid" || event == "forbid-asked") {
    return "the attempt, asked to be forbidden, was " + Text(fields, "state");
  }
  if (event == "owner-queued") {
    return "let it wait for a slot for " + Text(fields, "waited_ms") + " ms";
  }
  if (event == "owner-dispatched") {
    return "handed it to target " + Text(fields, "instance") + ": " +
           Text(fields, "end") + " " + Text(fields, "reason");
  }
  if (event == "owner-end") {
    return DescribeOwnerEnd(fields);
  }
  return event;
}

/** @returns true for a step after which the attempt could no longer succeed
    where it was */
bool IsFailure(const Json::Value& fields) {
  const std::string event = fields["event"].asString();
  const bool has_verdict = event == "tried" || event == "owner-end";
  return event == "ingress-refused" || event == "peer-failed" ||
         (has_verdict && Text(fields, "verdict") != "ran");
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
  std::vector<Entry> entries;
  for (const std::string& line : lines) {
    if (line.find(attempt) == std::string::npos) {
      continue;
    }
    Entry entry;
    if (!Parse(line, &entry.fields)) {
      explanation.unreadable += 1;
    } else if (Text(entry.fields, "id") == attempt) {
      entry.at_ms = entry.fields["at"].asInt64();
      entries.push_back(std::move(entry));
    }
  }
  std::stable_sort(
      entries.begin(), entries.end(),
      [](const Entry& a, const Entry& b) { return a.at_ms < b.at_ms; });
  bool is_answered = false;
  for (const Entry& it : entries) {
    const std::int64_t after = it.at_ms - entries.front().at_ms;
    explanation.sentences.push_back("+" + std::to_string(after) + " ms " +
                                    Text(it.fields, "vm") + " " +
                                    Describe(it.fields));
    if (IsFailure(it.fields)) {
      explanation.deciding = static_cast<int>(explanation.sentences.size()) - 1;
    }
    is_answered = is_answered || (it.fields["event"] == "ingress-answered" &&
                                  it.fields["status"].asInt() < 400);
  }
  if (is_answered) {
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
          Error{ErrorCode::kInvalid, it, 0, "", "cannot be read"});
    }
    const std::vector<std::string> more = ReadLines(file);
    lines.insert(lines.end(), more.begin(), more.end());
  }
  const Explanation explanation = ExplainAttempt(lines, attempt);
  if (explanation.sentences.empty()) {
    return output.Fail(Error{ErrorCode::kNotFound, "", 0, attempt,
                             "no line names this attempt; successes are kept "
                             "for a sample of the ids only"});
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
                " lines that name the attempt cannot be read");
  }
  return kExitOk;
}

}  // namespace cumin
