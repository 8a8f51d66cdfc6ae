#pragma once

#include <map>
#include <vector>

#include "cumin_daemon/config_agent.h"
#include "cumin_daemon/daemon_context.h"
#include "cumin_daemon/fleet_agent.h"

namespace cumin {

/** Keeps the configuration of this daemon dated, where requests with keys
    depend on it, and passes on the orders to roll out versions.

    Asks a daemon that watches the store, or one that got its knowledge from
    such a daemon, once in each interval. The answer carries the age of what it
    tells; the age is counted from before the question, so that a late answer
    makes it older, never younger. When no answer is recent, several daemons are
    asked at once, also in other regions, and finally the store itself. What an
    outage of the store costs is thereby bounded by the regions: one daemon in
    contact keeps all those in force that reach it.
*/
class FreshnessAgent final : public FleetAgent::NoteHandler {
 public:
  /** Passes the known roll-outs between daemons. */
  class RolloutExchange {
   public:
    virtual ~RolloutExchange() = default;
    /** @returns the known roll-outs */
    virtual Json::Value EncodeRollouts() const = 0;
    /** Merges what EncodeRollouts of a peer returned. */
    virtual void OnRollouts(const Json::Value& rollouts) = 0;
  };

  /** All arguments outlive this. */
  FreshnessAgent(DaemonContext& context, FleetAgent& fleet, ConfigAgent& config,
                 RolloutExchange& rollouts);

  void Start();

  void OnNote(const VmId& from, const Json::Value& body) override;

 private:
  Task<void> Run();
  void Ask();
  void AskPeer(const VmId& peer);
  void Answer(const VmId& from, const Json::Value& question);
  void OnAnswer(const VmId& from, const Json::Value& answer);
  bool IsNeeded() const;
  std::vector<VmId> PeersToAsk(bool is_stale);

  DaemonContext& context_;
  FleetAgent& fleet_;
  ConfigAgent& config_;
  RolloutExchange& rollouts_;
  /** When each question was sent, by its number. */
  std::map<std::uint64_t, MonoTime> questions_;
  std::uint64_t next_question_ = 1;
  MonoTime next_ask_;
  MonoTime next_store_ask_;
  /** Where the latest statement came from; empty when unknown. */
  VmId source_;
};

}  // namespace cumin
