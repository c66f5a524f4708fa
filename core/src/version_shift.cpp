#include "savory/core/version_shift.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace savory {

namespace {

struct Stage
{
  double mShare;
  // Good answers at this stage, over all hosts, before the next stage.
  std::int64_t mMinGoodAnswers;
  // Fraction of the order's duration after which the stage ends even with fewer
  // answers.
  double mEndFraction;
};

// Sessions must not change their version in the first half of the order's
// duration. Their requests arrive at any host, so no host knows which sessions
// are new, and the target gets no requests until then. The shares grow in
// steps, as the target's caches are empty and a failing version should affect
// few requests. The last stage must show that the target bears the whole load.
constexpr std::array<Stage, 5> kStages{ {
  { 0.0, std::numeric_limits<std::int64_t>::max(), 0.51 },
  { 0.1, 12, 0.57 },
  { 0.3, 30, 0.62 },
  { 0.6, 60, 0.67 },
  { 1.0, 80, 0.8 },
} };

// Minimum length of a stage as a fraction of the order's duration. The target's
// caches need that long to adapt to the stage's traffic.
constexpr double kMinStageFraction = 0.03;

// A test for one kind of bad answer: the share of such answers that is always
// acceptable, the multiple of the baseline's share that is acceptable, and the
// distance from there to the smallest share that must be detected.
struct EvidenceModel
{
  double mAcceptableShare;
  double mMargin;
  double mMinExcess;
};

constexpr EvidenceModel kFailureModel{ 0.02, 1.3, 0.23 };

// When a good version takes over, its caches are empty and its runners' queues
// are long for a moment, so more slow answers are acceptable than failures.
constexpr EvidenceModel kSlowAnswerModel{ 0.12, 1.5, 0.25 };

// While both versions serve, about one in ten answers of either takes more than
// twice the expected time, three in four of a version that is eight times
// slower.
constexpr EvidenceModel kDelayedAnswerModel{ 0.15, 1.5, 0.35 };

// Bounds of an answer's time: a multiple of the expected time plus a slack.
constexpr double kSlowFactor = 3;
constexpr double kSlowSlackMs = 600;
constexpr double kDelayedFactor = 2;
constexpr double kDelayedSlackMs = 30;

// The log-likelihood ratio that causes a rollback. It is about ln(1/0.0003), so
// a good version is rolled back once in some thousand shifts.
constexpr double kRollbackEvidence = 8;

// Upper bound of the share of bad answers that the test assumes, as no version
// is expected to fail more often.
constexpr double kMaxBadShare = 0.9;

// Weight of one answer in the baseline's shares of failures and slow answers.
constexpr double kBaselineAnswerWeight = 0.02;

// Completion waits for the baseline's last requests up to this fraction of the
// order's duration.
constexpr double kLatestCompletionFraction = 0.85;

// Minimum length of the last stage as a fraction of the order's duration:
// versions may fail only after a while or under load.
constexpr double kMinLastStageFraction = 0.12;

// Sessions keep the baseline for this fraction of the order's duration: the
// first half, and a little longer, as hosts see the order late.
constexpr double kPinnedFraction = 0.52;

// A version without an order gets requests only after this time, since its
// order may arrive after its backend servers registered.
constexpr TimeMs kUnknownVersionDelayMs = 3000;

ShiftCounts
TotalCounts(const VersionShift& aShift)
{
  ShiftCounts total = aShift.mLocalCounts;
  for (const auto& [name, counts] : aShift.mPeerCounts) {
    total.mGood += counts.mGood;
    total.mFailed += counts.mFailed;
    total.mSlow += counts.mSlow;
    total.mPrompt += counts.mPrompt;
    total.mDelayed += counts.mDelayed;
    total.mBaselineInFlight += counts.mBaselineInFlight;
  }
  return total;
}

double
StrongestEvidence(const VersionShift& aShift)
{
  return std::max(
    { aShift.mFailedEvidence, aShift.mSlowEvidence, aShift.mDelayedEvidence });
}

void
AddEvidence(double& aEvidence,
            const EvidenceModel& aModel,
            double aBaselineShare,
            double aBad,
            double aOther)
{
  double acceptable =
    std::min(std::max(aModel.mAcceptableShare, aModel.mMargin * aBaselineShare),
             kMaxBadShare - aModel.mMinExcess);
  double unacceptable = acceptable + aModel.mMinExcess;
  aEvidence =
    std::max(0.0,
             aEvidence + aBad * std::log(unacceptable / acceptable) +
               aOther * std::log((1 - unacceptable) / (1 - acceptable)));
}

void
UpdateEvidence(VersionShift& aShift)
{
  // After completion the target is the only version left.
  if (!IsActive(aShift)) {
    return;
  }
  ShiftCounts total = TotalCounts(aShift);
  // The counts of a peer that restarted begin at zero again.
  auto grown = [](std::int64_t aNow, std::int64_t aBefore) {
    return static_cast<double>(std::max<std::int64_t>(0, aNow - aBefore));
  };
  double good = grown(total.mGood, aShift.mEvaluated.mGood);
  double failed = grown(total.mFailed, aShift.mEvaluated.mFailed);
  double slow = grown(total.mSlow, aShift.mEvaluated.mSlow);
  double prompt = grown(total.mPrompt, aShift.mEvaluated.mPrompt);
  double delayed = grown(total.mDelayed, aShift.mEvaluated.mDelayed);
  aShift.mEvaluated = total;
  AddEvidence(aShift.mFailedEvidence,
              kFailureModel,
              aShift.mBaselineFailedShare,
              failed,
              good + slow);
  AddEvidence(aShift.mSlowEvidence,
              kSlowAnswerModel,
              aShift.mBaselineSlowShare,
              slow,
              good + failed);
  AddEvidence(aShift.mDelayedEvidence,
              kDelayedAnswerModel,
              aShift.mBaselineDelayedShare,
              delayed,
              prompt);
  if (StrongestEvidence(aShift) >= kRollbackEvidence) {
    aShift.mTargetRejected = true;
  }
}

// Whether progress is of an order, also where a restored store has kept both:
// the order then has its revision in the new epoch, the progress names it by
// the old one.
bool
IsProgressOf(const ShiftProgress& aProgress, const ShiftOrder& aOrder)
{
  return aProgress.mOrderRevision == aOrder.mRevision ||
         (aProgress.mTarget == aOrder.mTarget &&
          aProgress.mOrderRevision.mRevision == aOrder.mRevision.mRevision &&
          aProgress.mOrderRevision.mEpoch < aOrder.mRevision.mEpoch);
}

// How far a shift is. A rollback is final.
double
ProgressRank(const ShiftProgress& aProgress)
{
  switch (aProgress.mState) {
    case ShiftState::InProgress:
      return aProgress.mShare;
    case ShiftState::Completed:
      return 2;
    case ShiftState::RolledBack:
      return 3;
  }
  return 0;
}

std::size_t
StageIndex(double aShare)
{
  for (std::size_t index = 0; index < kStages.size(); ++index) {
    if (aShare <= kStages[index].mShare + 1e-9) {
      return index;
    }
  }
  return kStages.size() - 1;
}

} // namespace

TimeMs
SlowAfterMs(double aExpectedMs)
{
  return static_cast<TimeMs>(kSlowFactor * aExpectedMs + kSlowSlackMs);
}

TimeMs
DelayedAfterMs(double aExpectedMs)
{
  return static_cast<TimeMs>(kDelayedFactor * aExpectedMs + kDelayedSlackMs);
}

bool
IsActive(const VersionShift& aShift)
{
  return !aShift.mProgress ||
         aShift.mProgress->mState == ShiftState::InProgress;
}

bool
ComparesDelays(const VersionShift& aShift)
{
  return IsActive(aShift) && aShift.mProgress && aShift.mProgress->mShare < 1;
}

void
ApplyOrder(VersionShifts& aShifts, const ShiftOrder& aOrder, TimeMs aNowMs)
{
  VersionShift& shift = aShifts.mShifts[aOrder.mService];
  if (shift.mOrder.mRevision >= aOrder.mRevision) {
    return;
  }
  if (aOrder.mRevision.mEpoch > shift.mOrder.mRevision.mEpoch &&
      aOrder.mTarget == shift.mOrder.mTarget &&
      aOrder.mDurationMs == shift.mOrder.mDurationMs) {
    if (shift.mProgress &&
        shift.mProgress->mOrderRevision == shift.mOrder.mRevision) {
      shift.mProgress->mOrderRevision = aOrder.mRevision;
      shift.mIsProgressLost = true;
    }
    shift.mOrder = aOrder;
    return;
  }
  std::optional<ShiftProgress> progress = shift.mProgress;
  StoreRevision revision = shift.mProgressRevision;
  shift = {};
  shift.mOrder = aOrder;
  shift.mOrderSeenMs = aNowMs;
  shift.mProgressRevision = revision;
  if (progress && IsProgressOf(*progress, aOrder)) {
    shift.mIsProgressLost = progress->mOrderRevision != aOrder.mRevision;
    shift.mProgress = progress;
    shift.mProgress->mOrderRevision = aOrder.mRevision;
    shift.mStageSeenMs = aNowMs;
  }
}

void
ApplyOrderAge(VersionShift& aShift, TimeMs aAgeMs, TimeMs aNowMs)
{
  TimeMs age = std::clamp<TimeMs>(aAgeMs, 0, aShift.mOrder.mDurationMs);
  aShift.mOrderSeenMs = std::min(aShift.mOrderSeenMs, aNowMs - age);
}

void
ApplyProgress(VersionShifts& aShifts,
              const std::string& aService,
              const ShiftProgress& aProgress,
              const StoreRevision& aRevision,
              TimeMs aNowMs)
{
  VersionShift& shift = aShifts.mShifts[aService];
  if (aRevision <= shift.mProgressRevision) {
    return;
  }
  shift.mProgressRevision = aRevision;
  // Progress of the order that the operator wrote again may arrive before it.
  bool isOfOrder =
    IsProgressOf(aProgress, shift.mOrder) ||
    (aProgress.mTarget == shift.mOrder.mTarget &&
     aProgress.mOrderRevision.mEpoch > shift.mOrder.mRevision.mEpoch);
  if (shift.mOrder.mRevision > aProgress.mOrderRevision && !isOfOrder) {
    return;
  }
  shift.mIsProgressLost = false;
  if (aRevision.mEpoch > 0 && shift.mProgress && isOfOrder &&
      shift.mProgress->mOrderRevision == shift.mOrder.mRevision) {
    shift.mIsProgressLost =
      aProgress.mOrderRevision != shift.mOrder.mRevision ||
      ProgressRank(aProgress) < ProgressRank(*shift.mProgress);
    if (ProgressRank(aProgress) <= ProgressRank(*shift.mProgress)) {
      return;
    }
  }
  bool newStage = !shift.mProgress ||
                  shift.mProgress->mShare != aProgress.mShare ||
                  shift.mProgress->mOrderRevision != aProgress.mOrderRevision;
  shift.mProgress = aProgress;
  if (isOfOrder) {
    shift.mProgress->mOrderRevision = shift.mOrder.mRevision;
  }
  if (newStage) {
    shift.mStageSeenMs = aNowMs;
    shift.mStageStartCounts = TotalCounts(shift);
  }
  if (aProgress.mState == ShiftState::Completed) {
    aShifts.mStableVersions[aService] = { aProgress.mTarget };
    // No baseline is left, so this host's own evidence against the target no
    // longer applies.
    shift.mTargetRejected = false;
  } else if (aProgress.mState == ShiftState::RolledBack) {
    shift.mTargetRejected = true;
  }
}

void
OnProgressRestored(VersionShift& aShift,
                   const std::optional<ShiftProgress>& aStored,
                   const StoreRevision& aRevision)
{
  aShift.mProgressRevision = aRevision;
  if (aShift.mProgress) {
    aShift.mIsProgressLost =
      !aStored || aStored->mOrderRevision != aShift.mProgress->mOrderRevision ||
      ProgressRank(*aStored) < ProgressRank(*aShift.mProgress);
  }
}

void
OnTargetAnswer(VersionShift& aShift, AnswerResult aResult)
{
  aShift.mLocalCounts.mGood += aResult == AnswerResult::Good;
  aShift.mLocalCounts.mFailed += aResult == AnswerResult::Failed;
  aShift.mLocalCounts.mSlow += aResult == AnswerResult::Slow;
  UpdateEvidence(aShift);
}

void
OnBaselineAnswer(VersionShift& aShift, AnswerResult aResult)
{
  aShift.mBaselineFailedShare +=
    kBaselineAnswerWeight *
    ((aResult == AnswerResult::Failed) - aShift.mBaselineFailedShare);
  aShift.mBaselineSlowShare +=
    kBaselineAnswerWeight *
    ((aResult == AnswerResult::Slow) - aShift.mBaselineSlowShare);
}

void
OnTargetDelay(VersionShift& aShift, bool aIsDelayed)
{
  aShift.mLocalCounts.mPrompt += !aIsDelayed;
  aShift.mLocalCounts.mDelayed += aIsDelayed;
  UpdateEvidence(aShift);
}

void
OnBaselineDelay(VersionShift& aShift, bool aIsDelayed)
{
  aShift.mBaselineDelayedShare +=
    kBaselineAnswerWeight * (aIsDelayed - aShift.mBaselineDelayedShare);
}

void
MergePeerCounts(VersionShift& aShift,
                const std::string& aPeer,
                const ShiftCounts& aCounts)
{
  aShift.mPeerCounts[aPeer] = aCounts;
  UpdateEvidence(aShift);
}

std::optional<ShiftProgress>
AdvanceShift(VersionShift& aShift, TimeMs aNowMs)
{
  if (aShift.mOrder.mTarget.empty()) {
    return std::nullopt;
  }
  bool isRolledBack = aShift.mTargetRejected && IsActive(aShift);
  if (aShift.mIsProgressLost && aShift.mProgress && !isRolledBack) {
    return aShift.mProgress;
  }
  if (!IsActive(aShift)) {
    return std::nullopt;
  }
  ShiftProgress next;
  next.mTarget = aShift.mOrder.mTarget;
  next.mOrderRevision = aShift.mOrder.mRevision;
  if (aShift.mProgress) {
    next.mOrderedWallMs = aShift.mProgress->mOrderedWallMs;
  }
  if (aShift.mTargetRejected) {
    next.mState = ShiftState::RolledBack;
    return next;
  }
  if (!aShift.mProgress) {
    next.mShare = kStages[0].mShare;
    return next;
  }
  auto duration = static_cast<double>(aShift.mOrder.mDurationMs);
  auto elapsed = static_cast<double>(aNowMs - aShift.mOrderSeenMs);
  auto stageElapsed = static_cast<double>(aNowMs - aShift.mStageSeenMs);
  ShiftCounts total = TotalCounts(aShift);
  std::size_t index = StageIndex(aShift.mProgress->mShare);
  std::int64_t answers = total.mGood - aShift.mStageStartCounts.mGood;
  // Evidence that does not suffice for a rollback still delays the next stage.
  bool clean = StrongestEvidence(aShift) < kRollbackEvidence / 2;
  bool enough = answers >= kStages[index].mMinGoodAnswers &&
                stageElapsed >= kMinStageFraction * duration;
  if (!clean || (!enough && elapsed < kStages[index].mEndFraction * duration)) {
    return std::nullopt;
  }
  if (index + 1 < kStages.size()) {
    next.mShare = kStages[index + 1].mShare;
    return next;
  }
  if (stageElapsed < kMinLastStageFraction * duration ||
      (total.mBaselineInFlight > 0 &&
       elapsed < kLatestCompletionFraction * duration)) {
    return std::nullopt;
  }
  next.mState = ShiftState::Completed;
  next.mShare = 1;
  return next;
}

bool
UsesTarget(const VersionShift& aShift, double aPoint)
{
  return !aShift.mTargetRejected && aShift.mProgress &&
         aShift.mProgress->mState != ShiftState::RolledBack &&
         aShift.mProgress->mOrderRevision == aShift.mOrder.mRevision &&
         aPoint < aShift.mProgress->mShare;
}

void
OnSessionRequest(SessionTable& aSessions,
                 const std::string& aService,
                 const std::string& aSession,
                 const std::string& aVersion,
                 TimeMs aKeepMs,
                 TimeMs aNowMs)
{
  aSessions.mUses[{ aService, aSession }] = { aVersion, aNowMs };
  if (aNowMs - aSessions.mLastSweepMs >= aKeepMs) {
    aSessions.mLastSweepMs = aNowMs;
    std::erase_if(aSessions.mUses, [&](const auto& aRow) {
      return aNowMs - aRow.second.mLastEndedMs > aKeepMs;
    });
  }
}

std::optional<std::string>
PinnedVersion(const VersionShifts& aShifts,
              const SessionTable& aSessions,
              const std::string& aService,
              const std::string& aSession,
              TimeMs aKeepMs,
              TimeMs aNowMs)
{
  auto shift = aShifts.mShifts.find(aService);
  auto use = aSessions.mUses.find({ aService, aSession });
  if (shift == aShifts.mShifts.end() || use == aSessions.mUses.end() ||
      aNowMs - use->second.mLastEndedMs > aKeepMs) {
    return std::nullopt;
  }
  const VersionShift& state = shift->second;
  bool isTarget = use->second.mVersion == state.mOrder.mTarget;
  bool rolledBack =
    state.mTargetRejected ||
    (state.mProgress && state.mProgress->mState == ShiftState::RolledBack);
  bool firstHalf =
    static_cast<double>(aNowMs - state.mOrderSeenMs) <
    kPinnedFraction * static_cast<double>(state.mOrder.mDurationMs);
  if (isTarget ? !rolledBack : firstHalf) {
    return use->second.mVersion;
  }
  return std::nullopt;
}

bool
AllowsVersion(const VersionShifts& aShifts,
              const RunnerState& aRunner,
              double aPoint,
              bool aFallback,
              TimeMs aNowMs)
{
  const std::string& service = aRunner.mRegistration.mService;
  const std::string& version = aRunner.mRegistration.mVersion;
  auto found = aShifts.mShifts.find(service);
  if (found != aShifts.mShifts.end() && !found->second.mOrder.mTarget.empty()) {
    const VersionShift& shift = found->second;
    bool isTarget = version == shift.mOrder.mTarget;
    if (isTarget && (shift.mTargetRejected || !shift.mProgress ||
                     shift.mProgress->mState == ShiftState::RolledBack)) {
      return false;
    }
    return aFallback || isTarget == UsesTarget(shift, aPoint);
  }
  auto stable = aShifts.mStableVersions.find(service);
  return stable == aShifts.mStableVersions.end() ||
         stable->second.contains(version) ||
         aNowMs - aRunner.mFirstSeenMs >= kUnknownVersionDelayMs;
}

} // namespace savory
