#pragma once

#include <sys/types.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cumin_core/error.h"

namespace cumin::test {

/** A child process of a test, killed by the destructor if still running. */
class ChildProcess {
 public:
  /** Starts a program with its output redirected to files.
      @param command      the program's path and its arguments
      @param output_path  file for standard output; standard error goes to the
                          same path with ".err" appended
      @returns the process, or kUnavailable */
  static Result<std::unique_ptr<ChildProcess>> Start(
      const std::vector<std::string>& command, const std::string& output_path);

  /** Kills and reaps the process if it is still running. */
  ~ChildProcess();

  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  pid_t pid() const { return pid_; }

  /** Waits for the first line of standard output.
      @returns the line without its newline, or "" when the process exited or
      kWaitBound elapsed first */
  std::string FirstLine();

  /** @returns everything written to standard output so far */
  std::string Output() const;

  /** @returns everything written to standard error so far */
  std::string ErrorOutput() const;

  /** Requests termination (SIGTERM). */
  void Terminate() const;
  /** Kills the process (SIGKILL), as a crash of its VM would. */
  void Kill() const;
  /** Pauses the process (SIGSTOP). */
  void Pause() const;
  /** Resumes a paused process (SIGCONT). */
  void Resume() const;

  /** @returns true until the process has exited */
  bool IsRunning();

  /** Waits until the process exits.
      @returns the exit status, 128 plus the signal number when a signal ended
      it, or nullopt when it did not exit within kWaitBound */
  std::optional<int> WaitForEnd();

 private:
  ChildProcess(pid_t pid, std::string output_path);
  void Signal(int signal) const;

  pid_t pid_;
  std::string output_path_;
  std::optional<int> status_;
};

/** @param name  a program in the build folder, e.g. "cumind" or
                 "tests/store_standin"
    @returns its path, derived from that of the running test program */
std::string ProgramPath(const std::string& name);

/** @returns the contents of a file, or "" when it cannot be read */
std::string ReadFile(const std::string& path);

}  // namespace cumin::test
