#include "gateway.h"

#include "savory/net/log.h"
#include "savory/platform/fleet_documents.h"
#include "settings.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <ctime>

namespace savory {

namespace {

// How often expired beliefs, roll-outs and the shutdown are looked at.
constexpr TimeMs kTickMs = 100;

// The pause after a write of a roll-out's progress that did not take effect, in
// which the store's own account of the progress arrives.
constexpr TimeMs kDrivePauseMs = 400;

// During a shutdown the platform needs two missed questions, a second apart,
// to send no new connections; until then they are served.
constexpr TimeMs kStillRoutedMs = 2600;

// Requests that arrive later in a shutdown than this are refused: a stream
// might not end before the process is killed. Idle connections are closed then,
// so that callers look for another host.
constexpr TimeMs kLastAcceptMs = 2800;

// The process ends this long before it would be killed.
constexpr TimeMs kKillMarginMs = 300;

// A difference between the clocks that run and stand still in a suspension,
// from which on the process takes its connections for stale.
constexpr TimeMs kSuspensionMs = 700;

// Registrations that come back after an outage are waited for this much longer
// than the platform states, for the pause between two watches.
constexpr TimeMs kReturnSlackMs = 700;

// An entry that was deleted according to a peer, while this host cannot reach
// the store, may have lapsed.
constexpr TimeMs kPeerLapseMs = 1200;

TimeMs
ClockMs(clockid_t aClock)
{
  timespec now{};
  clock_gettime(aClock, &now);
  return static_cast<TimeMs>(now.tv_sec) * 1000 + now.tv_nsec / 1000000;
}

// How far the clock that runs on in a suspension is ahead of the other.
TimeMs
BootLagMs()
{
  return ClockMs(CLOCK_BOOTTIME) - ClockMs(CLOCK_MONOTONIC);
}

} // namespace

Gateway::Gateway(EventLoop& aLoop, FleetSettings aSettings)
  : mLoop(aLoop)
  , mShared(aLoop, std::move(aSettings))
  , mStore(aLoop, mShared.mSettings.mStore)
  , mFollower(aLoop, mStore, mShared.mSettings.mChangeBoundMs)
  , mPeers(mShared, mFollower)
  , mCallers(aLoop,
             [this](const IncomingRequest& aRequest,
                    const std::shared_ptr<CallerLink>& aCaller) {
               OnRequest(aRequest, aCaller);
             })
  , mReady(aLoop,
           [this](const IncomingRequest& aRequest,
                  const std::shared_ptr<CallerLink>& aCaller) {
             OnOwnCall(aRequest, aCaller);
           })
  , mBootLagMs(BootLagMs())
{
  mFollower.mOnEntry = [this](const StoreEntry& aEntry) { OnItem(aEntry); };
  mFollower.mOnDeleted = [this](const std::string& aKey) { OnDeleted(aKey); };
  mFollower.mOnInitialState = [this] {
    EstablishVersions(mShared.mBeliefs);
    mHasState = true;
  };
  mFollower.mOnReachabilityChanged = [this](bool aReachable,
                                            const std::string& aReason) {
    OnReachable(aReachable, aReason);
  };
  mShared.mOnBroken = [this](const std::string& aRunner,
                             std::uint64_t aFingerprint) {
    OnBroken(aRunner, aFingerprint);
  };
}

Gateway::~Gateway()
{
  // Requests refer to the front end, which is destroyed first.
  auto exchanges = std::move(mShared.mExchanges);
}

bool
Gateway::Listen()
{
  const FleetSettings& settings = mShared.mSettings;
  if (mCallers.Listen(settings.mCallers.mAddress, settings.mCallers.mPort) ==
        0 ||
      mReady.Listen(settings.mReady.mAddress, settings.mReady.mPort) == 0 ||
      !mPeers.Start()) {
    return false;
  }
  mFollower.Start();
  mTick = Timer::Every(mLoop, kTickMs, [this] { Tick(); });
  return true;
}

void
Gateway::OnRequest(const IncomingRequest& aRequest,
                   const std::shared_ptr<CallerLink>& aCaller)
{
  if (mDraining && mLoop.NowMs() - mDrainSinceMs > kLastAcceptMs) {
    RequestMetadata facts = ParseRequestMetadata(aRequest.mHead);
    LogEvent(Event::RequestRefused,
             { { "id", facts.mId }, { "reason", "shutdown" } });
    aCaller->Respond(503, MakeRouterHeaders(facts.mId, 0), {});
    return;
  }
  std::make_shared<Exchange>(mShared, aRequest, aCaller)->Start();
}

bool
Gateway::IsReady() const
{
  return mHasState && mShared.mBeliefs.mTable && !mDraining;
}

void
Gateway::OnOwnCall(const IncomingRequest& aRequest,
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
                     DumpBeliefs(mShared.mBeliefs, mLoop.NowMs()));
  } else {
    aCaller->Respond(404, {}, {});
  }
}

void
Gateway::OnItem(const StoreEntry& aEntry)
{
  BeliefChange change = ApplyItem(mShared.mBeliefs, aEntry, mLoop.NowMs());
  if (change == BeliefChange::Table) {
    OnTableChanged();
  } else if (change == BeliefChange::Shift) {
    DriveShifts();
  }
}

void
Gateway::OnTableChanged()
{
  const CallerLimits& limits = mShared.mBeliefs.mTable->mLimits;
  mCallers.SetLimits({ limits.mMaxHeaderBytes,
                       limits.mMaxBodyBytes,
                       limits.mHeaderTimeoutMs,
                       limits.mIdleTimeoutMs });
}

void
Gateway::OnDeleted(const std::string& aKey)
{
  TimeMs now = mLoop.NowMs();
  TimeMs grace = mShared.mSettings.mRegistrationReturnMs + kReturnSlackMs;
  std::optional<TimeMs> lapsed;
  if (!mOutageIsOwn && !mFollower.IsReachable()) {
    lapsed = now + kPeerLapseMs;
  } else if (!mOutageIsOwn && now - mFollower.ReachableSinceMs() < grace) {
    lapsed = mFollower.ReachableSinceMs() + grace;
  }
  ApplyDeletion(mShared.mBeliefs, aKey, lapsed);
}

void
Gateway::OnReachable(bool aReachable, const std::string& aReason)
{
  if (aReachable) {
    LogEvent(Event::StoreUp,
             { { "revision", std::to_string(mFollower.Revision()) } });
  } else {
    LogEvent(Event::StoreDown,
             { { "revision", std::to_string(mFollower.Revision()) },
               { "reason", aReason } });
  }
}

// Finds out whether a runner crashed or only lost one answer: a process that
// crashed has closed its port.
void
Gateway::OnBroken(const std::string& aRunner, std::uint64_t aFingerprint)
{
  auto found = mShared.mBeliefs.mRunners.mRunners.find(aRunner);
  if (found == mShared.mBeliefs.mRunners.mRunners.end()) {
    return;
  }
  auto [broken, isNew] = mBroken.try_emplace(aRunner);
  broken->second.mFingerprints.push_back(aFingerprint);
  if (!isNew) {
    return;
  }
  auto endpoint = ParseEndpoint(found->second.mRegistration.mAddress);
  auto link = ClientLink::Connect(
    mLoop, *endpoint, { kRunnerConnectMs, kRunnerUserTimeoutMs });
  broken->second.mProbe = link;
  link->mOnConnected = [this, aRunner] {
    Defer(mLoop, [this, aRunner] { OnProbed(aRunner, true); });
  };
  link->mOnFailed = [this, aRunner](LinkFailure) {
    Defer(mLoop, [this, aRunner] { OnProbed(aRunner, false); });
  };
}

void
Gateway::OnProbed(const std::string& aRunner, bool aAlive)
{
  auto broken = mBroken.extract(aRunner);
  auto found = mShared.mBeliefs.mRunners.mRunners.find(aRunner);
  if (broken.empty() || found == mShared.mBeliefs.mRunners.mRunners.end()) {
    return;
  }
  broken.mapped().mProbe->Close();
  if (aAlive) {
    return;
  }
  RunnerState& runner = found->second;
  TimeMs now = mLoop.NowMs();
  OnRequestOutcome(runner, RunnerOutcome::Unreachable, now);
  const ServiceInfo* service =
    FindService(*mShared.mBeliefs.mTable, runner.mRegistration.mService);
  OnRestart(runner, service ? service->mColdStartMs : 0, now);
  mShared.mLinks.Drop(runner.mRegistration.mAddress);
  OnCrash(mShared.mBeliefs.mQuarantine,
          mShared.mBeliefs.mQuarantineOptions,
          CrashId(runner.mRegistration.mAddress,
                  std::to_string(runner.mRegistration.mStartedWallMs)),
          broken.mapped().mFingerprints,
          now);
  LogEvent(
    Event::RequestSuspected,
    { { "runner", aRunner },
      { "requests", std::to_string(broken.mapped().mFingerprints.size()) } });
}

void
Gateway::Tick()
{
  TimeMs now = mLoop.NowMs();
  CheckSuspension();
  for (const std::string& id : PruneRunners(mShared.mBeliefs.mRunners, now)) {
    LogEvent(Event::RunnerGone, { { "runner", id }, { "lapsed", "over" } });
  }
  // An outage counts as this host's own until the store has served it again
  // for as long as entries might lapse.
  if (!mFollower.IsReachable()) {
    mOutageIsOwn = mPeers.IsStoreServingPeers(now);
  }
  DriveShifts();
  if (mDraining) {
    CheckDrain();
  }
}

// A host that was suspended holds connections that its peers have given up.
void
Gateway::CheckSuspension()
{
  TimeMs lag = BootLagMs();
  if (lag - mBootLagMs > kSuspensionMs) {
    LogEvent(Event::ProcessResumed,
             { { "suspended_ms", std::to_string(lag - mBootLagMs) } });
    for (const auto& [id, runner] : mShared.mBeliefs.mRunners.mRunners) {
      mShared.mLinks.Drop(runner.mRegistration.mAddress);
    }
  }
  mBootLagMs = lag;
}

void
Gateway::DriveShifts()
{
  TimeMs now = mLoop.NowMs();
  for (auto& [service, shift] : mShared.mBeliefs.mShifts.mShifts) {
    // Any host stops a bad version; one drives a good one.
    if (!shift.mTargetRejected && !mPeers.IsDriver(now)) {
      continue;
    }
    if (mStore.IsCommitting() || now < mNextDriveMs) {
      return;
    }
    if (auto next = AdvanceShift(shift, now)) {
      if (next->mOrderedWallMs == 0) {
        next->mOrderedWallMs = WallClockMs() - (now - shift.mOrderSeenMs);
      }
      CommitShift(service, *next);
    }
  }
}

void
Gateway::CommitShift(const std::string& aService, const ShiftProgress& aNext)
{
  VersionShift& shift = mShared.mBeliefs.mShifts.mShifts[aService];
  StoreTransaction transaction;
  transaction.mConditions = { { RolloutProgressKey(aService),
                                shift.mProgressRevision } };
  transaction.mPuts = {
    { RolloutProgressKey(aService), FormatShiftProgress(aNext), 0 },
    { RolloutStatusKey(aService), FormatRolloutStatus(aNext), 0 },
  };
  mStore.Commit(
    transaction,
    [this, aService, aNext](tl::expected<StoreCommit, StoreError> aResult) {
      std::string outcome = "conflict";
      if (!aResult || !aResult->mSucceeded) {
        mNextDriveMs = mLoop.NowMs() + kDrivePauseMs;
      }
      if (!aResult) {
        outcome = aResult.error().mReason;
      } else if (!aResult->mSucceeded) {
        TakeStoredProgress(aService);
      } else if (aResult->mSucceeded) {
        outcome = "committed";
        ApplyProgress(mShared.mBeliefs.mShifts,
                      aService,
                      aNext,
                      aResult->mRevision,
                      mLoop.NowMs());
      }
      const ShiftCounts& counts =
        mShared.mBeliefs.mShifts.mShifts[aService].mEvaluated;
      LogEvent(
        Event::RolloutDriven,
        { { "service", aService },
          { "target", aNext.mTarget },
          { "state", std::string(ToName(kShiftStateNames, aNext.mState)) },
          { "share", std::to_string(aNext.mShare) },
          { "good", std::to_string(counts.mGood) },
          { "failed", std::to_string(counts.mFailed) },
          { "slow", std::to_string(counts.mSlow) },
          { "outcome", outcome } });
    });
}

// Takes the progress that the store holds, after a write of another host won.
void
Gateway::TakeStoredProgress(const std::string& aService)
{
  auto stored = mFollower.Entries().find(RolloutProgressKey(aService));
  VersionShift& shift = mShared.mBeliefs.mShifts.mShifts[aService];
  if (stored == mFollower.Entries().end()) {
    shift.mProgressRevision = 0;
  } else if (stored->second.mModRevision != shift.mProgressRevision) {
    shift.mProgressRevision = 0;
    OnItem(stored->second);
  }
}

void
Gateway::Drain()
{
  if (mDraining) {
    return;
  }
  mDraining = true;
  mDrainSinceMs = mLoop.NowMs();
  mCallers.StartDrain();
  mPeers.StartDrain();
  LogEvent(Event::DrainStarted,
           { { "requests", std::to_string(mShared.mExchanges.size()) } });
}

// Ends the process when no work is left and no more can come, or just before
// it would be killed.
void
Gateway::CheckDrain()
{
  TimeMs elapsed = mLoop.NowMs() - mDrainSinceMs;
  if (elapsed < kStillRoutedMs) {
    return;
  }
  mCallers.CloseIdle();
  bool late = elapsed >= mShared.mSettings.mGraceMs - kKillMarginMs;
  if (late) {
    LogEvent(Event::AbandonedAtStop,
             { { "requests", std::to_string(mShared.mExchanges.size()) } });
  }
  if (late || (mShared.mExchanges.empty() && mCallers.BusyCount() == 0)) {
    mLoop.Stop();
  }
}

void
Gateway::Reload(const std::string& aPath)
{
  auto settings = ReadFleetSettings(aPath);
  if (!settings) {
    for (const std::string& fault : settings.error()) {
      LogEvent(Event::SettingsRefused, { { "fault", fault } });
    }
    return;
  }
  // Addresses stay as they are for the life of a process.
  FleetSettings& present = mShared.mSettings;
  present.mGraceMs = settings->mGraceMs;
  present.mRetryRatio = settings->mRetryRatio;
  present.mRetrySlack = settings->mRetrySlack;
  present.mRetryWindowMs = settings->mRetryWindowMs;
  mShared.mBeliefs.mBudgetOptions.mRatio = settings->mRetryRatio;
  mShared.mBeliefs.mBudgetOptions.mSlack = settings->mRetrySlack;
  LogEvent(Event::SettingsReloaded, { { "path", aPath } });
}

int
RunGateway(const std::vector<std::string>& aArguments)
{
  bool check = aArguments.size() > 2 && aArguments[2] == "--check";
  std::size_t known = check ? 3 : 2;
  const char* variable =
    std::getenv(std::string(kFleetSettingsVariable).c_str());
  std::string path = aArguments.size() > known ? aArguments[known]
                     : variable                ? variable
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
    for (const std::string& fault : settings.error()) {
      std::fprintf(stderr, "settings: %s\n", fault.c_str());
    }
    return kExitBadSettings;
  }
  if (check) {
    std::puts("settings: ok");
    return kExitOk;
  }
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
