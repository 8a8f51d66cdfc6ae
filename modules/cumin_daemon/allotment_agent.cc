#include "cumin_daemon/allotment_agent.h"

#include <algorithm>
#include <set>
#include <utility>

#include "cumin_core/json_object.h"
#include "cumin_core/stable_hash.h"

namespace cumin {

namespace {

constexpr char kTopic[] = "use";
constexpr Duration kTick = std::chrono::milliseconds(50);
constexpr Duration kExpireInterval = std::chrono::seconds(5);
constexpr Duration kSpreadInterval = std::chrono::seconds(1);
/** Daemons to which limits are spread in a second at most. */
constexpr std::size_t kMaxSpreadPerS = 300;
constexpr std::size_t kMaxNameBytes = 256;
/** Customers in one note; keeps it below the size of a datagram. */
constexpr std::size_t kMaxCustomers = 60;
constexpr std::int64_t kMaxRequests = 1 << 24;

int ReadCount(JsonObject& fields, const std::string& field) {
  return static_cast<int>(
      std::clamp<std::int64_t>(fields.Int(field), -kMaxRequests, kMaxRequests));
}

Json::Value ToJson(const AllotmentShare& share) {
  Json::Value value;
  value["c"] = share.customer.str();
  value["p"] = share.demand_part;
  value["l"] = share.level;
  if (share.is_unchanged) {
    value["k"] = true;
  }
  if (share.rate_per_s) {
    value["r"] = *share.rate_per_s;
  }
  return value;
}

}  // namespace

AllotmentAgent::AllotmentAgent(DaemonContext& context, FleetAgent& fleet)
    : context_(context),
      fleet_(fleet),
      ledger_(context.settings.allotment_tolerance) {}

void AllotmentAgent::Start() {
  fleet_.AddNoteHandler(kTopic, *this);
  asio::co_spawn(context_.executor, Run(), asio::detached);
}

Task<void> AllotmentAgent::Run() {
  MonoTime next_expire = context_.clock.Now();
  while (true) {
    co_await SleepFor(kTick);
    if (context_.allotments.size() > 0) {
      Report();
    }
    const MonoTime now = context_.clock.Now();
    if (now >= next_spread_) {
      SpreadLimits();
    }
    if (now >= next_expire) {
      next_expire = now + kExpireInterval;
      context_.allotments.Expire(now);
      ledger_.Expire(now);
    }
  }
}

void AllotmentAgent::Report() {
  const MonoTime now = context_.clock.Now();
  std::map<VmId, Json::Value> notes;
  for (const UsageReport& it : context_.allotments.TakeReports(now)) {
    Json::Value report;
    report["c"] = it.customer.str();
    report["o"] = it.offered;
    report["a"] = it.admitted;
    report["l"] = it.level;
    notes[ResponsibleFor(it.customer)]["u"].append(std::move(report));
  }
  for (auto& [vm, note] : notes) {
    if (vm == context_.settings.vm) {
      OnReports(vm, note["u"]);
    } else {
      fleet_.SendNote(vm, kTopic, std::move(note));
    }
  }
}

std::vector<Member> AllotmentAgent::OldestMembers() const {
  std::vector<Member> members = fleet_.Live();
  std::sort(
      members.begin(), members.end(), [](const Member& a, const Member& b) {
        return a.incarnation != b.incarnation ? a.incarnation < b.incarnation
                                              : a.vm < b.vm;
      });
  members.resize((members.size() + 1) / 2);
  return members;
}

const VmId& AllotmentAgent::ResponsibleFor(const CustomerId& customer) {
  if (members_epoch_ != fleet_.members_epoch()) {
    responsible_.clear();
    members_epoch_ = fleet_.members_epoch();
  }
  const auto [it, is_new] = responsible_.try_emplace(customer);
  if (is_new) {
    std::uint64_t highest = 0;
    for (const Member& member : OldestMembers()) {
      const std::uint64_t hash =
          StableHash(customer.str() + "|" + member.vm.str());
      if (it->second.empty() || hash > highest) {
        highest = hash;
        it->second = member.vm;
      }
    }
  }
  return it->second;
}

void AllotmentAgent::OnNote(const VmId& from, const Json::Value& body) {
  if (body.isMember("u")) {
    OnReports(from, body["u"]);
  } else {
    OnShares(body["s"]);
  }
}

void AllotmentAgent::SendShares(const CustomerId& customer,
                                const VmId& except) {
  for (const auto& [vm, share] :
       ledger_.SharesOf(customer, context_.clock.Now())) {
    Json::Value note;
    note["s"].append(ToJson(share));
    if (vm == context_.settings.vm) {
      OnShares(note["s"]);
    } else if (vm != except) {
      fleet_.SendNote(vm, kTopic, std::move(note));
    }
  }
}

void AllotmentAgent::SpreadLimits() {
  const MonoTime now = context_.clock.Now();
  const std::size_t daemons = fleet_.live_count();
  next_spread_ =
      now +
      std::max(kSpreadInterval,
               std::chrono::duration_cast<Duration>(std::chrono::seconds(1)) *
                   static_cast<Duration::rep>(daemons / kMaxSpreadPerS));
  const std::vector<AllotmentShare> limited = ledger_.Limited(daemons, now);
  LogLimited(limited, daemons);
  if (limited.empty()) {
    return;
  }
  Json::Value note;
  for (const AllotmentShare& it : limited) {
    note["s"].append(ToJson(it));
  }
  for (const Member& it : fleet_.Live()) {
    const auto reported = reported_at_.find(it.vm);
    const bool has_reported = reported != reported_at_.end() &&
                              now - reported->second < kSpreadInterval;
    if (it.vm != context_.settings.vm && !has_reported) {
      fleet_.SendNote(it.vm, kTopic, note);
    }
  }
}

void AllotmentAgent::LogLimited(const std::vector<AllotmentShare>& limited,
                                std::size_t daemons) {
  std::set<CustomerId> names;
  for (const AllotmentShare& it : limited) {
    names.insert(it.customer);
    if (limited_.count(it.customer) == 0) {
      const double rate = *it.rate_per_s * static_cast<double>(daemons);
      context_.log.Write(
          EventLine("customer-limited")
              .With("customer", it.customer.str())
              .With("rate_per_s", static_cast<std::int64_t>(rate)));
    }
  }
  for (const CustomerId& it : limited_) {
    if (names.count(it) == 0) {
      context_.log.Write(
          EventLine("customer-unlimited").With("customer", it.str()));
    }
  }
  limited_ = std::move(names);
}

void AllotmentAgent::OnReports(const VmId& from, const Json::Value& reports) {
  if (!reports.isArray() || !context_.routes) {
    return;
  }
  const MonoTime now = context_.clock.Now();
  reported_at_[from] = now;
  Json::Value note;
  note["s"] = Json::Value(Json::arrayValue);
  for (Json::ArrayIndex i = 0; i < reports.size() && i < kMaxCustomers; ++i) {
    JsonObject fields(reports[i], "peer");
    UsageReport report;
    report.customer = fields.Name<CustomerId>("c", kMaxNameBytes);
    report.offered = ReadCount(fields, "o");
    report.admitted = ReadCount(fields, "a");
    report.level = fields.Number("l");
    const Customer* const customer =
        context_.routes->FindCustomer(report.customer);
    if (!fields.Finish() || customer == nullptr || !customer->IsLimited()) {
      continue;
    }
    const bool was_limited = ledger_.IsLimited(customer->name);
    const AllotmentShare share = ledger_.OnReport(from, report, *customer, now);
    note["s"].append(ToJson(share));
    if (!was_limited && ledger_.IsLimited(customer->name)) {
      SendShares(customer->name, from);
    }
  }
  if (from == context_.settings.vm) {
    OnShares(note["s"]);
  } else {
    fleet_.SendNote(from, kTopic, std::move(note));
  }
}

void AllotmentAgent::OnShares(const Json::Value& shares) {
  if (!shares.isArray()) {
    return;
  }
  for (const Json::Value& it : shares) {
    JsonObject fields(it, "peer");
    AllotmentShare share;
    share.customer = fields.Name<CustomerId>("c", kMaxNameBytes);
    share.demand_part = fields.Number("p");
    share.level = fields.Number("l");
    share.is_unchanged = fields.Has("k") && fields.Bool("k");
    if (fields.Has("r")) {
      share.rate_per_s = fields.Number("r");
    }
    const Customer* const customer =
        context_.routes ? context_.routes->FindCustomer(share.customer)
                        : nullptr;
    if (fields.Finish() && customer != nullptr) {
      context_.allotments.OnShare(share, *customer, context_.most_live_daemons,
                                  context_.clock.Now());
    }
  }
}

}  // namespace cumin
