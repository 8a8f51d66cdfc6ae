#include "cumin_admission/admission_queue.h"

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "support/property.h"

namespace cumin {

namespace {

constexpr MonoTime kStart{std::chrono::hours(1)};
constexpr Duration kMs = std::chrono::milliseconds(1);

Contract MakeContract(const std::string& customer, int share, int concurrency,
                      int queue) {
  Contract contract;
  contract.customer = CustomerId(customer);
  contract.share = share;
  contract.concurrency = concurrency;
  contract.queue = queue;
  return contract;
}

Operation MakeOperation(const std::string& name, WorkClass work_class) {
  Operation operation;
  operation.name = OperationId(name);
  operation.work_class = work_class;
  return operation;
}

/** Deliberate faults of the model, to show that the properties detect them. */
enum class Fault {
  kNone,
  /** Sends a call to the target although it was queued. */
  kDispatchQueued,
  /** Configures the queue with one slot more than the target has. */
  kExtraSlot,
  /** Gives every call a different customer name. */
  kDistinctCustomers,
};

/** A target that records the calls sent to it. */
class TargetModel : public AdmissionQueue::Listener {
 public:
  TargetModel(int slots, Fault fault)
      : slots_(slots), fault_(fault), queue_(*this) {
    queue_.SetUsableSlots(slots + (fault == Fault::kExtraSlot ? 1 : 0), now_);
  }

  ~TargetModel() override {
    queue_.RefuseWaiting(RefusalReason::kShuttingDown, "end of test");
  }

  void OnStart(PendingCall& call) override { Dispatch(call); }

  void OnRefuse(PendingCall& call, const Refusal& refusal) override {
    RecordRefusal(call, refusal);
  }

  PendingCall& Offer(const Contract& contract, const Operation& operation,
                     Duration deadline) {
    const Contract* used = &contract;
    if (fault_ == Fault::kDistinctCustomers &&
        contract.customer.str() == "surge") {
      contracts_.push_back(std::make_unique<Contract>(contract));
      contracts_.back()->customer =
          CustomerId("call-" + std::to_string(contracts_.size()));
      used = contracts_.back().get();
    }
    calls_.push_back(
        std::make_unique<PendingCall>(*used, operation, now_ + deadline));
    PendingCall& call = *calls_.back();
    Refusal refusal;
    const Admission admission = queue_.Admit(call, now_, &refusal);
    if (admission == Admission::kRefused) {
      RecordRefusal(call, refusal);
    } else if (admission == Admission::kStarted ||
               fault_ == Fault::kDispatchQueued) {
      Dispatch(call);
    }
    return call;
  }

  void FinishOldest(RunOutcome outcome) {
    const auto it =
        std::find_if(running_.begin(), running_.end(), [](PendingCall* call) {
          return call->state() == PendingState::kRunning;
        });
    if (it != running_.end()) {
      PendingCall& call = **it;
      running_.erase(it);
      queue_.Finish(call, now_, outcome);
    }
  }

  void Advance(Duration elapsed) {
    now_ += elapsed;
    queue_.Expire(now_);
  }

  bool WasDispatched(const PendingCall& call) const {
    return dispatched_.count(&call) > 0;
  }

  /** @returns true if no refused call reached the target and every refusal was
      NotRun */
  bool RefusedCallsDidNotRun() const {
    for (const auto& [call, verdict] : refused_) {
      if (verdict != Verdict::kNotRun || dispatched_.count(call) > 0) {
        return false;
      }
    }
    return true;
  }

  int slots() const { return slots_; }
  int most_running() const { return most_running_; }
  int starts() const { return starts_; }
  MonoTime now() const { return now_; }
  AdmissionQueue& queue() { return queue_; }
  std::vector<std::unique_ptr<PendingCall>>& calls() { return calls_; }
  const std::map<const PendingCall*, Verdict>& refused() const {
    return refused_;
  }

 private:
  void Dispatch(PendingCall& call) {
    dispatched_.insert(&call);
    running_.push_back(&call);
    starts_ += 1;
    most_running_ = std::max(most_running_, static_cast<int>(running_.size()));
  }

  void RecordRefusal(PendingCall& call, const Refusal& refusal) {
    refused_[&call] = refusal.verdict;
  }

  int slots_;
  Fault fault_;
  MonoTime now_ = kStart;
  AdmissionQueue queue_;
  std::vector<std::unique_ptr<Contract>> contracts_;
  std::vector<std::unique_ptr<PendingCall>> calls_;
  std::vector<PendingCall*> running_;
  std::set<const PendingCall*> dispatched_;
  std::map<const PendingCall*, Verdict> refused_;
  int starts_ = 0;
  int most_running_ = 0;
};

const std::vector<Operation>& Operations() {
  static const std::vector<Operation> operations = {
      MakeOperation("stock", WorkClass::kInternal),
      MakeOperation("quote", WorkClass::kInteractive),
      MakeOperation("drawings", WorkClass::kBulk)};
  return operations;
}

/** Applies a random sequence of operations to a model. */
void RunRandomSteps(TargetModel& model,
                    const std::vector<Contract>& contracts) {
  const int steps = *rc::gen::inRange(1, 120);
  for (int i = 0; i < steps; ++i) {
    switch (*rc::gen::inRange(0, 8)) {
      case 0:
        model.Advance(kMs * *rc::gen::inRange(1, 30));
        break;
      case 1:
      case 2:
        model.FinishOldest(
            *rc::gen::element(RunOutcome::kAnswered, RunOutcome::kFailed));
        break;
      case 3:
        if (!model.calls().empty()) {
          const int last = static_cast<int>(model.calls().size());
          PendingCall& call = *model.calls().at(
              static_cast<std::size_t>(*rc::gen::inRange(0, last)));
          const bool not_run = model.queue().Cancel(call);
          RC_ASSERT(!not_run || !model.WasDispatched(call));
        }
        break;
      default:
        model.Offer(
            contracts.at(*rc::gen::inRange<std::size_t>(0, contracts.size())),
            Operations().at(*rc::gen::inRange<std::size_t>(0, 3)),
            kMs * *rc::gen::inRange(1, 60));
    }
  }
}

std::vector<Contract> TwoContracts() {
  return {MakeContract("fabricators", 10, 3, 6),
          MakeContract("mines", 30, 4, 40)};
}

void CheckRefusedCallsDidNotRun(Fault fault) {
  const std::vector<Contract> contracts = TwoContracts();
  TargetModel model(*rc::gen::inRange(1, 6), fault);
  RunRandomSteps(model, contracts);
  RC_ASSERT(model.RefusedCallsDidNotRun());
}

void CheckSlotLimit(Fault fault) {
  const std::vector<Contract> contracts = TwoContracts();
  TargetModel model(*rc::gen::inRange(1, 6), fault);
  RunRandomSteps(model, contracts);
  RC_ASSERT(model.most_running() <= model.slots());
}

/** One customer keeps the queue full while another one submits a call.
    @returns the number of calls of the first customer that start between the
    arrival and the start of the other customer's call */
int CountOvertakingCalls(Fault fault, WorkClass surge_class,
                         WorkClass other_class) {
  const int slots = *rc::gen::inRange(2, 7);
  const Contract surge = MakeContract("surge", 10, 1000, 1000);
  const Contract other = MakeContract("other", 10, 1000, 1000);
  const Operation surge_call = MakeOperation("surge", surge_class);
  const Operation other_call = MakeOperation("other", other_class);
  TargetModel model(slots, fault);
  const int before = *rc::gen::inRange(20, 60);
  for (int i = 0; i < before; ++i) {
    model.Offer(surge, surge_call, kMs * 60000);
  }
  const PendingCall& waiting = model.Offer(other, other_call, kMs * 60000);
  const int starts = model.starts();
  while (!model.WasDispatched(waiting) &&
         model.refused().count(&waiting) == 0) {
    model.Offer(surge, surge_call, kMs * 60000);
    model.Advance(kMs);
    model.FinishOldest(RunOutcome::kAnswered);
    if (model.starts() - starts > 500) {
      break;
    }
  }
  RC_ASSERT(model.WasDispatched(waiting));
  return model.starts() - starts - 1;
}

class AdmissionQueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdmissionQueueTest);
  CPPUNIT_TEST(TestRefusedCallsDidNotRun);
  CPPUNIT_TEST(TestSlotsAreNeverExceeded);
  CPPUNIT_TEST(TestSurgeDelaysOnlyItsCustomer);
  CPPUNIT_TEST(TestSharesDivideASaturatedTarget);
  CPPUNIT_TEST(TestConcurrencyLimitIsEnforced);
  CPPUNIT_TEST(TestInternalCallsStartFirst);
  CPPUNIT_TEST(TestShedsBulkOfTheCustomerAboveItsShare);
  CPPUNIT_TEST(TestCallThatCannotMeetItsDeadlineIsNotStarted);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestRefusedCallsDidNotRun() {
    test::CheckPropertyFails(
        "refused calls did not run; fault: queued calls dispatched",
        [] { CheckRefusedCallsDidNotRun(Fault::kDispatchQueued); });
    test::CheckProperty("refused calls did not run",
                        [] { CheckRefusedCallsDidNotRun(Fault::kNone); });
  }

  void TestSlotsAreNeverExceeded() {
    test::CheckPropertyFails("slot limit is enforced; fault: one slot too many",
                             [] { CheckSlotLimit(Fault::kExtraSlot); });
    test::CheckProperty("slot limit is enforced",
                        [] { CheckSlotLimit(Fault::kNone); });
  }

  void TestSurgeDelaysOnlyItsCustomer() {
    test::CheckPropertyFails(
        "overtaken by at most two calls; fault: distinct customers", [] {
          RC_ASSERT(CountOvertakingCalls(Fault::kDistinctCustomers,
                                         WorkClass::kInteractive,
                                         WorkClass::kInteractive) <= 2);
        });
    test::CheckProperty(
        "a call is overtaken by at most two calls of its class", [] {
          RC_ASSERT(CountOvertakingCalls(Fault::kNone, WorkClass::kInteractive,
                                         WorkClass::kInteractive) <= 2);
        });
    // The queue allows a lead of eight calls (kMaxOvertakingCalls); service
    // times that are estimated too low can add to it.
    test::CheckPropertyFails(
        "bound for a bulk call; fault: distinct customers", [] {
          RC_ASSERT(CountOvertakingCalls(Fault::kDistinctCustomers,
                                         WorkClass::kInternal,
                                         WorkClass::kBulk) <= 16);
        });
    test::CheckProperty(
        "a bulk call is overtaken by a bounded number of calls", [] {
          RC_ASSERT(CountOvertakingCalls(Fault::kNone, WorkClass::kInternal,
                                         WorkClass::kBulk) <= 16);
        });
  }

  void TestSharesDivideASaturatedTarget() {
    const Contract small = MakeContract("small", 10, 100, 100);
    const Contract large = MakeContract("large", 30, 100, 100);
    TargetModel model(4, Fault::kNone);
    int small_starts = 0;
    int large_starts = 0;
    for (int i = 0; i < 400; ++i) {
      model.Offer(small, Operations().at(1), kMs * 60000);
      model.Offer(large, Operations().at(1), kMs * 60000);
      model.Advance(kMs);
      model.FinishOldest(RunOutcome::kAnswered);
    }
    for (const auto& it : model.calls()) {
      if (model.WasDispatched(*it)) {
        (it->contract().share == 10 ? small_starts : large_starts) += 1;
      }
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(3.0, 1.0 * large_starts / small_starts, 0.3);
  }

  void TestConcurrencyLimitIsEnforced() {
    const Contract contract = MakeContract("fabricators", 10, 2, 8);
    TargetModel model(6, Fault::kNone);
    for (int i = 0; i < 5; ++i) {
      model.Offer(contract, Operations().at(1), kMs * 1000);
    }
    CPPUNIT_ASSERT_EQUAL(2, model.queue().in_flight());
    CPPUNIT_ASSERT_EQUAL(3, model.queue().queued());
  }

  void TestInternalCallsStartFirst() {
    const Contract a = MakeContract("a", 10, 10, 10);
    const Contract b = MakeContract("b", 10, 10, 10);
    TargetModel model(2, Fault::kNone);
    for (int i = 0; i < 3; ++i) {
      model.Offer(a, Operations().at(2), kMs * 1000);
    }
    CPPUNIT_ASSERT_EQUAL(1, model.queue().in_flight());
    // It starts at once in the slot reserved for calls that are not bulk.
    const PendingCall& internal = model.Offer(b, Operations().at(0), kMs * 900);
    CPPUNIT_ASSERT(model.WasDispatched(internal));
    const PendingCall& next = model.Offer(b, Operations().at(0), kMs * 900);
    model.FinishOldest(RunOutcome::kAnswered);
    CPPUNIT_ASSERT(model.WasDispatched(next));
  }

  void TestShedsBulkOfTheCustomerAboveItsShare() {
    const Contract surge = MakeContract("surge", 10, 100, 1000);
    const Contract other = MakeContract("other", 10, 100, 1000);
    TargetModel model(1, Fault::kNone);
    const PendingCall& bulk =
        model.Offer(other, Operations().at(2), kMs * 60000);
    CPPUNIT_ASSERT(model.WasDispatched(bulk));
    const PendingCall& kept =
        model.Offer(other, Operations().at(2), kMs * 60000);
    for (int i = 0; i < 40; ++i) {
      model.Offer(surge, Operations().at(i % 2 == 0 ? 2 : 0), kMs * 60000);
    }
    CPPUNIT_ASSERT(kept.state() == PendingState::kQueued);
    for (const auto& [call, verdict] : model.refused()) {
      CPPUNIT_ASSERT_EQUAL(std::string("surge"),
                           call->contract().customer.str());
    }
    CPPUNIT_ASSERT(!model.refused().empty());
  }

  void TestCallThatCannotMeetItsDeadlineIsNotStarted() {
    const Contract contract = MakeContract("fabricators", 10, 10, 10);
    TargetModel model(1, Fault::kNone);
    model.Offer(contract, Operations().at(1), kMs * 1000);
    model.Advance(kMs * 100);
    model.FinishOldest(RunOutcome::kAnswered);
    const PendingCall& late =
        model.Offer(contract, Operations().at(1), kMs * 50);
    CPPUNIT_ASSERT(late.state() == PendingState::kDone);
    CPPUNIT_ASSERT(!model.WasDispatched(late));
    // The estimate has decayed, so that the call is admitted again.
    model.Advance(kMs * 10000);
    const PendingCall& retried =
        model.Offer(contract, Operations().at(1), kMs * 50);
    CPPUNIT_ASSERT(model.WasDispatched(retried));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionQueueTest);

}  // namespace

}  // namespace cumin
