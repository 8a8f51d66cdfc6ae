#pragma once

#include <string>
#include <vector>

#include "cumin_daemon/daemon_context.h"
#include "cumin_daemon/fleet_agent.h"
#include "cumin_daemon/peer_client.h"
#include "cumin_daemon/target_dispatcher.h"
#include "cumin_store/async_store.h"

namespace cumin {

/** Exchanges records of requests that crash targets with the other daemons.

    Each crash is pushed at once to the daemons beside the targets of the same
    service. Gossip messages carry a digest of the quarantined requests; daemons
    whose digests differ exchange them, so that every daemon learns of a
    quarantine, also one that was restarted or unreachable. The store keeps a
    copy for the case that all daemons restart.
*/
class SuspectAgent final : public TargetDispatcher::CrashListener,
                           public FleetAgent::Listener {
 public:
  /** All arguments outlive this. */
  SuspectAgent(DaemonContext& context, PeerClient& peers, FleetAgent& fleet,
               AsyncStore& store);

  /** Reads a quarantine that is kept in the store.
      @param value  as a SuspectAgent wrote it */
  void OnKept(const std::string& value);

  void OnTargetCrash(const std::vector<SuspectRecord>& suspects) override;
  void OnCompose(GossipMessage& message) override;
  void OnMessage(const GossipMessage& message) override;

  /** Merges records of a peer.
      @param body  as another SuspectAgent sends it
      @returns the quarantined requests known here, or kInvalid */
  Result<std::string> OnRecords(const std::string& body);

  /** @returns the quarantined requests for an operator, as JSON */
  std::string ListQuarantined() const;

  /** Ends the quarantine of a request on all daemons.
      @param fingerprint  16 hexadecimal digits, as logged
      @returns false if no such request is known here */
  bool Lift(const std::string& fingerprint);

 private:
  /** Writes a quarantine to the store, for a fleet whose daemons all restart.
   */
  Task<void> Keep(SuspectRecord record);
  Task<void> Push(Endpoint peer, std::string body);
  Task<bool> Exchange(Endpoint peer, std::string body);
  Task<void> ExchangeProved(Endpoint peer);
  void Import(const std::vector<SuspectRecord>& records);
  void LogQuarantine(const SuspectRecord& record, const char* source);

  DaemonContext& context_;
  PeerClient& peers_;
  FleetAgent& fleet_;
  AsyncStore& store_;
  bool is_exchanging_ = false;
  MonoTime next_exchange_;
};

/** Prefix of the store keys of quarantined requests. */
constexpr char kQuarantineKeyPrefix[] = "cumin/quarantine/";
/** Path of the request that exchanges suspect records. */
constexpr char kSuspectsPath[] = "/-/suspects";
/** Path of the list of quarantined requests for operators. */
constexpr char kQuarantinePath[] = "/-/quarantine";
/** Path of the request that lifts a quarantine; the query is a fingerprint. */
constexpr char kLiftPath[] = "/-/quarantine/lift";

}  // namespace cumin
