#pragma once

#include <map>
#include <mutex>

#include "cumin_ledger/ledger_types.h"
#include "cumin_proxy/blackboard.h"
#include "cumin_proxy/call.h"
#include "cumin_proxy/ledger_table.h"
#include "cumin_proxy/owner_path.h"
#include "cumin_proxy/remote_path.h"

namespace cumin {

/** The path of calls that must run at most once.

    The ingress sends such a call to the daemon that owns the shard of its key,
    and finds that daemon by asking: one that doesn't own the shard names the
    one that does. The shard's owner remembers the key and has the call executed
    by a target, its own first. Thread-safe; one mutex guards the owners learned
    and is held for look-ups only.
*/
class OrderPath final : public CallPath {
 public:
  /** All arguments outlive this object. */
  OrderPath(Blackboard& board, LedgerTable& ledger, OwnerPath& owner,
            RemotePath& remote);

  /** Has the call executed through its shard's owner, wherever that is. A call
      whose answer was lost on the way is sent to the owner again, which knows
      its key. */
  CallResult Execute(const Call& call) override;

  /** Executes the call as its shard's owner, or refuses it and names the owner
      that this daemon knows of. */
  CallResult ExecuteAsOwner(const Call& call);

 private:
  /** What Execute learned from the tries so far. */
  struct Search {
    VmId owner;
    int redirects = 0;
    int pauses = 0;
    bool was_resent = false;
  };

  std::optional<ShardId> ShardOf(const Call& call) const;
  VmId PreferredOwner(const ShardId& shard) const;
  VmId KnownOwner(const ShardId& shard) const;
  void Learn(const ShardId& shard, const VmId& owner);
  CallResult Send(const VmId& owner, const Call& call);
  bool ShouldGoOn(const Call& call, const ShardId& shard,
                  const CallResult& result, Search* search);
  bool Pause(const Call& call, Search* search) const;
  CallResult ExecuteOnce(const Call& call, const ShardId& shard,
                         ChooseRequest* choice);
  CallResult RunOnTarget(const Call& call, ChooseRequest* choice);

  Blackboard& board_;
  LedgerTable& ledger_;
  OwnerPath& owner_;
  RemotePath& remote_;
  Counter& replays_;
  Counter& redirects_;
  mutable std::mutex mutex_;
  std::map<ShardId, VmId> owners_;
};

}  // namespace cumin
