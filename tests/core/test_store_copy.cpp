#include "savory/core/store_copy.h"

#include "savory/core/peer_table.h"
#include "savory/core/watch_duty.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <random>
#include <set>

using namespace savory;

namespace {

using Keys = std::map<std::string, std::int64_t>;

Keys
KeysOf(const StoreCopy& aCopy)
{
  Keys keys;
  for (const auto& [key, entry] : aCopy.mEntries) {
    keys[key] = entry.mModRevision;
  }
  return keys;
}

// The store, with its whole history and a revision before which it gives none.
struct SimStore
{
  std::vector<StoreEntry> mHistory;
  std::map<std::string, StoreEntry> mEntries;
  std::int64_t mRevision = 1;
  std::int64_t mCompactedRevision = 0;

  void Write(const std::string& aKey, bool aDeletes)
  {
    StoreEntry entry{ aKey, "", ++mRevision, aDeletes };
    mHistory.push_back(entry);
    if (aDeletes) {
      mEntries.erase(aKey);
    } else {
      mEntries[aKey] = entry;
    }
  }

  StoreEntries List() const
  {
    StoreEntries list{ mRevision, {} };
    for (const auto& [key, entry] : mEntries) {
      list.mEntries.push_back(entry);
    }
    return list;
  }

  std::optional<StoreChanges> ChangesAfter(std::int64_t aRevision) const
  {
    if (aRevision < mCompactedRevision) {
      return std::nullopt;
    }
    StoreChanges changes{ aRevision, { mRevision, {} } };
    std::copy_if(mHistory.begin(),
                 mHistory.end(),
                 std::back_inserter(changes.mEntries.mEntries),
                 [aRevision](const StoreEntry& aEntry) {
                   return aEntry.mModRevision > aRevision;
                 });
    return changes;
  }
};

constexpr TimeMs kTickMs = 50;
constexpr TimeMs kBeaconMs = 300;
constexpr TimeMs kWatchWaitMs = 1000;
constexpr TimeMs kWatchPauseMs = 600;
constexpr TimeMs kCallTimeoutMs = 1700;
constexpr TimeMs kRetryMs = 200;
constexpr TimeMs kPullTimeoutMs = 1500;
constexpr TimeMs kTurnedAwayMs = 2000;

// The bounds of a fleet of a hundred hosts.
constexpr TimeMs kApplyMs = 4000;
constexpr TimeMs kContactMs = 5000;
const std::string kConfigKey = "op/config";

struct SimHost
{
  std::string mName;
  WatchDutyOptions mOptions;
  WatchDuty mDuty;
  PeerTable mPeers;
  StoreCopy mCopy;
  std::optional<TimeMs> mContactMs;
  TimeMs mReachableSinceMs = 0;
  TimeMs mNextCallMs = 0;
  std::optional<TimeMs> mCallSinceMs;
  bool mNeedsList = true;
  int mFailures = 0;
  TimeMs mMayWatchFromMs = 0;
  std::optional<TimeMs> mPullUntilMs;
  std::string mPullPeer;
  // Faults, and the end of the last one.
  bool mDown = false;
  bool mPaused = false;
  bool mCutFromStore = false;
  bool mTurnedAway = false;
  bool mDeaf = false;
  bool mMute = false;
  TimeMs mHarmedMs = -100000;
  // The newest configuration of this process.
  std::int64_t mConfigRevision = 0;

  bool IsHarmed() const
  {
    return mDown || mPaused || mCutFromStore || mTurnedAway || mDeaf || mMute;
  }
  // A new process of the host.
  void Restart()
  {
    SimHost fresh;
    fresh.mName = mName;
    fresh.mOptions = mOptions;
    *this = fresh;
  }
};

// Hosts in zones that share their copies of one store. Steps take kTickMs; a
// message that is not lost arrives in one of the next steps.
struct SimFleet
{
  SimStore mStore;
  std::vector<SimHost> mHosts;
  TimeMs mNowMs = 100000;
  std::mt19937 mRandom;
  double mLossShare = 0.02;
  std::multimap<TimeMs, std::function<void()>> mMessages;
  // When each revision of the configuration was acknowledged.
  std::vector<std::pair<std::int64_t, TimeMs>> mConfigs;
  std::string mFault;

  SimFleet(const std::vector<int>& aZoneSizes, unsigned aSeed)
    : mRandom(aSeed)
  {
    for (std::size_t zone = 0; zone < aZoneSizes.size(); ++zone) {
      for (int i = 0; i < aZoneSizes[zone]; ++i) {
        SimHost host;
        host.mOptions.mZone = "zone-" + std::to_string(zone);
        host.mName = host.mOptions.mZone + "-" + std::to_string(i);
        host.mOptions.mHost = host.mName;
        host.mOptions.mChangeBoundMs = kApplyMs;
        mHosts.push_back(host);
      }
    }
    WriteConfig();
  }

  int Draw(int aBelow)
  {
    return std::uniform_int_distribution<>(0, aBelow - 1)(mRandom);
  }
  bool Chance(double aShare)
  {
    return std::uniform_real_distribution<>(0, 1)(mRandom) < aShare;
  }

  void WriteConfig()
  {
    mStore.Write(kConfigKey, false);
    mConfigs.emplace_back(mStore.mRevision, mNowMs);
  }

  // Other keys come and go, some for a moment only.
  void WriteOther()
  {
    std::string key = "servers/" + std::to_string(Draw(160));
    mStore.Write(key, mStore.mEntries.contains(key) && Chance(0.3));
  }

  void Send(SimHost& aTo, std::function<void(SimHost&)> aReceive)
  {
    if (Chance(mLossShare)) {
      return;
    }
    SimHost* to = &aTo;
    mMessages.emplace(mNowMs + kTickMs * Draw(3), [to, aReceive] {
      if (!to->mDown && !to->mPaused && !to->mDeaf) {
        aReceive(*to);
      }
    });
  }

  void SendToZone(const SimHost& aFrom,
                  const std::function<void(SimHost&)>& aReceive)
  {
    for (SimHost& to : mHosts) {
      if (&to != &aFrom && to.mOptions.mZone == aFrom.mOptions.mZone) {
        Send(to, aReceive);
      }
    }
  }

  void SendBeacon(const SimHost& aHost)
  {
    Peer peer{ aHost.mName,
               aHost.mOptions.mZone,
               0,
               aHost.mCopy.mRevision,
               false,
               mNowMs >= aHost.mMayWatchFromMs,
               aHost.mContactMs,
               aHost.mReachableSinceMs,
               0 };
    SendToZone(aHost, [this, peer](SimHost& aTo) {
      Peer heard = peer;
      heard.mLastHeardMs = mNowMs;
      heard.mAvoidedUntilMs = aTo.mPeers[peer.mHost].mAvoidedUntilMs;
      aTo.mPeers[peer.mHost] = heard;
    });
  }

  void OnStoreAnswer(SimHost& aHost, const StoreChanges& aChanges)
  {
    aHost.mFailures = 0;
    aHost.mMayWatchFromMs = 0;
    aHost.mContactMs = mNowMs;
    if (aHost.mReachableSinceMs == 0) {
      aHost.mReachableSinceMs = mNowMs;
    }
    if (aChanges.mEntries.mEntries.empty()) {
      return;
    }
    SendToZone(aHost, [this, aChanges, from = aHost.mName](SimHost& aTo) {
      if (aTo.mCopy.mRevision == 0 ||
          aChanges.mFromRevision > aTo.mCopy.mRevision) {
        StartPull(aTo, from);
      } else if (aChanges.mEntries.mRevision > aTo.mCopy.mRevision) {
        ApplyChanges(aTo.mCopy, aChanges);
      }
    });
  }

  void StepCall(SimHost& aHost)
  {
    if (!aHost.mCallSinceMs) {
      if (!aHost.mDuty.mWatching || mNowMs < aHost.mNextCallMs) {
        return;
      }
      aHost.mCallSinceMs = mNowMs;
    }
    TimeMs waited = mNowMs - *aHost.mCallSinceMs;
    if (aHost.mTurnedAway ||
        (aHost.mCutFromStore && waited >= kCallTimeoutMs)) {
      aHost.mCallSinceMs.reset();
      aHost.mNextCallMs = mNowMs + kRetryMs;
      if (++aHost.mFailures >= 2) {
        aHost.mMayWatchFromMs = mNowMs + kTurnedAwayMs;
      }
      return;
    }
    if (aHost.mCutFromStore) {
      return;
    }
    bool isNew = aHost.mCopy.mRevision < mStore.mRevision;
    if (!aHost.mNeedsList && !isNew && waited < kWatchWaitMs) {
      return;
    }
    aHost.mCallSinceMs.reset();
    auto changes = mStore.ChangesAfter(aHost.mCopy.mRevision);
    if (aHost.mNeedsList || aHost.mCopy.mRevision == 0) {
      aHost.mNeedsList = false;
      OnStoreAnswer(aHost, ApplyList(aHost.mCopy, mStore.List()));
      return;
    }
    if (!changes) {
      aHost.mNeedsList = true;
      aHost.mNextCallMs = mNowMs + kRetryMs;
      return;
    }
    aHost.mNextCallMs = mNowMs + kWatchPauseMs;
    ApplyChanges(aHost.mCopy, *changes);
    OnStoreAnswer(aHost, *changes);
  }

  SimHost* Find(const std::string& aName)
  {
    for (SimHost& host : mHosts) {
      if (host.mName == aName) {
        return &host;
      }
    }
    return nullptr;
  }

  // Fetches what the host lacks from a peer, all of it if the peer's log does
  // not hold the changes.
  void StartPull(SimHost& aHost, const std::string& aPeer)
  {
    if (aHost.mPullUntilMs || mNowMs < aHost.mPeers[aPeer].mAvoidedUntilMs) {
      return;
    }
    aHost.mPullUntilMs = mNowMs + kPullTimeoutMs;
    aHost.mPullPeer = aPeer;
    std::string name = aHost.mName;
    mMessages.emplace(mNowMs + 100 + kTickMs * Draw(4), [this, name, aPeer] {
      SimHost* host = Find(name);
      SimHost* peer = Find(aPeer);
      if (host->mDown || host->mPaused || host->mDeaf || peer->mDown ||
          peer->mPaused || peer->mMute || peer->mDeaf) {
        return;
      }
      host->mPullUntilMs.reset();
      auto changes = ChangesAfter(peer->mCopy, host->mCopy.mRevision);
      if (changes && host->mCopy.mRevision > 0) {
        ApplyChanges(host->mCopy, *changes);
      } else if (peer->mCopy.mRevision > host->mCopy.mRevision) {
        StoreEntries list{ peer->mCopy.mRevision, {} };
        for (const auto& [key, entry] : peer->mCopy.mEntries) {
          list.mEntries.push_back(entry);
        }
        ApplyList(host->mCopy, list);
      }
    });
  }

  void StepHost(SimHost& aHost)
  {
    if (aHost.mPullUntilMs && mNowMs >= *aHost.mPullUntilMs) {
      aHost.mPullUntilMs.reset();
      OnPullFailed(aHost.mPeers[aHost.mPullPeer], mNowMs);
    }
    std::vector<ZonePeer> peers =
      ReliablePeers(aHost.mPeers, aHost.mOptions.mZone, 0, mNowMs);
    UpdateWatchDuty(aHost.mDuty,
                    aHost.mOptions,
                    peers,
                    mNowMs >= aHost.mMayWatchFromMs,
                    mNowMs);
    if (!aHost.mDuty.mWatching || aHost.mFailures >= 2) {
      auto source = ChoosePullSource(aHost.mPeers,
                                     aHost.mOptions,
                                     !aHost.mDuty.mWatching,
                                     aHost.mCopy.mRevision,
                                     mNowMs);
      if (source) {
        StartPull(aHost, *source);
      }
    }
    StepCall(aHost);
    if (mNowMs % kBeaconMs == 0 && !aHost.mMute) {
      SendBeacon(aHost);
    }
  }

  // The configuration that a host in touch must have by now.
  std::int64_t DueRevision() const
  {
    std::int64_t due = 0;
    for (const auto& [revision, acknowledgedMs] : mConfigs) {
      if (acknowledgedMs + kApplyMs <= mNowMs) {
        due = revision;
      }
    }
    return due;
  }

  void Check(SimHost& aHost, std::int64_t aDueRevision)
  {
    auto found = aHost.mCopy.mEntries.find(kConfigKey);
    std::int64_t revision =
      found == aHost.mCopy.mEntries.end() ? 0 : found->second.mModRevision;
    if (revision < aHost.mConfigRevision) {
      mFault = aHost.mName + " went back from revision " +
               std::to_string(aHost.mConfigRevision) + " to " +
               std::to_string(revision);
    }
    aHost.mConfigRevision = revision;
    if (mNowMs - aHost.mHarmedMs > kContactMs && revision < aDueRevision) {
      mFault = aHost.mName + " has revision " + std::to_string(revision) +
               " at " + std::to_string(mNowMs) + ", not " +
               std::to_string(aDueRevision);
    }
  }

  void Run(TimeMs aForMs)
  {
    for (TimeMs end = mNowMs + aForMs; mNowMs < end && mFault.empty();) {
      mNowMs += kTickMs;
      while (!mMessages.empty() && mMessages.begin()->first <= mNowMs) {
        auto receive = mMessages.begin()->second;
        mMessages.erase(mMessages.begin());
        receive();
      }
      std::int64_t due = DueRevision();
      for (SimHost& host : mHosts) {
        if (host.IsHarmed()) {
          host.mHarmedMs = mNowMs;
        }
        if (!host.mDown && !host.mPaused) {
          StepHost(host);
          Check(host, due);
        }
      }
    }
  }
};

using Fault = void (*)(SimHost&, bool);

const std::map<std::string, Fault> kFaults{
  { "killed",
    [](SimHost& aHost, bool aBegins) {
      if (!aBegins) {
        aHost.Restart();
      }
      aHost.mDown = aBegins;
    } },
  { "paused",
    [](SimHost& aHost, bool aBegins) {
      aHost.mPaused = aBegins;
      if (!aBegins) {
        aHost.mDuty = {};
        aHost.mContactMs.reset();
        aHost.mPeers.clear();
        aHost.mCallSinceMs.reset();
        aHost.mPullUntilMs.reset();
        aHost.mNextCallMs = 0;
      }
    } },
  { "cut from the store",
    [](SimHost& aHost, bool aBegins) { aHost.mCutFromStore = aBegins; } },
  { "turned away",
    [](SimHost& aHost, bool aBegins) { aHost.mTurnedAway = aBegins; } },
  { "deaf", [](SimHost& aHost, bool aBegins) { aHost.mDeaf = aBegins; } },
  { "mute", [](SimHost& aHost, bool aBegins) { aHost.mMute = aBegins; } },
};

// Plays one fault at the watchers and some other hosts, with changes all the
// while and, in some plays, without the store's history.
void
PlayFleet(SimFleet& aFleet, Fault aSet, bool aCompacts)
{
  auto change = [&aFleet, aCompacts](int aSteps) {
    for (int i = 0; i < aSteps && aFleet.mFault.empty(); ++i) {
      if (aFleet.Chance(0.3)) {
        aFleet.WriteConfig();
      }
      for (int writes = aFleet.Draw(12); writes > 0; --writes) {
        aFleet.WriteOther();
      }
      if (aCompacts) {
        aFleet.mStore.mCompactedRevision = aFleet.mStore.mRevision;
      }
      aFleet.Run(kTickMs * (1 + aFleet.Draw(12)));
    }
  };
  change(20);
  std::vector<SimHost*> failing;
  for (SimHost& host : aFleet.mHosts) {
    if ((host.mDuty.mWatching && aFleet.Chance(0.7)) || aFleet.Chance(0.05)) {
      failing.push_back(&host);
      aSet(host, true);
    }
  }
  change(10 + aFleet.Draw(10));
  for (SimHost* host : failing) {
    aSet(*host, false);
    // The end of the fault counts as harm: Restart has cleared it.
    host->mHarmedMs = aFleet.mNowMs;
    host->mConfigRevision = 0;
  }
  change(20);
  aFleet.Run(kApplyMs + kContactMs);
}

} // namespace

BOOST_AUTO_TEST_SUITE(store_copy)

// Guards against a key that stays at a host after it was deleted: written and
// deleted between the copy of the host that sent the difference and its list.
BOOST_AUTO_TEST_CASE(difference_to_a_list_deletes_what_its_sender_never_saw)
{
  SimStore store;
  StoreCopy watcher;
  StoreCopy follower;
  store.Write("a", false);
  ApplyList(watcher, store.List());
  ApplyList(follower, store.List());
  store.Write("b", false);
  ApplyChanges(follower, *store.ChangesAfter(follower.mRevision));
  store.Write("b", true);
  store.Write("c", false);
  ApplyChanges(follower, ApplyList(watcher, store.List()));
  BOOST_TEST((KeysOf(follower) == KeysOf(watcher)));
  BOOST_TEST(!follower.mEntries.contains("b"));
}

// Guards against a log with a hole where a whole list was read.
BOOST_AUTO_TEST_CASE(log_gives_no_changes_from_within_a_list)
{
  SimStore store;
  store.Write("a", false);
  StoreCopy copy;
  ApplyList(copy, store.List());
  std::int64_t first = copy.mRevision;
  store.Write("b", false);
  store.Write("b", true);
  store.Write("c", false);
  ApplyList(copy, store.List());
  BOOST_TEST(ChangesAfter(copy, first).has_value());
  BOOST_TEST(!ChangesAfter(copy, first + 1).has_value());
  BOOST_TEST(!ChangesAfter(copy, first + 2).has_value());
  BOOST_TEST(ChangesAfter(copy, copy.mRevision).has_value());
}

// Guards against spans that grow without end while lists change the revision
// only, as where a key is written and deleted between two of them.
BOOST_AUTO_TEST_CASE(spans_of_lists_are_bounded)
{
  SimStore store;
  store.Write("a", false);
  StoreCopy copy;
  ApplyList(copy, store.List());
  std::int64_t first = copy.mRevision;
  for (int i = 0; i < 1000; ++i) {
    store.Write("b", false);
    store.Write("b", true);
    ApplyList(copy, store.List());
    BOOST_REQUIRE(copy.mListed.size() <= 64);
  }
  BOOST_TEST(!ChangesAfter(copy, first).has_value());
  BOOST_TEST(ChangesAfter(copy, copy.mListed.front().first).has_value());
  BOOST_TEST(ChangesAfter(copy, copy.mRevision).has_value());
}

// Guards against memory for the changes that grows with the length of values.
BOOST_AUTO_TEST_CASE(log_is_bounded_in_bytes)
{
  StoreCopy copy;
  for (int revision = 1; revision <= 20; ++revision) {
    StoreChanges changes;
    StoreEntry entry;
    entry.mKey = "long";
    entry.mValue.assign(1024 * 1024, 'v');
    entry.mModRevision = revision;
    changes.mEntries.mEntries = { entry };
    changes.mEntries.mRevision = revision;
    ApplyChanges(copy, changes);
    BOOST_REQUIRE(copy.mLog.size() <= 4U);
  }
  BOOST_TEST(!ChangesAfter(copy, 1).has_value());
  BOOST_TEST(ChangesAfter(copy, 18).has_value());
}

// Guards against a peer that keeps a key, since the host that it asks never had
// that key and left the deletion out of its log.
BOOST_AUTO_TEST_CASE(log_keeps_deletions_of_unknown_keys)
{
  SimStore store;
  store.Write("a", false);
  StoreCopy copy;
  StoreCopy peer;
  ApplyList(copy, store.List());
  ApplyList(peer, store.List());
  store.Write("b", false);
  ApplyChanges(peer, *store.ChangesAfter(peer.mRevision));
  store.Write("b", true);
  // A store that reports the last change of each key only.
  StoreChanges last = *store.ChangesAfter(copy.mRevision);
  last.mEntries.mEntries.erase(last.mEntries.mEntries.begin());
  ApplyChanges(copy, last);
  auto changes = ChangesAfter(copy, peer.mRevision);
  BOOST_REQUIRE(changes);
  ApplyChanges(peer, *changes);
  BOOST_TEST((KeysOf(peer) == KeysOf(copy)));
}

// Load: 103 hosts in five zones, ten changes a second. Guards against a
// configuration that is not in force within its bound at a host in touch, or
// that goes back, and against copies that differ from the store in calm, while
// the hosts that watch the store fail and it loses its history.
BOOST_AUTO_TEST_CASE(configuration_is_in_force_at_103_hosts)
{
  const std::vector<int> zones{ 19, 23, 22, 19, 20 };
  for (unsigned seed = 1; seed <= 4; ++seed) {
    for (const auto& [name, set] : kFaults) {
      for (bool compacts : { false, true }) {
        SimFleet fleet(zones, seed);
        PlayFleet(fleet, set, compacts);
        std::string play = name + ", " + (compacts ? "no history, " : "") +
                           "seed " + std::to_string(seed);
        BOOST_TEST(fleet.mFault.empty(), play << ": " << fleet.mFault);
        if (!fleet.mFault.empty()) {
          continue;
        }
        Keys expected;
        for (const auto& [key, entry] : fleet.mStore.mEntries) {
          expected[key] = entry.mModRevision;
        }
        auto differing = std::count_if(
          fleet.mHosts.begin(), fleet.mHosts.end(), [&](const SimHost& aHost) {
            return KeysOf(aHost.mCopy) != expected;
          });
        BOOST_TEST(differing == 0, play << ": " << differing << " differ");
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
