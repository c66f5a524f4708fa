#pragma once

#include "savory/core/peer_table.h"
#include "savory/core/store_copy.h"
#include "savory/core/watch_duty.h"

#include <algorithm>
#include <functional>
#include <random>
#include <set>

// A fleet of hosts that share their copies of one store, in one process.
namespace savory {

using Keys = std::map<std::string, std::int64_t>;

inline Keys
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
  std::int64_t mEpoch = 0;

  void Write(const std::string& aKey,
             bool aDeletes,
             const std::string& aValue = "")
  {
    StoreEntry entry{ aKey, aValue, ++mRevision, aDeletes };
    mHistory.push_back(entry);
    if (aDeletes) {
      mEntries.erase(aKey);
    } else {
      mEntries[aKey] = entry;
    }
  }

  // Comes back as it was, in a new epoch.
  void Restore(const SimStore& aSnapshot)
  {
    std::int64_t epoch = mEpoch + 1;
    *this = aSnapshot;
    mEpoch = epoch;
  }

  StoreEntries List() const
  {
    StoreEntries list{ mRevision, {}, false, mEpoch };
    for (const auto& [key, entry] : mEntries) {
      list.mEntries.push_back(entry);
    }
    return list;
  }

  std::optional<StoreChanges> ChangesAfter(std::int64_t aRevision) const
  {
    if (aRevision < mCompactedRevision || aRevision > mRevision) {
      return std::nullopt;
    }
    StoreChanges changes{ aRevision, { mRevision, {}, false, mEpoch } };
    std::copy_if(mHistory.begin(),
                 mHistory.end(),
                 std::back_inserter(changes.mEntries.mEntries),
                 [aRevision](const StoreEntry& aEntry) {
                   return aEntry.mModRevision > aRevision;
                 });
    return changes;
  }
};

inline constexpr TimeMs kTickMs = 50;
inline constexpr TimeMs kBeaconMs = 300;
// Beyond the wait of a watch.
inline constexpr TimeMs kCallTimeoutMs = 700;
inline constexpr TimeMs kOverdueMs = 400;
inline constexpr TimeMs kRetryMs = 200;
inline constexpr TimeMs kPullTimeoutMs = 1500;
inline constexpr TimeMs kTurnedAwayMs = 2000;

// The bounds of a fleet of a hundred hosts.
inline constexpr TimeMs kApplyMs = 4000;
inline constexpr TimeMs kContactMs = 5000;
inline const std::string kConfigKey = "op/config";

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
  std::optional<TimeMs> mAnswerDueMs;
  // The copy lacked nothing at this time.
  TimeMs mWholeAsOfMs = -100000;
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
  StoreRevision mConfigRevision;
  // The newest epoch that this host heard of.
  std::int64_t mEpoch = 0;
  // Its connection leads to the store as it was before the last restore.
  bool mIsOnOldStore = false;
  // What this host was told to put in force, by key, and the newest value of
  // each key that it ever had.
  std::map<std::string, std::string> mInForce;
  std::map<std::string, int> mNewest;

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
  // As it was before the last restore; some hosts still reach it.
  SimStore mOldStore;
  std::vector<SimHost> mHosts;
  TimeMs mNowMs = 100000;
  std::mt19937 mRandom;
  double mLossShare = 0.02;
  std::multimap<TimeMs, std::function<void()>> mMessages;
  // A change must be in force within mApplyMs at a host without a fault for
  // mContactMs.
  TimeMs mApplyMs = kApplyMs;
  TimeMs mContactMs = kContactMs;
  // A configuration fits into a datagram; otherwise peers fetch it.
  bool mConfigFits = true;
  // When each revision of the configuration was acknowledged.
  std::vector<std::pair<std::int64_t, TimeMs>> mConfigs;
  std::string mFault;
  // What the operator wants: the number of its last write to each key, and
  // whether that deleted it.
  std::map<std::string, std::pair<int, bool>> mOrders;

  SimFleet(const std::vector<int>& aZoneSizes,
           unsigned aSeed,
           TimeMs aApplyMs = kApplyMs)
    : mRandom(aSeed)
    , mApplyMs(aApplyMs)
  {
    for (std::size_t zone = 0; zone < aZoneSizes.size(); ++zone) {
      for (int i = 0; i < aZoneSizes[zone]; ++i) {
        SimHost host;
        host.mOptions.mZone = "zone-" + std::to_string(zone);
        host.mName = host.mOptions.mZone + "-" + std::to_string(i);
        host.mOptions.mHost = host.mName;
        host.mOptions.mChangeBoundMs = mApplyMs;
        mHosts.push_back(host);
      }
    }
    WriteConfig();
  }

  WatchPeriod Period() const { return FollowedWatchPeriod(mApplyMs); }
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

  // The operator writes or deletes one of its keys. Values are numbers that
  // only grow.
  void WriteOrder()
  {
    std::string key = "op/" + std::to_string(Draw(12));
    auto& [number, isDeleted] = mOrders[key];
    isDeleted = number > 0 && !isDeleted && Chance(0.4);
    ++number;
    mStore.Write(key, isDeleted, std::to_string(number));
  }

  // The operator writes again what a restore has lost or brought back.
  void RepeatOrders()
  {
    for (const auto& [key, order] : mOrders) {
      auto stored = mStore.mEntries.find(key);
      bool isStored = stored != mStore.mEntries.end();
      std::string value = std::to_string(order.first);
      if (order.second ? isStored
                       : !isStored || stored->second.mValue != value) {
        mStore.Write(key, order.second, value);
      }
    }
  }

  void Restore(const SimStore& aSnapshot)
  {
    mOldStore = mStore;
    mStore.Restore(aSnapshot);
    mConfigs = { { mStore.mEntries.at(kConfigKey).mModRevision, mNowMs } };
  }

  // Puts in force what a copy reports, and checks that nothing goes back.
  void Report(SimHost& aHost, const std::vector<StoreEntry>& aEntries)
  {
    for (const StoreEntry& entry : aEntries) {
      auto order = mOrders.find(entry.mKey);
      if (order == mOrders.end()) {
        continue;
      }
      const auto& [last, isDeleted] = order->second;
      int& newest = aHost.mNewest[entry.mKey];
      int number = !entry.mDeleted ? std::stoi(entry.mValue)
                   : isDeleted     ? last
                                   : newest;
      bool isLost = entry.mDeleted && !isDeleted && last == newest;
      if (number < newest || isLost) {
        mFault = aHost.mName + ": " + entry.mKey + " went back from " +
                 std::to_string(newest) + " to " +
                 (entry.mDeleted ? "none" : entry.mValue);
      }
      newest = std::max(newest, number);
      if (entry.mDeleted) {
        aHost.mInForce.erase(entry.mKey);
      } else {
        aHost.mInForce[entry.mKey] = entry.mValue;
      }
    }
  }

  // The host's pending call was made in an older epoch.
  void OnEpoch(SimHost& aHost, std::int64_t aEpoch)
  {
    if (aEpoch > aHost.mEpoch) {
      aHost.mEpoch = aEpoch;
      if (aHost.mCopy.mRevision > 0) {
        aHost.mNeedsList = true;
        aHost.mCallSinceMs.reset();
        aHost.mNextCallMs = mNowMs + RestoreDelayMs(aHost.mName);
      }
    }
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
               RevisionOf(aHost.mCopy),
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
      OnEpoch(aTo, heard.mStoreRevision.mEpoch);
    });
  }

  void OnStoreAnswer(SimHost& aHost, const StoreChanges& aChanges)
  {
    aHost.mFailures = 0;
    aHost.mMayWatchFromMs = 0;
    aHost.mAnswerDueMs.reset();
    aHost.mContactMs = mNowMs;
    if (aHost.mReachableSinceMs == 0) {
      aHost.mReachableSinceMs = mNowMs;
    }
    if (aChanges.mEntries.mEntries.empty()) {
      return;
    }
    bool hasConfig =
      std::any_of(aChanges.mEntries.mEntries.begin(),
                  aChanges.mEntries.mEntries.end(),
                  [](const auto& aEntry) { return aEntry.mKey == kConfigKey; });
    if (hasConfig && !mConfigFits) {
      SendBeacon(aHost);
      return;
    }
    SendToZone(aHost, [this, aChanges, from = aHost.mName](SimHost& aTo) {
      std::int64_t epoch = aChanges.mEntries.mEpoch;
      if (aTo.mCopy.mRevision == 0 || epoch > aTo.mCopy.mEpoch ||
          (epoch == aTo.mCopy.mEpoch &&
           aChanges.mFromRevision > aTo.mCopy.mRevision)) {
        StartPull(aTo, from);
      } else if (aChanges.mEntries.mRevision > aTo.mCopy.mRevision) {
        Report(aTo, ApplyChanges(aTo.mCopy, aChanges));
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
      if (!aHost.mAnswerDueMs) {
        aHost.mAnswerDueMs = mNowMs + Period().mWaitMs + kOverdueMs;
      }
    }
    TimeMs waited = mNowMs - *aHost.mCallSinceMs;
    const SimStore& store = aHost.mIsOnOldStore ? mOldStore : mStore;
    if (aHost.mTurnedAway || store.mEpoch < aHost.mEpoch ||
        (aHost.mCutFromStore && waited >= Period().mWaitMs + kCallTimeoutMs)) {
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
    if (store.mEpoch > aHost.mEpoch && aHost.mCopy.mRevision > 0) {
      OnEpoch(aHost, store.mEpoch);
      return;
    }
    aHost.mEpoch = store.mEpoch;
    bool isNew = aHost.mCopy.mRevision < store.mRevision;
    if (!aHost.mNeedsList && !isNew && waited < Period().mWaitMs) {
      return;
    }
    aHost.mCallSinceMs.reset();
    auto changes = store.ChangesAfter(aHost.mCopy.mRevision);
    if (aHost.mNeedsList || aHost.mCopy.mRevision == 0) {
      aHost.mNeedsList = false;
      bool isRestored =
        aHost.mCopy.mRevision > 0 && aHost.mCopy.mEpoch != store.mEpoch;
      StoreChanges listed =
        ApplyList(aHost.mCopy, store.List(), { mNowMs, {} });
      Report(aHost, listed.mEntries.mEntries);
      if (isRestored) {
        listed.mEntries.mEntries.clear();
      }
      OnStoreAnswer(aHost, listed);
      return;
    }
    if (!changes) {
      aHost.mNeedsList = true;
      aHost.mNextCallMs = mNowMs + kRetryMs;
      return;
    }
    aHost.mNextCallMs = mNowMs + Period().mPauseMs;
    Report(aHost, ApplyChanges(aHost.mCopy, *changes));
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
      auto changes = ChangesAfter(peer->mCopy, RevisionOf(host->mCopy));
      if (changes && host->mCopy.mRevision > 0) {
        Report(*host, ApplyChanges(host->mCopy, *changes));
      } else if (RevisionOf(peer->mCopy) > RevisionOf(host->mCopy)) {
        StoreEntries list{
          peer->mCopy.mRevision, {}, false, peer->mCopy.mEpoch
        };
        for (const auto& [key, entry] : peer->mCopy.mEntries) {
          list.mEntries.push_back(entry);
        }
        OnEpoch(*host, list.mEpoch);
        Report(*host,
               ApplyList(host->mCopy, list, { mNowMs, {} }).mEntries.mEntries);
        host->mNeedsList = host->mCopy.mEpoch < host->mEpoch;
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
    aHost.mWholeAsOfMs =
      std::max({ aHost.mWholeAsOfMs,
                 aHost.mContactMs.value_or(aHost.mWholeAsOfMs),
                 WholeAsOfMs(aHost.mPeers, RevisionOf(aHost.mCopy), 0, mNowMs)
                   .value_or(aHost.mWholeAsOfMs) });
    UpdateWatchDuty(aHost.mDuty,
                    aHost.mOptions,
                    peers,
                    mNowMs >= aHost.mMayWatchFromMs,
                    mNowMs - aHost.mWholeAsOfMs,
                    mNowMs);
    if (aHost.mDuty.mCovered) {
      aHost.mAnswerDueMs.reset();
    }
    bool isOverdue = aHost.mAnswerDueMs && mNowMs >= *aHost.mAnswerDueMs;
    if (!aHost.mDuty.mWatching || aHost.mFailures >= 2 || isOverdue) {
      auto source = ChoosePullSource(aHost.mPeers,
                                     aHost.mOptions,
                                     !aHost.mDuty.mWatching,
                                     RevisionOf(aHost.mCopy),
                                     mNowMs);
      if (source) {
        StartPull(aHost, *source);
      }
    }
    StepCall(aHost);
    Report(aHost, ReleaseHeld(aHost.mCopy, mNowMs));
    if (mNowMs % kBeaconMs == 0 && !aHost.mMute) {
      SendBeacon(aHost);
    }
  }

  // The configuration that a host in touch must have by now.
  std::int64_t DueRevision() const
  {
    std::int64_t due = 0;
    for (const auto& [revision, acknowledgedMs] : mConfigs) {
      if (acknowledgedMs + mApplyMs <= mNowMs) {
        due = revision;
      }
    }
    return due;
  }

  void Check(SimHost& aHost, std::int64_t aDueRevision)
  {
    auto found = aHost.mCopy.mEntries.find(kConfigKey);
    StoreRevision position;
    if (found != aHost.mCopy.mEntries.end()) {
      position = RevisionOf(found->second);
    }
    std::int64_t revision = position.mRevision;
    if (position < aHost.mConfigRevision) {
      mFault = aHost.mName + " went back from revision " +
               std::to_string(aHost.mConfigRevision.mRevision) + " to " +
               std::to_string(revision);
    }
    aHost.mConfigRevision = position;
    if (mNowMs - aHost.mHarmedMs > mContactMs && revision < aDueRevision) {
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

inline const std::map<std::string, Fault> kFaults{
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
        aHost.mWholeAsOfMs = -100000;
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
inline void
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
    host->mConfigRevision = {};
  }
  change(20);
  aFleet.Run(aFleet.mApplyMs + aFleet.mContactMs);
}

// Plays faults one after the other that overlap, most of them at the watchers,
// with a change of the configuration twice a second.
inline void
PlayFaultsInTurn(SimFleet& aFleet, TimeMs aForMs)
{
  std::vector<Fault> kinds(kFaults.size());
  std::transform(kFaults.begin(),
                 kFaults.end(),
                 kinds.begin(),
                 [](const auto& aRow) { return aRow.second; });
  std::multimap<TimeMs, std::pair<SimHost*, Fault>> harmed;
  auto isHarmed = [&harmed](const SimHost& aHost) {
    return std::any_of(harmed.begin(), harmed.end(), [&](const auto& aRow) {
      return aRow.second.first == &aHost;
    });
  };
  aFleet.Run(aFleet.mContactMs);
  TimeMs nextMs = aFleet.mNowMs;
  for (TimeMs end = aFleet.mNowMs + aForMs;
       aFleet.mNowMs < end && aFleet.mFault.empty();) {
    if (aFleet.mNowMs >= nextMs) {
      nextMs += 300 + aFleet.Draw(4000);
      Fault set = kinds[aFleet.Draw(static_cast<int>(kinds.size()))];
      double watcherShare = aFleet.Chance(0.6) ? 0.7 : 0;
      double share = aFleet.Chance(0.5) ? 0.35 : 0.1;
      TimeMs untilMs = aFleet.mNowMs + 500 + aFleet.Draw(6000);
      for (SimHost& host : aFleet.mHosts) {
        bool isChosen = aFleet.Chance(share) ||
                        (host.mDuty.mWatching && aFleet.Chance(watcherShare));
        if (isChosen && !isHarmed(host)) {
          harmed.emplace(untilMs, std::pair(&host, set));
          set(host, true);
        }
      }
    }
    while (!harmed.empty() && harmed.begin()->first <= aFleet.mNowMs) {
      auto [host, set] = harmed.begin()->second;
      harmed.erase(harmed.begin());
      set(*host, false);
      host->mHarmedMs = aFleet.mNowMs;
      host->mConfigRevision = {};
    }
    if (aFleet.Chance(0.1)) {
      aFleet.WriteConfig();
    }
    for (int writes = aFleet.Draw(3); writes > 0; --writes) {
      aFleet.WriteOther();
    }
    aFleet.Run(kTickMs);
  }
}

} // namespace savory
