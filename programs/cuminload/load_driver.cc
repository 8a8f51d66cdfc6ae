#include "cuminload/load_driver.h"

#include <thread>

namespace cumin::load {

LoadDriver::LoadDriver(const Scenario& scenario, const Clock& clock)
    : scenario_(scenario),
      clock_(clock),
      policy_(scenario.attempts, scenario.entries.size()),
      sender_(clock) {}

std::vector<CallOutcome> LoadDriver::Run(
    const std::vector<PlannedCall>& planned) {
  std::vector<CallOutcome> outcomes(planned.size());
  next_ = 0;
  const MonoTime begin = clock_.Now();
  std::vector<std::thread> workers;
  workers.reserve(static_cast<std::size_t>(scenario_.workers));
  for (int i = 0; i < scenario_.workers; ++i) {
    workers.emplace_back([&] { RunWorker(planned, begin, &outcomes); });
  }
  for (std::thread& it : workers) {
    it.join();
  }
  return outcomes;
}

void LoadDriver::RunWorker(const std::vector<PlannedCall>& planned,
                           MonoTime begin, std::vector<CallOutcome>* outcomes) {
  for (std::size_t i = next_++; i < planned.size(); i = next_++) {
    const MonoTime due = begin + planned[i].send_at;
    const Duration wait = due - clock_.Now();
    if (wait > Duration(0)) {
      std::this_thread::sleep_for(wait);
    }
    (*outcomes)[i] = SendWithResends(planned[i], i, due);
  }
}

CallOutcome LoadDriver::SendWithResends(const PlannedCall& planned,
                                        std::size_t position, MonoTime due) {
  const ScenarioCall& call = scenario_.calls[planned.kind];
  const WallTime first_sent = clock_.WallNow();
  CallOutcome outcome;
  outcome.planned = position;
  outcome.lateness = clock_.Now() - due;
  while (const auto entry = policy_.NextEntry(planned, outcome)) {
    const std::size_t attempt = outcome.attempts.size();
    if (attempt > 0) {
      std::this_thread::sleep_for(scenario_.resend_pause);
    }
    outcome.attempts.push_back(
        sender_.Send(scenario_.entries[*entry], call, planned, first_sent,
                     outcome.attempts, RequestId(planned, position, attempt)));
  }
  outcome.latency = clock_.Now() - due;
  return outcome;
}

std::string LoadDriver::RequestId(const PlannedCall& planned,
                                  std::size_t position,
                                  std::size_t attempt) const {
  return scenario_.calls[planned.kind].name + "-" +
         std::to_string(scenario_.seed) + "-" + std::to_string(position) + "-" +
         std::to_string(attempt);
}

}  // namespace cumin::load
