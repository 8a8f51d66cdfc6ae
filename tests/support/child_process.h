#pragma once

#include <sys/types.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cumin_core/error.h"

namespace cumin::test {

/** A program that a test started, ended by its pid at the latest with this. */
class ChildProcess {
 public:
  /** Starts a program; its output goes to files.
      @param command      the program's path and its arguments
      @param output_path  receives standard output; standard error goes to the
                          same path with ".err" added
      @returns the process, or kUnavailable */
  static Result<std::unique_ptr<ChildProcess>> Start(
      const std::vector<std::string>& command, const std::string& output_path);

  /** Kills the process if it still runs. */
  ~ChildProcess();

  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  pid_t pid() const { return pid_; }

  /** Waits for the first line of standard output.
      @returns the line without its end, or "" when the process ended first */
  std::string FirstLine();

  /** @returns everything written to standard output so far */
  std::string Output() const;

  /** @returns everything written to standard error so far */
  std::string ErrorOutput() const;

  /** Asks the process to end (SIGTERM). */
  void Terminate() const;
  /** Ends the process at once (SIGKILL), as a crash of its VM would. */
  void Kill() const;
  /** Pauses the process (SIGSTOP). */
  void Pause() const;
  /** Lets a paused process go on (SIGCONT). */
  void Resume() const;

  /** @returns true while the process has not ended */
  bool IsRunning();

  /** Waits for the end.
      @returns the exit status, 128 plus the signal's number after a signal, or
      nothing when the process did not end in time */
  std::optional<int> WaitForEnd();

 private:
  ChildProcess(pid_t pid, std::string output_path);
  void Signal(int signal) const;

  pid_t pid_;
  std::string output_path_;
  std::optional<int> status_;
};

/** @param name  a program of the build, e.g. "cumind" or
                 "tests/store_standin"
    @returns its path, found from that of the running test program */
std::string ProgramPath(const std::string& name);

/** @returns the text of a file, or "" when it cannot be read */
std::string ReadFile(const std::string& path);

}  // namespace cumin::test
