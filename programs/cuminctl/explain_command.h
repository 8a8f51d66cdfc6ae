#pragma once

#include <string>
#include <vector>

#include "cuminctl/exit_code.h"
#include "cuminctl/output.h"

namespace cumin {

/** What daemons logged about one attempt. */
struct Explanation {
  /** One sentence for each line, in the order of time. */
  std::vector<std::string> sentences;
  /** Index of the sentence that decided how the attempt ended; -1 when it was
      answered by its target, or unknown. */
  int deciding = -1;
  /** Lines that look like log lines and cannot be read. */
  int unreadable = 0;
};

/** Tells the story of one attempt.
    @param lines    log lines of any daemons, in any order; what stands before
                    the JSON object of a line is passed over
    @param attempt  the attempt's id
    @returns its story; no sentences when no line names it */
Explanation ExplainAttempt(const std::vector<std::string>& lines,
                           const std::string& attempt);

/** `cuminctl explain ID`: why one attempt ended as it did.
    @param files  log files; standard input when there are none */
ExitCode RunExplain(const std::string& attempt,
                    const std::vector<std::string>& files,
                    const Output& output);

}  // namespace cumin
