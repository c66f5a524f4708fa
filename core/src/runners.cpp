#include "savory/core/runners.h"

#include "paced_placement.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace savory {

namespace {

// A part counts as cached for this long after its last use. Engines evict the
// least recently used parts, and their caches hold about that much traffic.
constexpr TimeMs kCacheTtlMs = 20000;

// Initial and maximum backoff after failed connections. A crashed runner is
// back after some seconds, and an attempt that is refused costs little.
constexpr TimeMs kInitialBackoffMs = 250;
constexpr TimeMs kMaxBackoffMs = 4000;

// Half-life of the error rate, so that a recovered runner is used again, and
// the weight of one outcome.
constexpr double kErrorHalfLifeMs = 3000;
constexpr double kErrorWeight = 0.25;

// Cost of a failure in milliseconds of waiting: the request restarts at another
// runner. It is weighted by the error rate.
constexpr double kFailureCostMs = 1500;

// The store executes a write whose answer was lost at most this much later.
constexpr TimeMs kLateReportMs = 15000;

// Load reports older than this are ignored.
constexpr TimeMs kMaxReportAgeMs = 1000;

// How long after a runner's last statement of its slowdown its service counts
// as paced.
constexpr TimeMs kPacedMs = 30000;

// Weight of one statement in the mean slowdown of a service's runners.
constexpr double kMeanSlowdownWeight = 0.02;

// Cost of a request to another availability zone in milliseconds of waiting:
// per KiB of its body, and a fixed part.
constexpr double kCrossZoneMsPerKiB = 1.0;
constexpr double kCrossZoneMs = 3.0;

// Milliseconds by which each running request delays the first event: a running
// stream slows the others by about this part of a step.
constexpr double kRunningCostMs = 0.3;

// The fraction of kRecomputeMsPerToken that applies to shared tokens not known
// to be cached: at the first choice of the rendezvous order, at the second and
// at other runners. Hosts that do not know yet where a part is cached thus send
// it to the same runner.
constexpr double kFirstChoiceWeight = 0.2;
constexpr double kSecondChoiceWeight = 0.6;
constexpr double kOtherRunnerWeight = 1.0;

// Upper limits of the prefill time for each priority from 0 on.
constexpr std::array<double, 5> kPrefillPriorityLimitsMs{ 40,
                                                          120,
                                                          300,
                                                          700,
                                                          1500 };

// Cost of recomputing a shared token in milliseconds of waiting, beside the
// prefill itself: it delays all streams of the engine and evicts shared parts
// from its cache. Without this cost, small models, whose prefill is fast,
// spread their prompts over the fleet.
constexpr double kRecomputeMsPerToken = 0.02;

// Number of parts recorded as cached at one runner above which expired ones are
// removed, and the maximum number of its parts in one gossip message to peers.
constexpr std::size_t kMaxCachedParts = 4096;
constexpr std::size_t kMaxUnreportedParts = 256;

// Shorter parts are not reported to peers, as their prefill takes only a few
// milliseconds.
constexpr std::int64_t kMinReportedTokens = 512;

bool
IsLive(const RunnerState& aRunner)
{
  return !aRunner.mRemoved && !aRunner.mRegistration.mDraining &&
         !aRunner.mLeaving;
}

// Whether a runner may serve the request at some time: it is of the service, in
// use and of a version that the request allows.
bool
IsCandidate(const RunnerSet& aSet,
            const RunnerState& aRunner,
            const PlacementRequest& aRequest)
{
  const Registration& registration = aRunner.mRegistration;
  return registration.mService == aRequest.mService && IsLive(aRunner) &&
         !aSet.mEvacuatedZones.contains(registration.mZone) &&
         (!aRequest.mAllowsRunner || aRequest.mAllowsRunner(aRunner));
}

// The minimum interval between two requests of this host to a cold runner, such
// that all hosts together stay within its allowance.
double
ColdIntervalMs(const RunnerSet& aSet, const ServiceInfo* aService)
{
  if (!aService || aService->mColdPerSecond <= 0) {
    return 0;
  }
  return 1000.0 * std::max(1, aSet.mEntryHosts) / aService->mColdPerSecond;
}

// Whether this host may send a request to a cold runner now. All hosts learn of
// the runner at the same time, so each starts at its own phase of the interval.
bool
MaySendCold(const RunnerSet& aSet,
            const RunnerState& aRunner,
            double aIntervalMs,
            TimeMs aNowMs)
{
  constexpr double kScale = 18446744073709551616.0;
  double phase = static_cast<double>(RendezvousRank(
                   XXH3_64bits(aSet.mHost.data(), aSet.mHost.size()),
                   aRunner.mRegistration.mId)) /
                 kScale;
  return static_cast<double>(aNowMs - aRunner.mLastColdSendMs) >= aIntervalMs &&
         static_cast<double>(aNowMs - aRunner.mColdSinceMs) >=
           phase * aIntervalMs;
}

void
ExpireCachedParts(RunnerState& aRunner, TimeMs aNowMs)
{
  if (aRunner.mCache.mParts.size() > kMaxCachedParts) {
    std::erase_if(aRunner.mCache.mParts, [aNowMs](const auto& aRow) {
      return aNowMs - aRow.second.mUsedMs >= kCacheTtlMs;
    });
  }
}

std::uint64_t
MakeAffinityKey(const PlacementRequest& aRequest)
{
  return aRequest.mSharedParts.empty()
           ? 0
           : PrefixCacheKey(aRequest.mModel, aRequest.mSharedParts.back().mId);
}

// The cost of sending the request to the runner's zone, in milliseconds of
// waiting.
double
CrossZoneCostMs(const Registration& aRegistration,
                const PlacementRequest& aRequest)
{
  return aRegistration.mZone == aRequest.mZone
           ? 0
           : kCrossZoneMs + kCrossZoneMsPerKiB *
                              static_cast<double>(aRequest.mBodyBytes) / 1024;
}

} // namespace

std::uint64_t
PrefixCacheKey(std::string_view aModel, std::uint64_t aPart)
{
  return XXH3_64bits_withSeed(aModel.data(), aModel.size(), aPart);
}

ServerProcess
ToProcess(const Registration& aRegistration)
{
  return { aRegistration.mId, aRegistration.mStartedWallMs };
}

std::uint64_t
RendezvousRank(std::uint64_t aKey, std::string_view aRunner)
{
  return XXH3_64bits_withSeed(aRunner.data(), aRunner.size(), aKey);
}

bool
IsLateReport(const RunnerSet& aSet,
             const Registration& aRegistration,
             TimeMs aNowMs)
{
  ServerProcess process = ToProcess(aRegistration);
  if (process.second == 0 || aRegistration.mDraining) {
    return false;
  }
  auto known = aSet.mRunners.find(process.first);
  if (known != aSet.mRunners.end() &&
      ToProcess(known->second.mRegistration) == process) {
    return aNowMs - known->second.mRegisteredMs < kLateReportMs &&
           aRegistration.mSequence < known->second.mRegistration.mSequence;
  }
  auto departure = aSet.mDepartures.find(process);
  return departure != aSet.mDepartures.end() &&
         aRegistration.mSequence < departure->second.mSequence;
}

bool
ApplyRegistration(RunnerSet& aSet,
                  const Registration& aRegistration,
                  const StoreRevision& aRevision,
                  TimeMs aNowMs)
{
  if (IsLateReport(aSet, aRegistration, aNowMs)) {
    return false;
  }
  auto [found, isNew] = aSet.mRunners.try_emplace(aRegistration.mId);
  RunnerState& runner = found->second;
  if (!isNew && aRevision < runner.mRevision) {
    return false;
  }
  const Registration old = runner.mRegistration;
  bool restarted =
    !isNew && (old.mAddress != aRegistration.mAddress ||
               old.mService != aRegistration.mService ||
               (old.mStartedWallMs != 0 && aRegistration.mStartedWallMs != 0 &&
                old.mStartedWallMs != aRegistration.mStartedWallMs));
  if (restarted) {
    int inFlight = runner.mInFlight;
    runner = {};
    runner.mInFlight = inFlight;
  }
  if (isNew || restarted) {
    runner.mFirstSeenMs = aNowMs;
    runner.mLeaving =
      HasDrainNotice(aSet.mDrainNotices, ToProcess(aRegistration));
  }
  bool changed =
    isNew || restarted || runner.mRemoved || runner.mGraceUntilMs ||
    old.mDraining != aRegistration.mDraining ||
    old.mVersion != aRegistration.mVersion ||
    (old.mColdRemainingMs > 0) != (aRegistration.mColdRemainingMs > 0);
  runner.mRegistration = aRegistration;
  runner.mRevision = aRevision;
  runner.mRegisteredMs = aNowMs;
  runner.mRemoved = false;
  runner.mGraceUntilMs.reset();
  if (aRegistration.mColdRemainingMs > 0) {
    if (aNowMs >= runner.mColdUntilMs) {
      runner.mColdSinceMs = aNowMs;
    }
    runner.mColdUntilMs = aNowMs + aRegistration.mColdRemainingMs;
  } else if (aNowMs >= runner.mColdUntilMs) {
    runner.mColdUntilMs = 0;
  }
  return changed;
}

bool
RemoveRegistration(RunnerSet& aSet,
                   const std::string& aId,
                   std::optional<TimeMs> aGraceUntilMs)
{
  auto found = aSet.mRunners.find(aId);
  if (found == aSet.mRunners.end() || found->second.mRemoved) {
    return false;
  }
  if (aGraceUntilMs) {
    if (!found->second.mGraceUntilMs) {
      found->second.mGraceUntilMs = aGraceUntilMs;
    }
  } else {
    found->second.mRemoved = true;
  }
  return true;
}

bool
OnDrainNotice(RunnerSet& aSet, const ServerProcess& aProcess, TimeMs aNowMs)
{
  bool isNew = false;
  auto found = aSet.mRunners.find(aProcess.first);
  if (found != aSet.mRunners.end() &&
      ToProcess(found->second.mRegistration) == aProcess) {
    isNew = !std::exchange(found->second.mLeaving, true);
  }
  return AddDrainNotice(aSet.mDrainNotices, aProcess, aNowMs) || isNew;
}

RunnerHintCounts
CountRunnerHints(const RunnerSet& aSet, TimeMs aNowMs)
{
  RunnerHintCounts counts;
  for (const auto& [id, runner] : aSet.mRunners) {
    counts.mLeaving += runner.mLeaving;
    counts.mBackedOff += IsBackedOff(runner.mBackpressure, aNowMs);
  }
  return counts;
}

std::vector<std::string>
PruneRunners(RunnerSet& aSet, TimeMs aNowMs)
{
  std::vector<std::string> removed;
  for (auto next = aSet.mRunners.begin(); next != aSet.mRunners.end();) {
    RunnerState& runner = next->second;
    if (runner.mGraceUntilMs && aNowMs >= *runner.mGraceUntilMs) {
      runner.mGraceUntilMs.reset();
      runner.mRemoved = true;
      removed.push_back(next->first);
    }
    if (runner.mRemoved && runner.mInFlight == 0) {
      aSet.mDepartures[ToProcess(runner.mRegistration)] = {
        runner.mRegistration.mSequence, aNowMs
      };
      next = aSet.mRunners.erase(next);
    } else {
      ++next;
    }
  }
  std::erase_if(aSet.mDepartures, [aNowMs](const auto& aRow) {
    return aNowMs - aRow.second.mRemovedMs >= kLateReportMs;
  });
  return removed;
}

double
ErrorRate(const RunnerState& aRunner, TimeMs aNowMs)
{
  double age = static_cast<double>(aNowMs - aRunner.mErrorUpdatedMs);
  return aRunner.mErrorRate * std::exp2(-age / kErrorHalfLifeMs);
}

void
OnRequestOutcome(RunnerState& aRunner, RunnerOutcome aOutcome, TimeMs aNowMs)
{
  bool failed =
    aOutcome != RunnerOutcome::Success && aOutcome != RunnerOutcome::Refused;
  aRunner.mErrorRate = ErrorRate(aRunner, aNowMs) * (1 - kErrorWeight) +
                       (failed ? kErrorWeight : 0);
  aRunner.mErrorUpdatedMs = aNowMs;
  if (aOutcome == RunnerOutcome::Unreachable) {
    TimeMs backoff = kInitialBackoffMs << std::min(aRunner.mConnectFailures, 4);
    aRunner.mBlockedUntilMs = aNowMs + std::min(backoff, kMaxBackoffMs);
    ++aRunner.mConnectFailures;
  } else if (aOutcome == RunnerOutcome::Success ||
             aOutcome == RunnerOutcome::Failure) {
    aRunner.mConnectFailures = 0;
    aRunner.mBlockedUntilMs = 0;
  }
}

void
OnLoadReport(RunnerState& aRunner, int aRunning, int aWaiting, TimeMs aNowMs)
{
  aRunner.mReportedRunning = aRunning;
  aRunner.mReportedWaiting = aWaiting;
  aRunner.mReportedMs = aNowMs;
}

void
OnSlowdownReport(RunnerSet& aSet,
                 RunnerState& aRunner,
                 double aSlowdown,
                 TimeMs aNowMs)
{
  aRunner.mSlowdown = aSlowdown;
  aRunner.mSlowdownMs = aNowMs;
  double& mean =
    aSet.mMeanSlowdowns.try_emplace(aRunner.mRegistration.mService, 1)
      .first->second;
  mean += kMeanSlowdownWeight * (aSlowdown - mean);
  aRunner.mMeanSlowdown = mean;
  aSet.mPacedUntilMs[aRunner.mRegistration.mService] = aNowMs + kPacedMs;
}

bool
IsPaced(const RunnerSet& aSet, const std::string& aService, TimeMs aNowMs)
{
  auto found = aSet.mPacedUntilMs.find(aService);
  return aSet.mUnequalGoals.contains(aService) ||
         (found != aSet.mPacedUntilMs.end() && aNowMs < found->second);
}

void
OnRestart(RunnerState& aRunner, TimeMs aColdStartMs, TimeMs aNowMs)
{
  aRunner.mCache = {};
  if (aNowMs >= aRunner.mColdUntilMs) {
    aRunner.mColdSinceMs = aNowMs;
  }
  aRunner.mColdUntilMs = std::max(aRunner.mColdUntilMs, aNowMs + aColdStartMs);
}

tl::expected<Placement, PlacementFailure>
PlaceRequest(const RunnerSet& aSet,
             const RouteTable& aTable,
             const PlacementRequest& aRequest,
             TimeMs aNowMs)
{
  const ServiceInfo* service = FindService(aTable, aRequest.mService);
  double coldInterval = ColdIntervalMs(aSet, service);
  std::uint64_t affinityKey = MakeAffinityKey(aRequest);

  // The reason of the ineligible runner that passed the most checks.
  PlacementFailure failure = PlacementFailure::NoRunner;
  auto reject = [&failure](PlacementFailure aReason) {
    failure = std::max(failure, aReason);
  };
  std::vector<const RunnerState*> eligible;
  for (const auto& [id, runner] : aSet.mRunners) {
    if (!IsCandidate(aSet, runner, aRequest)) {
      continue;
    }
    if (aRequest.mTriedRunners.contains(id)) {
      reject(PlacementFailure::AllTried);
      continue;
    }
    if (aNowMs < runner.mBlockedUntilMs) {
      reject(PlacementFailure::AllBlocked);
      continue;
    }
    if (runner.mInFlight >= InFlightLimit(runner.mBackpressure, aNowMs)) {
      reject(PlacementFailure::AllBackedOff);
      continue;
    }
    if (aNowMs < runner.mColdUntilMs &&
        !MaySendCold(aSet, runner, coldInterval, aNowMs)) {
      reject(PlacementFailure::AllCold);
      continue;
    }
    eligible.push_back(&runner);
  }
  if (eligible.empty()) {
    return tl::unexpected(failure);
  }

  // The first and the second choice for the shared parts.
  std::uint64_t first = 0;
  std::uint64_t second = 0;
  std::vector<std::uint64_t> ranks;
  for (const RunnerState* runner : eligible) {
    std::uint64_t rank = RendezvousRank(affinityKey, runner->mRegistration.mId);
    ranks.push_back(rank);
    if (rank > first) {
      second = std::exchange(first, rank);
    } else if (rank > second) {
      second = rank;
    }
  }

  if (IsPaced(aSet, aRequest.mService, aNowMs)) {
    std::vector<PacedRunner> runners;
    for (std::size_t index = 0; index < eligible.size(); ++index) {
      const RunnerState& runner = *eligible[index];
      Affinity affinity = Affinity::Other;
      if (ranks[index] == first) {
        affinity = Affinity::First;
      } else if (ranks[index] == second) {
        affinity = Affinity::Second;
      }
      runners.push_back({ &runner,
                          affinity,
                          kFailureCostMs * ErrorRate(runner, aNowMs) +
                            CrossZoneCostMs(runner.mRegistration, aRequest) });
    }
    return PlacePaced(aSet, service, aRequest, runners, aNowMs);
  }

  Placement best;
  double bestScore = 0;
  for (std::size_t index = 0; index < eligible.size(); ++index) {
    const RunnerState* runner = eligible[index];
    const Registration& registration = runner->mRegistration;
    double uncachedWeight = kOtherRunnerWeight;
    if (ranks[index] == first) {
      uncachedWeight = kFirstChoiceWeight;
    } else if (ranks[index] == second) {
      uncachedWeight = kSecondChoiceWeight;
    }
    double uncachedShared = 0;
    for (const PromptPart& part : aRequest.mSharedParts) {
      auto cached =
        runner->mCache.mParts.find(PrefixCacheKey(aRequest.mModel, part.mId));
      bool isCached = cached != runner->mCache.mParts.end() &&
                      aNowMs - cached->second.mUsedMs < kCacheTtlMs;
      uncachedShared += isCached ? 0 : static_cast<double>(part.mTokens);
    }
    double uncached =
      static_cast<double>(aRequest.mUnsharedTokens) + uncachedShared;
    double prefillMs = uncached * aRequest.mMsPerToken;
    bool reported = aNowMs - runner->mReportedMs < kMaxReportAgeMs;
    int running =
      std::max(runner->mInFlight, reported ? runner->mReportedRunning : 0);
    int waiting = reported ? runner->mReportedWaiting : 0;
    if (running + waiting >= registration.mSlots && aRequest.mModel.empty()) {
      waiting += running - registration.mSlots + 1;
    }
    double queueMs = EstimateQueueMs(runner->mPrefillQueue, aNowMs) +
                     kRunningCostMs * running + aRequest.mFixedMs * waiting;
    double expected =
      (aRequest.mFixedMs + prefillMs + queueMs) * runner->mLatencyRatio;
    double score = expected + kFailureCostMs * ErrorRate(*runner, aNowMs);
    score += kRecomputeMsPerToken * uncachedWeight * uncachedShared;
    score += CrossZoneCostMs(registration, aRequest);
    if (aNowMs < runner->mColdUntilMs) {
      score *= 2;
    }
    if (best.mRunner.empty() || score < bestScore) {
      bestScore = score;
      best = { registration.mId,
               expected,
               prefillMs,
               queueMs,
               static_cast<std::int64_t>(uncached) };
    }
  }
  return best;
}

std::optional<TimeMs>
EarliestReturnMs(const RunnerSet& aSet,
                 const PlacementRequest& aRequest,
                 TimeMs aNowMs)
{
  std::optional<TimeMs> earliest;
  for (const auto& [id, runner] : aSet.mRunners) {
    if (!IsCandidate(aSet, runner, aRequest)) {
      continue;
    }
    TimeMs returns =
      std::max(runner.mBlockedUntilMs, runner.mBackpressure.mReturnMs);
    // Any other reason may end at any moment.
    returns = std::max(returns, aNowMs);
    earliest = earliest ? std::min(*earliest, returns) : returns;
  }
  return earliest;
}

void
OnRequestSent(RunnerState& aRunner,
              const PlacementRequest& aRequest,
              double aPrefillMs,
              std::uint64_t aLocalId,
              TimeMs aNowMs)
{
  ++aRunner.mInFlight;
  ExpirePeerPrefills(aRunner.mPrefillQueue, aNowMs);
  AddPrefill(aRunner.mPrefillQueue, { aNowMs, aPrefillMs, aLocalId });
  aRunner.mUnreportedPrefillMs += aPrefillMs;
  aRunner.mCache.mReadMs += aPrefillMs;
  if (aRequest.mMsPerToken > 0) {
    aRunner.mReadMs += aPrefillMs;
    aRunner.mReadTokens += aPrefillMs / aRequest.mMsPerToken;
  }
  if (aNowMs < aRunner.mColdUntilMs) {
    aRunner.mLastColdSendMs = aNowMs;
  }
  ExpireCachedParts(aRunner, aNowMs);
  for (const PromptPart& part : aRequest.mSharedParts) {
    std::uint64_t key = PrefixCacheKey(aRequest.mModel, part.mId);
    TouchPart(aRunner.mCache, key, aNowMs);
    if (part.mTokens >= kMinReportedTokens &&
        aRunner.mUnreportedParts.size() < kMaxUnreportedParts) {
      aRunner.mUnreportedParts.push_back(key);
    }
  }
}

void
MergePeerPrefill(RunnerState& aRunner,
                 double aPrefillMs,
                 const std::vector<std::uint64_t>& aParts,
                 TimeMs aNowMs)
{
  ExpireCachedParts(aRunner, aNowMs);
  for (std::uint64_t key : aParts) {
    TouchPart(aRunner.mCache, key, aNowMs);
  }
  if (aPrefillMs > 0) {
    aRunner.mCache.mReadMs += aPrefillMs;
    ExpirePeerPrefills(aRunner.mPrefillQueue, aNowMs);
    AddPrefill(aRunner.mPrefillQueue, { aNowMs, aPrefillMs, 0 });
  }
}

int
PrefillPriority(double aPrefillMs)
{
  const auto* row =
    std::find_if(kPrefillPriorityLimitsMs.begin(),
                 kPrefillPriorityLimitsMs.end(),
                 [aPrefillMs](double aLimit) { return aPrefillMs < aLimit; });
  return static_cast<int>(row - kPrefillPriorityLimitsMs.begin());
}

} // namespace savory
