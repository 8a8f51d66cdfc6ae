#pragma once

#include <array>
#include <boost/intrusive/list.hpp>
#include <cstddef>
#include <cstdint>
#include <limits>

#include "cumin_core/ref_counted.h"
#include "cumin_core/time.h"

namespace cumin {

/** Limits the memory and the connections that the senders of requests can make
    one process hold.

    A body that does not fit is refused before its request is handled, so the
    request has certainly not run. Large bodies share one part of the memory;
    small ones, and the headers that are being read, have another, so that a few
    large bodies do not shut out the others. A body that exceeds the limit fits
    when no other large one is held: callers may send any size that the
    configuration allows.

    Requests that are still being read make room: in the part for small ones
    the request that has held the most memory for the longest time without
    progress is evicted, in the part for large ones a body without progress for
    kStallTime. A connection above the limit of its origin takes the place of
    the one that has been without progress for longest.

    Answers the load "many callers send large bodies at once, and most of them
    stop before the end". Runs on one event loop; not thread-safe.
*/
class RequestBudget final : public RefCounted<RequestBudget> {
 public:
  /** Sizes up to this count as small. */
  static constexpr std::size_t kGuaranteedBytes = std::size_t{64} << 10U;
  /** A large body that is being read may be evicted after this time without
      progress. */
  static constexpr Duration kStallTime = std::chrono::seconds(1);

  /** Who opened a connection; each origin has its own limit. */
  enum class Origin { kCallers, kPeers };
  static constexpr std::size_t kOrigins = 2;

  /** Owns a connection that may have to make room for another. */
  class Owner {
   public:
    virtual ~Owner() = default;
    /** The connection must be closed. Its memory no longer counts. */
    virtual void OnEvicted() = 0;
  };

  /** What one connection holds. */
  class Reservation
      : public boost::intrusive::list_base_hook<
            boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
   public:
    /** @param budget  the shared budget; null for no limit
        @param owner   outlives this; null for memory that is never evicted
        @param origin  of the connection */
    explicit Reservation(RefPtr<RequestBudget> budget, Owner* owner = nullptr,
                         Origin origin = Origin::kCallers);
    ~Reservation();
    Reservation(const Reservation&) = delete;
    Reservation& operator=(const Reservation&) = delete;

    /** Makes room for this connection among those of its origin.
        @returns false when it must be closed */
    bool Admit(MonoTime now);

    /** Sets the memory that the connection holds, and evicts others to make
        room.
        @param n  bytes
        @returns false when it does not fit; the size is unchanged then */
    bool Resize(std::size_t n, MonoTime now = MonoTime());

    /** The sender is expected to send: from now on the connection may be
        evicted. Also to be called when it has sent something. */
    void Await(MonoTime now);

    /** The request has been read and is handled: it is not evicted. */
    void Hold() { is_awaited_ = false; }

   private:
    friend class RequestBudget;
    bool IsEvictable() const { return owner_ != nullptr && is_awaited_; }

    const RefPtr<RequestBudget> budget_;
    Owner* owner_;
    const Origin origin_;
    std::size_t bytes_ = 0;
    bool is_awaited_ = false;
    MonoTime progress_at_;
  };

  /** @param max_bytes  limit of the total of all large bodies; that of all
     small ones is half of it */
  explicit RequestBudget(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  /** @param n  maximum number of connections of the origin, at least 1 */
  void SetMaxConnections(Origin origin, std::size_t n);

  /** @returns the memory of all requests, in bytes */
  std::size_t total_bytes() const { return small_bytes_ + large_bytes_; }

  /** @returns the number of connections of the origin */
  std::size_t connections(Origin origin) const {
    return connections_.at(Index(origin));
  }

  /** @returns the number of connections evicted so far */
  std::uint64_t evicted() const { return evicted_; }

 private:
  static std::size_t Index(Origin origin) {
    return static_cast<std::size_t>(origin);
  }
  bool Fits(const Reservation& reservation, std::size_t n) const;
  /** @returns the connection to evict for n bytes, or null */
  Reservation* ChooseVictim(const Reservation& reservation, std::size_t n,
                            MonoTime now);
  Reservation* ChooseLongestWaiting(const Reservation& except, MonoTime now);
  void Evict(Reservation& victim);
  void SetBytes(Reservation& reservation, std::size_t n);

  const std::size_t max_bytes_;
  std::size_t small_bytes_ = 0;
  std::size_t large_bytes_ = 0;
  std::uint64_t evicted_ = 0;
  std::array<std::size_t, kOrigins> connections_{};
  std::array<std::size_t, kOrigins> max_connections_{
      std::numeric_limits<std::size_t>::max(),
      std::numeric_limits<std::size_t>::max()};
  boost::intrusive::list<Reservation,
                         boost::intrusive::constant_time_size<false>>
      reservations_;
};

}  // namespace cumin
