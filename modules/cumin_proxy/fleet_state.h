#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

#include "cumin_config/readiness_rule.h"
#include "cumin_fleet/anti_entropy.h"
#include "cumin_fleet/failure_detector.h"
#include "cumin_fleet/gather_plan.h"
#include "cumin_fleet/gossip_exchange.h"
#include "cumin_fleet/gossip_pacer.h"
#include "cumin_fleet/spread_plan.h"
#include "cumin_proxy/blackboard.h"
#include "cumin_proxy/config_holder.h"

namespace cumin {

/** The fleet's decisions behind one lock, with the daemon's clock, randomness
    and configuration as their inputs.

    Thread-safe. Its lock comes before those of the configuration holder and
    of the blackboard's tables; no I/O happens under it.
*/
class FleetState final : private MemberTable::Listener {
 public:
  /** @param board   the daemon's tables; outlives this
      @param config  the version held; outlives this
      @param self    this daemon's entry */
  FleetState(Blackboard& board, ConfigHolder& config, const Member& self);
  ~FleetState() override;

  /** States where this daemon is reached, once it is bound. */
  void SetEndpoint(const Endpoint& endpoint);

  /** Takes over the announced target, ends suspicions and chooses probes.
      @returns what to send now */
  std::vector<DetectorAction> Tick();

  /** @returns true when a message beyond the regular probes is to be sent now
   */
  bool TakeExtraGossip();

  /** @returns the message to send to a peer */
  GossipMessage Compose(const VmId& to);

  /** Reads a peer's message.
      @returns true when the member tables need to be compared */
  bool Hear(const GossipMessage& message);

  /** A probe's acknowledgement was read, or did not come. */
  void OnProbeEnd(ProbeId probe, bool acked, std::uint64_t known_incarnation);

  /** A member that was asked to probe answered whether the target did. */
  void OnIndirectEnd(ProbeId probe, bool acked);

  /** @returns the pull of the configuration to start now, if any */
  std::optional<PullFrom> NextPull();
  void OnPullEnd(bool succeeded);

  /** Takes entries of a peer's table. */
  void MergeState(const std::vector<Member>& members);

  /** @returns up to `limit` entries whose VM comes after `after` */
  std::vector<Member> Page(const VmId& after, std::size_t limit) const;

  /** @returns the digest of each bucket of the table */
  std::vector<std::uint64_t> BucketDigests() const;

  /** @returns up to `limit` entries of buckets whose digests differ */
  std::vector<Member> Differing(const std::vector<std::uint64_t>& digests,
                                std::size_t limit) const;

  std::optional<Member> Find(const VmId& vm) const;
  Member Self() const;
  /** @returns every member but those that left */
  std::vector<Member> Expected() const;
  std::vector<Member> Live() const;

  /** @returns the plan over the members as they are now */
  std::shared_ptr<const SpreadPlan> Plan();

  /** This daemon's watch of the store is in order.
      @param version    the version of the store's head, 0 for none
      @param valid_for  how long the next watch may stay silent */
  void NoteStoreHeard(std::uint64_t version, Duration valid_for);

  /** This daemon's watch of the store failed. */
  void NoteStoreFailed();

  /** @returns how long nobody of this region is known to hear the store */
  Duration StoreQuiet() const;

  /** @returns what a member had in force when it was last heard, as
      unreachable */
  MemberVersionReport LastKnown(const VmId& vm) const;

  /** Notes what a member said to have in force when it was asked, so that it is
      known once the member cannot be heard any more. */
  void HearReport(const MemberVersionReport& report);

  /** @returns true when this daemon must first prove that it is held alive */
  bool IsFenced() const;

  /** States that this daemon ends. */
  void Leave();

 private:
  struct LastHeard {
    std::uint64_t version = 0;
    WallTime at;
  };

  void OnMemberChanged(const Member* before, const Member& after,
                       MergeSource source) override;
  void OnMemberExpired(const Member& last) override;
  void Publish();
  Duration StoreQuietLocked(MonoTime now) const;

  Blackboard& board_;
  ConfigHolder& config_;
  mutable std::mutex mutex_;
  MemberTable table_;
  GossipQueue queue_;
  GossipPacer pacer_;
  GossipExchange exchange_;
  FailureDetector detector_;
  AntiEntropy anti_entropy_;
  ReadinessRule readiness_;
  /** In the future while this daemon's own watch is in order. */
  MonoTime store_heard_;
  std::map<VmId, LastHeard> last_known_;
  std::shared_ptr<const SpreadPlan> plan_;
  bool view_is_stale_ = true;
};

}  // namespace cumin
