#pragma once

#include "cumin_proxy/blackboard.h"
#include "cumin_proxy/controller.h"
#include "cumin_proxy/ledger_table.h"
#include "cumin_proxy/peer_caller.h"
#include "cumin_rpc/json_rpc_dispatcher.h"
#include "cumin_store/store.h"

namespace cumin {

/** Keeps this daemon's ledger lease and acquires the shards for which it is the
    preferred owner; hands them over when the daemon leaves. */
class LedgerController final : public Controller {
 public:
  /** All arguments outlive this object. */
  LedgerController(Blackboard& board, Store& store, LedgerTable& ledger);
  ~LedgerController() override;

  /** Registers the method by which a leaving owner hands over its keys. */
  static void Register(JsonRpcDispatcher& dispatcher, LedgerTable& ledger);

  /** Stops, takes no new attempts, waits for those under way, hands the shards
      to their next owners and ends the lease.
      @param limit  how long to wait for the attempts under way */
  void Leave(Duration limit);

 protected:
  Duration Step() override;

 private:
  void StepLease();
  void OpenShards();
  bool WantsShard(const ShardId& shard) const;
  bool HandOver(const KeyExport& keys);

  Blackboard& board_;
  Store& store_;
  LedgerTable& ledger_;
  PeerCaller peers_;
  Counter& handovers_;
};

}  // namespace cumin
