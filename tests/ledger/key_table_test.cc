#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "cumin_ledger/cumin_ledger.h"
#include "support/property.h"

namespace cumin::test {

namespace {

const ShardId kShard{ServiceId("orderdesk"), 3};

Attempt MakeAttempt(int n, std::uint64_t hash = 1) {
  Attempt attempt;
  attempt.key = CallKey{CustomerId("fabricators"),
                        IdempotencyKey("k" + std::to_string(n))};
  attempt.request_hash = hash;
  return attempt;
}

StoredAnswerPtr MakeAnswer(std::size_t bytes) {
  return new StoredAnswer(200, "", std::string(bytes, 'x'));
}

/** A shard owned by this daemon; simulates the store's answers. */
struct OwnedShard {
  explicit OwnedShard(const LedgerOptions& options)
      : ledger(kShard, VmId("vm"), options) {
    ShardOwnership& ownership = ledger.ownership();
    ownership.Next(term, MonoTime());
    ownership.OnAnswer(Error{ErrorCode::kNotFound, "", 0, "", ""}, WallTime());
    ownership.Next(term, MonoTime());
    ownership.OnAnswer(StoreEntry(), WallTime());
  }

  AttemptDecision Begin(const Attempt& attempt, WallTime wall_now) {
    return ledger.Begin(attempt, term, MonoTime(), wall_now);
  }

  RefusalReason Refused(const Attempt& attempt, WallTime wall_now) {
    const AttemptDecision decision = Begin(attempt, wall_now);
    const auto* refusal = std::get_if<Refusal>(&decision);
    return refusal == nullptr ? RefusalReason::kNone : refusal->reason;
  }

  LeaseTerm term{"lease", MonoTime(std::chrono::hours(1))};
  ShardLedger ledger;
};

class KeyTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(KeyTableTest);
  CPPUNIT_TEST(TestMemoryIsBounded);
  CPPUNIT_TEST(TestExportRoundTrip);
  CPPUNIT_TEST(TestRefusals);
  CPPUNIT_TEST(TestFullTableRefuses);
  CPPUNIT_TEST(TestMemberLossMovesOnlyItsShards);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TestMemoryIsBounded() {
    CheckProperty("keys and bytes of answers stay within their bounds", [] {
      LedgerOptions options;
      options.max_keys = 20;
      options.max_answer_bytes = 500;
      KeyTable table(options);
      for (int i = 0; i < 100; ++i) {
        const WallTime now = FromUnixMillis(i);
        table.RemoveExpired(now);
        KeyEntry* entry =
            table.Insert(MakeAttempt(i), now + std::chrono::milliseconds(15));
        if (entry != nullptr && *rc::gen::inRange(0, 4) > 0) {
          table.SetRan(entry, MakeAnswer(*rc::gen::inRange(0, 600)));
        }
        RC_ASSERT(table.size() <= options.max_keys);
        RC_ASSERT(table.answer_bytes() <= options.max_answer_bytes);
      }
      table.EraseAdmitted();
      table.RemoveExpired(FromUnixMillis(1000));
      RC_ASSERT(table.size() == 0U);
      RC_ASSERT(table.answer_bytes() == 0U);
    });
  }

  void TestExportRoundTrip() {
    KeyTable table((LedgerOptions()));
    table.SetRan(table.Insert(MakeAttempt(1), FromUnixMillis(5)),
                 MakeAnswer(3));
    table.Insert(MakeAttempt(2), FromUnixMillis(6))->state =
        KeyState::kDispatched;
    table.Insert(MakeAttempt(3), FromUnixMillis(7));
    const KeyExport sent{kShard, 4, "lease", FromUnixMillis(9), table.Export()};
    const KeyExport taken = ParseKeyExport(ToText(sent), "peer").value();
    CPPUNIT_ASSERT(taken.shard == kShard);
    KeyTable copy((LedgerOptions()));
    copy.Import(taken.keys);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), copy.size());
    CPPUNIT_ASSERT_EQUAL(std::string("xxx"),
                         copy.Find(MakeAttempt(1).key)->answer->body());
    CPPUNIT_ASSERT(copy.Find(MakeAttempt(2).key)->state ==
                   KeyState::kMayHaveRun);
    CPPUNIT_ASSERT(!ParseKeyExport("{\"keys\":[{}]}", "peer").has_value());
  }

  void TestRefusals() {
    const WallTime now = FromUnixMillis(1000000000);
    OwnedShard shard((LedgerOptions()));
    Attempt attempt = MakeAttempt(1);
    CPPUNIT_ASSERT_EQUAL(RefusalReason::kNone, shard.Refused(attempt, now));
    CPPUNIT_ASSERT_EQUAL(RefusalReason::kBadRequest,
                         shard.Refused(MakeAttempt(1, 2), now));
    attempt = MakeAttempt(2);
    attempt.first_sent = now + std::chrono::seconds(2);
    CPPUNIT_ASSERT_EQUAL(RefusalReason::kBadRequest,
                         shard.Refused(attempt, now));
    attempt.first_sent = now - std::chrono::minutes(11);
    CPPUNIT_ASSERT_EQUAL(RefusalReason::kKeyExpired,
                         shard.Refused(attempt, now));
    attempt.key.key = IdempotencyKey();
    CPPUNIT_ASSERT_EQUAL(RefusalReason::kKeyRequired,
                         shard.Refused(attempt, now));
  }

  void TestFullTableRefuses() {
    LedgerOptions options;
    options.max_keys = 1;
    OwnedShard shard(options);
    const AttemptDecision first = shard.Begin(MakeAttempt(1), WallTime());
    shard.ledger.Finish(std::get<DispatchToken>(first), Verdict::kRan,
                        MakeAnswer(options.max_answer_bytes + 1));
    CPPUNIT_ASSERT_EQUAL(RefusalReason::kShed,
                         shard.Refused(MakeAttempt(2), WallTime()));
    CPPUNIT_ASSERT_EQUAL(RefusalReason::kAnswerIncomplete,
                         shard.Refused(MakeAttempt(1), WallTime()));
  }

  void TestMemberLossMovesOnlyItsShards() {
    CheckProperty(
        "a VM that leaves moves only the shards it ranked first for", [] {
          const int n = *rc::gen::inRange(2, 12);
          std::vector<VmId> members;
          members.reserve(static_cast<std::size_t>(n));
          for (int i = 0; i < n; ++i) {
            members.emplace_back("vm" + std::to_string(i));
          }
          const ShardMap before(kShard.service, 8, members);
          const VmId removed = members.back();
          members.pop_back();
          const ShardMap after(kShard.service, 8, members);
          for (const ShardId& it : before.Shards()) {
            const VmId owner = before.PreferredOwner(it);
            RC_ASSERT(owner == removed || owner == after.PreferredOwner(it));
          }
        });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeyTableTest);

}  // namespace

}  // namespace cumin::test
