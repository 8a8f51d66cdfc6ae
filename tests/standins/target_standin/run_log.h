#pragma once

#include <string>

#include "cumin_core/time.h"
#include "cumin_http/http_message.h"

namespace cumin::test {

/** Event in the life of a run. */
enum class RunEvent {
  kStart,
  kFinish,
  /** Aborted: the deadline passed or the caller closed the connection. */
  kCut,
};

/** The authoritative record of which calls ran: a file with one JSON line per
    event. Each line is written before the run continues, so that it survives a
    crash of the process; a run that a crash interrupted has only a start event.
    Thread-safe. */
class RunLog {
 public:
  /** @param path  the file to append to; empty to disable the log */
  explicit RunLog(const std::string& path);
  ~RunLog();

  RunLog(const RunLog&) = delete;
  RunLog& operator=(const RunLog&) = delete;

  /** Appends one line.
      @param run      number of the run in this process, from 1
      @param target   address of the target
      @param now      time of the event */
  void Write(RunEvent event, std::uint64_t run, const std::string& target,
             const HttpRequest& request, WallTime now);

 private:
  int fd_ = -1;
};

}  // namespace cumin::test
