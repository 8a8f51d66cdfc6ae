#include "cumin_admission/admission_queue.h"

#include <algorithm>
#include <array>
#include <string>

namespace cumin {

namespace {

constexpr std::array<WorkClass, kWorkClasses> kClassOrder = {
    WorkClass::kInternal, WorkClass::kInteractive, WorkClass::kBulk};
constexpr std::array<WorkClass, kWorkClasses> kShedOrder = {
    WorkClass::kBulk, WorkClass::kInteractive, WorkClass::kInternal};

/** Capacity of the queue per usable slot. */
constexpr int kQueuedPerSlot = 16;
/** One in this many slots is reserved for calls that are not bulk. */
constexpr int kSlotsPerReservedSlot = 4;
/** Maximum number of calls of a more urgent class that overtake a customer's
    waiting call. */
constexpr double kMaxOvertakingCalls = 8;
/** Assumed service time of an operation without samples. */
constexpr Duration kDefaultServiceTime = std::chrono::milliseconds(1);
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(50);

Refusal DeadlineTooShort() {
  return NotRun(RefusalReason::kDeadlineTooShort,
                "the call cannot complete before its deadline",
                Duration::zero());
}

}  // namespace

void AdmissionQueue::SetUsableSlots(int usable_slots, MonoTime now) {
  usable_slots_ = usable_slots;
  StartWaiting(now);
}

Admission AdmissionQueue::Admit(PendingCall& call, MonoTime now,
                                Refusal* refusal) {
  CustomerQueue& customer = CustomerOf(call);
  if (now + ExpectedServiceTime(call.operation().name, now) >=
      call.deadline()) {
    call.state_ = PendingState::kDone;
    *refusal = DeadlineTooShort();
    return Admission::kRefused;
  }
  if (CanStart(customer, call.operation().work_class)) {
    // Calls that are waiting now are blocked by limits that do not apply to
    // this call.
    if (customer.queued == 0) {
      customer.start_tag = std::max(customer.start_tag, virtual_time_);
    }
    Start(customer, call, now);
    return Admission::kStarted;
  }
  const std::optional<Refusal> late = CheckDeadline(customer, call, now);
  if (late) {
    call.state_ = PendingState::kDone;
    *refusal = *late;
    return Admission::kRefused;
  }
  if (!MakeRoom(customer, call, refusal)) {
    call.state_ = PendingState::kDone;
    return Admission::kRefused;
  }
  Enqueue(customer, call);
  return Admission::kQueued;
}

void AdmissionQueue::Finish(PendingCall& call, MonoTime now,
                            RunOutcome outcome) {
  if (call.state_ != PendingState::kRunning) {
    return;
  }
  call.state_ = PendingState::kDone;
  CustomerQueue& customer = CustomerOf(call);
  customer.in_flight -= 1;
  in_flight_ -= 1;
  if (call.operation().work_class == WorkClass::kBulk) {
    bulk_in_flight_ -= 1;
  }
  if (outcome != RunOutcome::kFailed) {
    const Duration elapsed = now - call.started_at();
    service_times_[call.operation().name].Add(elapsed, now);
    mean_service_time_.Add(elapsed, now);
  }
  StartWaiting(now);
}

bool AdmissionQueue::Cancel(PendingCall& call) {
  if (call.state_ != PendingState::kQueued) {
    return false;
  }
  Unlink(CustomerOf(call), call);
  call.state_ = PendingState::kDone;
  return true;
}

void AdmissionQueue::Expire(MonoTime now) {
  for (auto customer = waiting_customers_.begin();
       customer != waiting_customers_.end();) {
    CustomerQueue& current = *customer;
    ++customer;  // Refusing the last call unlinks the customer.
    for (PendingList& calls : current.waiting) {
      for (auto it = calls.begin(); it != calls.end();) {
        PendingCall& call = *it;
        ++it;
        const Duration expected =
            ExpectedServiceTime(call.operation().name, now);
        if (now + expected >= call.deadline()) {
          Refuse(current, call, DeadlineTooShort());
        }
      }
    }
  }
}

void AdmissionQueue::RefuseWaiting(RefusalReason reason,
                                   const std::string& detail) {
  while (!waiting_customers_.empty()) {
    CustomerQueue& customer = waiting_customers_.front();
    for (PendingList& calls : customer.waiting) {
      while (!calls.empty()) {
        Refuse(customer, calls.front(),
               NotRun(reason, detail, Duration::zero()));
      }
    }
  }
}

TargetLoad AdmissionQueue::Load() const {
  return TargetLoad{in_flight_, queued_, usable_slots_, false};
}

Duration AdmissionQueue::ExpectedServiceTime(const OperationId& operation,
                                             MonoTime now) const {
  const auto it = service_times_.find(operation);
  return it == service_times_.end() ? Duration::zero()
                                    : it->second.Estimate(now);
}

CustomerQueue& AdmissionQueue::CustomerOf(const PendingCall& call) {
  const Contract& contract = call.contract();
  CustomerQueue& customer = customers_[contract.customer];
  // The limits may have changed with a new configuration version.
  customer.share = std::max(1, contract.share);
  customer.concurrency = contract.concurrency;
  return customer;
}

bool AdmissionQueue::CanStart(const CustomerQueue& customer,
                              WorkClass work_class) const {
  if (in_flight_ >= usable_slots_ || !customer.HasConcurrency()) {
    return false;
  }
  return work_class != WorkClass::kBulk || bulk_in_flight_ < BulkSlots();
}

std::optional<Refusal> AdmissionQueue::CheckDeadline(
    const CustomerQueue& customer, const PendingCall& call,
    MonoTime now) const {
  const Duration mean = mean_service_time_.Estimate(now);
  const double slots = FairSlots(customer);
  if (mean == Duration::zero() || slots <= 0) {
    return std::nullopt;
  }
  std::size_t ahead = 0;
  for (const WorkClass it : kClassOrder) {
    ahead += customer.Class(it).size();
    if (it == call.operation().work_class) {
      break;
    }
  }
  const auto wait = Duration(static_cast<Duration::rep>(
      static_cast<double>(ahead) * static_cast<double>(mean.count()) / slots));
  const Duration expected = ExpectedServiceTime(call.operation().name, now);
  if (now + wait + expected < call.deadline()) {
    return std::nullopt;
  }
  return NotRun(RefusalReason::kDeadlineTooShort,
                "the expected queuing delay exceeds the call's deadline",
                std::max(wait, kMinRetryAfter));
}

bool AdmissionQueue::MakeRoom(CustomerQueue& customer, const PendingCall& call,
                              Refusal* refusal) {
  const Contract& contract = call.contract();
  if (contract.queue == 0) {
    *refusal =
        NotRun(RefusalReason::kConcurrencyLimited,
               "all slots, or the customer's concurrency limit, are in use");
    return false;
  }
  if (customer.queued >= contract.queue &&
      !MakeRoomForCustomer(customer, call)) {
    *refusal = NotRun(RefusalReason::kQueueFull,
                      "the customer's queue at this target is full");
    return false;
  }
  if (queued_ >= QueueLimit() && !MakeRoomForTarget(customer, call)) {
    *refusal = NotRun(RefusalReason::kShed, "the target's queue is full",
                      kMinRetryAfter);
    return false;
  }
  return true;
}

bool AdmissionQueue::MakeRoomForCustomer(CustomerQueue& customer,
                                         const PendingCall& call) {
  for (const WorkClass it : kShedOrder) {
    if (it <= call.operation().work_class) {
      return false;
    }
    if (!customer.Class(it).empty()) {
      Refuse(customer, customer.Class(it).back(),
             NotRun(RefusalReason::kShed,
                    "evicted by a more urgent call of the same customer"));
      return true;
    }
  }
  return false;
}

bool AdmissionQueue::MakeRoomForTarget(CustomerQueue& customer,
                                       const PendingCall& call) {
  // Calls are evicted only from customers above their part of the queue. The
  // parts add up to the whole queue, so at least one customer exceeds its part;
  // it may be the customer of the new call.
  const double part = QueueLimit() / ShareSum(customer);
  const double own_excess = (customer.queued + 1) - part * customer.share;
  CustomerQueue* victim = nullptr;
  double worst_excess = own_excess;
  for (CustomerQueue& it : waiting_customers_) {
    const double excess = it.queued - part * it.share;
    if (&it != &customer && excess > 0 && excess > worst_excess) {
      victim = &it;
      worst_excess = excess;
    }
  }
  if (victim == nullptr) {
    return MakeRoomForCustomer(customer, call);
  }
  for (const WorkClass it : kShedOrder) {
    if (!victim->Class(it).empty()) {
      Refuse(*victim, victim->Class(it).back(),
             NotRun(RefusalReason::kShed,
                    "evicted because the customer's queue exceeds its share"));
      return true;
    }
  }
  return false;
}

double AdmissionQueue::ShareSum(const CustomerQueue& joining) const {
  double sum = joining.queued == 0 ? joining.share : 0;
  for (const CustomerQueue& it : waiting_customers_) {
    sum += it.share;
  }
  return sum;
}

double AdmissionQueue::FairSlots(const CustomerQueue& customer) const {
  const double part = usable_slots_ * customer.share / ShareSum(customer);
  return std::min(part, static_cast<double>(customer.concurrency));
}

int AdmissionQueue::QueueLimit() const {
  return std::max(1, usable_slots_) * kQueuedPerSlot;
}

int AdmissionQueue::BulkSlots() const {
  const int reserved =
      (usable_slots_ + kSlotsPerReservedSlot - 1) / kSlotsPerReservedSlot;
  return std::max(1, usable_slots_ - reserved);
}

void AdmissionQueue::Enqueue(CustomerQueue& customer, PendingCall& call) {
  if (customer.queued == 0) {
    customer.start_tag = std::max(customer.start_tag, virtual_time_);
    waiting_customers_.push_back(customer);
  }
  customer.Class(call.operation().work_class).push_back(call);
  customer.queued += 1;
  queued_ += 1;
  call.state_ = PendingState::kQueued;
}

void AdmissionQueue::Unlink(CustomerQueue& customer, PendingCall& call) {
  PendingList& calls = customer.Class(call.operation().work_class);
  calls.erase(calls.iterator_to(call));
  customer.queued -= 1;
  queued_ -= 1;
  if (customer.queued == 0) {
    waiting_customers_.erase(waiting_customers_.iterator_to(customer));
  }
}

void AdmissionQueue::Refuse(CustomerQueue& customer, PendingCall& call,
                            const Refusal& refusal) {
  Unlink(customer, call);
  call.state_ = PendingState::kDone;
  listener_.OnRefuse(call, refusal);
}

void AdmissionQueue::Start(CustomerQueue& customer, PendingCall& call,
                           MonoTime now) {
  virtual_time_ = std::max(virtual_time_, customer.start_tag);
  customer.start_tag += Cost(customer, call, now);
  customer.in_flight += 1;
  in_flight_ += 1;
  if (call.operation().work_class == WorkClass::kBulk) {
    bulk_in_flight_ += 1;
  }
  call.state_ = PendingState::kRunning;
  call.started_at_ = now;
}

void AdmissionQueue::StartWaiting(MonoTime now) {
  while (in_flight_ < usable_slots_) {
    PendingCall* const call = NextCall(now);
    if (call == nullptr) {
      return;
    }
    CustomerQueue& customer = CustomerOf(*call);
    const Duration expected = ExpectedServiceTime(call->operation().name, now);
    if (now + expected >= call->deadline()) {
      Refuse(customer, *call, DeadlineTooShort());
      continue;
    }
    Unlink(customer, *call);
    Start(customer, *call, now);
    listener_.OnStart(*call);
  }
}

PendingCall* AdmissionQueue::NextCall(MonoTime now) {
  WorkClass fairest_class = WorkClass::kBulk;
  CustomerQueue* const fairest = FairestCustomer(&fairest_class);
  if (fairest == nullptr) {
    return nullptr;
  }
  for (const WorkClass work_class : kClassOrder) {
    CustomerQueue* best = nullptr;
    for (CustomerQueue& it : waiting_customers_) {
      const bool may_start =
          !it.Class(work_class).empty() && CanStart(it, work_class);
      if (may_start && (best == nullptr || it.start_tag < best->start_tag)) {
        best = &it;
      }
    }
    if (best == nullptr) {
      continue;
    }
    PendingCall& call = best->Class(work_class).front();
    const double max_lead = kMaxOvertakingCalls * Cost(*best, call, now);
    if (best->start_tag > fairest->start_tag + max_lead) {
      return &fairest->Class(fairest_class).front();
    }
    return &call;
  }
  return nullptr;
}

CustomerQueue* AdmissionQueue::FairestCustomer(WorkClass* work_class) {
  CustomerQueue* fairest = nullptr;
  for (CustomerQueue& customer : waiting_customers_) {
    if (fairest != nullptr && customer.start_tag >= fairest->start_tag) {
      continue;
    }
    for (const WorkClass it : kClassOrder) {
      if (!customer.Class(it).empty() && CanStart(customer, it)) {
        fairest = &customer;
        *work_class = it;
        break;
      }
    }
  }
  return fairest;
}

double AdmissionQueue::Cost(const CustomerQueue& customer,
                            const PendingCall& call, MonoTime now) const {
  Duration expected = ExpectedServiceTime(call.operation().name, now);
  if (expected == Duration::zero()) {
    expected = kDefaultServiceTime;
  }
  return static_cast<double>(expected.count()) / customer.share;
}

}  // namespace cumin
