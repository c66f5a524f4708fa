#include "savory/core/watch_duty.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <random>

using namespace savory;

namespace {

constexpr TimeMs kBeaconMs = 300;
constexpr TimeMs kTickMs = 50;
// Beyond the wait of a watch.
constexpr TimeMs kWatchTimeoutMs = 700;

// A host of the simulated zone. Watching is a cycle of a long poll, which a
// change ends, and a pause.
struct SimHost
{
  std::string mName;
  WatchDuty mDuty;
  WatchDutyOptions mOptions;
  std::map<std::string, ZonePeer> mPeers;
  std::int64_t mRevision = 0;
  std::optional<TimeMs> mContactMs;
  TimeMs mWholeAsOfMs = 0;
  TimeMs mNextCallMs = 0;
  std::optional<TimeMs> mCallSinceMs;
  int mFailures = 0;
  TimeMs mMayWatchFromMs = 0;
  // Faults: no power, no path to the store, no path to the peers in one
  // direction.
  bool mDown = false;
  bool mCutFromStore = false;
  bool mDeaf = false;
  bool mMute = false;
  int mCalls = 0;
};

struct SimZone
{
  std::vector<SimHost> mHosts;
  std::int64_t mStoreRevision = 1;
  TimeMs mNowMs = 10000;
  std::mt19937 mRandom;
  double mLossShare = 0.01;
  TimeMs mChangeBoundMs;

  SimZone(int aHosts, unsigned aSeed, TimeMs aChangeBoundMs)
    : mRandom(aSeed)
    , mChangeBoundMs(aChangeBoundMs)
  {
    for (int i = 0; i < aHosts; ++i) {
      SimHost host;
      host.mName = "edge-" + std::to_string(i);
      host.mOptions.mHost = host.mName;
      host.mOptions.mZone = "z";
      host.mOptions.mChangeBoundMs = aChangeBoundMs;
      mHosts.push_back(host);
    }
  }

  WatchPeriod Period() const { return FollowedWatchPeriod(mChangeBoundMs); }

  bool IsLost()
  {
    return std::uniform_real_distribution<>(0, 1)(mRandom) < mLossShare;
  }

  void Deliver(const SimHost& aFrom, bool aHasChanges)
  {
    for (SimHost& to : mHosts) {
      if (&to == &aFrom || to.mDown || to.mDeaf || aFrom.mMute || IsLost()) {
        continue;
      }
      bool sends = aFrom.mContactMs &&
                   mNowMs - *aFrom.mContactMs < aFrom.mOptions.mMaxContactAgeMs;
      to.mPeers[aFrom.mName] = {
        aFrom.mName,      mNowMs, mNowMs >= aFrom.mMayWatchFromMs, false,
        aFrom.mContactMs, 0,      aFrom.mOptions.mCapacity
      };
      // A beacon with a newer revision of a watcher leads to a pull.
      if (sends || aHasChanges) {
        to.mRevision = std::max(to.mRevision, aFrom.mRevision);
      }
      if (sends) {
        to.mWholeAsOfMs = std::max(to.mWholeAsOfMs, *aFrom.mContactMs);
      }
    }
  }

  void StepCalls(SimHost& aHost)
  {
    if (!aHost.mCallSinceMs) {
      if (!aHost.mDuty.mWatching || mNowMs < aHost.mNextCallMs) {
        return;
      }
      aHost.mCallSinceMs = mNowMs;
      ++aHost.mCalls;
    }
    TimeMs waited = mNowMs - *aHost.mCallSinceMs;
    if (aHost.mCutFromStore) {
      if (waited >= Period().mWaitMs + kWatchTimeoutMs) {
        aHost.mCallSinceMs.reset();
        aHost.mNextCallMs = mNowMs + 100;
        if (++aHost.mFailures >= 2) {
          aHost.mMayWatchFromMs = mNowMs + 2000;
        }
      }
      return;
    }
    if (aHost.mRevision < mStoreRevision || waited >= Period().mWaitMs) {
      bool news = aHost.mRevision < mStoreRevision;
      aHost.mRevision = mStoreRevision;
      aHost.mContactMs = mNowMs;
      aHost.mWholeAsOfMs = mNowMs;
      aHost.mFailures = 0;
      aHost.mMayWatchFromMs = 0;
      aHost.mCallSinceMs.reset();
      aHost.mNextCallMs = mNowMs + Period().mPauseMs;
      if (news) {
        Deliver(aHost, true);
      }
    }
  }

  void Step()
  {
    mNowMs += kTickMs;
    for (SimHost& host : mHosts) {
      if (host.mDown) {
        continue;
      }
      std::vector<ZonePeer> peers;
      for (const auto& [name, peer] : host.mPeers) {
        peers.push_back(peer);
      }
      UpdateWatchDuty(host.mDuty,
                      host.mOptions,
                      peers,
                      mNowMs >= host.mMayWatchFromMs,
                      mNowMs - host.mWholeAsOfMs,
                      mNowMs);
      StepCalls(host);
      if (mNowMs % kBeaconMs == 0) {
        Deliver(host, false);
      }
    }
  }

  void Run(TimeMs aForMs)
  {
    for (TimeMs end = mNowMs + aForMs; mNowMs < end;) {
      Step();
    }
  }

  std::vector<SimHost*> Watching()
  {
    std::vector<SimHost*> watching;
    for (SimHost& host : mHosts) {
      if (!host.mDown && host.mDuty.mWatching) {
        watching.push_back(&host);
      }
    }
    return watching;
  }

  int Calls() const
  {
    int calls = 0;
    for (const SimHost& host : mHosts) {
      calls += host.mCalls;
    }
    return calls;
  }

  // Writes a change and returns whether all hosts that reach the store have it
  // within the bound.
  bool ChangeArrives()
  {
    std::int64_t revision = ++mStoreRevision;
    Run(mChangeBoundMs);
    for (const SimHost& host : mHosts) {
      if (!host.mDown && !host.mCutFromStore && host.mRevision < revision) {
        BOOST_TEST_MESSAGE(host.mName << " lacks revision " << revision);
        return false;
      }
    }
    return true;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(watch_duty)

// Guards against calls to the store that grow with the hosts of a zone.
BOOST_AUTO_TEST_CASE(calls_do_not_grow_with_the_hosts)
{
  std::map<int, double> callsPerSecond;
  for (int hosts : { 2, 4, 10, 21 }) {
    SimZone zone(hosts, 1, 4000);
    zone.Run(5000);
    int before = zone.Calls();
    zone.Run(30000);
    callsPerSecond[hosts] = (zone.Calls() - before) / 30.0;
    BOOST_TEST(zone.Watching().size() == 1U, hosts << " hosts");
  }
  BOOST_TEST(callsPerSecond[21] <= 1.1 * callsPerSecond[2]);
}

// Guards against a host that misses a change because the hosts that watch for
// it fail: they lose power, lose the store, or are cut from their zone one way.
// All watchers fail at once, and a few others with them.
BOOST_AUTO_TEST_CASE(changes_arrive_when_watchers_fail)
{
  using Fault = void (*)(SimHost&, bool);
  const std::map<std::string, Fault> faults{
    { "no power", [](SimHost& aHost, bool aOn) { aHost.mDown = aOn; } },
    { "no store", [](SimHost& aHost, bool aOn) { aHost.mCutFromStore = aOn; } },
    { "deaf", [](SimHost& aHost, bool aOn) { aHost.mDeaf = aOn; } },
    { "mute", [](SimHost& aHost, bool aOn) { aHost.mMute = aOn; } },
  };
  for (unsigned seed = 1; seed <= 40; ++seed) {
    for (const auto& [name, set] : faults) {
      SimZone zone(21, seed, seed % 2 == 0 ? 4000 : 3000);
      zone.Run(5000 + 50 * seed);
      std::vector<SimHost*> failing = zone.Watching();
      for (int i = 0; i < 4; ++i) {
        failing.push_back(&zone.mHosts[zone.mRandom() % zone.mHosts.size()]);
      }
      for (SimHost* host : failing) {
        set(*host, true);
      }
      BOOST_TEST(zone.ChangeArrives(), name << ", seed " << seed);
      for (SimHost* host : failing) {
        set(*host, false);
      }
      BOOST_TEST(zone.ChangeArrives(), name << " ended, seed " << seed);
      zone.Run(4000);
      BOOST_TEST(zone.Watching().size() <= 3U, name << ", seed " << seed);
    }
  }
}

// Guards against a zone in which two hosts that took over at the same time both
// stop for each other.
BOOST_AUTO_TEST_CASE(one_of_two_that_took_over_goes_on)
{
  auto watches = [](const char* aHost, const char* aPeer) {
    WatchDutyOptions options;
    options.mHost = aHost;
    options.mZone = "z";
    options.mChangeBoundMs = 4000;
    std::vector<ZonePeer> peers{ { aPeer, 1000, true, false, 1000, 0 } };
    for (int i = 0; i < 20; ++i) {
      peers.push_back(
        { "h" + std::to_string(i), 1000, true, false, std::nullopt, 0 });
    }
    WatchDuty duty{ true, false, std::nullopt };
    UpdateWatchDuty(duty, options, peers, true, 0, 1000);
    return duty.mWatching;
  };
  BOOST_TEST(watches("a", "b") != watches("b", "a"));
}

// Guards against the smallest hosts of a zone that read each change for all.
BOOST_AUTO_TEST_CASE(most_capable_hosts_watch)
{
  SimZone zone(8, 5, 3000);
  for (SimHost& host : zone.mHosts) {
    host.mOptions.mCapacity = 0.9;
  }
  std::vector<SimHost*> capable{ &zone.mHosts[3], &zone.mHosts[5] };
  for (SimHost* host : capable) {
    host->mOptions.mCapacity = 100;
  }
  zone.Run(8000);
  BOOST_TEST((zone.Watching() == capable));
  for (SimHost* host : capable) {
    host->mDown = true;
  }
  BOOST_TEST(zone.ChangeArrives());
  zone.Run(8000);
  BOOST_TEST(zone.Watching().size() == 2U);
  for (SimHost* host : capable) {
    host->mDown = false;
  }
  BOOST_TEST(zone.ChangeArrives());
  zone.Run(8000);
  BOOST_TEST((zone.Watching() == capable));
}

// Guards against hosts that follow where the bound on a change leaves no time
// for a takeover.
BOOST_AUTO_TEST_CASE(all_watch_where_the_bound_is_tight)
{
  SimZone zone(8, 3, 2000);
  zone.Run(5000);
  BOOST_TEST(zone.Watching().size() == 8U);
}

// Guards against a host that the store turns away and that keeps calling while
// others of its zone are served.
BOOST_AUTO_TEST_CASE(host_that_is_turned_away_follows)
{
  SimZone zone(6, 4, 3000);
  zone.Run(5000);
  std::vector<SimHost*> first = zone.Watching();
  for (SimHost* host : first) {
    host->mCutFromStore = true;
  }
  zone.Run(8000);
  int before = first[0]->mCalls + first[1]->mCalls;
  zone.Run(20000);
  BOOST_TEST(first[0]->mCalls + first[1]->mCalls - before <= 20);
  BOOST_TEST(zone.ChangeArrives());
  BOOST_TEST(first[0]->mRevision == zone.mStoreRevision);
}

BOOST_AUTO_TEST_SUITE_END()
