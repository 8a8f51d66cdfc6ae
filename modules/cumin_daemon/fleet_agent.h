#pragma once

#include <json/value.h>

#include <array>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cumin_daemon/daemon_context.h"
#include "cumin_daemon/peer_client.h"
#include "cumin_fleet/failure_detector.h"
#include "cumin_fleet/gossip_exchange.h"
#include "cumin_fleet/gossip_pacer.h"
#include "cumin_fleet/gossip_queue.h"
#include "cumin_fleet/gossip_targets.h"
#include "cumin_fleet/member_table.h"
#include "cumin_fleet/spread_plan.h"

namespace cumin {

/** Maintains membership among the daemons: probes and gossip over UDP
    datagrams, full member tables over HTTP requests. The members also gossip to
    recently departed ones, so that a restarted daemon rejoins even while the
    store is unavailable. Passes the live members to the target chooser, and the
    withdrawals that peers know of this VM's target to its tracker.
*/
class FleetAgent final : private MemberTable::Listener {
 public:
  /** Fills in and reads what gossip messages carry for other agents. */
  class Listener {
   public:
    virtual ~Listener() = default;
    virtual void OnCompose(GossipMessage& message) = 0;
    virtual void OnMessage(const GossipMessage& message) = 0;
  };

  /** Handles notes: small datagrams of other agents. A note may be lost. */
  class NoteHandler {
   public:
    virtual ~NoteHandler() = default;
    /** @param from  the sender
        @param body  as passed to SendNote */
    virtual void OnNote(const VmId& from, const Json::Value& body) = 0;
  };

  /** All arguments outlive this. */
  FleetAgent(DaemonContext& context, PeerClient& peers);
  ~FleetAgent() override;

  /** @param listener  outlives this */
  void AddListener(Listener& listener) { listeners_.push_back(&listener); }

  /** @param topic    of the notes that the handler gets
      @param handler  outlives this */
  void AddNoteHandler(const std::string& topic, NoteHandler& handler) {
    note_handlers_[topic] = &handler;
  }

  /** Sends a note, if the receiver is a member. */
  void SendNote(const VmId& to, const std::string& topic, Json::Value body);

  /** Binds the UDP socket and starts probing.
      @returns kUnavailable with the reason when the socket cannot be bound */
  Result<void> Start();

  /** Sends this member and the bucket digests of its table to a contact, and
      merges the members in which the tables differ.
      @returns whether the contact returned a valid answer */
  Task<bool> JoinThrough(Endpoint contact);

  /** Gossips this daemon's entry and sends it to peers until one has confirmed
      it, so that a withdrawal outlives this process. Gives up after a few
      peers, in time for the target to get its acknowledgement. */
  Task<void> ReplicateSelf();

  /** Ends the wait for the withdrawals of earlier runs: this daemon has the
      table of a peer, or there is no peer. */
  void OnHistoryKnown();

  /** Updates the state of this VM's target, and its withdrawal, in the member
      table. */
  void AnnounceTarget();

  /** Marks this member as leaving and gossips it. */
  void Leave();

  /** Handles a peer's request to compare member tables.
      @param body  as JoinThrough sends it
      @returns the members in which the tables differ, and the entry of the
      sender as known so far, compressed; or kInvalid */
  Result<std::string> OnCompare(const std::string& body);

  /** @returns the distribution plan of versions for the current members */
  const SpreadPlan& Plan();

  const Member* Find(const VmId& vm) const { return table_.Find(vm); }
  /** @returns the live members, this daemon included */
  std::vector<Member> Live() const { return table_.Live(); }
  /** @returns a number that changes with the members */
  std::uint64_t members_epoch() const { return members_epoch_; }
  std::size_t live_count() const { return table_.live_count(); }

  /** @returns the regions of the live members */
  std::set<RegionId> Regions() const;

  /** @returns the other live members that have, or may have, a target of the
      service: one whose announcement has not arrived yet is included */
  std::vector<Member> PeersOfService(const ServiceId& service) const;

 private:
  enum class Kind {
    kPing,
    kAck,
    kPingRequest,
    kIndirectAck,
    kGossipOnly,
    kNote
  };

  /** An indirect probe made on behalf of another daemon. */
  struct RelayedProbe {
    VmId requester;
    ProbeId probe = 0;
    MonoTime until;
  };

  void OnMemberChanged(const Member* before, const Member& after,
                       MergeSource source) override;
  void OnMemberExpired(const Member& last) override;

  Task<void> Receive();
  Task<void> RunTickLoop();
  void Tick();
  void Execute(const DetectorAction& action);
  /** As JoinThrough, with a timeout. */
  Task<bool> SyncTable(Endpoint peer, Duration timeout);
  void Send(const VmId& to, Kind kind, ProbeId probe, const VmId& about);
  void SendTo(const Endpoint& to, const VmId& vm, Kind kind, ProbeId probe,
              const VmId& about);
  void OnDatagram(const std::string& text, const Endpoint& sender);
  void OnNote(const Json::Value& value);
  void CompareWith(const Endpoint& peer);
  void GossipToRandomMembers(int count);
  /** Gossips to members that departed recently, so that a daemon that restarts
      while the store is unavailable learns of the others. */
  void GossipToDepartedMembers(MonoTime now);
  void UpdateChooser();
  void UpdateServiceShares(const std::vector<Member>& live);
  static Member MakeSelf(const DaemonContext& context);

  DaemonContext& context_;
  PeerClient& peers_;
  std::vector<Listener*> listeners_;
  std::map<std::string, NoteHandler*> note_handlers_;
  std::uint64_t members_epoch_ = 0;
  MemberTable table_;
  GossipQueue queue_;
  GossipPacer pacer_;
  GossipTargets gossip_targets_;
  GossipExchange exchange_;
  FailureDetector detector_;
  asio::ip::udp::socket socket_;
  std::map<ProbeId, RelayedProbe> relayed_probes_;
  ProbeId next_relayed_probe_;
  std::optional<SpreadPlan> plan_;
  /** Members that left or failed, and until when gossip is sent to them. */
  std::map<VmId, MonoTime> departed_;
  MonoTime next_departed_gossip_;
  bool is_chooser_stale_ = true;
  bool is_comparing_ = false;
};

/** Path of the request that compares member tables. */
constexpr char kComparePath[] = "/-/members";

}  // namespace cumin
