#include "savory/platform/fleet_documents.h"
#include "savory/platform/fleet_headers.h"
#include "savory/platform/fleet_settings.h"
#include "savory/platform/fleet_watcher.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace savory;

namespace {

const std::string kRegistration =
  R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1",)"
  R"("slots":64,"state":"ready","coldRemainingMs":0,"sequence":4,)"
  R"("born":1780000000000})";

const std::string kConfiguration =
  R"({"version":7,"routeTable":[{"name":"r","host":"h","prefix":"/a/",)"
  R"("kind":"streaming","timeoutMs":15000,"targetLatencyMs":3000,)"
  R"("priority":1,"sizes":["small","large"],"trafficSplit":[)"
  R"({"service":"s","weight":90},{"service":"t","weight":10}],)"
  R"("maxAttempts":3,"anonymous":false,"resumable":true}],)"
  R"("services":[{"name":"s","maxConnections":370,"coldStartS":3.0,)"
  R"("coldPerS":6.9,"engine":{"slots":64,"kvCapacityTokens":1000,)"
  R"("models":[{"name":"small","cost":0.01}]}}],)"
  R"("limits":{"maxHeaderBytes":16384,"idleTimeoutMs":9000},)"
  R"("tenants":[{"name":"t1","apiKeys":["k1","k2"],"priority":2}]})";

HttpHead
MakeHead(Headers aHeaders)
{
  HttpHead head;
  head.mMethod = "POST";
  head.mTarget = "/a/b?c=d";
  head.mHeaders = std::move(aHeaders);
  return head;
}

} // namespace

BOOST_AUTO_TEST_SUITE(fleet)

// Guards against fields of a configuration that are not read.
BOOST_AUTO_TEST_CASE(configuration_is_read)
{
  auto table = ParseRouteTable(kConfiguration);
  BOOST_REQUIRE(table);
  const Route* route = FindRoute(*table, "h", "/a/x");
  BOOST_REQUIRE(route);
  BOOST_TEST((route->mKind == RouteKind::Stream));
  BOOST_TEST(route->mTimeoutMs == 15000);
  BOOST_TEST(route->mLatencyGoalMs == 3000);
  BOOST_TEST(route->mMaxAttempts == 3);
  BOOST_TEST(route->mResumable);
  BOOST_TEST(route->mModels.back() == "large");
  BOOST_TEST(route->mTargets.size() == 2U);
  const ServiceInfo* service = FindService(*table, "s");
  BOOST_REQUIRE(service);
  BOOST_TEST(service->mColdPerSecond == 6.9);
  BOOST_TEST(service->mColdStartMs == 3000);
  BOOST_TEST(service->mModels.at(0).mPricePerThousandTokens == 0.01);
  BOOST_TEST(table->mLimits.mIdleTimeoutMs == 9000);
  BOOST_TEST(table->mKeys.at("k2")->mName == "t1");
  BOOST_TEST(table->mKeys.at("k2")->mPriority.value_or(0) == 2);
}

// Guards against a malformed document that is taken for an empty configuration.
BOOST_AUTO_TEST_CASE(malformed_configurations_are_refused)
{
  for (const char* text :
       { "",
         "[]",
         "{}",
         R"({"version":"7","routeTable":[]})",
         R"({"version":7})",
         R"({"version":7,"routeTable":[1]})",
         R"({"version":7,"routeTable":[{"prefix":"/a/","kind":"odd"}]})" }) {
    BOOST_TEST(!ParseRouteTable(text), text);
  }
}

// Guards against malformed entries of other writers that register a runner.
BOOST_AUTO_TEST_CASE(malformed_registrations_are_refused)
{
  BOOST_TEST(ParseRegistration("i", kRegistration).has_value());
  for (const char* text : { "", "\xff\xfe", "null" }) {
    BOOST_TEST(!ParseRegistration("i", text), text);
  }
  // Each row differs from a valid entry in one field.
  for (auto [valid, malformed] :
       std::initializer_list<std::pair<const char*, const char*>>{
         { R"("service":"s")", R"("service":5)" },
         { R"("state":"ready")", R"("state":"odd")" },
         { R"("slots":64,)", "" },
         { R"("zone":"z",)", "" },
         { R"("born":1780000000000)", R"("born":1.5)" },
         { R"("coldRemainingMs":0)", R"("coldRemainingMs":"long")" },
         { R"("coldRemainingMs":0)", R"("coldRemainingMs":9e99)" },
         { R"("coldRemainingMs":0)",
           R"("coldRemainingMs":-9223372036854775808)" },
         { R"("slots":64)", R"("slots":1e300)" },
         { R"("slots":64)", R"("slots":1e999)" },
         { R"("slots":64)", R"("slots":0)" } }) {
    std::string text = kRegistration;
    std::size_t at = text.find(valid);
    BOOST_REQUIRE(at != std::string::npos);
    text.replace(at, std::string_view(valid).size(), malformed);
    BOOST_TEST(!ParseRegistration("i", text), text);
  }
}

// Guards against an entry of another writer that gets requests: a field that it
// lacks, or has in another type, is no default.
BOOST_AUTO_TEST_CASE(registration_without_a_needed_field_names_no_runner)
{
  auto complete = nlohmann::json::parse(kRegistration);
  for (const char* field : { "service",
                             "address",
                             "zone",
                             "version",
                             "slots",
                             "state",
                             "coldRemainingMs",
                             "sequence" }) {
    auto document = complete;
    document.erase(field);
    BOOST_TEST(!ParseRegistration("i", document.dump()), field << " missing");
    for (const nlohmann::json& value :
         { nlohmann::json(nullptr),
           nlohmann::json(true),
           nlohmann::json::array({ "v1" }),
           nlohmann::json::object(),
           complete[field].is_string() ? nlohmann::json(1)
                                       : nlohmann::json("1") }) {
      document[field] = value;
      BOOST_TEST(!ParseRegistration("i", document.dump()),
                 field << " is " << value.dump());
    }
  }
  complete["born"] = "1";
  BOOST_TEST(!ParseRegistration("i", complete.dump()));
  complete.erase("born");
  BOOST_TEST(ParseRegistration("i", complete.dump()).has_value());
}

// Guards against a time for a change of one route that grows with the number of
// all routes.
BOOST_AUTO_TEST_CASE(unchanged_routes_are_not_read_again)
{
  auto document = nlohmann::json::parse(kConfiguration);
  nlohmann::json& routes = document["routeTable"];
  for (int i = 0; i < 100; ++i) {
    routes.push_back(routes[0]);
    routes.back()["prefix"] = "/r" + std::to_string(i) + "/";
  }
  RouteRowCache cache;
  BOOST_REQUIRE(ParseRouteTable(document.dump(), &cache));
  BOOST_TEST(cache.mReadCount == 101U);
  routes[50]["timeoutMs"] = 77;
  routes.erase(routes.begin() + 20);
  document["tenants"][0]["apiKeys"] = { "k3" };
  auto table = ParseRouteTable(document.dump(), &cache);
  BOOST_REQUIRE(table);
  BOOST_TEST(cache.mReadCount == 1U);
  BOOST_TEST(FindRoute(*table, "h", "/r49/x")->mTimeoutMs == 77);
  BOOST_TEST(!FindRoute(*table, "h", "/r19/x"));
  BOOST_TEST(FindRoute(*table, "h", "/r99/x")->mTimeoutMs == 15000);
  BOOST_TEST(table->mKeys.contains("k3"));
  BOOST_TEST(!table->mKeys.contains("k1"));
}

// Guards against a document that is read otherwise once another one is known:
// documents with changed bytes, rows that moved, and members of the same name.
BOOST_AUTO_TEST_CASE(known_routes_do_not_change_how_a_document_is_read)
{
  auto describe = [](const tl::expected<RouteTable, std::string>& aTable) {
    std::string text;
    if (!aTable) {
      return text;
    }
    text = std::to_string(aTable->mVersion);
    for (const auto& [host, list] : aTable->mRoutes) {
      for (const auto& route : list) {
        text += " " + host + route->mName + route->mPrefix +
                std::to_string(route->mTimeoutMs) +
                std::to_string(static_cast<int>(route->mKind)) +
                std::to_string(route->mTargets.size());
      }
    }
    return text + " " + std::to_string(aTable->mKeys.size());
  };
  RouteRowCache cache;
  auto check = [&](const std::string& aText) {
    bool isSame = describe(ParseRouteTable(aText, &cache)) ==
                  describe(ParseRouteTable(aText));
    BOOST_TEST(isSame, aText);
    return isSame;
  };
  const std::string row =
    R"({"name":"r]\"}","host":"h","prefix":"/a/","kind":"safe"})";
  for (const std::string& rows : { row,
                                   " " + row + " ,\n" + row + "\t",
                                   row + "," + row + ",",
                                   row + row,
                                   "," + row,
                                   row + ",7",
                                   "[" + row + "]",
                                   std::string("{}"),
                                   std::string("{]"),
                                   std::string() }) {
    for (const std::string& rest :
         { std::string(),
           std::string(R"(,"routeTable":[])"),
           std::string(
             R"(,"route\u0054able":[{"prefix":"/b/","kind":"safe"}])"),
           std::string(R"(,"other":{"routeTable":[7]},"x":"routeTable")") }) {
      check(R"({"version":7,"routeTable":[)" + rows + "]" + rest + "}");
      check(R"({"version":7)" + rest + R"(,"routeTable":[)" + rows + "]}");
    }
  }
  check(kConfiguration);
  BOOST_TEST(
    rc::check("changed documents", [&](std::uint32_t aOffset, char aByte) {
      std::string text = kConfiguration;
      text[aOffset % text.size()] = aByte;
      RC_ASSERT(check(text));
      RC_ASSERT(check(kConfiguration));
    }));
}

// Guards against numbers beyond their type, whose conversion is undefined, and
// against sums that overflow.
BOOST_AUTO_TEST_CASE(numbers_out_of_range_are_limited)
{
  auto table = ParseRouteTable(
    R"({"version":7,"routeTable":[{"name":"a","host":"h","prefix":"/a/",)"
    R"("kind":"safe","service":"s","timeoutMs":1e300,"targetLatencyMs":-5,)"
    R"("maxAttempts":1e30,"priority":-1e30}],"services":[{"name":"s",)"
    R"("maxConnections":1e30,"coldStartS":1e300,"coldPerS":1}],)"
    R"("limits":{"maxHeaderBytes":1e300,"maxBodyBytes":-1}})");
  BOOST_REQUIRE(table);
  const Route& route = *table->mRoutes.at("h").at(0);
  constexpr TimeMs kDayMs = 24LL * 3600 * 1000;
  constexpr TimeMs kMostMs = std::numeric_limits<TimeMs>::max() / 1000;
  BOOST_TEST(route.mTimeoutMs > kDayMs);
  BOOST_TEST(route.mTimeoutMs < kMostMs);
  BOOST_TEST(route.mLatencyGoalMs == 0);
  BOOST_TEST(route.mMaxAttempts == std::numeric_limits<int>::max());
  BOOST_TEST(route.mPriority == 0);
  BOOST_TEST(FindService(*table, "s")->mColdStartMs < kMostMs);
  BOOST_TEST(table->mLimits.mMaxHeaderBytes ==
             std::numeric_limits<std::uint32_t>::max());
  BOOST_TEST(table->mLimits.mMaxBodyBytes == 0U);
  auto order = ParseShiftOrder(
    R"({"service":"s","target":"v2","durationS":1e300})", { 0, 1 });
  BOOST_REQUIRE(order);
  BOOST_TEST(order->mDurationMs < kMostMs);
}

// Guards against bytes in the store that crash the process.
BOOST_AUTO_TEST_CASE(arbitrary_bytes_do_not_crash_the_parsers)
{
  BOOST_TEST(rc::check("bytes", [](const std::string& aBytes) {
    (void)ParseRouteTable(aBytes);
    (void)ParseRegistration("i", aBytes);
    (void)ParseShiftOrder(aBytes, { 0, 1 });
    (void)ParseShiftProgress(aBytes);
    (void)ParseFleetEntries(aBytes);
    (void)ParseFleetSettings(aBytes);
  }));
  // Valid documents with one changed byte reach more code of the parsers.
  BOOST_TEST(
    rc::check("changed documents", [](std::uint32_t aOffset, char aByte) {
      for (std::string text : { kConfiguration, kRegistration }) {
        text[aOffset % text.size()] = aByte;
        (void)ParseRouteTable(text);
        (void)ParseRegistration("i", text);
      }
    }));
}

// Guards against a roll-out that another host cannot continue from the stored
// progress.
BOOST_AUTO_TEST_CASE(rollout_progress_round_trip)
{
  ShiftProgress progress{
    "v2", ShiftState::RolledBack, 0.4, { 0, 17 }, 1780000000000
  };
  auto read = ParseShiftProgress(FormatShiftProgress(progress));
  BOOST_REQUIRE(read);
  BOOST_TEST(read->mTarget == "v2");
  BOOST_TEST((read->mState == ShiftState::RolledBack));
  BOOST_TEST(read->mShare == 0.4);
  BOOST_TEST((read->mOrderRevision == StoreRevision{ 0, 17 }));
  BOOST_TEST(FormatShiftProgress(progress).find("order_epoch") ==
             std::string::npos);
  BOOST_TEST(read->mOrderedWallMs == 1780000000000);
  BOOST_TEST(FormatRolloutStatus(progress) ==
             R"({"state":"rolled_back","target":"v2"})");
  progress.mOrderRevision.mEpoch = 2;
  BOOST_TEST(
    (ParseShiftProgress(FormatShiftProgress(progress))->mOrderRevision ==
     StoreRevision{ 2, 17 }));
}

BOOST_AUTO_TEST_CASE(keys_are_classified)
{
  BOOST_TEST((ParseFleetKey("op/config").mKind == FleetKeyKind::Configuration));
  BOOST_TEST(ParseFleetKey("servers/i-1").mName == "i-1");
  BOOST_TEST(
    (ParseFleetKey("op/evacuate/z").mKind == FleetKeyKind::Evacuation));
  BOOST_TEST((ParseFleetKey(RolloutProgressKey("s")).mKind ==
              FleetKeyKind::RolloutProgress));
  BOOST_TEST((ParseFleetKey("other").mKind == FleetKeyKind::Other));
}

// Guards against a caller that sets headers reserved for the router, and
// against an API key that is forwarded to a runner.
BOOST_AUTO_TEST_CASE(forged_headers_are_dropped)
{
  HttpHead caller = MakeHead({ { "Host", "h" },
                               { "Attempt-Id", "a1" },
                               { "Deadline-Ms", "9000" },
                               { "Api-Key", "secret" },
                               { "tenant", "forged" },
                               { "Expect-Runner", "forged" },
                               { "Kv-From", "forged" },
                               { "KV-RETENTION", "forged" },
                               { "Kv-Pin-Ms", "1" },
                               { "Kv-Backup", "forged" },
                               { "Request-Priority", "0" },
                               { "Connection", "close, X-Hop" },
                               { "X-Hop", "1" },
                               { "X-Other", "stays" },
                               { "Model", "*" },
                               { "Token-Usage", "10,20" } });
  RunnerAttempt attempt;
  attempt.mRunner = "i-1";
  attempt.mCustomer = "t1";
  attempt.mDeadlineMs = 500;
  attempt.mModel = "small";
  HttpHead head = MakeRunnerHead(caller, attempt);
  auto value = [&head](std::string_view aName) {
    const std::string* found = FindHeader(head.mHeaders, aName);
    return found ? *found : std::string("-");
  };
  BOOST_TEST(head.mTarget == "/a/b?c=d");
  BOOST_TEST(value("Attempt-Id") == "a1");
  BOOST_TEST(value("Deadline-Ms") == "500");
  BOOST_TEST(value("Tenant") == "t1");
  BOOST_TEST(value("Expect-Runner") == "i-1");
  BOOST_TEST(value("Model") == "small");
  BOOST_TEST(value("Token-Usage") == "10,20");
  BOOST_TEST(value("X-Other") == "stays");
  for (const char* name : { "Api-Key",
                            "Kv-From",
                            "Kv-Retention",
                            "Kv-Pin-Ms",
                            "Kv-Backup",
                            "Request-Priority",
                            "Connection",
                            "X-Hop" }) {
    BOOST_TEST(value(name) == "-", name);
  }
  for (const auto& [name, text] : head.mHeaders) {
    BOOST_TEST(text != "forged", name);
  }
}

// Guards against a refused request that is taken for an executed one, or the
// reverse.
BOOST_AUTO_TEST_CASE(answers_tell_whether_the_request_ran)
{
  HttpHead head = MakeHead({ { "Attempt-Id", "a1" },
                             { "Runner-Load", "3,1,8" },
                             { "Confidence", "37" },
                             { "Runner-Signature", "x" } });
  head.mStatus = 503;
  AnswerMetadata metadata = ParseAnswerMetadata(head);
  BOOST_TEST(!metadata.mNotRun);
  BOOST_TEST(metadata.mSigned);
  BOOST_TEST(metadata.mLoad->mRunning == 3);
  BOOST_TEST(metadata.mLoad->mWaiting == 1);
  BOOST_TEST(metadata.mConfidence.value_or(0) == 37);
  head.mHeaders.emplace_back("Not-Executed", "1");
  BOOST_TEST(ParseAnswerMetadata(head).mNotRun);
  head = MakeHead({});
  head.mStatus = 421;
  BOOST_TEST(ParseAnswerMetadata(head).mNotRun);
}

// Guards against prompt parts that are misread: the list ends at the first
// invalid item.
// Guards against a slowdown of another service, or one that is no number, that
// is taken for a statement of the runner.
BOOST_AUTO_TEST_CASE(a_slowdown_is_read_where_it_is_stated)
{
  auto slowdown = [](const std::string& aLoad) {
    HttpHead head;
    head.mStatus = 200;
    head.mHeaders = { { "Runner-Load", aLoad } };
    auto load = ParseAnswerMetadata(head).mLoad;
    return load ? load->mSlowdown : std::nullopt;
  };
  BOOST_TEST(slowdown("3,1,8,250").value_or(0) == 2.5);
  BOOST_TEST(slowdown("3,1,8, 100").value_or(0) == 1);
  for (const char* text :
       { "3,1,8", "3,1,8,", "3,1,8,x", "3,1,8,0", "3,1,8,-100", "3,1,8,nan" }) {
    BOOST_TEST(!slowdown(text).has_value(), text);
  }
}

BOOST_AUTO_TEST_CASE(prompt_parts_are_read)
{
  RequestMetadata metadata = ParseRequestMetadata(
    MakeHead({ { "Prefix-Hash", "5c1e07a2:800, 91bd3f06:410,oops,1:2" },
               { "Token-Usage", "1460,80" },
               { "Deadline-Ms", "-5" } }));
  BOOST_REQUIRE_EQUAL(metadata.mParts.size(), 2U);
  BOOST_TEST(metadata.mParts[0].mId == 0x5c1e07a2U);
  BOOST_TEST(metadata.mParts[1].mTokens == 410);
  BOOST_TEST(metadata.mPromptTokens == 1460);
  BOOST_TEST(metadata.mMaxOutputTokens == 80);
  BOOST_TEST(metadata.mDeadlineMs == 0);
}

// Guards against settings errors that are reported one at a time or not at all.
BOOST_AUTO_TEST_CASE(settings_report_all_errors)
{
  auto settings = ParseFleetSettings(
    R"({"nodeName":"n","zone":"z","ip":"10.0.0.1","listen":)"
    R"({"frontend":"10.0.0.1:1","readyAddress":"10.0.0.1:2",)"
    R"("controlPlane":"10.0.0.1:3"},"portRange":[7,9],)"
    R"("seeds":["10.0.0.2:3"],"platform":{"address":"10.0.0.9:4"},)"
    R"("bounds":{"graceS":8,"sessionS":6.5,"retrySlack":56},)"
    R"("limits":{"memoryMb":120,"maxFds":3075}})");
  BOOST_REQUIRE(settings);
  BOOST_TEST(settings->mMemoryBytes == 120U * 1024 * 1024);
  BOOST_TEST(settings->mMaxDescriptors == 3075U);
  BOOST_TEST(settings->mSessionTimeoutMs == 6500);
  BOOST_TEST(settings->mGraceMs == 8000);
  BOOST_TEST(settings->mPeerDatagramPort == 7);
  BOOST_TEST(settings->mSeeds.at(0).mAddress == "10.0.0.2");
  auto errors = ParseFleetSettings(
    R"({"nodeName":5,"listen":{"frontend":"nowhere"},"platform":{},)"
    R"("limits":{"memoryMb":-1,"maxFds":"many"}})");
  BOOST_REQUIRE(!errors);
  BOOST_TEST(errors.error().size() >= 7U);
}

// Guards against a page of the store that is read only in part, and against
// values that are not base64.
BOOST_AUTO_TEST_CASE(store_entries_are_read)
{
  auto entries = ParseFleetEntries(
    R"({"events":[{"key":"a","value":"bm9kZS0x","revision":412,)"
    R"("created":412,"lease":0},{"key":"b","revision":413,)"
    R"("tombstone":true}],"at":413})");
  BOOST_REQUIRE(entries);
  BOOST_TEST(entries->mRevision == 413);
  BOOST_TEST(entries->mEntries.at(0).mValue == "node-1");
  BOOST_TEST(entries->mEntries.at(1).mDeleted);
  for (const char* text : { R"({"entries":[]})",
                            R"({"at":1,"entries":5})",
                            R"({"at":1,"entries":[{"key":"a"}]})",
                            R"({"at":1,"entries":[{"key":"a","revision":1,)"
                            R"("value":"%%"}]})" }) {
    BOOST_TEST(!ParseFleetEntries(text), text);
  }
}

namespace {

// A watcher that never calls the store, and what it applied.
struct WatcherFixture
{
  EventLoop mLoop;
  FleetStore mStore{ mLoop, { "127.0.0.1", 1 } };
  StoreWatcher mWatcher{ mLoop, mStore, 4000 };
  std::vector<std::string> mApplied;

  WatcherFixture()
  {
    mWatcher.mOnEntry = [this](const StoreEntry& aEntry) {
      mApplied.push_back(aEntry.mKey + "=" + aEntry.mValue);
    };
    mWatcher.mOnDeleted = [this](const std::string& aKey) {
      mApplied.push_back("-" + aKey);
    };
  }
};

} // namespace

// Guards against a follower that skips changes: those after a gap are not
// applied, those that it has are not applied twice, and a copy of a peer that
// is older takes nothing back.
BOOST_AUTO_TEST_CASE(changes_of_peers_are_applied_once_and_in_order)
{
  WatcherFixture fixture;
  StoreWatcher& watcher = fixture.mWatcher;
  StoreChanges early{ 10, { 11, { { "a", "2", 11 } } } };
  BOOST_TEST((watcher.MergePeerChanges(early) == MergeResult::MissesChanges));
  watcher.MergePeerEntries({ 10, { { "a", "1", 5 }, { "b", "1", 9 } } });
  fixture.mApplied.clear();
  BOOST_TEST((watcher.MergePeerChanges(early) == MergeResult::Applied));
  BOOST_TEST((watcher.MergePeerChanges(early) == MergeResult::Applied));
  StoreChanges later{ 14, { 15, { { "a", "3", 15 } } } };
  BOOST_TEST((watcher.MergePeerChanges(later) == MergeResult::MissesChanges));
  StoreChanges overlapping{
    9, { 14, { { "a", "2", 11 }, { "b", "", 13, true } } }
  };
  BOOST_TEST((watcher.MergePeerChanges(overlapping) == MergeResult::Applied));
  BOOST_TEST((watcher.MergePeerChanges(later) == MergeResult::Applied));
  watcher.MergePeerEntries({ 12, { { "a", "2", 11 }, { "b", "1", 9 } } });
  std::vector<std::string> expected{ "a=2", "-b", "a=3" };
  BOOST_TEST(fixture.mApplied == expected, boost::test_tools::per_element());
  BOOST_TEST(watcher.Revision() == 15);
}

// Guards against a log of changes that has a hole where a whole copy was read,
// or that grows without end: a peer that asks for too old a revision must fetch
// the copy.
BOOST_AUTO_TEST_CASE(log_of_changes_is_complete_and_bounded)
{
  WatcherFixture fixture;
  StoreWatcher& watcher = fixture.mWatcher;
  BOOST_TEST(!ChangesAfter(watcher.Copy(), { 0, 0 }));
  watcher.MergePeerEntries({ 10, { { "a", "1", 5 }, { "b", "1", 9 } } });
  BOOST_TEST(!ChangesAfter(watcher.Copy(), { 0, 9 }));
  watcher.MergePeerEntries({ 20, { { "a", "2", 15 }, { "c", "1", 20 } } });
  auto changes = ChangesAfter(watcher.Copy(), { 0, 10 });
  BOOST_REQUIRE(changes);
  std::map<std::string, bool> deleted;
  for (const StoreEntry& entry : changes->mEntries.mEntries) {
    deleted[entry.mKey] = entry.mDeleted;
  }
  std::map<std::string, bool> expected{ { "a", false },
                                        { "b", true },
                                        { "c", false } };
  BOOST_TEST((deleted == expected));
  for (std::int64_t revision = 21; revision < 2000; ++revision) {
    watcher.MergePeerChanges(
      { revision - 1, { revision, { { "a", "x", revision } } } });
  }
  BOOST_TEST(!ChangesAfter(watcher.Copy(), { 0, 20 }));
  BOOST_REQUIRE(ChangesAfter(watcher.Copy(), { 0, 1990 }));
  BOOST_TEST(
    ChangesAfter(watcher.Copy(), { 0, 1990 })->mEntries.mEntries.size() == 9U);
}

// Guards against an epoch that is not read, or taken from a malformed header.
BOOST_AUTO_TEST_CASE(epoch_of_an_answer_is_read_or_refused)
{
  BOOST_TEST(ParseStoreEpoch({}).value_or(-1) == 0);
  BOOST_TEST(ParseStoreEpoch({ { "store-era", "7" } }).value_or(-1) == 7);
  BOOST_TEST(ParseStoreEpoch({ { "Store-Era", "7" }, { "Store-Era", "7" } })
               .value_or(-1) == 7);
  BOOST_TEST(!ParseStoreEpoch({ { "Store-Era", "7" }, { "Store-Era", "8" } }));
  for (const char* value : { "",
                             "-1",
                             "+1",
                             "1.5",
                             "0x1",
                             "1 2",
                             "era",
                             "8388608",
                             "99999999999999999999" }) {
    BOOST_TEST(!ParseStoreEpoch({ { "Store-Era", value } }), value);
  }
}

// Guards against a follower that mixes epochs: revisions of the new one are
// lower, and those of the old one arrive late.
BOOST_AUTO_TEST_CASE(newer_epoch_of_a_peer_replaces_the_copy)
{
  WatcherFixture fixture;
  StoreWatcher& watcher = fixture.mWatcher;
  std::vector<StoreRevision> restores;
  watcher.mOnRestored = [&restores](const StoreRevision& aBefore) {
    restores.push_back(aBefore);
  };
  watcher.mLostHoldMs = [](const std::string&) { return TimeMs(0); };
  watcher.MergePeerEntries({ 40, { { "a", "1", 5 }, { "b", "1", 39 } } });
  StoreChanges changes{ 30, { 31, { { "a", "2", 31 } }, false, 1 } };
  BOOST_TEST((watcher.MergePeerChanges(changes) == MergeResult::MissesChanges),
             "needs the list first");
  fixture.mApplied.clear();
  watcher.MergePeerEntries({ 30, { { "a", "1", 5 } }, false, 1 });
  BOOST_REQUIRE(restores.size() == 1U);
  BOOST_TEST((restores[0] == StoreRevision{ 0, 40 }));
  BOOST_TEST((watcher.MergePeerChanges(changes) == MergeResult::Applied));
  StoreChanges late{ 40, { 41, { { "a", "0", 41 } } } };
  BOOST_TEST((watcher.MergePeerChanges(late) == MergeResult::Applied),
             "needs no list of the old epoch");
  watcher.MergePeerEntries({ 50, { { "a", "0", 45 } } });
  watcher.ReleaseHeldEntries();
  std::vector<std::string> expected{ "a=1", "a=2", "-b" };
  BOOST_TEST(fixture.mApplied == expected, boost::test_tools::per_element());
  BOOST_TEST((watcher.Position() == StoreRevision{ 1, 31 }));
  BOOST_TEST(fixture.mStore.Epoch() == 1);
}

// Guards against values of Server-Leaving other than 1, or two different ones,
// that take a runner out of use.
BOOST_AUTO_TEST_CASE(only_one_value_says_that_a_runner_leaves)
{
  auto parse = [](const Headers& aHeaders) {
    HttpHead head;
    head.mStatus = 200;
    head.mHeaders = aHeaders;
    return ParseAnswerMetadata(head);
  };
  BOOST_TEST(!parse({}).mLeaving);
  BOOST_TEST(!parse({}).mBadHeader);
  BOOST_TEST(parse({ { "Server-Leaving", "1" } }).mLeaving);
  BOOST_TEST(parse({ { "server-leaving", " 1\t" } }).mLeaving);
  BOOST_TEST(
    parse({ { "Server-Leaving", "1" }, { "Server-Leaving", "1" } }).mLeaving);
  for (const char* value : { "", "0", "true", "11", "1, 1", "01", "\xff" }) {
    AnswerMetadata metadata = parse({ { "Server-Leaving", value } });
    BOOST_TEST(!metadata.mLeaving, value);
    BOOST_TEST(metadata.mBadHeader.has_value(), value);
  }
  AnswerMetadata twice =
    parse({ { "Server-Leaving", "1" }, { "Server-Leaving", "0" } });
  BOOST_TEST(!twice.mLeaving);
  BOOST_TEST(twice.mBadHeader->mValue == "1, 0");
}

// Guards against a Retry-After that shuts a runner out for good or ends the
// process.
BOOST_AUTO_TEST_CASE(retry_after_of_a_runner_is_read_or_ignored)
{
  auto parse = [](const char* aValue, int aStatus = 503) {
    HttpHead head;
    head.mStatus = aStatus;
    head.mHeaders = { { "Retry-After", aValue } };
    return ParseAnswerMetadata(head);
  };
  BOOST_TEST(parse("2").mBackpressureMs.value_or(-1) == 2000);
  BOOST_TEST(parse(" 0.25 ").mBackpressureMs.value_or(-1) == 250);
  BOOST_TEST(parse("0").mBackpressureMs.value_or(-1) == 0);
  BOOST_TEST(!parse("2", 500).mBackpressureMs);
  for (const char* value : { "",
                             "-1",
                             "soon",
                             "nan",
                             "inf",
                             "1e3",
                             "0x10",
                             "2 s",
                             "1.2.3",
                             ".",
                             "2, 3",
                             "Sat, 05 Dec 2026 10:00:00 GMT" }) {
    BOOST_TEST(!parse(value).mBackpressureMs, value);
    BOOST_TEST(parse(value).mBadHeader.has_value(), value);
  }
  std::string digits(400, '9');
  for (const char* value : { "99999999999999999999", digits.c_str() }) {
    BOOST_TEST(parse(value).mBackpressureMs.value_or(-1) == kMaxBackpressureMs);
    BOOST_TEST(parse(value).mBadHeader.has_value());
  }
  BOOST_TEST(rc::check("any value", [](const std::string& aValue) {
    HttpHead head;
    head.mStatus = 503;
    head.mHeaders = { { "Retry-After", aValue }, { "Server-Leaving", aValue } };
    auto metadata = ParseAnswerMetadata(head);
    RC_ASSERT(metadata.mBackpressureMs.value_or(0) >= 0);
    RC_ASSERT(metadata.mBackpressureMs.value_or(0) <= kMaxBackpressureMs);
  }));
}

BOOST_AUTO_TEST_SUITE_END()
