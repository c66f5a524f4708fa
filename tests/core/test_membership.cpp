#include "savory/core/config_store.h"
#include "savory/core/membership.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace savory;

namespace {

EntryRow
MakeRow(const std::string& aHost,
        std::int64_t aIncarnation,
        std::int64_t aSequence,
        bool aLeaving)
{
  EntryRow row;
  row.mHost = aHost;
  row.mIncarnation = aIncarnation;
  row.mSequence = aSequence;
  row.mAddress = aHost + ":1";
  row.mRegion = "r";
  row.mLeaving = aLeaving;
  return row;
}

} // namespace

BOOST_AUTO_TEST_SUITE(membership)

// Guards against a table that depends on the order in which rows arrive, and
// against a late row that makes a leaving member live again.
BOOST_AUTO_TEST_CASE(merge_result_is_independent_of_row_order)
{
  bool passed = rc::check([] {
    Membership left = StartMembership(MakeRow("self", 1, 0, false), 1000);
    Membership right = left;
    std::vector<EntryRow> rows;
    for (int i = 0; i < 12; ++i) {
      auto incarnation = *rc::gen::inRange(1, 4);
      auto sequence = *rc::gen::inRange(1, 4);
      // A host leaves with the last row of its incarnation.
      rows.push_back(
        MakeRow("a", incarnation, sequence, incarnation == 2 && sequence == 3));
    }
    for (const auto& row : rows) {
      MergeRow(left, row, 1000);
    }
    std::reverse(rows.begin(), rows.end());
    for (const auto& row : rows) {
      MergeRow(right, row, 1000);
    }
    RC_ASSERT(ToJson(left, 1000) == ToJson(right, 1000));
  });
  BOOST_TEST(passed);
}

// Guards against a leaving member that becomes live again through a host list
// that lags behind or through the report of an agent's older incarnation.
BOOST_AUTO_TEST_CASE(leaving_member_never_becomes_live_again)
{
  Membership table = StartMembership(MakeRow("self", 1, 0, false), 1000);
  MergeRow(table, MakeRow("a", 5, 2, true), 1000);
  MergeRow(table, MakeRow("a", 5, 3, false), 1000);
  MergeHostList(table,
                { { "a", Role::Entry, "a:1", "z", "r", false },
                  { "b", Role::Entry, "b:1", "z", "r", false } },
                1000);
  BOOST_TEST(!IsLive(table, table.mMembers["a"], 1000));
  MergeRow(table, MakeRow("a", 6, 1, false), 1000);
  BOOST_TEST(IsLive(table, table.mMembers["a"], 1000));
  AgentReport report;
  report.mSender = { "agent", 3, 0 };
  report.mLeaving = true;
  MergeReport(table, report, 1000);
  report.mLeaving = false;
  MergeReport(table, report, 1000);
  report.mSender.mIncarnation = 2;
  MergeReport(table, report, 1000);
  BOOST_TEST(!IsLive(table, table.mMembers["agent"], 1000));
}

// Guards against a malformed message of a peer that crashes the process.
BOOST_AUTO_TEST_CASE(malformed_gossip_messages_do_not_crash)
{
  Membership table = StartMembership(MakeRow("self", 1, 0, false), 1000);
  std::mt19937_64 random(1);
  MergeRow(table, MakeRow("a", 1, 1, false), 1000);
  auto request = TickMembership(table, {}, 1000, random);
  BOOST_REQUIRE(request.has_value());
  for (const auto& [key, value] : request->mDocument.items()) {
    for (const nlohmann::json& bad :
         { nlohmann::json(), nlohmann::json("x"), nlohmann::json({ -1 }) }) {
      nlohmann::json message = request->mDocument;
      message[key] = bad;
      GossipSender sender;
      (void)AnswerGossip(table, message, {}, 1000, sender);
      (void)MergeGossipAnswer(table, message, 1000, 1000);
    }
  }
  BOOST_TEST(!ParseEntryRow({ { "host", 1 } }).has_value());
  EntryRow big = MakeRow("b", 1, 1, false);
  big.mSections["x"] = std::string(kMaxSectionBytes, 'x');
  BOOST_TEST(!ParseEntryRow(ToJson(big)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(config_store)

// Guards against a truncated head that is accepted, and against an operation id
// that is no longer found once the head has moved it to the value that holds
// the older ids.
BOOST_AUTO_TEST_CASE(operation_ids_are_found_after_many_changes)
{
  Configuration config;
  Model model;
  model.mName = "m";
  model.mVersions.resize(1);
  model.mVersions[0].mName = "v1";
  config.mModels.push_back(model);
  config.mZones.push_back({ "z", "r", ZoneState::In });
  config.mPresets.resize(1);
  config.mPresets[0].mName = "p";
  config.mPresetInForce = "p";
  config.mSessionSecret = "s";
  config.mOperatorTokenHash = "h";
  std::map<std::string, std::string> store;
  auto run = [&](Change aChange) {
    while (auto call = NextCall(aChange)) {
      StoreCallAnswer answer;
      for (const auto& key : call->mKeys) {
        answer.mValues.push_back(store.contains(key) ? std::optional(store[key])
                                                     : std::nullopt);
      }
      for (const auto& [key, value] : call->mEntries) {
        store[key] = value;
      }
      if (call->mKind == StoreCall::Kind::SwapHead) {
        store[std::string(kHeadKey)] = call->mValue;
      }
      OnStoreAnswer(aChange, answer);
    }
    return aChange;
  };
  BOOST_TEST(run(StartFirstConfiguration("op-1", config)).mRevision == 1);
  for (int i = 2; i <= 400; ++i) {
    auto change =
      run(StartChange("op-" + std::to_string(i), [i](Configuration& aConfig) {
        aConfig.mZones[0].mRegion = "r" + std::to_string(i);
      }));
    BOOST_REQUIRE(change.mState == ChangeState::Accepted);
  }
  // A repeated operation id returns its original revision and changes nothing.
  auto again = run(StartChange("op-7", [](Configuration&) {}));
  BOOST_TEST((again.mState == ChangeState::Accepted && again.mRevision == 7));
  auto head = ParseHead(store[std::string(kHeadKey)]);
  BOOST_REQUIRE(head.has_value());
  BOOST_TEST(head->mRevision == 400);
  BOOST_TEST(store[std::string(kHeadKey)].size() < 1500);
  // Keys that the head does not reference are removed, and no others.
  std::vector<std::string> keys;
  keys.reserve(store.size());
  for (const auto& [key, value] : store) {
    keys.push_back(key);
  }
  for (const auto& key : FindUnreferencedKeys(*head, keys, 10)) {
    store.erase(key);
  }
  BOOST_TEST(store.size() < 40);
  BOOST_TEST(run(StartChange("op-7", [](Configuration&) {})).mRevision == 7);
  for (std::size_t size = 0; size < store[std::string(kHeadKey)].size();
       size += 7) {
    BOOST_TEST(
      !ParseHead(store[std::string(kHeadKey)].substr(0, size)).has_value());
  }
}

BOOST_AUTO_TEST_SUITE_END()
