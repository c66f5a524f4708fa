#include "fixture.h"
#include "savory/net/http_link.h"
#include "savory/platform/fleet_watcher.h"

#include <boost/test/unit_test.hpp>
#include <thread>

using namespace savory;

namespace {

// A watcher and the calls that it makes, which the test answers one by one.
struct StoreFixture : LoopFixture
{
  std::vector<std::pair<std::string, std::shared_ptr<CallerLink>>> mCalls;
  HttpFrontend mFrontend{ mLoop,
                          [this](const IncomingRequest& aRequest,
                                 const std::shared_ptr<CallerLink>& aCaller) {
                            mCalls.emplace_back(aRequest.mHead.mTarget,
                                                aCaller);
                          } };
  FleetStore mStore{ mLoop, { "127.0.0.1", mFrontend.Listen("127.0.0.1", 0) } };
  StoreWatcher mWatcher{ mLoop, mStore, 4000 };
  std::vector<std::string> mApplied;
  std::vector<StoreRevision> mRestores;

  StoreFixture()
  {
    mWatcher.mOnEntry = [this](const StoreEntry& aEntry) {
      mApplied.push_back(aEntry.mKey);
    };
    mWatcher.mOnDeleted = [this](const std::string& aKey) {
      mApplied.push_back("-" + aKey);
    };
    mWatcher.mOnRestored = [this](const StoreRevision& aBefore) {
      mRestores.push_back(aBefore);
    };
  }

  // Waits for the next call, whose target must begin so, and answers it.
  void Answer(std::string_view aTarget,
              int aEpoch,
              const std::string& aBody,
              int aStatus = 200)
  {
    BOOST_REQUIRE(RunUntil([&] { return !mCalls.empty(); }));
    auto [target, caller] = mCalls.front();
    mCalls.erase(mCalls.begin());
    BOOST_TEST(target.starts_with(aTarget), target << ", not " << aTarget);
    caller->Respond(
      aStatus, { { "Store-Era", std::to_string(aEpoch) } }, aBody);
  }
};

std::string
MakePage(int aRevision, const std::string& aKey, bool aHasMore = false)
{
  return R"({"at":)" + std::to_string(aRevision) + R"(,"entries":[{"key":")" +
         aKey + R"(","revision":2,"value":"MQ=="}],"hasMore":)" +
         (aHasMore ? "true}" : "false}");
}

const std::string kNoChanges = R"({"at":9,"events":[]})";
const std::string kList = "/kv-range?prefix=";
const std::string kSecondPage = "/kv-range?prefix=&after=";
const std::string kWatch = "/kv-watch?prefix=&after=";

} // namespace

BOOST_FIXTURE_TEST_SUITE(fleet_watcher, StoreFixture)

// Guards against a list that mixes the entries of two epochs.
BOOST_AUTO_TEST_CASE(list_with_pages_of_two_epochs_is_read_again)
{
  mWatcher.Start();
  Answer(kList, 1, MakePage(9, "a", true));
  Answer(kSecondPage, 2, MakePage(9, "c"));
  Answer(kList, 2, MakePage(5, "b", true));
  Answer(kSecondPage, 2, MakePage(5, "c"));
  Answer(kWatch + "5", 2, kNoChanges);
  std::vector<std::string> expected{ "b", "c" };
  BOOST_TEST(mApplied == expected, boost::test_tools::per_element());
  BOOST_TEST(mRestores.empty(), "nothing was in force before");
}

// Guards against a new epoch that is found only by an answer to a watch, or
// taken for a lost history, and against a read that all hosts make at once.
BOOST_AUTO_TEST_CASE(any_answer_of_a_newer_epoch_leads_to_a_list)
{
  constexpr TimeMs kDelayMs = 200;
  mWatcher.SetRestoreDelay(kDelayMs);
  mWatcher.Start();
  int epoch = 1;
  Answer(kList, epoch, MakePage(9, "a"));
  Answer(kWatch, epoch, kNoChanges);
  for (int status : { 200, 410, 503 }) {
    ++epoch;
    Answer(kWatch, epoch, kNoChanges, status);
    BOOST_REQUIRE(RunUntil([&] { return mStore.Epoch() == epoch; }));
    TimeMs heardMs = MonotonicMs();
    Answer(kList, epoch, MakePage(7, "a"));
    BOOST_TEST(MonotonicMs() - heardMs >= kDelayMs - 10);
    BOOST_REQUIRE(RunUntil([&] {
      return mWatcher.Position() == StoreRevision{ epoch, 7 };
    }));
  }
  // The answer to a commit, while a watch is pending.
  BOOST_REQUIRE(RunUntil([&] { return !mCalls.empty(); }));
  mCalls.clear();
  std::optional<StoreCommit> commit;
  mStore.Commit({}, [&](tl::expected<StoreCommit, StoreError> aResult) {
    commit = aResult.value();
  });
  ++epoch;
  Answer("/kv-txn", epoch, R"({"revision":8})");
  Answer(kList, epoch, MakePage(8, "a"));
  BOOST_REQUIRE(commit);
  BOOST_TEST(commit->mEpoch == epoch);
  BOOST_TEST(commit->mRevision == 8);
  BOOST_REQUIRE(RunUntil([&] { return mRestores.size() == 4U; }));
  BOOST_TEST(mWatcher.IsReachable(), "a restore is no outage");
}

// Guards against a host that goes on with a store which is still in the old
// epoch, and against its commits that count although they are lost.
BOOST_AUTO_TEST_CASE(answers_of_an_older_epoch_are_errors)
{
  mWatcher.Start();
  Answer(kList, 3, MakePage(9, "a"));
  Answer(kWatch, 3, kNoChanges);
  mWatcher.OnPeerEpoch(4);
  BOOST_TEST(!mWatcher.HasNewestEpoch());
  mCalls.clear();
  mApplied.clear();
  Answer(kList, 3, MakePage(50, "b"));
  Answer(kList, 3, MakePage(50, "b"));
  BOOST_REQUIRE(RunUntil([&] { return !mWatcher.IsReachable(); }));
  bool isError = false;
  mStore.Commit({}, [&](tl::expected<StoreCommit, StoreError> aResult) {
    isError = !aResult && aResult.error().mCode == StoreErrorCode::Unknown;
  });
  BOOST_REQUIRE(RunUntil([&] { return mCalls.size() == 2U; }));
  if (!mCalls.front().first.starts_with("/kv-txn")) {
    std::swap(mCalls[0], mCalls[1]);
  }
  Answer("/kv-txn", 3, R"({"revision":60})");
  Answer(kList, 4, MakePage(6, "a"));
  BOOST_REQUIRE(RunUntil([&] { return mWatcher.HasNewestEpoch(); }));
  BOOST_TEST(isError);
  std::vector<std::string> expected{ "a" };
  BOOST_TEST(mApplied == expected, boost::test_tools::per_element());
}

// The first page still has the runner; the peer knows that it has left.
BOOST_AUTO_TEST_CASE(deletion_heard_between_two_pages_holds)
{
  mWatcher.Start();
  Answer(kList, 0, MakePage(9, "servers/a", true));
  BOOST_REQUIRE(RunUntil([&] { return !mCalls.empty(); }));
  StoreEntries peerCopy{ 10, { { "servers/b", "1", 2 } } };
  mWatcher.MergePeerEntries(peerCopy);
  Answer(kSecondPage, 0, MakePage(10, "servers/b"));
  Answer(kWatch + "10", 0, R"({"at":10,"events":[]})");
  BOOST_TEST(!mWatcher.Copy().mEntries.contains("servers/a"));
  std::vector<std::string> expected{ "servers/b" };
  BOOST_TEST(mApplied == expected, boost::test_tools::per_element());
}

// Guards against a host that asks no peer before its own calls have timed out.
BOOST_AUTO_TEST_CASE(silent_store_is_overdue_before_it_counts_as_down)
{
  mWatcher.Start();
  Answer(kList, 0, MakePage(9, "a"));
  Answer(kWatch, 0, kNoChanges);
  BOOST_REQUIRE(RunUntil([&] { return mWatcher.IsConfirmed(); }));
  BOOST_TEST(!mWatcher.IsOverdue());
  BOOST_REQUIRE(RunUntil([&] { return mWatcher.IsOverdue(); }));
  BOOST_TEST(mWatcher.IsReachable());
  mCalls.erase(mCalls.begin(), mCalls.end() - 1);
  Answer(kWatch, 0, kNoChanges);
  BOOST_TEST(RunUntil([&] { return !mWatcher.IsOverdue(); }));
}

// Around an outage, followers keep runners that have left.
BOOST_AUTO_TEST_CASE(lost_history_is_no_outage)
{
  mWatcher.Start();
  Answer(kList, 0, MakePage(9, "a"));
  Answer(kWatch, 0, kNoChanges);
  BOOST_REQUIRE(RunUntil([&] { return mWatcher.IsConfirmed(); }));
  TimeMs sinceMs = mWatcher.ReachableSinceMs();
  std::vector<bool> changes;
  mWatcher.mOnReachabilityChanged = [&](bool aReachable, const std::string&) {
    changes.push_back(aReachable);
  };
  // The pending watch is cut, and the history is gone.
  Answer(kWatch, 0, {}, 503);
  Answer(kWatch, 0, {}, 410);
  Answer(kList, 0, MakePage(12, "a"));
  BOOST_REQUIRE(RunUntil([&] { return mWatcher.Revision() == 12; }));
  BOOST_TEST(changes.empty());
  BOOST_TEST(mWatcher.MayWatch());
  BOOST_TEST(mWatcher.ReachableSinceMs() == sinceMs);
}

// Guards against superseded versions that fill a slow link for longer than
// they are the newest ones.
BOOST_AUTO_TEST_CASE(answer_longer_than_a_list_is_not_read)
{
  mWatcher.Start();
  Answer(kList, 0, MakePage(9, "a"));
  Answer(kWatch, 0, kNoChanges);
  BOOST_REQUIRE(RunUntil([&] { return mWatcher.IsConfirmed(); }));
  const std::string version =
    R"({"key":"a","revision":12,"value":")" + std::string(64 * 1024, 'A');
  Answer(kWatch, 0, R"({"at":12,"events":[)" + version + R"("}]})");
  Answer(kList, 0, MakePage(12, "a"));
  BOOST_REQUIRE(RunUntil([&] { return mWatcher.Revision() == 12; }));
  BOOST_TEST(mWatcher.IsReachable());
  // One version of a value that the copy has is no longer than a list.
  Answer(kWatch,
         0,
         R"({"at":13,"events":[{"key":"b","revision":13,"value":")" +
           std::string(60 * 1024, 'A') + R"("}]})");
  BOOST_REQUIRE(RunUntil([&] { return mWatcher.Revision() == 13; }));
  Answer(kWatch,
         0,
         R"({"at":14,"events":[{"key":"b","revision":14,"value":")" +
           std::string(60 * 1024, 'B') + R"("}]})");
  BOOST_REQUIRE(RunUntil([&] { return mWatcher.Revision() == 14; }));
}

// Guards against a long value that is read from the store and from a peer at
// once over the same link.
BOOST_AUTO_TEST_CASE(answer_that_a_peer_has_overtaken_is_not_read)
{
  const std::string value(100 * 1024, 'v');
  mWatcher.Start();
  Answer(kList, 0, MakePage(9, "a"));
  Answer(kWatch, 0, kNoChanges);
  BOOST_REQUIRE(RunUntil([&] { return mWatcher.IsConfirmed(); }));
  mWatcher.MergePeerChanges({ 9, { 11, { { "long", value, 10 } } } });
  auto answer = [&](int aRevision) {
    return R"({"at":)" + std::to_string(aRevision) +
           R"(,"events":[{"key":"long","revision":)" +
           std::to_string(aRevision) + R"(,"value":")" +
           std::string(100 * 1024, 'A') + R"("}]})";
  };
  // A short change of a peer does not stand in for the long one.
  BOOST_REQUIRE(RunUntil([&] { return !mCalls.empty(); }));
  mWatcher.MergePeerChanges({ 11, { 12, { { "b", "1", 12 } } } });
  Answer(kWatch + "11", 0, answer(13));
  BOOST_REQUIRE(RunUntil([&] { return mWatcher.Revision() == 13; }));
  BOOST_REQUIRE(RunUntil([&] { return !mCalls.empty(); }));
  std::size_t applied = mApplied.size();
  std::vector<std::string> reasons;
  mWatcher.mOnAnswer = [&](auto, auto, const std::string& aReason) {
    reasons.push_back(aReason);
  };
  mWatcher.MergePeerChanges({ 13, { 14, { { "long", value, 14 } } } });
  Answer(kWatch + "13", 0, answer(14));
  Answer(kWatch + "14", 0, R"({"at":14,"events":[]})");
  BOOST_REQUIRE(!reasons.empty());
  BOOST_TEST(reasons.front() == kAnswerTooLong);
  BOOST_TEST(mApplied.size() == applied + 1);
  BOOST_TEST(mWatcher.IsReachable());
}

// Guards against followers that rely on a watcher which is behind by what it
// has not processed yet.
BOOST_AUTO_TEST_CASE(answer_processed_late_does_not_count_as_new)
{
  constexpr TimeMs kBusyMs = 600;
  mWatcher.SetWatcherCount(2, true);
  mWatcher.Start();
  Answer(kList, 0, MakePage(9, "a"));
  Answer(kWatch, 0, kNoChanges);
  BOOST_REQUIRE(RunUntil([&] { return mWatcher.IsConfirmed(); }));
  BOOST_REQUIRE(RunUntil([&] { return !mCalls.empty(); }));
  mCalls.front().second->Respond(200, {}, kNoChanges);
  TimeMs waitMs = FollowedWatchPeriod(4000).mWaitMs;
  std::this_thread::sleep_for(std::chrono::milliseconds(waitMs + kBusyMs));
  bool isProcessed = false;
  mWatcher.mOnAnswer = [&](auto&&...) { isProcessed = true; };
  BOOST_REQUIRE(RunUntil([&] { return isProcessed; }));
  BOOST_TEST(mWatcher.ContactAgeMs().value_or(0) >= kBusyMs);
}

BOOST_AUTO_TEST_SUITE_END()
