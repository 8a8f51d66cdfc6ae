#pragma once

#include <array>
#include <boost/intrusive/list.hpp>
#include <cstddef>

#include "cumin_admission/pending_call.h"

namespace cumin {

/** Number of values of WorkClass. */
constexpr std::size_t kWorkClasses = 3;

/** Per-customer scheduling state of an AdmissionQueue. */
struct CustomerQueue : boost::intrusive::list_base_hook<> {
  /** Waiting calls by work class. */
  std::array<PendingList, kWorkClasses> waiting;
  int queued = 0;
  int in_flight = 0;
  int share = 1;
  int concurrency = 1;
  /** Start tag of the customer's next call in start-time fair queuing: virtual
      time in microseconds of service per unit of share. */
  double start_tag = 0;

  PendingList& Class(WorkClass work_class) {
    return waiting.at(static_cast<std::size_t>(work_class));
  }
  const PendingList& Class(WorkClass work_class) const {
    return waiting.at(static_cast<std::size_t>(work_class));
  }

  /** @returns true if the contract's concurrency limit allows one more call */
  bool HasConcurrency() const { return in_flight < concurrency; }
};

/** Customers with at least one waiting call. */
using CustomerList = boost::intrusive::list<CustomerQueue>;

}  // namespace cumin
