#include "duty_simulation.h"

#include <memory>

namespace savory {

namespace {

constexpr TimeMs kTickMs = 100;
constexpr TimeMs kReplicaDelayMs = 700;

} // namespace

DutySimulation::DutySimulation(int aHosts, std::uint64_t aSeed)
  : mRandom(aSeed)
  , mHosts(static_cast<std::size_t>(aHosts))
{
  for (int host = 0; host < aHosts; ++host) {
    mHosts[host].mLease = MakeDutyLease({}, mNowMs);
    mHosts[host].mLedger.mSelf = { "h" + std::to_string(host), 1 };
    mHosts[host].mReplica = mStore;
    At(mNowMs + Delay(), [this, host] { Tick(host); });
    At(mNowMs + Delay(), [this, host] { Exchange(host); });
  }
}

void
DutySimulation::Run(TimeMs aMs)
{
  TimeMs end = mNowMs + aMs;
  while (!mEvents.empty() && mEvents.begin()->first <= end) {
    auto event = mEvents.extract(mEvents.begin());
    mNowMs = event.key();
    event.mapped()();
  }
  mNowMs = end;
}

void
DutySimulation::At(TimeMs aMs, std::function<void()> aEvent)
{
  mEvents.emplace(aMs, std::move(aEvent));
}

bool
DutySimulation::Chance(double aShare)
{
  return std::uniform_real_distribution<double>(0, 1)(mRandom) < aShare;
}

TimeMs
DutySimulation::TrueMs(int aHost)
{
  return UpdateTrueTime(
    mHosts[aHost].mTime, mNowMs + mWallErrors[aHost], mNowMs);
}

void
DutySimulation::Count(int aHost, const std::string& aCustomer)
{
  if (mHosts[aHost].mAlive && mHosts[aHost].mAwakeMs <= mNowMs) {
    CountUsage(mHosts[aHost].mLedger, aCustomer, TrueMs(aHost));
    ++mTruth[mNowMs / mHosts[aHost].mLedger.mOptions.mWindowMs][aCustomer];
  }
}

int
DutySimulation::Holder() const
{
  for (std::size_t host = 0; host < mHosts.size(); ++host) {
    if (mHosts[host].mAlive && MayAct(mHosts[host].mLease, mNowMs)) {
      return static_cast<int>(host);
    }
  }
  return -1;
}

void
DutySimulation::RestoreStore()
{
  std::int64_t epoch = mStore.mEpoch + 1;
  mStore = mSaved;
  mStore.mEpoch = epoch;
  mStore.mLeases.clear();
  mStore.mKeyRevision = 0;
}

void
DutySimulation::Call(int aHost,
                     TimeMs aTimeoutMs,
                     Execute aExecute,
                     std::function<void()> aOnUnknown)
{
  auto isAnswered = std::make_shared<bool>(false);
  auto answer = [this, aHost, isAnswered](std::function<void()> aEffect) {
    mHosts[aHost].mAnswers.emplace_back([isAnswered, aEffect] {
      if (!std::exchange(*isAnswered, true)) {
        aEffect();
      }
    });
  };
  At(mNowMs + aTimeoutMs, [answer, aOnUnknown] { answer(aOnUnknown); });
  if (Chance(mFaults.mLostCalls)) {
    return;
  }
  TimeMs delay = Delay() + (Chance(mFaults.mLateCalls) ? 100 * Delay() : 0);
  At(mNowMs + delay, [this, aHost, aExecute, answer] {
    ExpireLeases();
    auto effect = aExecute();
    if (effect && !Chance(mFaults.mLostAnswers) && !mNoAnswers[aHost]) {
      At(mNowMs + Delay(), [answer, effect] { answer(effect); });
    }
  });
}

void
DutySimulation::ExpireLeases()
{
  std::erase_if(mStore.mLeases,
                [this](const auto& aRow) { return aRow.second < mNowMs; });
  if (mStore.mKeyRevision != 0 && !mStore.mLeases.contains(mStore.mKeyLease)) {
    mStore.mKeyRevision = 0;
    ++mStore.mRevision;
  }
}

void
DutySimulation::Exchange(int aHost)
{
  Host& host = mHosts[aHost];
  if (!host.mAlive) {
    return;
  }
  At(mNowMs + 300, [this, aHost] { Exchange(aHost); });
  if (host.mAwakeMs > mNowMs) {
    return;
  }
  auto totals = ExtractUsageToSend(host.mLedger, 2048, TrueMs(aHost));
  for (std::size_t peer = 0; peer < mHosts.size(); ++peer) {
    if (static_cast<int>(peer) == aHost || Chance(mFaults.mLostMessages)) {
      continue;
    }
    TimeMs wallMs = mNowMs + mWallErrors[aHost];
    At(mNowMs + Delay(), [this, aHost, peer, totals, wallMs] {
      Host& receiver = mHosts[peer];
      UsageSource source = mHosts[aHost].mLedger.mSelf;
      if (receiver.mAwakeMs > mNowMs) {
        return;
      }
      OnPeerClock(receiver.mTime, source.first, wallMs, mNowMs);
      for (const UsageTotals& row : totals) {
        MergeUsage(
          receiver.mLedger, source, row, TrueMs(static_cast<int>(peer)));
      }
    });
  }
}

// The same steps as those of the gateway.
void
DutySimulation::Tick(int aHost)
{
  Host& host = mHosts[aHost];
  if (!host.mAlive) {
    return;
  }
  At(mNowMs + kTickMs, [this, aHost] { Tick(aHost); });
  ExpireLeases();
  if (!mStoreDown && !mNoAnswers[aHost]) {
    At(mNowMs + kReplicaDelayMs, [this, aHost, copy = mStore] {
      Host& reader = mHosts[aHost];
      if (reader.mAwakeMs > mNowMs) {
        return;
      }
      if (copy.mEpoch > reader.mReplica.mEpoch) {
        OnUsageStoreRestored(reader.mLedger, TrueMs(aHost));
      }
      reader.mReplica = copy;
      for (const auto& [slot, seal] : copy.mSeals) {
        OnSealSeen(reader.mLedger, seal);
      }
    });
  }
  if (host.mAwakeMs > mNowMs) {
    return;
  }
  auto answers = std::exchange(host.mAnswers, {});
  for (const auto& answer : answers) {
    answer();
  }
  TimeMs trueMs = TrueMs(aHost);
  AdvanceLedger(host.mLedger, trueMs);
  StepLease(aHost);
  if (MayAct(host.mLease, mNowMs)) {
    Seal(aHost, trueMs);
    Send(aHost);
  }
}

void
DutySimulation::StepLease(int aHost)
{
  Host& host = mHosts[aHost];
  LeaseView view;
  view.mIsCurrent = !mStoreDown && !mNoAnswers[aHost];
  view.mReplica = { host.mReplica.mEpoch, host.mReplica.mRevision };
  view.mKeyRevision = host.mReplica.mKeyRevision;
  view.mRank = aHost;
  LeaseCall call = NextLeaseCall(host.mLease, view, mNowMs);
  if (call == LeaseCall::None) {
    return;
  }
  OnLeaseCall(host.mLease, mNowMs);
  std::int64_t id = host.mLease.mLeaseId;
  TimeMs leaseMs = host.mLease.mOptions.mLeaseMs;
  auto act = [this, aHost, call, leaseMs](LeaseResult aResult,
                                          StoreRevision aRevision = {}) {
    DutyLease& lease = mHosts[aHost].mLease;
    if (call == LeaseCall::Grant) {
      OnLeaseGranted(lease,
                     aResult == LeaseResult::Done
                       ? std::optional(aRevision.mRevision)
                       : std::nullopt,
                     leaseMs,
                     mNowMs);
    } else if (call == LeaseCall::Acquire) {
      OnLeaseAcquired(lease, aResult, aRevision, mNowMs);
    } else if (call == LeaseCall::Renew) {
      OnLeaseRenewed(lease, aResult, mNowMs);
    } else {
      OnLeaseEnded(lease, aResult, mNowMs);
    }
  };
  Execute execute = [this, call, id, leaseMs, act]() -> std::function<void()> {
    if (mStoreDown) {
      return {};
    }
    bool isValid = mStore.mLeases.contains(id);
    LeaseResult result = LeaseResult::Done;
    StoreRevision revision;
    if (call == LeaseCall::Grant) {
      revision.mRevision = ++mStore.mLastLease;
      mStore.mLeases[revision.mRevision] = mNowMs + leaseMs;
    } else if (!isValid ||
               (call == LeaseCall::Acquire && mStore.mKeyRevision != 0)) {
      result = LeaseResult::Refused;
    } else if (call == LeaseCall::Acquire) {
      mStore.mKeyRevision = ++mStore.mRevision;
      mStore.mKeyLease = id;
      revision = { mStore.mEpoch, mStore.mRevision };
    } else if (call == LeaseCall::Renew) {
      mStore.mLeases[id] = mNowMs + leaseMs;
    } else {
      mStore.mLeases.erase(id);
      ExpireLeases();
    }
    return [act, result, revision] { act(result, revision); };
  };
  Call(aHost, 700, execute, [act] { act(LeaseResult::Unknown); });
}

void
DutySimulation::Seal(int aHost, TimeMs aTrueMs)
{
  Host& host = mHosts[aHost];
  if (host.mSealing || mNowMs < host.mNextSealMs) {
    return;
  }
  auto seals = MakeSeals(host.mLedger, 4, aTrueMs);
  if (seals.empty()) {
    return;
  }
  host.mSealing = true;
  std::map<std::int64_t, std::int64_t> conditions;
  for (const SealedUsage& seal : seals) {
    std::int64_t slot = seal.mWindow % kSealKeys;
    conditions[slot] = host.mReplica.mSeals.contains(slot)
                         ? host.mReplica.mSeals[slot].mRevision
                         : 0;
  }
  auto end = [this, aHost](bool aIsDone) {
    mHosts[aHost].mSealing = false;
    mHosts[aHost].mNextSealMs = aIsDone ? 0 : mNowMs + 1000;
  };
  std::int64_t lease = host.mLease.mAcquired.mRevision;
  Execute execute =
    [this, aHost, seals, conditions, lease, end]() -> std::function<void()> {
    if (mStoreDown) {
      return {};
    }
    bool holds = mStore.mKeyRevision == lease;
    for (const auto& [slot, revision] : conditions) {
      auto found = mStore.mSeals.find(slot);
      holds =
        holds && revision ==
                   (found == mStore.mSeals.end() ? 0 : found->second.mRevision);
    }
    if (!holds) {
      return [end] { end(false); };
    }
    ++mStore.mRevision;
    std::vector<SealedUsage> written = seals;
    for (SealedUsage& seal : written) {
      seal.mRevision = mStore.mRevision;
      mStore.mSeals[seal.mWindow % kSealKeys] = seal;
    }
    mOnSealed(aHost);
    return [this, aHost, written, end] {
      for (const SealedUsage& seal : written) {
        OnSealSeen(mHosts[aHost].mLedger, seal);
      }
      end(true);
    };
  };
  Call(aHost, 1500, execute, [end] { end(false); });
}

void
DutySimulation::Send(int aHost)
{
  Host& host = mHosts[aHost];
  const SealedUsage* seal = NextToReport(host.mLedger);
  if (!seal || host.mSending || mNowMs < host.mNextSendMs) {
    return;
  }
  host.mSending = true;
  Report report{
    0, aHost, FencingToken(host.mLease), seal->mWindow, seal->mCounts
  };
  auto end = [this, aHost, window = report.mWindow](int aStatus) {
    Host& sender = mHosts[aHost];
    sender.mSending = false;
    sender.mNextSendMs = mNowMs + (aStatus == 200 ? 200 : 500);
    if (aStatus == 200) {
      OnReported(sender.mLedger, window);
    } else if (aStatus == 409) {
      ResignLease(sender.mLease, 0, mNowMs);
    }
  };
  Execute execute = [this, report, end]() mutable -> std::function<void()> {
    if (mCloudStatus < 0) {
      return {};
    }
    int status = mCloudStatus > 0                ? mCloudStatus
                 : report.mToken < mHighestToken ? 409
                                                 : 200;
    if (status == 200) {
      mHighestToken = report.mToken;
      report.mAtMs = mNowMs;
      mReports.push_back(report);
    } else if (status == 409) {
      mFenced.emplace_back(report.mHost, report.mToken);
    }
    return [end, status] { end(status); };
  };
  Call(aHost, 2000, execute, [end] { end(0); });
}

} // namespace savory
