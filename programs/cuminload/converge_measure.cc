#include "cuminload/converge_measure.h"

#include <algorithm>
#include <cmath>
#include <thread>

#include "cumin_config/config_acceptor.h"
#include "cumin_core/random.h"
#include "cumin_store/http_store.h"
#include "cuminload/counting_store.h"

namespace cumin::load {

namespace {

constexpr int kCustomers = 20;
constexpr Duration kStoreTimeout = std::chrono::seconds(2);
/** Lets the gossip about the daemons' start subside before idle traffic is
    measured. */
constexpr Duration kSettleTime = std::chrono::seconds(15);
constexpr Duration kSettleTimePerDaemon = std::chrono::milliseconds(150);
constexpr Duration kPollInterval = std::chrono::seconds(1);
constexpr double kKbInMb = 1024.0;

class SleepingWaiter final : public ConfigAcceptor::Waiter {
 public:
  void Wait(Duration length) override { std::this_thread::sleep_for(length); }
};

std::string CustomerName(int index) {
  return "customer-" + std::to_string(index);
}

PartEdit ContractEdit(int customer, int rate) {
  const std::string name = CustomerName(customer);
  const std::string text =
      "customer: " + name + "\nrate_per_s: " + std::to_string(rate) +
      "\ngrants:\n  - {service: catalogue, operation: price}\n";
  return PartEdit{CustomerPartName(CustomerId(name)), text};
}

PartEdit MeshEdit() {
  return PartEdit{MeshPartName(), std::string(R"(mesh: converge
services:
  - name: catalogue
    operations:
      - {name: price, method: GET, path: /price/, runs: idempotent}
)")};
}

/** Counters summed over the fleet at one point in time. */
struct Totals {
  std::vector<std::uint64_t> control_bytes;
  double all_control_bytes = 0;
  double link_bytes = 0;
  double link_transfers = 0;
  double store_calls = 0;
  MonoTime at;
};

/** One measurement run on one fleet. */
class Measurement {
 public:
  Measurement(const ConvergeLayout& layout, const ConvergePlan& plan)
      : plan_(plan), fleet_(layout), random_(1) {
    result_.spread = layout.spread;
    result_.daemons = layout.daemons;
    result_.changes = plan.changes;
  }

  Result<ConvergeResult> Run() {
    const Result<void> started = fleet_.Start();
    if (!started) {
      return started.error();
    }
    HttpStore http_store(fleet_.store(), kStoreTimeout);
    CountingStore store(http_store);
    store_ = &store;
    std::vector<PartEdit> first{MeshEdit()};
    for (int i = 0; i < kCustomers; ++i) {
      first.push_back(ContractEdit(i, 1));
    }
    const Result<void> begun = ApplyChange(first, false);
    if (!begun) {
      return begun.error();
    }
    std::this_thread::sleep_for(kSettleTime +
                                kSettleTimePerDaemon * result_.daemons);
    MeasureIdle();
    return MeasureChanges();
  }

 private:
  void MeasureIdle() {
    const Totals before = ReadTotals();
    std::this_thread::sleep_for(plan_.idle);
    const Totals after = ReadTotals();
    const double seconds = SecondsBetween(before, after);
    idle_ = Totals{};
    idle_.all_control_bytes =
        (after.all_control_bytes - before.all_control_bytes) / seconds;
    idle_.link_bytes = (after.link_bytes - before.link_bytes) / seconds;
    idle_.store_calls = (after.store_calls - before.store_calls) / seconds;
    result_.idle_bytes_per_daemon_s = idle_.all_control_bytes / result_.daemons;
    result_.idle_link_bytes_s = idle_.link_bytes;
    result_.idle_store_calls_s = idle_.store_calls;
    for (std::size_t i = 0; i < before.control_bytes.size(); ++i) {
      const auto bytes =
          static_cast<double>(after.control_bytes[i] - before.control_bytes[i]);
      result_.idle_bytes_per_daemon_s_max =
          std::max(result_.idle_bytes_per_daemon_s_max, bytes / seconds);
    }
  }

  Result<ConvergeResult> MeasureChanges() {
    const std::uint64_t operator_calls = store_->calls();
    const Totals before = ReadTotals();
    for (int i = 0; i < plan_.changes; ++i) {
      const Result<void> changed =
          ApplyChange({ContractEdit(i % kCustomers, i + 2)}, true);
      if (!changed) {
        return changed.error();
      }
    }
    const Totals after = ReadTotals();
    const double seconds = SecondsBetween(before, after);
    const double changes = plan_.changes;
    result_.bytes_per_daemon_change =
        (after.all_control_bytes - before.all_control_bytes -
         idle_.all_control_bytes * seconds) /
        changes / result_.daemons;
    result_.link_bytes_per_change =
        (after.link_bytes - before.link_bytes - idle_.link_bytes * seconds) /
        changes;
    result_.link_transfers_per_change =
        (after.link_transfers - before.link_transfers) / changes;
    result_.operator_calls_per_change =
        static_cast<double>(store_->calls() - operator_calls) / changes;
    result_.store_calls_per_change =
        (after.store_calls - before.store_calls - idle_.store_calls * seconds) /
            changes -
        result_.operator_calls_per_change;
    return result_;
  }

  Result<void> ApplyChange(const std::vector<PartEdit>& edits, bool measured) {
    SleepingWaiter waiter;
    ConfigAcceptor acceptor(*store_, waiter, random_);
    ChangeRequest request;
    request.change_id = MakeChangeId(random_);
    request.based_on = version_;
    request.author = "cuminload";
    request.note = "converge";
    request.accepted_at = clock_.WallNow();
    request.edits = edits;
    const std::int64_t start_ms = ToUnixMillis(clock_.WallNow());
    const AcceptanceOutcome outcome = acceptor.Accept(request);
    if (outcome.result != AcceptanceResult::kAccepted) {
      return Error{ErrorCode::kUnavailable, "store", 0, "", Describe(outcome)};
    }
    ++version_;
    const std::vector<DaemonSample> samples = AwaitInForceEverywhere();
    for (const DaemonSample& it : samples) {
      if (it.version < version_) {
        ++result_.missing;
      } else if (measured) {
        result_.times_ms.push_back(it.in_force_since_ms - start_ms);
      }
      result_.resident_mb_max =
          std::max(result_.resident_mb_max,
                   static_cast<double>(it.resident_kb) / kKbInMb);
    }
    return Ok();
  }

  std::vector<DaemonSample> AwaitInForceEverywhere() {
    const MonoTime end = clock_.Now() + plan_.limit;
    while (true) {
      std::this_thread::sleep_for(kPollInterval);
      std::vector<DaemonSample> samples = fleet_.Sample();
      const bool everywhere = std::all_of(
          samples.begin(), samples.end(),
          [&](const DaemonSample& it) { return it.version >= version_; });
      if (everywhere || clock_.Now() >= end) {
        return samples;
      }
    }
  }

  Totals ReadTotals() {
    Totals totals;
    for (const DaemonSample& it : fleet_.Sample()) {
      totals.control_bytes.push_back(it.control_bytes);
      totals.all_control_bytes += static_cast<double>(it.control_bytes);
      totals.link_bytes += static_cast<double>(it.region_link_bytes);
      totals.link_transfers += static_cast<double>(it.region_transfers);
    }
    const Result<std::uint64_t> calls = fleet_.StoreCalls();
    totals.store_calls = calls ? static_cast<double>(calls.value()) : 0;
    totals.at = clock_.Now();
    return totals;
  }

  static double SecondsBetween(const Totals& a, const Totals& b) {
    return std::chrono::duration<double>(b.at - a.at).count();
  }

  const ConvergePlan plan_;
  ConvergeFleet fleet_;
  SystemClock clock_;
  SeededRandom random_;
  CountingStore* store_ = nullptr;
  std::uint64_t version_ = 0;
  /** Idle rates per second. */
  Totals idle_;
  ConvergeResult result_;
};

}  // namespace

Result<ConvergeResult> MeasureConvergence(const ConvergeLayout& layout,
                                          const ConvergePlan& plan) {
  return Measurement(layout, plan).Run();
}

std::int64_t QuantileMs(std::vector<std::int64_t> times, double fraction) {
  if (times.empty()) {
    return 0;
  }
  std::sort(times.begin(), times.end());
  const double rank = std::ceil(fraction * static_cast<double>(times.size()));
  return times[static_cast<std::size_t>(std::max(1.0, rank)) - 1];
}

Json::Value ToJson(const ConvergeResult& result) {
  Json::Value value;
  value["spread"] = result.spread;
  value["daemons"] = result.daemons;
  value["changes"] = result.changes;
  value["missing"] = result.missing;
  value["p50_ms"] = Json::Int64{QuantileMs(result.times_ms, 0.5)};
  value["p99_ms"] = Json::Int64{QuantileMs(result.times_ms, 0.99)};
  value["max_ms"] = Json::Int64{QuantileMs(result.times_ms, 1.0)};
  value["idle_bytes_per_daemon_s"] = result.idle_bytes_per_daemon_s;
  value["idle_bytes_per_daemon_s_max"] = result.idle_bytes_per_daemon_s_max;
  value["bytes_per_daemon_change"] = result.bytes_per_daemon_change;
  value["idle_link_bytes_s"] = result.idle_link_bytes_s;
  value["link_bytes_per_change"] = result.link_bytes_per_change;
  value["link_transfers_per_change"] = result.link_transfers_per_change;
  value["idle_store_calls_s"] = result.idle_store_calls_s;
  value["store_calls_per_change"] = result.store_calls_per_change;
  value["operator_calls_per_change"] = result.operator_calls_per_change;
  value["resident_mb_max"] = result.resident_mb_max;
  return value;
}

}  // namespace cumin::load
