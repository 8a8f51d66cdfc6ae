#pragma once

#include <string>
#include <vector>

#include "cuminctl/exit_code.h"
#include "cuminctl/output.h"

namespace cumin {

/** Summary of the log lines of one attempt. */
struct Explanation {
  /** One sentence per log line, in chronological order. */
  std::vector<std::string> sentences;
  /** Index of the sentence for the failure that decided the attempt's result;
      -1 when the attempt succeeded or no failure was logged. */
  int deciding = -1;
  /** Lines that contain the attempt's id but could not be parsed. */
  int unreadable = 0;
};

/** Reconstructs the course of one attempt from log lines.
    @param lines    log lines of any daemons, in any order; text before a
                    line's JSON object is ignored
    @param attempt  the attempt's id
    @returns the explanation; without sentences when no line has this id */
Explanation ExplainAttempt(const std::vector<std::string>& lines,
                           const std::string& attempt);

/** `cuminctl explain ID`: explains the result of one attempt.
    @param files  log files; standard input when empty */
ExitCode RunExplain(const std::string& attempt,
                    const std::vector<std::string>& files,
                    const Output& output);

}  // namespace cumin
