#include "gateway.h"

#include "savory/net/log.h"
#include "savory/platform/fleet_documents.h"
#include "settings.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <malloc.h>

namespace savory {

namespace {

// Interval of the check for expired runners, roll-outs and the shutdown.
constexpr TimeMs kTickIntervalMs = 100;

// Pause after a write of a roll-out's progress that failed or lost to another
// host's write. The stored progress arrives during the pause.
constexpr TimeMs kCommitRetryMs = 400;

// Shortest suspension of the host after which the connections to runners count
// as stale.
constexpr TimeMs kMinSuspensionMs = 700;

// After a store outage, registrations are given this much longer to return than
// the platform states, which covers the pause between two watches.
constexpr TimeMs kRegistrationReturnSlackMs = 700;

// How long a runner is kept after a peer reported its registration as deleted
// while this host cannot reach the store: the lease may have expired although
// the runner is alive.
constexpr TimeMs kPeerDeletionGraceMs = 1200;

// After a restore of the store, other hosts leave it to the coordinator for
// this long to write again what was lost of roll-outs.
constexpr TimeMs kCoordinatorHeadStartMs = 1000;
// Requests at the operators' address have no body.
constexpr std::uint64_t kMaxOperatorBodyBytes = 4096;
constexpr std::size_t kMaxOperatorLinks = 32;

// Callers that were refused unread are logged at most this often by reason.
constexpr TimeMs kRefusalLogIntervalMs = 1000;

// Answers of the store from this size on are logged.
constexpr std::size_t kLongAnswerBytes = 64 * 1024;

// Large buffers are separate mappings, which return to the system when freed.
// glibc would otherwise raise this threshold with each one that is freed, up to
// 32 MiB, and the heap would keep the gaps that bodies leave.
constexpr int kMappedBufferBytes = 128 * 1024;

// Returns how long the host has been suspended since it booted.
TimeMs
TotalSuspendedMs()
{
  return BootTimeMs() - MonotonicMs();
}

} // namespace

Gateway::Gateway(EventLoop& aLoop, FleetSettings aSettings)
  : mLoop(aLoop)
  , mShared(aLoop, std::move(aSettings))
  , mStore(aLoop, mShared.mSettings.mStore)
  , mWatcher(aLoop, mStore, mShared.mSettings.mChangeBoundMs)
  , mPeers(mShared, mWatcher)
  , mDuties(mShared, mWatcher, mPeers)
  , mCallerFrontend(
      aLoop,
      [this](IncomingRequest& aRequest,
             const std::shared_ptr<CallerLink>& aCaller) {
        OnRequest(aRequest, aCaller);
      },
      mShared.mByteBudget)
  , mOperatorFrontend(
      aLoop,
      [this](const IncomingRequest& aRequest,
             const std::shared_ptr<CallerLink>& aCaller) {
        OnOperatorRequest(aRequest, aCaller);
      },
      mShared.mByteBudget)
  , mTotalSuspendedMs(TotalSuspendedMs())
{
  mWatcher.mOnEntry = [this](const StoreEntry& aEntry) {
    OnStoreEntry(aEntry);
  };
  mWatcher.mOnDeleted = [this](const std::string& aKey) {
    OnStoreDeletion(aKey);
  };
  mWatcher.mOnInitialState = [this] {
    MarkStableVersions(mShared.mState);
    mHasState = true;
    mDuties.OnStoreEpoch(mWatcher.Position().mEpoch);
  };
  mWatcher.mOnReachabilityChanged = [this](bool aReachable,
                                           const std::string& aReason) {
    OnStoreReachability(aReachable, aReason);
  };
  mWatcher.SetRestoreDelay(RestoreDelayMs(mShared.mSettings.mHost));
  mWatcher.mLostHoldMs = [this](const std::string& aKey) {
    return ParseFleetKey(aKey).mKind == FleetKeyKind::Registration
             ? mShared.mSettings.mRegistrationReturnMs +
                 kRegistrationReturnSlackMs
             : kRestoreHoldMs;
  };
  mWatcher.mOnAnswer = [this](std::int64_t aRevision,
                              std::size_t aEntries,
                              const std::string& aReason) {
    OnStoreAnswer(aRevision, aEntries, aReason);
  };
  mWatcher.mOnRestored = [this](const StoreRevision& aBefore) {
    OnRestored(aBefore);
  };
  mCallerFrontend.SetMaxLinks(mShared.mProcessLimits.mMaxCallers);
  mCallerFrontend.mOnRefused = [this](std::string_view aReason) {
    OnCallerRefused(aReason);
  };
  FrontendLimits operatorLimits;
  operatorLimits.mMaxBodyBytes = kMaxOperatorBodyBytes;
  mOperatorFrontend.SetLimits(operatorLimits);
  mOperatorFrontend.SetMaxLinks(kMaxOperatorLinks);
  mShared.mOnConnectionLost = [this](const std::string& aRunner,
                                     const LostAttempt& aAttempt) {
    OnConnectionLost(aRunner, aAttempt);
  };
  mShared.mOnSuspectsChanged = [this] {
    // The requests that end may be in the midst of a callback.
    Defer(mLoop, [this] { OnSuspectsChanged(); });
  };
}

Gateway::~Gateway()
{
  // Requests refer to the front end, which is destroyed before mShared.
  auto exchanges = std::move(mShared.mExchanges);
}

bool
Gateway::Listen()
{
  const FleetSettings& settings = mShared.mSettings;
  if (mCallerFrontend.Listen(settings.mCallers.mAddress,
                             settings.mCallers.mPort) == 0 ||
      mOperatorFrontend.Listen(settings.mOperators.mAddress,
                               settings.mOperators.mPort) == 0 ||
      !mPeers.Start()) {
    return false;
  }
  mDuties.Start();
  mWatcher.Start();
  mTickTimer = Timer::Every(mLoop, kTickIntervalMs, [this] { Tick(); });
  return true;
}

void
Gateway::OnRequest(IncomingRequest& aRequest,
                   const std::shared_ptr<CallerLink>& aCaller)
{
  std::make_shared<Exchange>(mShared, std::move(aRequest), aCaller)->Start();
}

// Counts a caller that was refused or cut off before its request was complete.
void
Gateway::OnCallerRefused(std::string_view aReason)
{
  mShared.mMetrics.CountRefusedCaller(std::string(aReason));
  RefusalLog& log = mRefusalLogs[std::string(aReason)];
  ++log.mCount;
  TimeMs now = mLoop.NowMs();
  if (log.mLoggedMs && now - *log.mLoggedMs < kRefusalLogIntervalMs) {
    return;
  }
  log.mLoggedMs = now;
  LogEvent(Event::CallersCutOff,
           { { "reason", std::string(aReason) },
             { "count", std::to_string(std::exchange(log.mCount, 0)) },
             { "held", std::to_string(mShared.mByteBudget->mHeldBytes) },
             { "capacity",
               std::to_string(mShared.mByteBudget->mOptions.mCapacityBytes) },
             { "connections", std::to_string(mCallerFrontend.LinkCount()) } });
}

bool
Gateway::IsReady() const
{
  return mHasState && mShared.mState.mTable && !mDraining;
}

void
Gateway::OnOperatorRequest(const IncomingRequest& aRequest,
                           const std::shared_ptr<CallerLink>& aCaller)
{
  const std::string& target = aRequest.mHead.mTarget;
  if (target == "/readyz") {
    aCaller->Respond(IsReady() ? 200 : 503, {}, {});
  } else if (target == "/metrics") {
    aCaller->Respond(200,
                     { { "Content-Type", "text/plain; version=0.0.4" } },
                     mShared.mMetrics.mRegistry.ToText());
  } else if (target == "/state") {
    aCaller->Respond(200,
                     { { "Content-Type", "application/json" } },
                     DumpState(mShared.mState, mLoop.NowMs()));
  } else {
    aCaller->Respond(404, {}, {});
  }
}

void
Gateway::OnStoreEntry(const StoreEntry& aEntry)
{
  mDuties.OnStoreEntry(aEntry);
  StateChange change = ApplyStoreEntry(mShared.mState, aEntry, mLoop.NowMs());
  if (change == StateChange::Table) {
    mShared.mMetrics.SetConfigBytes(aEntry.mValue.size());
    OnTableChanged();
  } else if (change == StateChange::Shift) {
    AdvanceShifts();
  }
}

void
Gateway::OnTableChanged()
{
  GatewayState& state = mShared.mState;
  state.mRunners.mUnequalGoals = ServicesWithUnequalGoals(*state.mTable);
  const CallerLimits& limits = state.mTable->mLimits;
  mCallerFrontend.SetLimits({ limits.mMaxHeaderBytes,
                              limits.mMaxBodyBytes,
                              limits.mHeaderTimeoutMs,
                              limits.mIdleTimeoutMs });
}

void
Gateway::OnStoreDeletion(const std::string& aKey)
{
  TimeMs now = mLoop.NowMs();
  TimeMs graceMs =
    mShared.mSettings.mRegistrationReturnMs + kRegistrationReturnSlackMs;
  std::optional<TimeMs> graceUntilMs;
  if (!mOutageIsLocal && !mWatcher.IsReachable()) {
    graceUntilMs = now + kPeerDeletionGraceMs;
  } else if (!mOutageIsLocal && now - mWatcher.ReachableSinceMs() < graceMs) {
    graceUntilMs = mWatcher.ReachableSinceMs() + graceMs;
  }
  ApplyDeletion(mShared.mState, aKey, graceUntilMs);
}

void
Gateway::OnRestored(const StoreRevision& aBefore)
{
  const StoreCopy& copy = mWatcher.Copy();
  LogEvent(Event::StoreRestored,
           { { "epoch", std::to_string(copy.mEpoch) },
             { "revision", std::to_string(copy.mRevision) },
             { "epoch_before", std::to_string(aBefore.mEpoch) },
             { "revision_before", std::to_string(aBefore.mRevision) },
             { "held", std::to_string(copy.mHeld.size()) } });
  OnStoreRestored(mShared.mState, copy);
  mDuties.OnStoreEpoch(copy.mEpoch);
  TimeMs now = mLoop.NowMs();
  mNextAdvanceMs = now + RestoreDelayMs(mShared.mSettings.mHost) +
                   (mPeers.IsCoordinator(now) ? 0 : kCoordinatorHeadStartMs);
  mPeers.ScheduleSend();
}

void
Gateway::OnStoreAnswer(std::int64_t aRevision,
                       std::size_t aEntries,
                       const std::string& aReason)
{
  const AnswerTransfer& answer = mStore.LastRead();
  if (answer.mBytes >= kLongAnswerBytes || aReason == kAnswerTooLong) {
    LogEvent(Event::LongStoreAnswer,
             { { "bytes", std::to_string(answer.mBytes) },
               { "ms", std::to_string(answer.mTotalMs) },
               { "entries", std::to_string(aEntries) },
               { "revision", std::to_string(aRevision) },
               { "reason", aReason } });
  }
}

void
Gateway::OnStoreReachability(bool aReachable, const std::string& aReason)
{
  if (aReachable) {
    LogEvent(Event::StoreUp,
             { { "revision", std::to_string(mWatcher.Revision()) } });
  } else {
    LogEvent(Event::StoreDown,
             { { "revision", std::to_string(mWatcher.Revision()) },
               { "reason", aReason } });
  }
}

// Connects to a runner to find out whether it crashed or only lost one answer;
// the port of a process that crashed is closed.
void
Gateway::OnConnectionLost(const std::string& aRunner,
                          const LostAttempt& aAttempt)
{
  auto found = mShared.mState.mRunners.mRunners.find(aRunner);
  if (found == mShared.mState.mRunners.mRunners.end()) {
    return;
  }
  auto [probe, isNew] = mCrashProbes.try_emplace(aRunner);
  probe->second.mAttempts.push_back(aAttempt);
  if (!isNew) {
    return;
  }
  auto endpoint = ParseEndpoint(found->second.mRegistration.mAddress);
  auto link = ClientLink::Connect(
    mLoop, *endpoint, { kRunnerConnectTimeoutMs, kRunnerUserTimeoutMs });
  probe->second.mLink = link;
  link->mOnConnected = [this, aRunner] {
    Defer(mLoop, [this, aRunner] { OnProbeResult(aRunner, std::nullopt); });
  };
  link->mOnFailed = [this, aRunner](LinkFailure aFailure) {
    Defer(mLoop,
          [this, aRunner, aFailure] { OnProbeResult(aRunner, aFailure); });
  };
}

void
Gateway::OnProbeResult(const std::string& aRunner,
                       std::optional<LinkFailure> aFailure)
{
  auto probe = mCrashProbes.extract(aRunner);
  auto found = mShared.mState.mRunners.mRunners.find(aRunner);
  if (probe.empty() || found == mShared.mState.mRunners.mRunners.end()) {
    return;
  }
  probe.mapped().mLink->Close();
  if (!aFailure) {
    return;
  }
  RunnerState& runner = found->second;
  TimeMs now = mLoop.NowMs();
  OnRequestOutcome(runner, RunnerOutcome::Unreachable, now);
  const ServiceInfo* service =
    FindService(*mShared.mState.mTable, runner.mRegistration.mService);
  OnRestart(runner, service ? service->mColdStartMs : 0, now);
  mShared.mLinks.CloseIdle(runner.mRegistration.mAddress);
  // A runner that cannot be reached may be alive: its host or the path to it is
  // down, by no fault of a request.
  if (*aFailure != LinkFailure::Refused) {
    return;
  }
  std::map<std::uint64_t, std::vector<CrashCandidate>> crashes;
  int candidates = 0;
  int started = 0;
  for (const LostAttempt& attempt : probe.mapped().mAttempts) {
    auto& rows = crashes[attempt.mCrash];
    if (attempt.mCandidate) {
      rows.push_back(*attempt.mCandidate);
      ++candidates;
      started += attempt.mCandidate->mStarted;
    }
  }
  for (const auto& [crash, rows] : crashes) {
    OnCrash(mShared.mState.mCrashSuspects,
            mShared.mState.mCrashSuspectOptions,
            crash,
            rows,
            now);
  }
  LogEvent(Event::RequestSuspected,
           { { "runner", aRunner },
             { "version", runner.mRegistration.mVersion },
             { "requests", std::to_string(probe.mapped().mAttempts.size()) },
             { "unanswered", std::to_string(candidates) },
             { "started", std::to_string(started) } });
  mShared.mOnSuspectsChanged();
}

// Ends the requests that hold what has just been found to crash runners, and
// tells the peers.
void
Gateway::OnSuspectsChanged()
{
  CrashSuspects& suspects = mShared.mState.mCrashSuspects;
  auto blocked = ExtractBlocked(suspects);
  for (const SuspectKey& key : blocked) {
    const CrashSuspect& suspect = suspects.mSuspects.at(key);
    LogEvent(Event::SuspectBlocked,
             { { "service", key.mService },
               { "kind", std::string(ToName(kSuspectKindNames, key.mKind)) },
               { "id", FormatHex(key.mId) },
               { "crashes", std::to_string(suspect.mEvidence.size()) },
               { "trials", std::to_string(suspect.mTrials) } });
  }
  if (!blocked.empty()) {
    // Ending a request removes it from the set.
    auto exchanges = mShared.mExchanges;
    for (const auto& exchange : exchanges) {
      exchange->StopIfBlocked();
    }
  }
  if (HasNewReport(suspects)) {
    mPeers.ScheduleSend();
  }
}

void
Gateway::Tick()
{
  TimeMs now = mLoop.NowMs();
  if (mTickedMs > 0) {
    mShared.mMetrics.ObserveLoopDelay(
      std::max<TimeMs>(0, now - mTickedMs - kTickIntervalMs));
  }
  mTickedMs = now;
  CheckSuspension();
  mPeers.UpdateSharing();
  mShared.mMetrics.SetCopyAge(mPeers.CopyAgeMs());
  mWatcher.ReleaseHeldEntries();
  ExpireSuspects(
    mShared.mState.mCrashSuspects, mShared.mState.mCrashSuspectOptions, now);
  for (const std::string& id : PruneRunners(mShared.mState.mRunners, now)) {
    LogEvent(Event::RunnerGone, { { "runner", id }, { "lapsed", "over" } });
  }
  UpdateRunnerHints(now);
  mShared.mMetrics.SetHeld(mShared.mByteBudget->mHeldBytes,
                           mShared.mByteBudget->mWaitingCount,
                           mCallerFrontend.LinkCount());
  // The value is kept when the outage ends, as deletions in the grace time that
  // follows are still evaluated by it.
  if (!mWatcher.IsReachable()) {
    mOutageIsLocal = mPeers.IsStoreServingPeers(now);
  }
  AdvanceShifts();
  if (mDraining) {
    CheckDrain();
  }
}

// Updates the metrics of what runners said of themselves, and logs the end of
// the times for which they wanted no requests.
void
Gateway::UpdateRunnerHints(TimeMs aNowMs)
{
  RunnerSet& set = mShared.mState.mRunners;
  RunnerHintCounts counts = CountRunnerHints(set, aNowMs);
  mShared.mMetrics.SetRunnerHints(counts.mLeaving, counts.mBackedOff);
  for (auto& [id, runner] : set.mRunners) {
    if (runner.mBackpressure.mIsReported &&
        !IsBackedOff(runner.mBackpressure, aNowMs)) {
      runner.mBackpressure.mIsReported = false;
      LogEvent(
        Event::BackpressureEnded,
        { { "runner", id },
          { "started", std::to_string(runner.mRegistration.mStartedWallMs) } });
    }
  }
}

// Closes the idle connections after a suspension of the host, during which the
// runners may have dropped them.
void
Gateway::CheckSuspension()
{
  TimeMs totalMs = TotalSuspendedMs();
  if (totalMs - mTotalSuspendedMs > kMinSuspensionMs) {
    LogEvent(
      Event::ProcessResumed,
      { { "suspended_ms", std::to_string(totalMs - mTotalSuspendedMs) } });
    for (const auto& [id, runner] : mShared.mState.mRunners.mRunners) {
      mShared.mLinks.CloseIdle(runner.mRegistration.mAddress);
    }
    mPeers.OnResumed();
  }
  mTotalSuspendedMs = totalMs;
}

void
Gateway::AdvanceShifts()
{
  TimeMs now = mLoop.NowMs();
  if (!mWatcher.HasNewestEpoch()) {
    return;
  }
  for (auto& [service, shift] : mShared.mState.mShifts.mShifts) {
    // Any host may roll a bad version back; only the coordinator advances a
    // good one.
    if (!shift.mTargetRejected && !mPeers.IsCoordinator(now)) {
      continue;
    }
    if (mStore.IsCommitting() || now < mNextAdvanceMs) {
      return;
    }
    if (auto next = AdvanceShift(shift, now)) {
      if (next->mOrderedWallMs == 0) {
        next->mOrderedWallMs = WallClockMs() - (now - shift.mOrderSeenMs);
      }
      CommitProgress(service, *next);
    }
  }
}

void
Gateway::CommitProgress(const std::string& aService, const ShiftProgress& aNext)
{
  VersionShift& shift = mShared.mState.mShifts.mShifts[aService];
  StoreTransaction transaction;
  transaction.mConditions = { { RolloutProgressKey(aService),
                                shift.mProgressRevision.mRevision } };
  transaction.mPuts = {
    { RolloutProgressKey(aService), FormatShiftProgress(aNext), 0 },
    { RolloutStatusKey(aService), FormatRolloutStatus(aNext), 0 },
  };
  mStore.Commit(
    transaction,
    [this, aService, aNext](tl::expected<StoreCommit, StoreError> aResult) {
      std::string outcome = "conflict";
      if (!aResult || !aResult->mSucceeded) {
        mNextAdvanceMs = mLoop.NowMs() + kCommitRetryMs;
      }
      if (!aResult) {
        outcome = aResult.error().mReason;
      } else if (!aResult->mSucceeded) {
        ReloadStoredProgress(aService);
      } else if (aResult->mSucceeded) {
        outcome = "committed";
        ApplyProgress(mShared.mState.mShifts,
                      aService,
                      aNext,
                      { aResult->mEpoch, aResult->mRevision },
                      mLoop.NowMs());
      }
      const ShiftCounts& counts =
        mShared.mState.mShifts.mShifts[aService].mEvaluated;
      LogEvent(
        Event::RolloutDriven,
        { { "service", aService },
          { "target", aNext.mTarget },
          { "state", std::string(ToName(kShiftStateNames, aNext.mState)) },
          { "share", std::to_string(aNext.mShare) },
          { "good", std::to_string(counts.mGood) },
          { "failed", std::to_string(counts.mFailed) },
          { "slow", std::to_string(counts.mSlow) },
          { "prompt", std::to_string(counts.mPrompt) },
          { "delayed", std::to_string(counts.mDelayed) },
          { "outcome", outcome } });
    });
}

// Applies the stored progress after another host's write won.
void
Gateway::ReloadStoredProgress(const std::string& aService)
{
  const auto& entries = mWatcher.Copy().mEntries;
  auto stored = entries.find(RolloutProgressKey(aService));
  VersionShift& shift = mShared.mState.mShifts.mShifts[aService];
  if (stored == entries.end()) {
    shift.mProgressRevision = { mWatcher.Position().mEpoch, 0 };
  } else if (RevisionOf(stored->second) != shift.mProgressRevision) {
    shift.mProgressRevision = {};
    OnStoreEntry(stored->second);
  }
}

void
Gateway::Drain()
{
  if (mDraining) {
    return;
  }
  mDraining = true;
  mShared.mShutdown =
    Shutdown{ mLoop.NowMs(), MakeShutdownPlan(mShared.mSettings.mGraceMs) };
  mCallerFrontend.StartDrain();
  mPeers.StartDrain();
  mDuties.StartDrain();
  LogEvent(Event::DrainStarted,
           { { "requests", std::to_string(mShared.mExchanges.size()) } });
}

// Stops the event loop when no requests are left and no more can arrive, or
// just before the process would be killed. What is left then is told first.
void
Gateway::CheckDrain()
{
  const ShutdownPlan& plan = mShared.mShutdown->mPlan;
  TimeMs elapsed = mLoop.NowMs() - mShared.mShutdown->mStartMs;
  if (elapsed < plan.mCloseIdleMs) {
    return;
  }
  mCallerFrontend.CloseIdle();
  if (elapsed >= plan.mAbandonMs && !mShared.mExchanges.empty()) {
    LogEvent(Event::AbandonedAtStop,
             { { "requests", std::to_string(mShared.mExchanges.size()) } });
    // Ending a request removes it from the set.
    auto exchanges = mShared.mExchanges;
    for (const auto& exchange : exchanges) {
      exchange->Abandon();
    }
  }
  bool isIdle = mShared.mExchanges.empty() &&
                mCallerFrontend.BusyCount() == 0 && mDuties.IsReleased();
  if (isIdle || elapsed >= plan.mExitMs) {
    mPeers.SendLast();
    mLoop.Stop();
  }
}

void
Gateway::Reload(const std::string& aPath)
{
  auto settings = ReadFleetSettings(aPath);
  if (!settings) {
    for (const std::string& error : settings.error()) {
      LogEvent(Event::SettingsRefused, { { "fault", error } });
    }
    return;
  }
  // Changed addresses take effect only with a restart.
  FleetSettings& current = mShared.mSettings;
  current.mGraceMs = settings->mGraceMs;
  current.mRetryRatio = settings->mRetryRatio;
  current.mRetrySlack = settings->mRetrySlack;
  current.mRetryWindowMs = settings->mRetryWindowMs;
  mShared.mState.mRetryBudgetOptions.mWindowMs = settings->mRetryWindowMs;
  mShared.mState.mRetryBudgetOptions.mRatio = settings->mRetryRatio;
  mShared.mState.mRetryBudgetOptions.mSlack = settings->mRetrySlack;
  LogEvent(Event::SettingsReloaded, { { "path", aPath } });
}

int
RunGateway(const std::vector<std::string>& aArguments)
{
  // A reload that is asked for during the start is done after it.
  HoldSignal(SIGHUP);
  bool check = aArguments.size() > 2 && aArguments[2] == "--check";
  std::size_t fileIndex = check ? 3 : 2;
  const char* variable =
    std::getenv(std::string(kFleetSettingsVariable).c_str());
  std::string path = aArguments.size() > fileIndex ? aArguments[fileIndex]
                     : variable                    ? variable
                                                   : "";
  if (path.empty()) {
    std::fprintf(stderr,
                 "usage: savorystream gateway [--check] [FILE]; without FILE "
                 "the variable %s names the settings file\n",
                 std::string(kFleetSettingsVariable).c_str());
    return kExitBadSettings;
  }
  auto settings = ReadFleetSettings(path);
  if (!settings) {
    for (const std::string& error : settings.error()) {
      std::fprintf(stderr, "settings: %s\n", error.c_str());
    }
    return kExitBadSettings;
  }
  if (check) {
    std::puts("settings: ok");
    return kExitOk;
  }
  mallopt(M_MMAP_THRESHOLD, kMappedBufferBytes);
  EventLoop loop;
  StartStdoutLog(loop, "savorystream");
  Gateway gateway(loop, *settings);
  if (!gateway.Listen()) {
    std::fprintf(stderr, "cannot listen on the given addresses\n");
    return kExitCannotListen;
  }
  SignalWatch terminate(loop, SIGTERM, [&] { gateway.Drain(); });
  SignalWatch interrupt(loop, SIGINT, [&] { gateway.Drain(); });
  SignalWatch reload(loop, SIGHUP, [&] { gateway.Reload(path); });
  LogEvent(Event::ProcessStarted,
           { { "role", "gateway" },
             { "host", settings->mHost },
             { "zone", settings->mZone },
             { "listen", ToString(settings->mCallers) },
             { "store", ToString(settings->mStore) } });
  loop.Run();
  LogEvent(Event::ProcessStopped, { { "exit", "0" } });
  FlushStdoutLog();
  return kExitOk;
}

} // namespace savory
