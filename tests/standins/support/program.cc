#include "standins/support/program.h"

#include <algorithm>

namespace cumin::test {

Result<Endpoint> ParseListenAddress(const std::string& text) {
  static constexpr char kAnyPort[] = ":0";
  const std::size_t end = text.size() - std::min(text.size(), std::size_t{2});
  if (text.compare(end, std::string::npos, kAnyPort) != 0) {
    return ParseEndpoint(text);
  }
  // ParseEndpoint rejects port 0, so the address is checked with port 1.
  Result<Endpoint> parsed = ParseEndpoint(text.substr(0, end) + ":1");
  if (parsed) {
    parsed.value().port = 0;
  }
  return parsed;
}

TerminationSignals::TerminationSignals() {
  sigemptyset(&signals_);
  sigaddset(&signals_, SIGTERM);
  sigaddset(&signals_, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals_, nullptr);
}

void TerminationSignals::Wait() const {
  int number = 0;
  sigwait(&signals_, &number);
}

}  // namespace cumin::test
