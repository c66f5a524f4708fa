#include "duties.h"

#include "savory/core/identity.h"
#include "savory/net/log.h"

#include <algorithm>

namespace savory {

namespace {

constexpr TimeMs kTickIntervalMs = 100;

// Windows that are sealed by one transaction; more only wait after an outage of
// the store.
constexpr std::size_t kMaxSeals = 4;

// Pause after a seal that was not written. The replica shows within it what
// another host wrote.
constexpr TimeMs kSealRetryMs = 1000;

// Pause between two reports, and after one that failed; it doubles with each
// failure, a bounded number of times.
constexpr TimeMs kReportPauseMs = 200;
constexpr TimeMs kMinReportRetryMs = 500;
constexpr int kMaxRetryDoublings = 3;

// Consecutive reports without an answer after which another host tries: the
// cloud interface may be out of reach of this one alone. The lease is left to
// others for the pause.
constexpr int kMaxFailures = 3;
constexpr TimeMs kUnreachablePauseMs = 20000;

// Timeout of a report, longer for a repeated one: the interface may be slow.
constexpr TimeMs kReportTimeoutMs = 2000;
constexpr TimeMs kRepeatTimeoutMs = 4000;

// A process that stops abandons a pending report after this time. The next
// holder repeats it.
constexpr TimeMs kAbandonAfterMs = 1000;

// Part of the time until a report is due after which its window is sealed. The
// rest covers the loss of the holder just before: 3 s of its lease, a watch and
// the calls of the next one.
constexpr double kSealShare = 0.35;

LeaseResult
ToLeaseResult(const tl::expected<bool, StoreError>& aResult)
{
  return !aResult   ? LeaseResult::Unknown
         : *aResult ? LeaseResult::Done
                    : LeaseResult::Refused;
}

std::int64_t
SumRequests(const SealedUsage& aSeal)
{
  std::int64_t sum = 0;
  for (const auto& [customer, count] : aSeal.mCounts) {
    sum += count;
  }
  return sum;
}

} // namespace

Duties::Duties(GatewayShared& aShared, StoreWatcher& aWatcher, Peers& aPeers)
  : mShared(aShared)
  , mWatcher(aWatcher)
  , mPeers(aPeers)
  , mStore(aShared.mLoop, aShared.mSettings.mStore)
  , mCloud(aShared.mLoop, aShared.mSettings.mCloudApi)
{
}

void
Duties::Start()
{
  const FleetSettings& settings = mShared.mSettings;
  for (const std::string& duty : settings.mDuties) {
    if (duty == kUsageDuty) {
      mIsActive = true;
    } else {
      LogEvent(
        Event::DutyIgnored,
        { { "duty", duty },
          { "reason", duty == kScalingDuty ? "not performed" : "unknown" } });
    }
  }
  if (!mIsActive) {
    return;
  }
  DutyLeaseOptions options;
  options.mLeaseMs = settings.mDutyLeaseMs;
  options.mMarginMs = settings.mDutyMarginMs;
  options.mRenewIntervalMs = settings.mDutyLeaseMs / 3;
  mLease = MakeDutyLease(options, BootTimeMs());
  mLedger.mOptions.mWindowMs = settings.mUsageWindowMs;
  mLedger.mOptions.mSealDelayMs =
    static_cast<TimeMs>(kSealShare * static_cast<double>(settings.mUsageDueMs));
  mLedger.mSelf = { settings.mHost, mShared.mState.mRandom() };
  mShared.mOnRequestRan = [this](const std::string& aCustomer) {
    CountUsage(mLedger, aCustomer, TrueMs());
  };
  mShared.mAddUsage = [this](PeerMessage& aMessage) { AddUsage(aMessage); };
  mShared.mOnPeerUsage = [this](const PeerMessage& aMessage) {
    OnPeerUsage(aMessage);
  };
  mTickTimer = Timer::Every(mShared.mLoop, kTickIntervalMs, [this] { Tick(); });
}

TimeMs
Duties::TrueMs() const
{
  return TrueTimeAt(mTime, WallClockMs(), BootTimeMs());
}

void
Duties::AddUsage(PeerMessage& aMessage)
{
  aMessage.mUsage = { WallClockMs(),
                      mLedger.mSelf.second,
                      ExtractUsageToSend(mLedger, kMaxUsageBytes, TrueMs()) };
}

void
Duties::OnPeerUsage(const PeerMessage& aMessage)
{
  if (!aMessage.mUsage) {
    return;
  }
  OnPeerClock(mTime, aMessage.mHost, aMessage.mUsage->mWallMs, BootTimeMs());
  UsageSource source{ aMessage.mHost, aMessage.mUsage->mIncarnation };
  TimeMs trueMs = TrueMs();
  for (const UsageTotals& totals : aMessage.mUsage->mTotals) {
    MergeUsage(mLedger, source, totals, trueMs);
  }
}

void
Duties::OnStoreEntry(const StoreEntry& aEntry)
{
  if (!mIsActive) {
    return;
  }
  std::string fault;
  if (IsUsageSealKey(aEntry.mKey)) {
    auto seal = ParseUsageSeal(aEntry.mValue, aEntry.mModRevision);
    std::int64_t current = WindowAt(mLedger, TrueMs());
    if (!seal) {
      fault = seal.error();
    } else if (UsageSealKey(seal->mWindow) != aEntry.mKey ||
               seal->mWindow > current) {
      fault = "window: out of range";
    } else if (seal->mWindow >= current - kRetainedWindows) {
      OnSealSeen(mLedger, std::move(*seal));
    }
  } else if (aEntry.mKey == UsageSentKey()) {
    auto windows = ParseUsageSent(aEntry.mValue);
    if (windows) {
      std::int64_t current = WindowAt(mLedger, TrueMs());
      std::erase_if(*windows, [current](std::int64_t aWindow) {
        return aWindow < current - kRetainedWindows || aWindow > current;
      });
      OnSentSeen(mLedger, *windows);
    } else {
      fault = windows.error();
    }
  }
  if (!fault.empty()) {
    LogEvent(Event::DocumentIgnored,
             { { "key", aEntry.mKey },
               { "revision", std::to_string(aEntry.mModRevision) },
               { "reason", fault } });
  }
}

void
Duties::OnStoreEpoch(std::int64_t aEpoch)
{
  bool isRestored = mStoreEpoch && aEpoch > *mStoreEpoch;
  mStoreEpoch = std::max(aEpoch, mStoreEpoch.value_or(0));
  if (mIsActive && isRestored) {
    OnUsageStoreRestored(mLedger, TrueMs());
  }
}

bool
Duties::IsReleased() const
{
  bool hasExpired =
    mLease.mState != LeaseState::Holder && BootTimeMs() > mLease.mValidUntilMs;
  bool isIdle = mLease.mState == LeaseState::Candidate && !mLease.mCallPending;
  return !mIsActive || (!mCloud.IsBusy() && (hasExpired || isIdle));
}

void
Duties::Tick()
{
  TimeMs trueMs = UpdateTrueTime(mTime, WallClockMs(), BootTimeMs());
  AdvanceLedger(mLedger, trueMs);
  TimeMs boot = BootTimeMs();
  if (mLeavingSinceMs && boot - *mLeavingSinceMs > kAbandonAfterMs) {
    mCloud.Abandon();
  }
  if (mLeavingSinceMs && !mCloud.IsBusy() && !mStore.IsCommitting()) {
    bool wasHolder = mLease.mState == LeaseState::Holder;
    ResignLease(mLease, 0, boot);
    OnLeaseChanged(wasHolder, "stop");
  }
  StepLease(boot);
  if (MayAct(mLease, BootTimeMs()) && !mLeavingSinceMs) {
    if (std::int64_t late = ExtractLateCounts(mLedger); late > 0) {
      mShared.mMetrics.CountUsageLost(late);
      LogEvent(Event::UsageLost, { { "requests", std::to_string(late) } });
    }
    SealWindows(trueMs);
    SendReport();
  } else {
    // Only the holder knows which counts its seals lack.
    ExtractLateCounts(mLedger);
  }
  UpdateMetrics();
}

std::int64_t
Duties::StoredRevision(const std::string& aKey) const
{
  const auto& entries = mWatcher.Copy().mEntries;
  auto found = entries.find(aKey);
  return found == entries.end() ? 0 : found->second.mModRevision;
}

void
Duties::StepLease(TimeMs aBootMs)
{
  LeaseView view;
  view.mIsCurrent = mWatcher.HasState() && mWatcher.IsReachable();
  view.mReplica = { mStoreEpoch.value_or(0), mWatcher.Revision() };
  view.mKeyRevision = StoredRevision(DutyLeaseKey(kUsageDuty));
  view.mRank = mPeers.RankFor(Hash64(kUsageDuty), mShared.mLoop.NowMs());
  view.mIsLeaving = mLeavingSinceMs.has_value();
  bool wasHolder = mLease.mState == LeaseState::Holder;
  LeaseCall call = NextLeaseCall(mLease, view, aBootMs);
  OnLeaseChanged(wasHolder, "expired or taken");
  if (call == LeaseCall::None ||
      (call == LeaseCall::Acquire && mStore.IsCommitting())) {
    return;
  }
  OnLeaseCall(mLease, aBootMs);
  switch (call) {
    case LeaseCall::Grant:
      Grant();
      break;
    case LeaseCall::Acquire:
      Acquire();
      break;
    case LeaseCall::Renew:
      Renew();
      break;
    case LeaseCall::End:
      EndLease();
      break;
    case LeaseCall::None:
      break;
  }
}

void
Duties::Grant()
{
  mStore.GrantLease(mLease.mOptions.mLeaseMs,
                    [this](tl::expected<LeaseGrant, StoreError> aResult) {
                      OnLeaseGranted(mLease,
                                     aResult ? std::optional(aResult->mLeaseId)
                                             : std::nullopt,
                                     aResult ? aResult->mTtlMs : 0,
                                     BootTimeMs());
                    });
}

void
Duties::Acquire()
{
  StoreTransaction transaction;
  std::string key = DutyLeaseKey(kUsageDuty);
  transaction.mConditions = { { key, 0 } };
  transaction.mPuts = { { key,
                          FormatDutyHolder(mShared.mSettings.mHost,
                                           mLease.mLeaseId),
                          mLease.mLeaseId } };
  mStore.Commit(
    transaction, [this](tl::expected<StoreCommit, StoreError> aResult) {
      LeaseResult result = !aResult              ? LeaseResult::Unknown
                           : aResult->mSucceeded ? LeaseResult::Done
                                                 : LeaseResult::Refused;
      // The epoch is that in which the store executed the call: with an older
      // one, a revision that is assigned again gives a token again.
      StoreRevision acquired;
      if (aResult) {
        acquired = { aResult->mEpoch, aResult->mRevision };
      }
      OnLeaseAcquired(mLease, result, acquired, BootTimeMs());
      if (mLease.mState == LeaseState::Holder) {
        mFailures = 0;
        mNextSendMs = 0;
        mNextSealMs = 0;
        LogEvent(Event::DutyTaken,
                 { { "duty", std::string(kUsageDuty) },
                   { "token", std::to_string(FencingToken(mLease)) } });
      }
    });
}

void
Duties::Renew()
{
  mStore.RenewLease(
    mLease.mLeaseId, [this](tl::expected<bool, StoreError> aResult) {
      bool wasHolder = mLease.mState == LeaseState::Holder;
      OnLeaseRenewed(mLease, ToLeaseResult(aResult), BootTimeMs());
      OnLeaseChanged(wasHolder, "ended at the store");
    });
}

void
Duties::EndLease()
{
  mStore.EndLease(mLease.mLeaseId,
                  [this](tl::expected<bool, StoreError> aResult) {
                    OnLeaseEnded(mLease, ToLeaseResult(aResult), BootTimeMs());
                  });
}

void
Duties::OnLeaseChanged(bool aWasHolder, const std::string& aReason)
{
  if (aWasHolder && mLease.mState != LeaseState::Holder) {
    LogEvent(Event::DutyLost,
             { { "duty", std::string(kUsageDuty) },
               { "token", std::to_string(FencingToken(mLease)) },
               { "reason", aReason } });
  }
}

// Makes the counts of ended windows final. The conditions hold only while this
// host has the lease and nobody has sealed the windows.
void
Duties::SealWindows(TimeMs aTrueMs)
{
  if (mStore.IsCommitting() || mShared.mLoop.NowMs() < mNextSealMs) {
    return;
  }
  auto seals = MakeSeals(mLedger, kMaxSeals, aTrueMs);
  if (seals.empty()) {
    return;
  }
  StoreTransaction transaction;
  transaction.mConditions.push_back(
    { DutyLeaseKey(kUsageDuty), mLease.mAcquired.mRevision });
  for (const SealedUsage& seal : seals) {
    std::string key = UsageSealKey(seal.mWindow);
    transaction.mConditions.push_back({ key, StoredRevision(key) });
    transaction.mPuts.push_back({ key, FormatUsageSeal(seal), 0 });
  }
  if (mHasUnmarked) {
    transaction.mPuts.push_back(
      { UsageSentKey(), FormatUsageSent(mLedger.mSent), 0 });
  }
  mStore.Commit(transaction,
                [this, seals, marks = mHasUnmarked](
                  tl::expected<StoreCommit, StoreError> aResult) {
                  OnSealCommitted(seals, marks, std::move(aResult));
                });
  mHasUnmarked = false;
}

void
Duties::OnSealCommitted(const std::vector<SealedUsage>& aSeals,
                        bool aMarksSent,
                        tl::expected<StoreCommit, StoreError> aResult)
{
  if (!aResult || !aResult->mSucceeded) {
    mHasUnmarked = mHasUnmarked || aMarksSent;
    mNextSealMs = mShared.mLoop.NowMs() + kSealRetryMs;
    LogEvent(
      Event::UsageSealFailed,
      { { "window", std::to_string(aSeals.front().mWindow) },
        { "reason",
          aResult ? std::string("conflict") : aResult.error().mReason } });
    return;
  }
  for (SealedUsage seal : aSeals) {
    seal.mRevision = aResult->mRevision;
    LogEvent(Event::UsageSealed,
             { { "window", std::to_string(seal.mWindow) },
               { "customers", std::to_string(seal.mCounts.size()) },
               { "requests", std::to_string(SumRequests(seal)) },
               { "omitted", std::to_string(mLedger.mOmittedCustomers) } });
    mLedger.mOmittedCustomers = 0;
    OnSealSeen(mLedger, std::move(seal));
    mShared.mMetrics.CountUsageSealed();
  }
  SendReport();
}

// Reports the oldest window whose seal is in the store. A repeated report has
// the same counts, which is harmless.
void
Duties::SendReport()
{
  const SealedUsage* seal = NextToReport(mLedger);
  if (!seal || mCloud.IsBusy() || mLeavingSinceMs ||
      mShared.mLoop.NowMs() < mNextSendMs || !MayAct(mLease, BootTimeMs())) {
    return;
  }
  CloudCall call = MakeUsageCall(*seal);
  call.mHolder = mShared.mSettings.mHost;
  call.mToken = FencingToken(mLease);
  std::int64_t window = seal->mWindow;
  mCloud.Call(
    call,
    mFailures == 0 ? kReportTimeoutMs : kRepeatTimeoutMs,
    [this, token = call.mToken] {
      return MayAct(mLease, BootTimeMs()) && FencingToken(mLease) == token;
    },
    [this, window](CloudResult aResult) { OnReportEnded(window, aResult); });
}

void
Duties::OnReportEnded(std::int64_t aWindow, CloudResult aResult)
{
  TimeMs now = mShared.mLoop.NowMs();
  TimeMs lateMs = TrueMs() - (aWindow + 1) * mLedger.mOptions.mWindowMs -
                  mShared.mSettings.mUsageDueMs;
  std::string result(ToName(kCloudResultNames, aResult));
  mShared.mMetrics.CountUsageReport(result);
  if (aResult == CloudResult::Accepted) {
    mFailures = 0;
    mNextSendMs = now + kReportPauseMs;
    mHasUnmarked = true;
    OnReported(mLedger, aWindow);
    if (lateMs > 0) {
      mShared.mMetrics.CountUsageReportLate();
    }
    LogEvent(Event::UsageReported,
             { { "window", std::to_string(aWindow) },
               { "token", std::to_string(FencingToken(mLease)) },
               { "after_due_ms", std::to_string(lateMs) } });
    return;
  }
  ++mFailures;
  mNextSendMs =
    now + (kMinReportRetryMs << std::min(mFailures - 1, kMaxRetryDoublings));
  LogEvent(Event::UsageReportFailed,
           { { "window", std::to_string(aWindow) },
             { "token", std::to_string(FencingToken(mLease)) },
             { "result", result },
             { "after_due_ms", std::to_string(lateMs) } });
  TimeMs boot = BootTimeMs();
  bool wasHolder = mLease.mState == LeaseState::Holder;
  if (aResult == CloudResult::Fenced) {
    ResignLease(mLease, 0, boot);
    OnLeaseChanged(wasHolder, "fenced");
  } else if (aResult != CloudResult::Busy && mFailures >= kMaxFailures &&
             mShared.mState.mRunners.mEntryHosts > 1) {
    ResignLease(mLease, kUnreachablePauseMs, boot);
    OnLeaseChanged(wasHolder, "cloud interface does not answer");
  }
}

void
Duties::UpdateMetrics()
{
  bool isHolder = MayAct(mLease, BootTimeMs());
  mShared.mMetrics.SetDuty(
    isHolder, isHolder ? static_cast<double>(FencingToken(mLease)) : 0);
}

} // namespace savory
