#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "cumin_core/time.h"

namespace cumin {

/** A log event: one JSON object, built field by field. */
class EventLine {
 public:
  /** @param event  name of the event, lower case with dashes */
  explicit EventLine(const char* event);

  EventLine& With(const char* field, const std::string& value);
  EventLine& With(const char* field, const char* value);
  EventLine& With(const char* field, std::int64_t value);
  /** Written in milliseconds. */
  EventLine& With(const char* field, Duration value);

  /** @returns the fields without the closing brace */
  const std::string& text() const { return text_; }

 private:
  std::string text_;
};

/** Structured log of the daemon on standard output, one JSON object a line.

    Writing never blocks: lines are held in a bounded buffer, and lines that do
    not fit are dropped and counted. State changes are always written. Failed
    calls are always written; successful calls are sampled by a hash of the
    attempt id, so that all daemons keep the same attempts.

    Boost.Log is not used here: its initialisation alone costs more memory than
    the rest of the daemon (docs/DESIGN.md has the figure).
*/
class EventLog {
 public:
  /** @param vm     written into each line
      @param clock  outlives the log
      @param fd     destination; set to non-blocking */
  EventLog(std::string vm, const Clock& clock, int fd);
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  /** Adds one line with the current time. */
  void Write(const EventLine& line);

  /** Adds one line.
      @param at  time of the event */
  void Write(const EventLine& line, WallTime at);

  WallTime Now() const { return clock_.WallNow(); }

  /** Writes as much of the buffer as possible without blocking. */
  void Flush();

  /** @returns whether successful calls with this id are logged */
  static bool IsSampled(const std::string& id);

  /** @returns the number of lines dropped because the buffer was full */
  std::uint64_t dropped() const { return dropped_; }

 private:
  const std::string vm_;
  const Clock& clock_;
  const int fd_;
  std::string buffer_;
  std::uint64_t dropped_ = 0;
};

/** Buffers the log lines of one call on one daemon; they are written together
    when the call ends, or discarded. */
class CallLogBuffer {
 public:
  /** @param log  outlives this
      @param id   of the attempt */
  CallLogBuffer(EventLog& log, std::string id)
      : log_(log), id_(std::move(id)) {}

  /** Adds a line, with the id and the time since the first line. */
  void Add(EventLine line, MonoTime now);

  /** Writes or discards the lines.
      @param failed  true writes them regardless of sampling */
  void Close(bool failed);

  const std::string& id() const { return id_; }

 private:
  EventLog& log_;
  const std::string id_;
  std::vector<std::pair<WallTime, EventLine>> lines_;
  MonoTime started_at_;
};

}  // namespace cumin
