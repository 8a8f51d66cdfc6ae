#pragma once

#include <array>
#include <map>
#include <string>
#include <vector>

#include "cumin_daemon/daemon_context.h"
#include "cumin_daemon/peer_client.h"
#include "cumin_fleet/failure_detector.h"
#include "cumin_fleet/gossip_exchange.h"
#include "cumin_fleet/gossip_pacer.h"
#include "cumin_fleet/gossip_queue.h"
#include "cumin_fleet/member_table.h"
#include "cumin_fleet/spread_plan.h"

namespace cumin {

/** Membership between the daemons: probes and gossip by datagrams, whole tables
    by requests. A daemon that comes back hears of the others from them, also
    while the store is away. Feeds the chooser with the members that have a
   target.
*/
class FleetAgent final : private MemberTable::Listener {
 public:
  /** Writes and reads what messages say beside the members. */
  class Listener {
   public:
    virtual ~Listener() = default;
    /** Fills in the version in force and when the store was last heard. */
    virtual void OnCompose(GossipMessage& message) = 0;
    /** A peer's message arrived. */
    virtual void OnMessage(const GossipMessage& message) = 0;
  };

  /** All arguments outlive this. */
  FleetAgent(DaemonContext& board, PeerClient& peers, Listener& listener);
  ~FleetAgent() override;

  /** Binds the datagram socket and starts probing.
      @returns kUnavailable with the reason when the port is taken */
  Result<void> Start();

  /** Learns the members that a contact knows, and makes itself known there.
      @returns whether the contact answered */
  Task<bool> JoinThrough(Endpoint contact);

  /** Announces this VM's target as it is now. */
  void AnnounceTarget();

  /** States that this daemon ends. */
  void Leave();

  /** Answers a peer's comparison of member tables.
      @param body  as JoinThrough sends it
      @returns the members in which the tables differ, or kInvalid */
  Result<std::string> OnCompare(const std::string& body);

  /** @returns the way of versions over the members as they are now */
  const SpreadPlan& Plan();

  const Member* Find(const VmId& vm) const { return table_.Find(vm); }
  std::size_t live_count() const { return table_.live_count(); }

 private:
  enum class Kind { kPing, kAck, kPingRequest, kIndirectAck, kGreeting };

  /** A probe made for another daemon. */
  struct Errand {
    VmId asker;
    ProbeId probe = 0;
    MonoTime until;
  };

  void OnMemberChanged(const Member* before, const Member& after,
                       MergeSource source) override;
  void OnMemberForgotten(const Member& last) override;

  Task<void> Receive();
  Task<void> TickForever();
  void Tick();
  void Carry(const DetectorAction& action);
  void Send(const VmId& to, Kind kind, ProbeId probe, const VmId& about);
  void SendTo(const Endpoint& to, const VmId& vm, Kind kind, ProbeId probe,
              const VmId& about);
  void OnDatagram(const std::string& text, const Endpoint& sender);
  void CompareWith(const Endpoint& peer);
  void Greet(int count);
  /** Greets members that were gone lately: a daemon that came back while the
      store is away learns of the others so. */
  void GreetGone(MonoTime now);
  void Publish();
  static Member MakeSelf(const DaemonContext& board);

  DaemonContext& board_;
  PeerClient& peers_;
  Listener& listener_;
  MemberTable table_;
  GossipQueue queue_;
  GossipPacer pacer_;
  GossipExchange exchange_;
  FailureDetector detector_;
  asio::ip::udp::socket socket_;
  std::map<ProbeId, Errand> errands_;
  ProbeId next_errand_;
  std::optional<SpreadPlan> plan_;
  /** Members that left or died, and until when they are greeted. */
  std::map<VmId, MonoTime> gone_;
  MonoTime next_greeting_;
  bool view_is_stale_ = true;
  bool is_comparing_ = false;
};

/** Path of the request that compares member tables. */
constexpr char kComparePath[] = "/-/members";

}  // namespace cumin
