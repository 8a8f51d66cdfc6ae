#pragma once

#include <array>
#include <boost/intrusive/list.hpp>
#include <cstddef>

#include "cumin_admission/pending_call.h"

namespace cumin {

/** How many work classes there are. */
constexpr std::size_t kWorkClasses = 3;

/** One customer's waiting and running calls at one target. */
struct CustomerQueue : boost::intrusive::list_base_hook<> {
  /** Waiting calls by work class. */
  std::array<PendingList, kWorkClasses> waiting;
  int queued = 0;
  int in_flight = 0;
  int share = 1;
  int concurrency = 1;
  /** Virtual time at which the customer's next call may start, in microseconds
      of service for each unit of share. */
  double start_tag = 0;

  /** @returns the waiting calls of a class */
  PendingList& Class(WorkClass work_class) {
    return waiting.at(static_cast<std::size_t>(work_class));
  }
  const PendingList& Class(WorkClass work_class) const {
    return waiting.at(static_cast<std::size_t>(work_class));
  }

  /** @returns true when the contract lets one more call run here */
  bool HasConcurrency() const { return in_flight < concurrency; }
};

/** Customers that have calls waiting. */
using CustomerList = boost::intrusive::list<CustomerQueue>;

}  // namespace cumin
