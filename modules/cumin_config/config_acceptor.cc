#include "cumin_config/config_acceptor.h"

#include <algorithm>
#include <utility>

#include "cumin_config/acceptance_plan.h"

namespace cumin {

namespace {

constexpr int kMaxAttempts = 6;
constexpr Duration kInitialBackoff = std::chrono::milliseconds(100);
constexpr Duration kMaxBackoff = std::chrono::seconds(2);

}  // namespace

ConfigAcceptor::ConfigAcceptor(Store& store, Waiter& waiter, Random& random)
    : store_(store), waiter_(waiter), random_(random) {}

AcceptanceOutcome ConfigAcceptor::Accept(ChangeRequest request) {
  AcceptancePlan plan(std::move(request), kMaxAttempts);
  while (!plan.done()) {
    const StoreAction& action = plan.action();
    BackOffBefore(action.attempt);
    if (action.kind == StoreAction::Kind::kRead) {
      plan.OnRead(store_.Get(action.key));
      continue;
    }
    plan.OnWrite(store_.CompareAndSwap(action.key, action.value,
                                       action.expected_index, ""));
  }
  return plan.outcome();
}

void ConfigAcceptor::BackOffBefore(int attempt) {
  if (attempt == 0) {
    return;
  }
  const int doublings = std::min(attempt - 1, 10);
  const Duration longest =
      std::min(kMaxBackoff, kInitialBackoff * (1 << doublings));
  const double fraction = 0.5 + random_.Unit() / 2;
  waiter_.Wait(std::chrono::duration_cast<Duration>(longest * fraction));
}

}  // namespace cumin
