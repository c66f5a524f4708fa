#include "duty_simulation.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace savory;

namespace {

constexpr std::int64_t kWindowMs = 5000;

// Runs with requests at all hosts, about 50 a second.
void
RunWithRequests(DutySimulation& aWorld, int aHosts, TimeMs aMs)
{
  for (TimeMs ms = 0; ms < aMs; ms += 20) {
    aWorld.Count(static_cast<int>(ms / 20) % aHosts,
                 ms % 60 == 0 ? "large" : "small");
    aWorld.Run(20);
  }
}

// The reports by window. No window has two different reports, no token is of
// two hosts, and tokens and holders never alternate.
std::map<std::int64_t, UsageCounts>
CheckReports(const DutySimulation& aWorld)
{
  std::map<std::int64_t, UsageCounts> windows;
  std::map<std::int64_t, int> tokens;
  std::int64_t lastToken = 0;
  std::map<int, TimeMs> lastActs;
  int lastHost = -1;
  for (const auto& report : aWorld.mReports) {
    auto [row, isNew] = windows.emplace(report.mWindow, report.mCounts);
    BOOST_TEST((isNew || row->second == report.mCounts));
    BOOST_TEST(tokens.emplace(report.mToken, report.mHost).first->second ==
               report.mHost);
    BOOST_TEST(report.mToken >= lastToken);
    lastToken = report.mToken;
    if (lastHost != report.mHost && lastActs.contains(report.mHost)) {
      BOOST_TEST(report.mAtMs - lastActs[report.mHost] > 3000);
    }
    lastActs[report.mHost] = report.mAtMs;
    lastHost = report.mHost;
  }
  return windows;
}

// Windows from the first to the last whole one that were not reported, or are
// off by more than 5 in 100.
int
CountWrong(const DutySimulation& aWorld, TimeMs aUntilMs)
{
  auto windows = CheckReports(aWorld);
  int wrong = 0;
  for (const auto& [window, counts] : aWorld.mTruth) {
    if ((window + 1) * kWindowMs > aUntilMs) {
      continue;
    }
    bool isRight = windows.contains(window);
    for (const auto& [customer, count] : counts) {
      isRight = isRight && std::abs(windows[window][customer] - count) <=
                             std::max<std::int64_t>(1, count / 20);
    }
    wrong += !isRight;
  }
  return wrong;
}

// A replica of the store at a revision, with the revision of the lease's key.
LeaseView
MakeView(std::int64_t aRevision, std::int64_t aKeyRevision)
{
  return { true, { 1, aRevision }, aKeyRevision, 0, false };
}

// A holder whose grant was sent at 10 s and whose key has revision 50.
DutyLease
MakeHolder()
{
  DutyLease lease = MakeDutyLease({}, 0);
  BOOST_TEST(
    (NextLeaseCall(lease, MakeView(49, 0), 10000) == LeaseCall::Grant));
  OnLeaseCall(lease, 10000);
  OnLeaseGranted(lease, 7, 3000, 10600);
  BOOST_TEST(
    (NextLeaseCall(lease, MakeView(49, 0), 10600) == LeaseCall::Acquire));
  OnLeaseCall(lease, 10600);
  OnLeaseAcquired(lease, LeaseResult::Done, { 1, 50 }, 10700);
  return lease;
}

struct World : DutySimulation
{
  explicit World(std::uint64_t aSeed = 1)
    : DutySimulation(4, aSeed)
  {
    RunWithRequests(*this, 4, 22000);
  }
  void Go(TimeMs aMs) { RunWithRequests(*this, 4, aMs); }
  int Wrong() const { return CountWrong(*this, mNowMs - 10000); }
};

} // namespace

BOOST_AUTO_TEST_SUITE(duty_lease)

// Guards against a lease that is counted from an answer: it runs from the
// arrival of the call, which may be as early as its sending.
BOOST_AUTO_TEST_CASE(validity_counts_from_the_call)
{
  DutyLease lease = MakeHolder();
  BOOST_TEST(MayAct(lease, 12699));
  BOOST_TEST(!MayAct(lease, 12700));
  BOOST_TEST(
    (NextLeaseCall(lease, MakeView(49, 0), 11000) == LeaseCall::Renew));
  OnLeaseCall(lease, 11000);
  OnLeaseRenewed(lease, LeaseResult::Done, 11600);
  BOOST_TEST(MayAct(lease, 13699));
  BOOST_TEST(!MayAct(lease, 13700));
}

// Guards against a holder that goes on although the store shows that its key is
// gone or another's, or that the store was restored.
BOOST_AUTO_TEST_CASE(replica_shows_the_loss)
{
  for (const LeaseView& view :
       { MakeView(50, 0), MakeView(60, 55), LeaseView{ true, { 2, 5 }, 50 } }) {
    DutyLease lease = MakeHolder();
    NextLeaseCall(lease, MakeView(49, 0), 10800);
    BOOST_TEST(MayAct(lease, 10800));
    NextLeaseCall(lease, view, 10900);
    BOOST_TEST(!MayAct(lease, 10900));
  }
}

// Guards against holders that act in the order A, B, A within the lifetime of a
// lease, also when A is a process that has just started again.
BOOST_AUTO_TEST_CASE(former_holder_leaves_the_lease_to_others)
{
  DutyLease lease = MakeHolder();
  ResignLease(lease, 0, 11000);
  BOOST_TEST((NextLeaseCall(lease, MakeView(60, 0), 11000) == LeaseCall::End));
  OnLeaseCall(lease, 11000);
  OnLeaseEnded(lease, LeaseResult::Done, 11050);
  DutyLease restarted = MakeDutyLease({}, 11050);
  for (TimeMs ms = 11100; ms < 14100; ms += 100) {
    BOOST_TEST((NextLeaseCall(lease, MakeView(60, 0), ms) == LeaseCall::None));
    BOOST_TEST(
      (NextLeaseCall(restarted, MakeView(60, 0), ms) == LeaseCall::None));
  }
  BOOST_TEST(
    (NextLeaseCall(lease, MakeView(60, 0), 19000) == LeaseCall::Grant));
}

// Guards against a key that is written by an acquisition without an answer and
// blocks the duty, or is written later beside another host's.
BOOST_AUTO_TEST_CASE(lease_of_an_unknown_acquisition_is_ended)
{
  DutyLease lease = MakeDutyLease({}, 0);
  NextLeaseCall(lease, MakeView(49, 0), 10000);
  OnLeaseCall(lease, 10000);
  OnLeaseGranted(lease, 7, 3000, 10010);
  OnLeaseCall(lease, 10010);
  OnLeaseAcquired(lease, LeaseResult::Unknown, {}, 11510);
  BOOST_TEST(!MayAct(lease, 11510));
  BOOST_TEST((NextLeaseCall(lease, MakeView(49, 0), 11510) == LeaseCall::End));
}

// Guards against elections that all hosts take part in: each candidate waits
// for those before it, and a lost one is not repeated at once.
BOOST_AUTO_TEST_CASE(candidates_try_one_after_another)
{
  std::vector<TimeMs> tries;
  for (int rank : { 0, 1, 2 }) {
    DutyLease lease = MakeDutyLease({}, 0);
    LeaseView view = MakeView(49, 0);
    view.mRank = rank;
    TimeMs ms = 10000;
    while (NextLeaseCall(lease, view, ms) == LeaseCall::None) {
      ms += 100;
    }
    tries.push_back(ms);
  }
  BOOST_TEST(tries[1] - tries[0] >= 1000);
  BOOST_TEST(tries[2] - tries[1] >= 1000);
}

// Guards against windows that are missing, late, repeated or incomplete without
// any fault.
BOOST_AUTO_TEST_CASE(each_window_is_reported_once_in_time)
{
  World world;
  world.Go(60000);
  BOOST_TEST(world.Wrong() == 0);
  std::set<std::int64_t> windows;
  for (const auto& report : world.mReports) {
    BOOST_TEST(windows.insert(report.mWindow).second);
    BOOST_TEST(report.mAtMs <= (report.mWindow + 1) * kWindowMs + 10000);
  }
  BOOST_TEST(windows.size() > 12U);
}

// Guards against a report with other counts by the next holder, and against a
// late one.
BOOST_AUTO_TEST_CASE(holder_killed_between_seal_and_report)
{
  World world;
  int killed = -1;
  world.mOnSealed = [&](int aHost) {
    if (killed < 0) {
      killed = aHost;
      world.Kill(aHost);
    }
  };
  world.Go(40000);
  BOOST_TEST(killed >= 0);
  BOOST_TEST(world.Holder() != killed);
  BOOST_TEST(world.Wrong() == 0);
  std::set<std::int64_t> windows;
  for (const auto& report : world.mReports) {
    BOOST_TEST((!windows.insert(report.mWindow).second ||
                report.mAtMs <= (report.mWindow + 1) * kWindowMs + 10000));
  }
}

// Guards against a holder that acts after its lease, and against one that acts
// again with its token.
BOOST_AUTO_TEST_CASE(holder_suspended_past_its_lease)
{
  World world;
  int first = world.Holder();
  world.Suspend(first, 9000);
  world.Go(8900);
  BOOST_TEST(world.Holder() != first);
  world.Go(40000);
  BOOST_TEST(world.mFenced.empty());
  CheckReports(world);
}

// Guards against a holder that goes on although no answer reaches it.
BOOST_AUTO_TEST_CASE(holder_whose_answers_are_lost)
{
  World world;
  int first = world.Holder();
  world.mNoAnswers[first] = true;
  world.Go(12000);
  BOOST_TEST(world.Holder() != first);
  BOOST_TEST(world.Holder() >= 0);
  world.mNoAnswers[first] = false;
  world.Go(40000);
  BOOST_TEST(world.Wrong() == 0);
}

// Guards against a token that is used again after it was refused.
BOOST_AUTO_TEST_CASE(refused_token_is_not_sent_again)
{
  World world;
  int first = world.Holder();
  world.mCloudStatus = 409;
  while (world.mFenced.empty()) {
    world.Go(100);
  }
  world.mCloudStatus = 0;
  world.Go(300);
  BOOST_TEST(world.Holder() != first);
  std::int64_t token = world.mFenced.front().second;
  world.Go(40000);
  BOOST_TEST(world.mFenced.size() == 1U);
  for (const auto& report : world.mReports) {
    BOOST_TEST((report.mAtMs < world.mNowMs - 40000 || report.mToken > token));
  }
  BOOST_TEST(world.Wrong() == 0);
}

// Guards against windows that are given up while the store or the cloud
// interface is down, refuses or is overloaded.
BOOST_AUTO_TEST_CASE(outages_delay_reports)
{
  for (int status : { -1, 429, 500 }) {
    World world;
    world.mCloudStatus = status;
    world.Go(30000);
    world.mCloudStatus = 0;
    world.Go(30000);
    BOOST_TEST(world.Wrong() == 0);
  }
  World world;
  world.mStoreDown = true;
  world.Go(30000);
  BOOST_TEST(world.Holder() == -1);
  world.mStoreDown = false;
  world.Go(40000);
  BOOST_TEST(world.Wrong() == 0);
}

// Guards against counts that move to another window when one host's wall clock
// jumps by 3 s and back.
BOOST_AUTO_TEST_CASE(wall_clock_jumps)
{
  World world;
  for (TimeMs error : { 3000, 0, -3000, 0 }) {
    world.mWallErrors[world.Holder()] = error;
    world.Go(12000);
  }
  world.Go(20000);
  BOOST_TEST(world.Wrong() == 0);
}

// Guards against a second, different report of a window whose seal was lost
// with a restore of the store, and against a token that falls with its
// revisions.
BOOST_AUTO_TEST_CASE(store_restored_between_seal_and_report)
{
  World world;
  world.SaveStore();
  world.Go(9000);
  bool isRestored = false;
  world.mOnSealed = [&](int) {
    if (!isRestored) {
      isRestored = true;
      world.RestoreStore();
    }
  };
  world.Go(60000);
  BOOST_TEST(isRestored);
  BOOST_TEST(world.mFenced.empty());
  BOOST_TEST(world.mReports.back().mWindow >= world.mNowMs / kWindowMs - 3);
  // The window whose seal was lost may be missing.
  BOOST_TEST(world.Wrong() <= 1);
}

// Guards against two different reports, alternating holders and tokens of two
// hosts where calls are lost, executed late and hosts are suspended: split
// brain, late grants, late acquisitions and late seals.
BOOST_AUTO_TEST_CASE(any_faults)
{
  std::mt19937_64 random(4);
  for (std::uint64_t seed = 1; seed <= 25; ++seed) {
    World world(seed);
    world.mFaults = { 0.05, 0.05, 0.05, 0.1 };
    world.SaveStore();
    for (int step = 0; step < 10; ++step) {
      world.Suspend(static_cast<int>(random() % 4),
                    static_cast<TimeMs>(random() % 6000));
      world.Go(4000);
      if (step == 5 && seed % 2 == 0) {
        world.RestoreStore();
      }
    }
    world.mFaults = {};
    world.Go(25000);
    CheckReports(world);
    BOOST_TEST(world.mReports.back().mWindow >= world.mNowMs / kWindowMs - 3);
  }
}

BOOST_AUTO_TEST_SUITE_END()
