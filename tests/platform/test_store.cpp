#include "fixture.h"
#include "savory/platform/base64.h"
#include "savory/platform/store.h"
#include "store.h"

using namespace savory;
using nlohmann::json;

namespace {

struct StoreFixture : LoopFixture
{
  StoreStandin mServer{ mLoop };
  Endpoint mAddress{ "127.0.0.1", mServer.Listen("127.0.0.1", 0) };
  StoreClient mStore{ mHttp, mAddress };

  tl::expected<StoreCommit, StoreError> Commit(const StoreTransaction& aChange)
  {
    return Wait<tl::expected<StoreCommit, StoreError>>(
      [&](auto aCallback) { mStore.Commit(aChange, aCallback); });
  }

  tl::expected<std::optional<StoreEntry>, StoreError> Read(
    const std::string& aKey)
  {
    return Wait<tl::expected<std::optional<StoreEntry>, StoreError>>(
      [&](auto aCallback) { mStore.Read(aKey, aCallback); });
  }

  tl::expected<std::int64_t, StoreError> Grant(int aSeconds)
  {
    return Wait<tl::expected<std::int64_t, StoreError>>(
      [&](auto aCallback) { mStore.GrantLease(aSeconds, aCallback); });
  }

  tl::expected<bool, StoreError> Renew(std::int64_t aLease)
  {
    return Wait<tl::expected<bool, StoreError>>(
      [&](auto aCallback) { mStore.RenewLease(aLease, aCallback); });
  }

  void Put(const std::string& aKey, const std::string& aValue)
  {
    BOOST_REQUIRE(Commit({ {}, { { aKey, aValue, 0 } }, {} }).has_value());
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(store, StoreFixture)

// Guards against an encoding that differs from RFC 4648. Other tests would not
// notice, because adapter and stand-in share the code.
BOOST_AUTO_TEST_CASE(base64_follows_rfc_4648)
{
  const std::pair<std::string, std::string> rows[] = {
    { "", "" },
    { "f", "Zg==" },
    { "fo", "Zm8=" },
    { "foo", "Zm9v" },
    { "foob", "Zm9vYg==" },
    { "fooba", "Zm9vYmE=" },
    { "foobar", "Zm9vYmFy" },
  };
  for (const auto& [bytes, text] : rows) {
    BOOST_TEST(EncodeBase64(bytes) == text);
    BOOST_TEST((DecodeBase64(text) == bytes));
  }
  for (const char* text :
       { "Zg=", "Z===", "Zm9v\n", "Zg==Zg==", "Zm9*", "=" }) {
    BOOST_TEST(!DecodeBase64(text).has_value(), text);
  }
}

// Guards against values that are changed in transfer, in particular zero bytes.
BOOST_AUTO_TEST_CASE(values_round_trip)
{
  std::string value("a\0\xff\n", 4);
  Put("k/\xc3\xa4", value);
  Put("big", std::string(1024 * 1024, 'x'));
  auto entry = Read("k/\xc3\xa4");
  BOOST_REQUIRE((entry && *entry));
  BOOST_TEST((*entry)->mValue == value);
  BOOST_TEST((**Read("big")).mValue.size() == 1024u * 1024);
  BOOST_TEST(!Read("none")->has_value());
}

// Guards against a compare-and-swap that succeeds with an outdated revision.
BOOST_AUTO_TEST_CASE(compare_and_swap_checks_the_revision)
{
  auto made = Commit({ { { "k", 0 } }, { { "k", "1", 0 } }, {} });
  BOOST_REQUIRE((made && made->mSucceeded));
  struct Row
  {
    std::int64_t mRevision;
    bool mSucceeds;
  };
  std::int64_t current = made->mRevision;
  for (const Row& row : { Row{ 0, false },
                          Row{ current + 1, false },
                          Row{ current, true },
                          Row{ current, false } }) {
    auto result =
      Commit({ { { "k", row.mRevision } }, { { "k", "2", 0 } }, {} });
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST(result->mSucceeded == row.mSucceeds);
  }
  auto removed = Commit({ {}, {}, { "k" } });
  BOOST_TEST(removed->mSucceeded);
  BOOST_TEST(!Read("k")->has_value());
}

// Guards against an error that claims more than is known about a write: only a
// call that certainly had no effect may be Unreachable or Refused.
BOOST_AUTO_TEST_CASE(error_codes_tell_whether_a_write_took_effect)
{
  struct Row
  {
    json mFault;
    StoreErrorCode mCode;
    bool mTookEffect;
  };
  const Row rows[] = {
    { { { "refuse", true } }, StoreErrorCode::Refused, false },
    { { { "unavailable", true } }, StoreErrorCode::Unknown, false },
    { { { "down", true } }, StoreErrorCode::Unknown, false },
    { { { "lose_answers", 1 } }, StoreErrorCode::Unknown, true },
    { { { "lose_prefix", "row" } }, StoreErrorCode::Unknown, true },
    { { { "slow_ms", 2500 } }, StoreErrorCode::Unknown, true },
  };
  int number = 0;
  for (const auto& row : rows) {
    std::string key = "row" + std::to_string(number++);
    mServer.SetFaults(row.mFault);
    auto result = Commit({ {}, { { key, "v", 0 } }, {} });
    mServer.SetFaults({ { "refuse", nullptr },
                        { "unavailable", nullptr },
                        { "down", nullptr },
                        { "lose_prefix", nullptr },
                        { "slow_ms", nullptr } });
    RunFor(row.mFault.contains("slow_ms") ? 700 : 0);
    BOOST_REQUIRE(!result.has_value());
    BOOST_TEST_CONTEXT(row.mFault.dump())
    {
      BOOST_TEST(ToName(kStoreErrorNames, result.error().mCode) ==
                 ToName(kStoreErrorNames, row.mCode));
      BOOST_TEST(Read(key)->has_value() == row.mTookEffect);
    }
  }
  StoreClient unreachable(mHttp, { "127.0.0.1", 1 });
  auto result = Wait<tl::expected<StoreCommit, StoreError>>(
    [&](auto aCallback) { unreachable.Commit({}, aCallback); });
  BOOST_TEST((result.error().mCode == StoreErrorCode::Unreachable));
}

// Guards against a range that is incomplete, has keys with other prefixes, or
// mixes two revisions.
BOOST_AUTO_TEST_CASE(prefixes_are_read_completely)
{
  StoreTransaction many;
  for (int index = 0; index < 600; ++index) {
    many.mPuts.push_back({ "p/" + std::to_string(1000 + index), "v", 0 });
  }
  BOOST_REQUIRE(Commit(many)->mSucceeded);
  Put("p0", "after");
  Put("p.", "before");
  Put("q\xff", "last");
  using Entries = tl::expected<std::vector<StoreEntry>, StoreError>;
  bool removed = false;
  auto entries = Wait<Entries>([&](auto aCallback) {
    mStore.ReadPrefix("p/", aCallback);
    // Removes the last key while the pages are read.
    mStore.Commit({ {}, {}, { "p/1599" } },
                  [&](const auto&) { removed = true; });
  });
  BOOST_TEST(removed);
  BOOST_TEST(entries->size() == 600u);
  BOOST_TEST(entries->front().mKey == "p/1000");
  BOOST_TEST(entries->back().mKey == "p/1599");
  auto last = Wait<Entries>(
    [&](auto aCallback) { mStore.ReadPrefix("q\xff", aCallback); });
  BOOST_TEST(last->size() == 1u);
  auto all =
    Wait<Entries>([&](auto aCallback) { mStore.ReadPrefix("", aCallback); });
  BOOST_TEST(all->size() == 602u);
}

// Guards against a holder that takes an expired lease for a valid one.
BOOST_AUTO_TEST_CASE(leases_expire_and_are_renewed)
{
  std::int64_t lease = *Grant(1);
  BOOST_REQUIRE(Commit({ {}, { { "held", "v", lease } }, {} })->mSucceeded);
  RunFor(600);
  BOOST_TEST(*Renew(lease));
  RunFor(600);
  BOOST_TEST(Read("held")->has_value());
  RunFor(600);
  BOOST_TEST(!Read("held")->has_value());
  BOOST_TEST(!*Renew(lease));
  auto put = Commit({ {}, { { "held", "v", lease } }, {} });
  BOOST_TEST((put.error().mCode == StoreErrorCode::Refused));
  for (bool expected : { true, false }) {
    lease = expected ? *Grant(5) : lease;
    auto revoked = Wait<tl::expected<bool, StoreError>>(
      [&](auto aCallback) { mStore.RevokeLease(lease, aCallback); });
    BOOST_TEST(*revoked == expected);
  }
}

// Guards against changes that are lost or merged, also when a chunk ends within
// a line, and against a watch that does not report its end.
BOOST_AUTO_TEST_CASE(watch_reports_each_change_and_its_end)
{
  for (bool split : { false, true }) {
    mServer.SetFaults({ { "split_watch", split }, { "down", false } });
    std::vector<std::string> seen;
    int broken = 0;
    Put("w/0", "early");
    std::int64_t from = (**Read("w/0")).mModRevision;
    auto watch = mStore.Watch(
      "w/",
      from,
      [&](const std::vector<StoreEntry>& aChanges) {
        for (const auto& change : aChanges) {
          seen.push_back(change.mKey + (change.mDeleted ? "-" : "=") +
                         change.mValue);
        }
      },
      [&](const StoreError& aError) {
        ++broken;
        BOOST_TEST((aError.mCode == StoreErrorCode::Unknown));
      });
    BOOST_REQUIRE(RunUntil([&] { return !seen.empty(); }));
    BOOST_REQUIRE(
      Commit({ {}, { { "w/1", "a\nb", 0 }, { "w/2", "c", 0 } }, {} }));
    Put("x/1", "other prefix");
    BOOST_REQUIRE(Commit({ {}, {}, { "w/2" } }).has_value());
    BOOST_TEST(RunUntil([&] { return seen.size() == 4; }));
    BOOST_TEST((seen == std::vector<std::string>{
                          "w/0=early", "w/1=a\nb", "w/2=c", "w/2-" }));
    mServer.SetFaults({ { "down", true } });
    BOOST_TEST(RunUntil([&] { return broken > 0; }));
    RunFor(50);
    BOOST_TEST(broken == 1);
  }
}

// Guards against callbacks after a watch was cancelled.
BOOST_AUTO_TEST_CASE(cancelled_watch_has_no_callbacks)
{
  int called = 0;
  auto watch = mStore.Watch(
    "", 0, [&](const auto&) { ++called; }, [&](const auto&) { ++called; });
  RunFor(50);
  watch->Cancel();
  Put("k", "v");
  mServer.SetFaults({ { "down", true } });
  RunFor(50);
  BOOST_TEST(called == 0);
  BOOST_TEST(mServer.Observations()["watchers"] == 0);
}

// Guards against a watch that does not report an unreachable store or a
// refusal.
BOOST_AUTO_TEST_CASE(watch_reports_unreachable_store_and_refusal)
{
  StoreClient unreachable(mHttp, { "127.0.0.1", 1 });
  std::optional<StoreErrorCode> code;
  unreachable.Watch(
    "",
    0,
    [](const auto&) {},
    [&](const StoreError& aError) { code = aError.mCode; });
  BOOST_REQUIRE(RunUntil([&] { return code.has_value(); }));
  BOOST_TEST((*code == StoreErrorCode::Unreachable));
  mServer.SetFaults({ { "refuse", true } });
  code.reset();
  mStore.Watch(
    "",
    0,
    [](const auto&) {},
    [&](const StoreError& aError) { code = aError.mCode; });
  BOOST_REQUIRE(RunUntil([&] { return code.has_value(); }));
  BOOST_TEST((*code == StoreErrorCode::Refused));
}

BOOST_AUTO_TEST_SUITE_END()
