#pragma once

#include <map>
#include <optional>

#include "cumin_daemon/config_agent.h"
#include "cumin_daemon/daemon_context.h"
#include "cumin_daemon/fleet_agent.h"
#include "cumin_daemon/freshness_agent.h"
#include "cumin_routing/rollout_plan.h"
#include "cumin_store/async_store.h"

namespace cumin {

/** Rolls out versions of the targets' software as operators order it.

    One daemon decides, the first of the ranking of the first region; it gets a
    report of every daemon beside a target of the service, and returns what it
    decided to all. When it is gone, the next one continues from what the
   daemons and the store know. The state in the store is written under the
   condition that it has not changed, so that a final state is never left, also
   when two daemons decide for a while. When the store is away, the share stays
   as it is; each watcher of the store writes a state that has not been written.
*/
class RolloutAgent final : public FleetAgent::NoteHandler,
                           public FreshnessAgent::RolloutExchange,
                           public ConfigAgent::OrderListener {
 public:
  /** All arguments outlive this. */
  RolloutAgent(DaemonContext& context, FleetAgent& fleet, ConfigAgent& config,
               AsyncStore& store, const RouteSource& source);

  void Start();

  void OnOrder(const RolloutOrder& order) override;
  Json::Value EncodeRollouts() const override;
  void OnRollouts(const Json::Value& rollouts) override;
  void OnNote(const VmId& from, const Json::Value& body) override;

 private:
  /** A roll-out that this daemon decides on. */
  struct Decision {
    Decision(const RolloutOrder& order, MonoTime now) : plan(order, now) {}

    RolloutPlan plan;
    /** The state in the store was read. */
    bool is_resumed = false;
  };
  /** A state in the store. */
  struct WrittenState {
    std::uint64_t era = 0;
    RolloutOrder order;
    RolloutState state = RolloutState::kActive;
  };

  Task<void> Run();
  void Report();
  void Decide();
  void Merge(const Rollout& received);
  void OnReport(const VmId& from, const Json::Value& body);
  Json::Value MakeReport();
  bool IsDecider();
  /** Turns to the next daemon when the one that decides does not answer. */
  void AwaitAnswer(MonoTime now);
  VmId Decider();
  Duration ReportInterval() const;
  void WriteStates();
  /** Reads the state in the store and, unless it is final, writes that of this
      daemon. */
  Task<void> SyncState(ServiceId service);
  bool IsWritten(const Rollout& rollout) const;
  Task<void> KeepProgress(Rollout rollout);
  Task<void> ReadProgress(ServiceId service);

  DaemonContext& context_;
  FleetAgent& fleet_;
  ConfigAgent& config_;
  AsyncStore& store_;
  const RouteSource& source_;
  std::map<ServiceId, Decision> decisions_;
  std::map<ServiceId, WrittenState> written_;
  /** Since when a state is not written, by service. */
  std::map<ServiceId, MonoTime> unwritten_since_;
  std::map<ServiceId, bool> is_syncing_;
  MonoTime next_report_;
  /** Place in the ranking of the daemon that is asked to decide. */
  std::size_t decider_rank_ = 0;
  std::uint64_t members_epoch_ = 0;
  /** Since when reports got no answer. */
  std::optional<MonoTime> unanswered_since_;
  /** When another daemon last asked this one to decide. */
  std::optional<MonoTime> asked_at_;
};

}  // namespace cumin
