#include "cumin_proxy/rate_controller.h"

#include <utility>

#include "cumin_core/json_object.h"
#include "cumin_core/stable_hash.h"

namespace cumin {

namespace {

constexpr Duration kReportTimeout = std::chrono::milliseconds(500);
constexpr std::size_t kMaxReports = 1000;
constexpr double kMaxDemandPerS = 1e9;
constexpr char kMethod[] = "rate.report";

/** The source under which the sum of the other daemons' demand is kept. */
VmId OthersSource() { return VmId("others"); }

Json::Value ToJson(const DemandReport& report) {
  Json::Value out;
  out["customer"] = report.customer.str();
  out["per_s"] = report.demand_per_s;
  return out;
}

/** @returns a report read from a peer's message, or kInvalid */
Result<DemandReport> ReadReport(const Json::Value& in, const VmId& source) {
  const bool typed = in.isObject() && in["customer"].isString() &&
                     in["per_s"].isNumeric() && in["per_s"].asDouble() >= 0 &&
                     in["per_s"].asDouble() <= kMaxDemandPerS;
  if (!typed) {
    return Error{ErrorCode::kInvalid, source.str(), 0, "reports",
                 "must list a customer and a demand from 0 to 1e9 a second"};
  }
  return DemandReport{source, CustomerId(in["customer"].asString()),
                      in["per_s"].asDouble()};
}

}  // namespace

RateController::RateController(Blackboard& board, PeerCaller& caller)
    : board_(board),
      caller_(caller),
      demand_board_(RateSharePolicy{}.report_max_age) {}

RateController::~RateController() { Stop(); }

void RateController::Register(JsonRpcDispatcher& dispatcher) {
  dispatcher.Register(kMethod,
                      [this](const Json::Value& it) { return OnReport(it); });
}

Duration RateController::Step() {
  std::map<VmId, std::pair<Member, Reports>> by_coordinator;
  const MonoTime now = board_.clock.Now();
  for (DemandReport& it : board_.rates.TakeReports(board_.settings.vm, now)) {
    const Member coordinator = CoordinatorOf(it.customer);
    auto& entry = by_coordinator[coordinator.vm];
    entry.first = coordinator;
    entry.second.push_back(std::move(it));
  }
  for (const auto& [vm, entry] : by_coordinator) {
    if (vm == board_.settings.vm || vm.empty()) {
      ExchangeHere(entry.second);
    } else {
      Send(entry.first, entry.second);
    }
  }
  return RateSharePolicy{}.report_interval;
}

Member RateController::CoordinatorOf(const CustomerId& customer) {
  const std::uint64_t revision = board_.fleet.revision();
  if (coordinators_revision_ != revision) {
    coordinators_.clear();
    coordinators_revision_ = revision;
  }
  const auto known = coordinators_.find(customer);
  if (known != coordinators_.end()) {
    return known->second;
  }
  Member best;
  std::uint64_t best_rank = 0;
  for (const Member& it : board_.fleet.Members()) {
    const std::uint64_t rank =
        StableHash("rate/" + customer.str() + "/" + it.vm.str());
    if (best.vm.empty() || rank > best_rank) {
      best = it;
      best_rank = rank;
    }
  }
  coordinators_[customer] = best;
  return best;
}

void RateController::Send(const Member& coordinator, const Reports& reports) {
  Json::Value parameters;
  parameters["from"] = board_.settings.vm.str();
  for (const DemandReport& it : reports) {
    parameters["reports"].append(ToJson(it));
  }
  const Result<Json::Value> answer =
      caller_.Call(coordinator, kMethod, parameters, kReportTimeout);
  if (!answer || !answer.value().isArray()) {
    return;
  }
  for (const Json::Value& it : answer.value()) {
    const Result<DemandReport> others = ReadReport(it, OthersSource());
    if (others) {
      TakeIn(others.value().customer, others.value().demand_per_s);
    }
  }
}

void RateController::ExchangeHere(const Reports& reports) {
  const MonoTime now = board_.clock.Now();
  for (const DemandReport& it : reports) {
    double others = 0;
    {
      const std::lock_guard<std::mutex> lock(board_mutex_);
      others = demand_board_.Exchange(it, now);
    }
    TakeIn(it.customer, others);
  }
}

void RateController::TakeIn(const CustomerId& customer, double others_per_s) {
  board_.rates.OnReport(DemandReport{OthersSource(), customer, others_per_s},
                        board_.clock.Now());
}

Result<Json::Value> RateController::OnReport(const Json::Value& parameters) {
  const Json::Value& list = parameters["reports"];
  if (!parameters["from"].isString() || !list.isArray() ||
      list.size() > kMaxReports) {
    return Error{ErrorCode::kInvalid, kMethod, 0, "reports",
                 "must be a list of at most 1000 reports"};
  }
  const VmId from(parameters["from"].asString());
  const MonoTime now = board_.clock.Now();
  Json::Value answer(Json::arrayValue);
  for (const Json::Value& it : list) {
    const Result<DemandReport> report = ReadReport(it, from);
    if (!report) {
      return report.error();
    }
    const std::lock_guard<std::mutex> lock(board_mutex_);
    const double others = demand_board_.Exchange(report.value(), now);
    answer.append(ToJson(DemandReport{from, report.value().customer, others}));
  }
  return answer;
}

}  // namespace cumin
