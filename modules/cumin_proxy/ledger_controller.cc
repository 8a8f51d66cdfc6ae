#include "cumin_proxy/ledger_controller.h"

#include <thread>
#include <vector>

#include "cumin_core/logging.h"
#include "cumin_proxy/shard_candidates.h"

namespace cumin {

namespace {

constexpr char kHandoverMethod[] = "ledger.handover";
constexpr char kExportField[] = "export";
constexpr Duration kStepPause = std::chrono::milliseconds(50);
constexpr Duration kLeavePoll = std::chrono::milliseconds(20);
constexpr Duration kPeerTimeout = std::chrono::seconds(2);

}  // namespace

LedgerController::LedgerController(Blackboard& board, Store& store,
                                   LedgerTable& ledger)
    : board_(board),
      store_(store),
      ledger_(ledger),
      peers_(board.metrics, board.settings.region),
      handovers_(board.metrics.GetCounter("ledger_handovers_total")) {}

LedgerController::~LedgerController() { Stop(); }

void LedgerController::Register(JsonRpcDispatcher& dispatcher,
                                LedgerTable& ledger) {
  dispatcher.Register(
      kHandoverMethod, [&ledger](const Json::Value& in) -> Result<Json::Value> {
        const Error invalid{ErrorCode::kInvalid, kHandoverMethod, 0,
                            kExportField, "is missing or not wanted here"};
        if (!in.isObject() || !in[kExportField].isString()) {
          return invalid;
        }
        Result<KeyExport> keys =
            ParseKeyExport(in[kExportField].asString(), kHandoverMethod);
        if (!keys) {
          return keys.error();
        }
        if (!ledger.Import(std::move(keys.value()))) {
          return invalid;
        }
        return Json::Value(true);
      });
}

Duration LedgerController::Step() {
  OpenShards();
  if (ledger_.Shards().empty()) {
    return kStepPause;
  }
  StepLease();
  for (const ShardId& it : ledger_.Shards()) {
    if (!WantsShard(it) || stopping()) {
      continue;
    }
    const StoreCall call = ledger_.NextShardCall(it);
    if (call.kind != StoreCallKind::kNone) {
      ledger_.OnShardAnswer(it, ExecuteStoreCall(store_, call));
      // A slow store must not keep the lease from its renewal.
      StepLease();
    }
  }
  return kStepPause;
}

void LedgerController::StepLease() {
  const LeaseStep step = ledger_.NextLeaseStep();
  if (step.kind != LeaseStepKind::kNone) {
    ledger_.OnLeaseAnswer(step, ExecuteStoreCall(store_, step.call));
  }
}

void LedgerController::OpenShards() {
  const std::optional<AnnouncedTarget> target = board_.target.Current();
  const RefPtr<const ConfigSnapshot> snapshot = board_.config.Current();
  const Service* const service =
      target && snapshot ? snapshot->mesh().FindService(target->service)
                         : nullptr;
  if (service == nullptr) {
    return;
  }
  LedgerOptions options;
  options.key_window = service->key_window;
  for (const ShardId& it :
       ShardMap(service->name, service->ledger_shards, {}).Shards()) {
    ledger_.Open(it, options);
  }
}

bool LedgerController::WantsShard(const ShardId& shard) const {
  if (board_.leaving) {
    return false;
  }
  const ShardMap map(shard.service, 1,
                     ShardOwnerCandidates(board_, shard.service));
  return ledger_.HoldsKeys(shard) ||
         map.PreferredOwner(shard) == board_.settings.vm;
}

void LedgerController::Leave(Duration limit) {
  Stop();
  ledger_.Close();
  const MonoTime end = board_.clock.Now() + limit;
  while (ledger_.HasWorkUnderWay() && board_.clock.Now() < end) {
    std::this_thread::sleep_for(kLeavePoll);
  }
  int lost = 0;
  for (const ShardId& it : ledger_.Shards()) {
    const std::optional<KeyExport> keys = ledger_.Export(it);
    lost += keys && !HandOver(*keys) ? 1 : 0;
  }
  if (lost > 0) {
    CUMIN_LOG(warning) << lost << " ledger shards found no next owner";
  }
  const std::string lease = ledger_.term().lease;
  if (!lease.empty()) {
    const Result<void> revoked = store_.RevokeLease(lease);
    if (!revoked) {
      CUMIN_LOG(warning) << "ledger lease not ended: " << revoked.error();
    }
  }
}

bool LedgerController::HandOver(const KeyExport& keys) {
  Json::Value parameters;
  parameters[kExportField] = ToText(keys);
  const ShardMap map(keys.shard.service, 1,
                     ShardOwnerCandidates(board_, keys.shard.service));
  const std::vector<Member> members = board_.fleet.Members();
  for (const VmId& vm : map.RankedOwners(keys.shard)) {
    for (const Member& it : members) {
      if (it.vm == vm &&
          peers_.Call(it, kHandoverMethod, parameters, kPeerTimeout)) {
        handovers_.Add();
        return true;
      }
    }
  }
  return false;
}

}  // namespace cumin
