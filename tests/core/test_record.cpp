#include "record_world.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <iterator>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace savory;
using namespace savory::test;

namespace {

std::string
Text(const WorldOptions& aOptions, const std::vector<std::string>& aBroken)
{
  std::string text = "seed " + std::to_string(aOptions.mSeed);
  for (const auto& strike : aOptions.mStrikes) {
    text += ", fault " + std::to_string(static_cast<int>(strike.mFault)) +
            " at step " + std::to_string(static_cast<int>(strike.mStep));
  }
  return text + ": " + aBroken.front();
}

// Every fault at every step, then every pair of faults at every pair of
// steps. aCell returns false to stop.
template<class Cell>
void
EachCell(Cell aCell)
{
  int faults = kFaults;
  int steps = kSteps;
  std::uint64_t seed = 1;
  for (int first = 1; first < faults; ++first) {
    for (int at = 0; at < steps; ++at) {
      for (int second = 0; second < faults; ++second) {
        for (int later = at; later < (second == 0 ? at + 1 : steps); ++later) {
          WorldOptions options;
          options.mSeed = seed++;
          options.mStrikes = { { static_cast<Fault>(first),
                                 static_cast<Step>(at) } };
          if (second > 0) {
            options.mStrikes.push_back(
              { static_cast<Fault>(second), static_cast<Step>(later) });
          }
          if (!aCell(options)) {
            return;
          }
        }
      }
    }
  }
}

template<class Action>
std::size_t
Count(const RecordActions& aActions)
{
  return static_cast<std::size_t>(std::count_if(
    aActions.begin(), aActions.end(), [](const RecordAction& aAction) {
      return std::holds_alternative<Action>(aAction);
    }));
}

void
Append(RecordActions& aTo, RecordActions aMore)
{
  std::move(aMore.begin(), aMore.end(), std::back_inserter(aTo));
}

// The last answer among actions.
AnswerCall
AnswerOf(const RecordActions& aActions)
{
  AnswerCall answer;
  for (const auto& action : aActions) {
    if (const auto* found = std::get_if<AnswerCall>(&action)) {
      answer = *found;
    }
  }
  return answer;
}

// An owner of a new slot that has a lease until 5.5 s.
Slot
ServingSlot(const RecordOptions& aOptions)
{
  Slot slot = MakeSlot({ "a", 1 }, aOptions, 1700000000000, 0);
  LeaseRenewed(slot, 1000);
  TakeOver(slot, std::nullopt, 0);
  StatusAnswered(slot, StoreAnswer::Written, {}, 1);
  RecordRead(slot, std::vector<std::string>{}, 2);
  BOOST_REQUIRE(IsServing(slot));
  return slot;
}

// A call whose key has a length and, unless given, the call's own number.
KeyedCall
CallOf(CallId aCall, std::size_t aLength, CallId aNumber = 0)
{
  std::string key = std::to_string(aNumber == 0 ? aCall : aNumber);
  key.append(aLength - key.size(), 'k');
  return { aCall, "customer", key, 7, "request-" + key };
}

// Runs a call to its recorded outcome; false when it was refused.
bool
RunCall(Slot& aSlot, const KeyedCall& aCall, std::string aBody, TimeMs aNow)
{
  auto actions = CallArrived(aSlot, aCall, aNow);
  if (Count<AnswerCall>(actions) > 0) {
    return false;
  }
  Tick(aSlot, aNow + 10);
  for (int i = 0; i < 2 && aSlot.mInFlight; ++i) {
    BatchAnswered(
      aSlot, aSlot.mInFlight->mSequence, StoreAnswer::Written, aNow + 10);
    BackendAnswered(aSlot, aCall.mId, { 200, {}, aBody }, aNow + 10);
  }
  return true;
}

} // namespace

BOOST_AUTO_TEST_SUITE(record)

// Guards against a duplicate run, a false "not run", a replay that differs and
// a request billed twice or never, under one and two faults at every step.
BOOST_AUTO_TEST_CASE(fault_matrix)
{
  int cells = 0;
  int passed = 0;
  int struck = 0;
  EachCell([&](const WorldOptions& aOptions) {
    History history = RunWorld(aOptions);
    auto broken = Check(history, true);
    ++cells;
    struck += history.mStruck == static_cast<int>(aOptions.mStrikes.size());
    passed += broken.empty();
    if (!broken.empty() && cells - passed <= 20) {
      BOOST_ERROR(Text(aOptions, broken));
    }
    return true;
  });
  std::printf("matrix record: %d cells run, %d passed\n", cells, passed);
  std::printf("matrix record: in %d cells every fault was reached\n", struck);
  BOOST_TEST(passed == cells);
}

// Guards against a matrix that would pass anything: with any one mechanism
// taken away, some cell breaks a promise.
BOOST_AUTO_TEST_CASE(each_mechanism_is_needed)
{
  struct Away
  {
    const char* mName;
    std::function<void(WorldOptions&)> mTake;
  };
  std::vector<Away> mechanisms{
    { "claim before run",
      [](auto& aOptions) { aOptions.mRecord.mClaimBeforeRun = false; } },
    { "write conditional on the epoch",
      [](auto& aOptions) { aOptions.mRecord.mFenceWrites = false; } },
    { "reading back a lost answer",
      [](auto& aOptions) { aOptions.mRecord.mReadBack = false; } },
    { "two witnesses",
      [](auto& aOptions) { aOptions.mRecord.mWitnessAcks = 1; } },
    { "any witness",
      [](auto& aOptions) { aOptions.mRecord.mWitnessAcks = 0; } },
    { "the witness's epoch fence",
      [](auto& aOptions) { aOptions.mWitnessFence = false; } },
    { "fetching from a witness on take-over",
      [](auto& aOptions) { aOptions.mRecord.mFetchOnTakeOver = false; } },
    { "honoring earlier claims",
      [](auto& aOptions) { aOptions.mRecord.mHonorEarlierClaims = false; } },
    { "proof by lease",
      [](auto& aOptions) { aOptions.mRecord.mProveByLease = false; } },
    { "joining a running attempt",
      [](auto& aOptions) { aOptions.mRecord.mJoinRunning = false; } },
    { "comparing fingerprints",
      [](auto& aOptions) { aOptions.mRecord.mCheckFingerprint = false; } },
  };
  for (const auto& mechanism : mechanisms) {
    int cells = 0;
    std::string found;
    EachCell([&](WorldOptions& aOptions) {
      mechanism.mTake(aOptions);
      ++cells;
      auto broken = Check(RunWorld(aOptions), true);
      if (!broken.empty()) {
        found = Text(aOptions, broken);
      }
      return broken.empty();
    });
    std::printf("without %s: cell %d, %s\n",
                mechanism.mName,
                cells,
                found.empty() ? "nothing broken" : found.c_str());
    BOOST_TEST(!found.empty(), "no cell needs " << mechanism.mName);
  }
}

// Guards against broken promises under up to eight faults at random times.
BOOST_AUTO_TEST_CASE(random_faults)
{
  BOOST_TEST(rc::check("record under random faults", [] {
    WorldOptions options;
    options.mSeed = *rc::gen::inRange<std::uint64_t>(1, 1000000000);
    options.mRandomStrikes = *rc::gen::inRange(1, 9);
    auto broken = Check(RunWorld(options), false);
    RC_ASSERT(broken.empty());
  }));
}

// Guards against more than 20 writes a second, a value above 1 MB and a claim
// that is dispatched before its write was acknowledged.
BOOST_AUTO_TEST_CASE(claims_are_committed_in_groups)
{
  Slot slot = ServingSlot({});
  int writes = 0;
  std::size_t dispatched = 0;
  std::size_t longest = 0;
  CallId call = 0;
  std::vector<WriteBatch> open;
  for (TimeMs now = 1000; now < 3000; ++now) {
    auto actions = Tick(slot, now);
    for (int i = 0; i < 20; ++i) {
      ++call;
      Append(actions, CallArrived(slot, CallOf(call, 100), now));
    }
    for (const auto& write : open) {
      auto more =
        BatchAnswered(slot, write.mSequence, StoreAnswer::Written, now);
      auto batch = ParseRecordBatch(write.mValue);
      BOOST_REQUIRE(batch.has_value());
      dispatched += Count<DispatchCall>(more);
      BOOST_TEST(Count<DispatchCall>(more) == batch->mItems.size());
      Append(actions, std::move(more));
    }
    open.clear();
    for (const auto& action : actions) {
      if (const auto* write = std::get_if<WriteBatch>(&action)) {
        ++writes;
        longest = std::max(longest, write->mValue.size());
        open.push_back(*write);
      }
    }
  }
  BOOST_TEST(writes <= 40);
  BOOST_TEST(writes >= 38);
  BOOST_TEST(longest <= 1000000u);
  BOOST_TEST(dispatched > 35000u);
}

// Guards against a batch above 1 MB when many long outcomes end together.
BOOST_AUTO_TEST_CASE(batches_of_long_outcomes_fit_a_value)
{
  Slot slot = ServingSlot({});
  for (CallId call = 1; call <= 100; ++call) {
    CallArrived(slot, CallOf(call, 100), 1000);
  }
  // The first claim is written alone; the others follow after the interval.
  std::size_t items = 0;
  std::size_t longest = 0;
  for (TimeMs now = 1000; now < 5000; now += 50) {
    auto actions = Tick(slot, now);
    std::int64_t sequence = slot.mInFlight ? slot.mInFlight->mSequence : 0;
    if (slot.mInFlight) {
      longest = std::max(longest, slot.mInFlight->mValue.size());
      items += slot.mInFlight->mItems.size();
    }
    actions = BatchAnswered(slot, sequence, StoreAnswer::Written, now);
    for (const auto& action : actions) {
      if (const auto* run = std::get_if<DispatchCall>(&action)) {
        BackendAnswered(
          slot,
          run->mCall,
          { 200, { { "a", "\xfe" } }, std::string(65536, '\xff') },
          now);
      }
    }
  }
  BOOST_TEST(items == 200u);
  BOOST_TEST(longest <= 1000000u);
}

// Guards against a record that grows without bound, drops a key before its
// retention ends, or replays a body that was not kept.
BOOST_AUTO_TEST_CASE(memory_is_bounded_and_keys_are_retained)
{
  RecordOptions options;
  options.mMaxBytes = 400000;
  Slot slot = ServingSlot(options);
  TimeMs now = 1000;
  // 1. A body above 64 KiB is not kept, but the run is remembered.
  RunCall(slot, CallOf(1, 10), std::string(65537, 'x'), now);
  auto again = AnswerOf(CallArrived(slot, CallOf(2, 10, 1), now));
  BOOST_TEST((again.mCode == ErrorCode::OutcomeUnknown));
  BOOST_TEST((again.mExecution == ExecutionState::Ran));
  // 2. Bodies give way to keys; keys do not give way.
  int refused = 0;
  for (CallId call = 10; call < 3000; ++call) {
    now += 50;
    refused += !RunCall(slot, CallOf(call, 30), std::string(3000, 'y'), now);
    BOOST_REQUIRE(RecordBytes(slot) <= options.mMaxBytes);
  }
  BOOST_TEST(refused > 0);
  auto known = AnswerOf(CallArrived(slot, CallOf(5000, 30, 10), now));
  BOOST_TEST((known.mExecution == ExecutionState::Ran));
  // 3. After the retention period all memory is free again.
  now += options.mRetentionMs + 1;
  LeaseRenewed(slot, now);
  Tick(slot, now);
  BOOST_TEST(RecordBytes(slot) == 0u);
  BOOST_TEST(slot.mExpiry.empty());
}

// Guards against a released slot that still proves "not run", since another
// agent may take it over at once, and against a release with work unwritten.
BOOST_AUTO_TEST_CASE(release_waits_for_work_and_ends_proofs)
{
  Slot slot = ServingSlot({});
  CallArrived(slot, CallOf(1, 10), 1000);
  BOOST_TEST(Count<WriteStatus>(Release(slot, false, 1001)) == 0u);
  auto refusal = AnswerOf(CallArrived(slot, CallOf(2, 10), 1002));
  BOOST_TEST((refusal.mCode == ErrorCode::Draining));
  BOOST_TEST((refusal.mExecution == ExecutionState::NotRun));
  BatchAnswered(slot, 1, StoreAnswer::Written, 1003);
  BackendAnswered(slot, 1, { 200, {}, "done" }, 1004);
  Tick(slot, 1100);
  auto actions = BatchAnswered(slot, 2, StoreAnswer::Written, 1101);
  BOOST_REQUIRE(Count<WriteStatus>(actions) == 1u);
  LeaseRenewed(slot, 1102);
  refusal = AnswerOf(CallArrived(slot, CallOf(3, 10), 1103));
  BOOST_TEST((refusal.mExecution == ExecutionState::Unknown));
  actions = StatusAnswered(slot, StoreAnswer::Written, {}, 1104);
  BOOST_TEST(Count<SlotLeft>(actions) == 1u);
  BOOST_TEST(slot.mStatus.mClean);
}

// Guards against an owner that serves unknown keys after both witnesses of an
// earlier owner are gone, and against doing so for longer than the retention.
BOOST_AUTO_TEST_CASE(an_incomplete_record_answers_unknown_for_a_day)
{
  SlotStatus before{ .mOwner = { "a", 1 },
                     .mEpoch = 3,
                     .mChange = 5,
                     .mWitnesses = { { "b", 1 }, { "c", 1 } } };
  Slot slot = MakeSlot({ "d", 1 }, {}, 1700000000000, 0);
  LeaseRenewed(slot, 0);
  TakeOver(slot, before, 0);
  StatusAnswered(slot, StoreAnswer::Written, {}, 1);
  RecordRead(slot, std::vector<std::string>{}, 2);
  ClaimsNotFetched(slot, 0, true, 3);
  BOOST_TEST(!IsServing(slot));
  auto actions = ClaimsNotFetched(slot, 1, true, 4);
  BOOST_TEST(IsServing(slot));
  BOOST_TEST(Count<WriteStatus>(actions) == 1u);
  StatusAnswered(slot, StoreAnswer::Written, {}, 5);
  auto answer = AnswerOf(CallArrived(slot, CallOf(1, 10), 6));
  BOOST_TEST((answer.mCode == ErrorCode::OutcomeUnknown));
  BOOST_TEST((answer.mExecution == ExecutionState::Unknown));
  BOOST_TEST((slot.mStatus.mIncompleteUntilMs > 1700000000000));
  TimeMs later = 24 * 3600 * 1000 + 10;
  BOOST_TEST(Count<WriteBatch>(CallArrived(slot, CallOf(1, 10), later)) == 1u);
}

// Guards against store values that do not survive a round trip, and against a
// parser that accepts or crashes on damaged ones.
BOOST_AUTO_TEST_CASE(store_values_round_trip_and_garbage_is_refused)
{
  BOOST_TEST(rc::check("batch round trip", [] {
    RecordBatch batch{ .mEpoch = *rc::gen::inRange(0, 100),
                       .mSequence = *rc::gen::inRange(0, 100),
                       .mWrittenMs = 5,
                       .mItems = {} };
    auto body = *rc::gen::arbitrary<std::string>();
    auto value = *rc::gen::arbitrary<std::string>();
    auto outcome = std::make_shared<Outcome>(
      Outcome{ 200, { { "x-" + value, value } }, body, true });
    Claim claim{ "c", "k\"\\", ~0ull, "r", 1, 2, 3 };
    batch.mItems = { { RecordItemKind::Claim, claim, nullptr },
                     { RecordItemKind::Outcome, claim, outcome } };
    std::string text = ToJson(batch).dump();
    auto read = ParseRecordBatch(text);
    RC_ASSERT(read.has_value());
    RC_ASSERT(ToJson(*read) == ToJson(batch));
    RC_ASSERT(read->mItems[1].mOutcome->mBody == body);
    RC_ASSERT(read->mItems[0].mClaim.mFingerprint == ~0ull);
    RC_ASSERT(text.size() <= EncodedBytes(batch.mItems[0]) +
                               EncodedBytes(batch.mItems[1]) + 100);
    // Any one character taken away or changed: refused, or another value.
    auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    std::string shorter = text;
    shorter.erase(at);
    RC_ASSERT(!ParseRecordBatch(shorter).has_value());
    text[at] = static_cast<char>(*rc::gen::inRange(0, 256));
    ParseRecordBatch(text);
    ParseSlotStatus(text);
    ParseBillBatch(text);
  }));
  for (const char* text :
       { "",
         "null",
         "[]",
         "{}",
         R"({"epoch":1,"sequence":1,"written_ms":1,"items":[{}]})",
         R"({"epoch":-1,"sequence":1,"written_ms":1,"items":[]})",
         R"({"epoch":1.5,"sequence":1,"written_ms":1,"items":[]})",
         R"({"epoch":1,"sequence":1,"written_ms":1,"items":{}})" }) {
    BOOST_TEST(!ParseRecordBatch(text).has_value(), text);
    BOOST_TEST(!ParseSlotStatus(text).has_value(), text);
  }
  SlotStatus status{ { "a", 1 }, 2, 3, { { "b", 1 }, { "c", 2 } }, true, 9 };
  auto read = ParseSlotStatus(ToJson(status).dump());
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST((*read == status));
}

BOOST_AUTO_TEST_SUITE_END()
