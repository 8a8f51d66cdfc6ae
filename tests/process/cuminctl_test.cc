// cuminctl as a process, against the store stand-in and a fake daemon.

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "cumin_config/config_queries.h"
#include "cumin_config/config_store_reader.h"
#include "cumin_core/json_text.h"
#include "cumin_rpc/http_client.h"
#include "cumin_rpc/http_server.h"
#include "cumin_rpc/json_rpc_dispatcher.h"
#include "cumin_store/http_store.h"
#include "standins/store_standin/store_standin.h"
#include "support/child_process.h"
#include "support/temp_dir.h"

namespace cumin {

namespace {

using test::ChildProcess;

constexpr Duration kStoreTimeout = std::chrono::seconds(10);
constexpr int kManyCalls = 100000;
constexpr std::size_t kAllVersions = 100;

constexpr char kMesh[] = R"(mesh: swan-coil
services:
  - name: catalogue
    operations:
      - {name: price, method: GET, path: /price/, runs: idempotent}
)";

std::string ContractText(int burst) {
  return "customer: fabricators\nburst: " + std::to_string(burst) +
         "\ngrants:\n  - {service: catalogue, operation: price}\n";
}

/** Exit status and output of a finished run of cuminctl. */
struct RunResult {
  int status = -1;
  std::string output;
  std::string errors;
};

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

/** A store that applies an update of the configuration head, but answers it and
    all later requests with status 500. */
class FailingStore final : public HttpHandler {
 public:
  HttpResponse Handle(const HttpRequest& request) override {
    HttpResponse failure;
    failure.status = 500;
    if (is_down) {
      return failure;
    }
    HttpResponse response = inner_.Handle(request);
    const bool updates_head =
        request.method == "PUT" && Contains(request.path, "config/head");
    if (fails_at_head_update && updates_head) {
      is_down = true;
      return failure;
    }
    return response;
  }

  std::atomic<bool> fails_at_head_update{false};
  std::atomic<bool> is_down{false};

 private:
  SystemClock clock_;
  test::StoreStandin inner_{clock_, kManyCalls, kManyCalls};
};

/** A daemon that answers the queries of cuminctl from fixed data. */
class FakeDaemon final : public HttpHandler {
 public:
  explicit FakeDaemon(StatusReport report, std::vector<ConfigBundle> bundles)
      : report_(std::move(report)), bundles_(std::move(bundles)) {
    dispatcher_.Register(kStatusMethod, [this](const Json::Value&) {
      return Result<Json::Value>(ToJson(report_));
    });
    dispatcher_.Register(kHistoryMethod, [this](const Json::Value&) {
      return Result<Json::Value>(ToJson(HistoryAnswer{report_.history}));
    });
    dispatcher_.Register(kBundleMethod, [this](const Json::Value& parameters) {
      return FindBundle(parameters);
    });
  }

  HttpResponse Handle(const HttpRequest& request) override {
    HttpResponse response;
    response.body = dispatcher_.Dispatch(request.body);
    return response;
  }

 private:
  Result<Json::Value> FindBundle(const Json::Value& parameters) {
    const auto query = ParseBundleQuery(parameters, "");
    for (const ConfigBundle& it : bundles_) {
      if (query && it.head.change.version == query.value().version) {
        return ToJson(BundleAnswer{it});
      }
    }
    return Error{ErrorCode::kNotFound, "", 0, "", "no such version here"};
  }

  JsonRpcDispatcher dispatcher_;
  StatusReport report_;
  std::vector<ConfigBundle> bundles_;
};

MemberVersionReport MemberAt(const std::string& vm, std::uint64_t version) {
  MemberVersionReport member;
  member.vm = VmId(vm);
  member.endpoint = {"127.0.0.1", 7000};
  member.region = RegionId("perth");
  member.failure_domain = FailureDomainId("perth-a");
  member.version = version;
  member.in_force_since = FromUnixMillis(1796350208000);
  member.last_heard = FromUnixMillis(1796350209000);
  member.reachable = true;
  return member;
}

class CuminctlTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CuminctlTest);
  CPPUNIT_TEST(TestRacingOperatorsHaveOneWinner);
  CPPUNIT_TEST(TestLostAnswersAreResolved);
  CPPUNIT_TEST(TestBadDocumentsLeaveTheStoreUnchanged);
  CPPUNIT_TEST(TestRollbackDiffAndHistory);
  CPPUNIT_TEST(TestUnknownOutcomeIsReportedAndResumed);
  CPPUNIT_TEST(TestReadsFromDaemonDuringStoreOutage);
  CPPUNIT_TEST(TestStatusNamesUnconfirmedDaemons);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    auto started = ChildProcess::Start(
        {test::ProgramPath("tests/store_standin"), "--listen", "127.0.0.1:0"},
        files_.File("store"));
    CPPUNIT_ASSERT(started);
    standin_ = std::move(started.value());
    const std::string line = standin_->FirstLine();
    CPPUNIT_ASSERT_MESSAGE(line, line.rfind("listening ", 0) == 0);
    store_ = line.substr(std::string("listening ").size());
    files_.Write("mesh.yaml", kMesh);
  }

  void tearDown() override { standin_.reset(); }

  void TestRacingOperatorsHaveOneWinner() {
    ApplyFirst();
    const auto anna = StartApply("anna", 60, 1);
    const auto boris = StartApply("boris", 70, 1);
    const RunResult first = Finish(*anna, "anna");
    const RunResult second = Finish(*boris, "boris");
    CPPUNIT_ASSERT_EQUAL(3, first.status + second.status);
    const bool anna_won = first.status == 0;
    const RunResult& loser = anna_won ? second : first;
    CPPUNIT_ASSERT_EQUAL(3, loser.status);
    const std::string winner = anna_won ? "anna" : "boris";
    for (const std::string& it :
         {"by " + winner, "\"burst by " + winner + "\"",
          std::string("accepted 20"), std::string("customer/fabricators"),
          std::string("--based-on 2")}) {
      CPPUNIT_ASSERT_MESSAGE(loser.output, Contains(loser.output, it));
    }
    const RunResult stale = Apply("cleo", 80, 1);
    CPPUNIT_ASSERT_EQUAL(3, stale.status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, ReadNewest().size());
  }

  void TestLostAnswersAreResolved() {
    ApplyFirst();
    SetFaults("{\"lose_answers\":3}");
    const RunResult applied = Apply("anna", 60, 1);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(applied.output + applied.errors, 0,
                                 applied.status);
    CPPUNIT_ASSERT(Contains(applied.output, "Accepted: version 2"));
    const auto history = ReadNewest();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, history.size());
    CPPUNIT_ASSERT_EQUAL(std::string("anna"), history[0].author);
  }

  void TestBadDocumentsLeaveTheStoreUnchanged() {
    ApplyFirst();
    const std::vector<StoreEntry> before = ReadEntries();
    const std::string orphan =
        "customer: fabricators\ngrants: [{service: none, operation: x}]\n";
    for (const std::string& it :
         {ContractText(0), std::string("customer: [\n"), std::string(),
          std::string("customer: a\nunknown: 1\n"), orphan}) {
      const std::string path = files_.Write("bad.yaml", it);
      const RunResult applied = Run(ApplyCommand(path, "anna", 1), "bad");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(applied.output + applied.errors, 2,
                                   applied.status);
      CPPUNIT_ASSERT(before == ReadEntries());
    }
    CPPUNIT_ASSERT_EQUAL(2, Run({"apply", "--based-on", "1"}, "bad").status);
    const std::string path = files_.Write("bad.yaml", ContractText(0));
    const RunResult checked = Run({"validate", path}, "bad");
    CPPUNIT_ASSERT_EQUAL(2, checked.status);
    CPPUNIT_ASSERT_MESSAGE(checked.errors,
                           Contains(checked.errors, "bad.yaml:2: burst"));
  }

  void TestRollbackDiffAndHistory() {
    ApplyFirst();
    CPPUNIT_ASSERT_EQUAL(0, Apply("anna", 60, 1).status);
    const RunResult back = Run({"rollback", "1", "--based-on", "2", "--author",
                                "boris", "--note", "back", "--store", store_},
                               "back");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(back.output + back.errors, 0, back.status);
    const RunResult diff = Run({"diff", "2", "3", "--store", store_}, "diff");
    CPPUNIT_ASSERT_MESSAGE(
        diff.output,
        Contains(diff.output,
                 "customer/fabricators: burst was 60 and is 50.\n"));
    const RunResult history =
        Run({"history", "--store", store_, "--output", "json"}, "history");
    const Json::Value value = ParseJson(history.output, "").value();
    const auto parsed = ParseHistoryAnswer(value, "cuminctl").value();
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, parsed.history.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, parsed.history[0].version);
  }

  void TestUnknownOutcomeIsReportedAndResumed() {
    FailingStore failing_store;
    HttpServer server(failing_store, HttpServerOptions());
    store_ = ToString(server.Start({"127.0.0.1", 0}).value());
    ApplyFirst();
    failing_store.fails_at_head_update = true;
    std::vector<std::string> command =
        ApplyCommand(files_.Write("c.yaml", ContractText(60)), "anna", 1);
    command.insert(command.end(), {"--change-id", "c-night"});
    const RunResult unknown = Run(command, "unknown");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(unknown.output + unknown.errors, 5,
                                 unknown.status);
    CPPUNIT_ASSERT(Contains(unknown.output, "--change-id c-night"));
    failing_store.fails_at_head_update = false;
    failing_store.is_down = false;
    const RunResult resumed = Run(command, "resumed");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(resumed.output, 0, resumed.status);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, ReadNewest().size());
    server.Stop();
  }

  void TestReadsFromDaemonDuringStoreOutage() {
    ApplyFirst();
    CPPUNIT_ASSERT_EQUAL(0, Apply("anna", 60, 1).status);
    StatusReport report = MakeReport();
    report.store_answered = false;
    FakeDaemon daemon(report, ReadBundles());
    HttpServer server(daemon, HttpServerOptions());
    const std::string address =
        ToString(server.Start({"127.0.0.1", 0}).value());
    SetFaults("{\"outage\":true}");
    const RunResult refused = Apply("cleo", 80, 2);
    CPPUNIT_ASSERT_EQUAL(4, refused.status);
    CPPUNIT_ASSERT(Contains(refused.output, "nothing was changed"));
    const std::vector<std::string> addresses = {"--store", store_, "--daemon",
                                                address};
    const RunResult history = RunAgainst({"history"}, addresses);
    CPPUNIT_ASSERT_EQUAL(0, history.status);
    CPPUNIT_ASSERT(Contains(history.output, "by anna"));
    const RunResult diff = RunAgainst({"diff", "1", "2"}, addresses);
    CPPUNIT_ASSERT_EQUAL(0, diff.status);
    CPPUNIT_ASSERT(Contains(diff.output, "burst was 50 and is 60."));
    const RunResult status = RunAgainst({"status"}, addresses);
    CPPUNIT_ASSERT_EQUAL(6, status.status);
    CPPUNIT_ASSERT(Contains(status.output, "is in force on 2 of 2 daemons"));
    CPPUNIT_ASSERT(Contains(status.output, "The store does not answer"));
    server.Stop();
  }

  void TestStatusNamesUnconfirmedDaemons() {
    ApplyFirst();
    CPPUNIT_ASSERT_EQUAL(0, Apply("anna", 60, 1).status);
    StatusReport report = MakeReport();
    report.members[1].version = 1;
    FakeDaemon daemon(report, {});
    HttpServer server(daemon, HttpServerOptions());
    const std::string address =
        ToString(server.Start({"127.0.0.1", 0}).value());
    const RunResult status =
        Run({"status", "--daemon", address, "--at", "23:59"}, "status");
    CPPUNIT_ASSERT_EQUAL(6, status.status);
    CPPUNIT_ASSERT_MESSAGE(
        status.output,
        Contains(status.output,
                 "Not confirmed by vm-2 (perth/perth-a): it reported version "
                 "1 and was last heard 02:10:09."));
    server.Stop();
  }

 private:
  static RunResult Finish(ChildProcess& process, const std::string& path) {
    RunResult result;
    result.status = process.WaitForEnd().value_or(-1);
    result.output = process.Output();
    result.errors = test::ReadFile(path + ".err");
    return result;
  }

  std::unique_ptr<ChildProcess> Start(std::vector<std::string> arguments,
                                      const std::string& name) {
    arguments.insert(arguments.begin(), test::ProgramPath("cuminctl"));
    auto started = ChildProcess::Start(arguments, files_.File(name));
    CPPUNIT_ASSERT(started);
    return std::move(started.value());
  }

  RunResult Run(std::vector<std::string> arguments, const std::string& name) {
    const auto process = Start(std::move(arguments), name);
    return Finish(*process, files_.File(name));
  }

  RunResult RunAgainst(std::vector<std::string> arguments,
                       const std::vector<std::string>& addresses) {
    arguments.insert(arguments.end(), addresses.begin(), addresses.end());
    return Run(std::move(arguments), "run");
  }

  std::vector<std::string> ApplyCommand(const std::string& path,
                                        const std::string& author,
                                        int based_on) const {
    return {"apply",    path,   "--based-on", std::to_string(based_on),
            "--author", author, "--note",     "burst by " + author,
            "--store",  store_};
  }

  std::unique_ptr<ChildProcess> StartApply(const std::string& author, int burst,
                                           int based_on) {
    const std::string path =
        files_.Write(author + ".yaml", ContractText(burst));
    return Start(ApplyCommand(path, author, based_on), author);
  }

  RunResult Apply(const std::string& author, int burst, int based_on) {
    const auto process = StartApply(author, burst, based_on);
    return Finish(*process, files_.File(author));
  }

  void ApplyFirst() {
    const std::string path = files_.Write("first.yaml", ContractText(50));
    std::vector<std::string> command = ApplyCommand(path, "anna", 0);
    command.insert(command.begin() + 1, files_.File("mesh.yaml"));
    const RunResult result = Run(command, "first");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(result.output + result.errors, 0,
                                 result.status);
  }

  void SetFaults(const std::string& json) const {
    HttpClient client(ParseEndpoint(store_).value());
    HttpRequest request;
    request.method = "PUT";
    request.path = "/standin/fault";
    request.body = json;
    CPPUNIT_ASSERT(
        client.Exchange(request, kStoreTimeout, ConnectionUse::kFreshOnly));
  }

  std::vector<ConfigVersionRecord> ReadNewest() const {
    HttpStore store(ParseEndpoint(store_).value(), kStoreTimeout);
    return ConfigStoreReader(store).ReadNewest(kAllVersions).value();
  }

  std::vector<StoreEntry> ReadEntries() const {
    HttpStore store(ParseEndpoint(store_).value(), kStoreTimeout);
    return store.List("config/").value().entries;
  }

  std::vector<ConfigBundle> ReadBundles() const {
    HttpStore store(ParseEndpoint(store_).value(), kStoreTimeout);
    ConfigStoreReader reader(store);
    std::vector<ConfigBundle> bundles;
    for (const std::uint64_t it : {1, 2}) {
      const HeadRecord record = reader.ReadVersion(it).value();
      bundles.push_back(reader.ReadBundle(record, nullptr).value());
    }
    return bundles;
  }

  StatusReport MakeReport() const {
    StatusReport report;
    report.made_at = FromUnixMillis(1796350260000);  // 02:11:00 UTC
    report.made_by = VmId("vm-1");
    report.store_answered = true;
    report.history = ReadNewest();
    report.members = {MemberAt("vm-1", 2), MemberAt("vm-2", 2)};
    return report;
  }

  test::TempDir files_;
  std::unique_ptr<ChildProcess> standin_;
  std::string store_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CuminctlTest);

}  // namespace

}  // namespace cumin
