#pragma once

#include <boost/intrusive/list.hpp>
#include <cstddef>

#include "cumin_core/endpoint.h"
#include "cumin_core/ref_counted.h"

namespace cumin {

/** Limits the memory for the bodies of all responses that one process holds.

    While the total exceeds the limit, one body that is still being read is
    aborted: the largest one of the server whose bodies take the most memory. A
    server that sends without end therefore loses its own exchanges, not those
    of other servers. Bodies of up to kGuaranteedBytes are never aborted.

    Answers the load "some servers send very large or endless bodies, others
    answer as usual". Runs on one event loop; not thread-safe.
*/
class BodyBudget final : public RefCounted<BodyBudget> {
 public:
  static constexpr std::size_t kGuaranteedBytes = std::size_t{1} << 20U;

  /** Reads one body. */
  class Reader {
   public:
    virtual ~Reader() = default;
    /** The body is aborted; its bytes no longer count. */
    virtual void OnBodyAborted() = 0;
  };

  /** The memory of one body, from the first byte until the response has been
      passed on. */
  class Reservation
      : public boost::intrusive::list_base_hook<
            boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
   public:
    /** @param budget  the shared budget
        @param server  the sender of the body
        @param reader  outlives the reading of the body */
    Reservation(RefPtr<BodyBudget> budget, Endpoint server, Reader& reader);
    ~Reservation();
    Reservation(const Reservation&) = delete;
    Reservation& operator=(const Reservation&) = delete;

    /** Sets the size of the body so far, and aborts bodies while the total is
        above the limit.
        @param n  bytes of memory
        @returns false when this body was aborted; its reader is not called */
    bool Resize(std::size_t n);

    /** The body is complete: it keeps its memory, and can no longer be
        aborted. */
    void Complete() { reader_ = nullptr; }

   private:
    friend class BodyBudget;
    bool IsAbortable() const {
      return reader_ != nullptr && bytes_ > kGuaranteedBytes;
    }

    const RefPtr<BodyBudget> budget_;
    const Endpoint server_;
    Reader* reader_;
    std::size_t bytes_ = 0;
  };

  /** @param max_bytes  limit of the total */
  explicit BodyBudget(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  std::size_t max_bytes() const { return max_bytes_; }

  /** @returns the memory of all bodies, in bytes */
  std::size_t total_bytes() const { return total_bytes_; }

 private:
  /** @returns the body to abort, or null when none may be */
  Reservation* ChooseVictim();
  std::size_t BytesOf(const Endpoint& server) const;
  void Release(Reservation& reservation);

  const std::size_t max_bytes_;
  std::size_t total_bytes_ = 0;
  boost::intrusive::list<Reservation,
                         boost::intrusive::constant_time_size<false>>
      reservations_;
};

}  // namespace cumin
