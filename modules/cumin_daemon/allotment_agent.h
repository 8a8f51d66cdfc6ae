#pragma once

#include <map>
#include <set>
#include <vector>

#include "cumin_admission/allotment_ledger.h"
#include "cumin_daemon/daemon_context.h"
#include "cumin_daemon/fleet_agent.h"

namespace cumin {

/** Exchanges what the daemons have admitted for each customer with the daemon
    that is responsible for the customer. That is one of the live members, by
    rendezvous hashing, so that another one takes over when it is gone. Without
    customers that have an allotment nothing is sent. */
class AllotmentAgent final : public FleetAgent::NoteHandler {
 public:
  /** Both arguments outlive this. */
  AllotmentAgent(DaemonContext& context, FleetAgent& fleet);

  void Start();

  void OnNote(const VmId& from, const Json::Value& body) override;

 private:
  Task<void> Run();
  void Report();
  /** Sends the shares of limited customers to the daemons that have not
      reported: each of them may get a request now and then. */
  void SpreadLimits();
  /** Sends the shares of a customer that has just been limited.
      @param except  gets its share with the answer to its report */
  void SendShares(const CustomerId& customer, const VmId& except);
  void LogLimited(const std::vector<AllotmentShare>& limited,
                  std::size_t daemons);
  void OnReports(const VmId& from, const Json::Value& reports);
  void OnShares(const Json::Value& shares);
  const VmId& ResponsibleFor(const CustomerId& customer);
  /** @returns the half of the live members that started first. Members that
      join become known to the others at different times; the responsible daemon
      must not move with each of them. */
  std::vector<Member> OldestMembers() const;

  DaemonContext& context_;
  FleetAgent& fleet_;
  AllotmentLedger ledger_;
  /** The responsible daemons for the members of this epoch. */
  std::map<CustomerId, VmId> responsible_;
  std::uint64_t members_epoch_ = 0;
  /** When each daemon reported last. */
  std::map<VmId, MonoTime> reported_at_;
  MonoTime next_spread_;
  /** The customers that were limited at the last spread. */
  std::set<CustomerId> limited_;
};

}  // namespace cumin
