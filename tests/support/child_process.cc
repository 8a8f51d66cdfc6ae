#include "support/child_process.h"

#include <fcntl.h>
#include <signal.h>  // NOLINT: kill is POSIX, not <csignal>.
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <climits>
#include <cstring>
#include <fstream>
#include <sstream>
#include <utility>

#include "support/wait_until.h"

namespace cumin::test {

namespace {

constexpr int kFileMode = 0644;
constexpr int kSignalStatusBase = 128;

/** The posix_spawn file actions and attributes of a new process: output
    redirected to files and no signal blocked. */
class SpawnOptions {
 public:
  explicit SpawnOptions(const std::string& output_path) {
    posix_spawn_file_actions_init(&actions_);
    RedirectToFile(STDOUT_FILENO, output_path);
    RedirectToFile(STDERR_FILENO, output_path + ".err");
    // A socket that a child inherits stays open when the test closes it.
    posix_spawn_file_actions_addclosefrom_np(&actions_, STDERR_FILENO + 1);
    posix_spawnattr_init(&attributes_);
    sigset_t empty_mask;
    sigemptyset(&empty_mask);
    posix_spawnattr_setsigmask(&attributes_, &empty_mask);
    posix_spawnattr_setflags(&attributes_, POSIX_SPAWN_SETSIGMASK);
  }
  ~SpawnOptions() {
    posix_spawn_file_actions_destroy(&actions_);
    posix_spawnattr_destroy(&attributes_);
  }
  SpawnOptions(const SpawnOptions&) = delete;
  SpawnOptions& operator=(const SpawnOptions&) = delete;

  int Spawn(const std::vector<std::string>& command, pid_t* pid) const {
    std::vector<char*> arguments;
    arguments.reserve(command.size() + 1);
    for (const std::string& it : command) {
      arguments.push_back(const_cast<char*>(it.c_str()));
    }
    arguments.push_back(nullptr);
    return posix_spawn(pid, arguments[0], &actions_, &attributes_,
                       arguments.data(), environ);
  }

 private:
  void RedirectToFile(int fd, const std::string& path) {
    posix_spawn_file_actions_addopen(&actions_, fd, path.c_str(),
                                     O_WRONLY | O_CREAT | O_TRUNC, kFileMode);
  }

  posix_spawn_file_actions_t actions_{};
  posix_spawnattr_t attributes_{};
};

int DecodeWaitStatus(int status) {
  return WIFEXITED(status) ? WEXITSTATUS(status)
                           : kSignalStatusBase + WTERMSIG(status);
}

}  // namespace

Result<std::unique_ptr<ChildProcess>> ChildProcess::Start(
    const std::vector<std::string>& command, const std::string& output_path) {
  const SpawnOptions options(output_path);
  pid_t pid = 0;
  const int ec = options.Spawn(command, &pid);
  if (ec != 0) {
    return Error{ErrorCode::kUnavailable, command[0], 0, "",
                 std::string("cannot start: ") + std::strerror(ec)};
  }
  return std::unique_ptr<ChildProcess>(new ChildProcess(pid, output_path));
}

ChildProcess::ChildProcess(pid_t pid, std::string output_path)
    : pid_(pid), output_path_(std::move(output_path)) {}

ChildProcess::~ChildProcess() {
  if (IsRunning()) {
    Kill();
    waitpid(pid_, nullptr, 0);
  }
}

std::string ChildProcess::FirstLine() {
  std::string text;
  WaitUntil([&] {
    const bool running = IsRunning();
    text = Output();
    return text.find('\n') != std::string::npos || !running;
  });
  const std::size_t end = text.find('\n');
  return end == std::string::npos ? "" : text.substr(0, end);
}

std::string ChildProcess::Output() const { return ReadFile(output_path_); }

std::string ChildProcess::ErrorOutput() const {
  return ReadFile(output_path_ + ".err");
}

void ChildProcess::Terminate() const { Signal(SIGTERM); }
void ChildProcess::Kill() const { Signal(SIGKILL); }
void ChildProcess::Pause() const { Signal(SIGSTOP); }
void ChildProcess::Resume() const { Signal(SIGCONT); }

void ChildProcess::Signal(int signal) const {
  // Once the process has been reaped, its pid may belong to another process.
  if (!status_) {
    kill(pid_, signal);
  }
}

bool ChildProcess::IsRunning() {
  if (status_) {
    return false;
  }
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) != pid_) {
    return true;
  }
  status_ = DecodeWaitStatus(status);
  return false;
}

std::optional<int> ChildProcess::WaitForEnd() {
  WaitUntil([this] { return !IsRunning(); });
  return status_;
}

std::string ProgramPath(const std::string& name) {
  char buf[PATH_MAX];
  const ssize_t n = readlink("/proc/self/exe", buf, sizeof(buf));
  const std::string executable(buf, n > 0 ? static_cast<std::size_t>(n) : 0);
  // The running test is <build>/tests/<name>.
  const std::string test_directory =
      executable.substr(0, executable.rfind('/'));
  return test_directory.substr(0, test_directory.rfind('/') + 1) + name;
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace cumin::test
