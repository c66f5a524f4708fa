#include "savory/core/version_shift.h"

#include <algorithm>
#include <cmath>

namespace savory {

namespace {

struct Stage
{
  double mShare;
  // Good answers at this stage, over all hosts, before the next one.
  std::int64_t mAnswers;
};

// A small share first: few requests meet a version that fails at once, and few
// sessions change their version when the shift begins. The last
// stage must show that the version holds under the whole load.
constexpr std::array<Stage, 3> kStages{ {
  { 0.04, 10 },
  { 0.4, 30 },
  { 1.0, 80 },
} };

// Sessions must not change their version in the first half of the time, so
// the first stage lasts that long.
constexpr double kFirstStagePart = 0.51;

// Part of the time ordered after which a stage ends although few answers came,
// for each stage in turn.
constexpr std::array<double, 3> kStageEnds{ 0.55, 0.66, 0.8 };

// Share of failures of a sound version, and of the least bad one that must be
// found; evidence for a roll-back is about ln(1/0.0003), so that a good version
// is rolled back once in some thousand times.
constexpr double kGoodFailures = 0.02;
constexpr double kBadFailures = 0.25;
constexpr double kStopEvidence = 8;

// A version may fail this much more often than the old one before it counts as
// worse, and no version is expected to fail more often than this.
constexpr double kFailureMargin = 1.3;
constexpr double kMaxBadFailures = 0.9;

// Weight of one answer in the old version's share of failures.
constexpr double kOldWeight = 0.02;

// The old version's last requests are waited for up to this part of the time.
constexpr double kLatestCompletion = 0.85;

// Share of the load that must have passed at the last stage, as a part of the
// time ordered: versions may fail only after a while or under load.
constexpr double kLeastLastStage = 0.12;

// Sessions stay with the old version through the first half of the time
// ordered, and a little longer, as hosts see the order late.
constexpr double kPinnedPart = 0.52;

// A version that no order names is used only after this time, since its order
// may arrive after its backend servers.
constexpr TimeMs kUnknownVersionMs = 3000;

ShiftCounts
TotalCounts(const VersionShift& aShift)
{
  ShiftCounts total = aShift.mOwn;
  for (const auto& [name, counts] : aShift.mPeers) {
    total.mGood += counts.mGood;
    total.mBad += counts.mBad;
    total.mOldInFlight += counts.mOldInFlight;
  }
  return total;
}

bool
IsActive(const VersionShift& aShift)
{
  return !aShift.mProgress ||
         aShift.mProgress->mState == ShiftState::InProgress;
}

void
Judge(VersionShift& aShift)
{
  // A version that took over is the only one there is.
  if (!IsActive(aShift)) {
    return;
  }
  ShiftCounts total = TotalCounts(aShift);
  // A peer that restarted counts from zero again.
  auto good = std::max<std::int64_t>(0, total.mGood - aShift.mJudged.mGood);
  auto bad = std::max<std::int64_t>(0, total.mBad - aShift.mJudged.mBad);
  aShift.mJudged = total;
  double goodRate =
    std::max(kGoodFailures, kFailureMargin * aShift.mOldFailures);
  double badRate =
    std::min(kMaxBadFailures, goodRate + kBadFailures - kGoodFailures);
  aShift.mEvidence +=
    static_cast<double>(bad) * std::log(badRate / goodRate) +
    static_cast<double>(good) * std::log((1 - badRate) / (1 - goodRate));
  aShift.mEvidence = std::max(0.0, aShift.mEvidence);
  if (aShift.mEvidence >= kStopEvidence) {
    aShift.mCondemned = true;
  }
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

void
ApplyOrder(VersionShifts& aShifts, const ShiftOrder& aOrder, TimeMs aNowMs)
{
  VersionShift& shift = aShifts.mShifts[aOrder.mService];
  if (shift.mOrder.mRevision >= aOrder.mRevision) {
    return;
  }
  std::optional<ShiftProgress> progress = shift.mProgress;
  std::int64_t revision = shift.mProgressRevision;
  shift = {};
  shift.mOrder = aOrder;
  shift.mOrderSeenMs = aNowMs;
  shift.mProgressRevision = revision;
  if (progress && progress->mOrderRevision == aOrder.mRevision) {
    shift.mProgress = progress;
    shift.mStageSeenMs = aNowMs;
  }
}

void
NoteOrderAge(VersionShift& aShift, TimeMs aAgeMs, TimeMs aNowMs)
{
  TimeMs age = std::clamp<TimeMs>(aAgeMs, 0, aShift.mOrder.mDurationMs);
  aShift.mOrderSeenMs = std::min(aShift.mOrderSeenMs, aNowMs - age);
}

void
ApplyProgress(VersionShifts& aShifts,
              const std::string& aService,
              const ShiftProgress& aProgress,
              std::int64_t aRevision,
              TimeMs aNowMs)
{
  VersionShift& shift = aShifts.mShifts[aService];
  if (aRevision <= shift.mProgressRevision) {
    return;
  }
  shift.mProgressRevision = aRevision;
  if (shift.mOrder.mRevision > aProgress.mOrderRevision) {
    return;
  }
  bool newStage = !shift.mProgress ||
                  shift.mProgress->mShare != aProgress.mShare ||
                  shift.mProgress->mOrderRevision != aProgress.mOrderRevision;
  shift.mProgress = aProgress;
  if (newStage) {
    shift.mStageSeenMs = aNowMs;
    shift.mStageStart = TotalCounts(shift);
  }
  if (aProgress.mState == ShiftState::Completed) {
    aShifts.mEstablished[aService] = { aProgress.mTarget };
    // The old version is gone; doubts of this host alone no longer count.
    shift.mCondemned = false;
  } else if (aProgress.mState == ShiftState::RolledBack) {
    shift.mCondemned = true;
  }
}

void
NoteTargetAnswer(VersionShift& aShift, bool aGood)
{
  ++(aGood ? aShift.mOwn.mGood : aShift.mOwn.mBad);
  Judge(aShift);
}

void
NoteOldAnswer(VersionShift& aShift, bool aGood)
{
  aShift.mOldFailures += kOldWeight * ((aGood ? 0 : 1) - aShift.mOldFailures);
}

void
NotePeerCounts(VersionShift& aShift,
               const std::string& aPeer,
               const ShiftCounts& aCounts)
{
  aShift.mPeers[aPeer] = aCounts;
  Judge(aShift);
}

std::optional<ShiftProgress>
DecideShift(VersionShift& aShift, TimeMs aNowMs)
{
  if (aShift.mOrder.mTarget.empty() || !IsActive(aShift)) {
    return std::nullopt;
  }
  ShiftProgress next;
  next.mTarget = aShift.mOrder.mTarget;
  next.mOrderRevision = aShift.mOrder.mRevision;
  if (aShift.mProgress) {
    next.mOrderedWallMs = aShift.mProgress->mOrderedWallMs;
  }
  if (aShift.mCondemned) {
    next.mState = ShiftState::RolledBack;
    return next;
  }
  if (!aShift.mProgress) {
    next.mShare = kStages[0].mShare;
    return next;
  }
  auto duration = static_cast<double>(aShift.mOrder.mDurationMs);
  auto elapsed = static_cast<double>(aNowMs - aShift.mOrderSeenMs);
  auto atStage = static_cast<double>(aNowMs - aShift.mStageSeenMs);
  ShiftCounts total = TotalCounts(aShift);
  std::size_t index = StageIndex(aShift.mProgress->mShare);
  std::int64_t answers = total.mGood - aShift.mStageStart.mGood;
  // Suspicion that falls short of a roll-back holds the stage.
  bool clean = aShift.mEvidence < kStopEvidence / 2;
  bool enough = answers >= kStages[index].mAnswers ||
                elapsed >= kStageEnds[index] * duration;
  if (!clean || !enough ||
      (index == 0 && elapsed < kFirstStagePart * duration)) {
    return std::nullopt;
  }
  if (index + 1 < kStages.size()) {
    next.mShare = kStages[index + 1].mShare;
    return next;
  }
  if (atStage < kLeastLastStage * duration ||
      (total.mOldInFlight > 0 && elapsed < kLatestCompletion * duration)) {
    return std::nullopt;
  }
  next.mState = ShiftState::Completed;
  next.mShare = 1;
  return next;
}

bool
UsesTarget(const VersionShift& aShift, double aPoint)
{
  return !aShift.mCondemned && aShift.mProgress &&
         aShift.mProgress->mState != ShiftState::RolledBack &&
         aShift.mProgress->mOrderRevision == aShift.mOrder.mRevision &&
         aPoint < aShift.mProgress->mShare;
}

void
NoteSession(SessionMemory& aMemory,
            const std::string& aService,
            const std::string& aSession,
            const std::string& aVersion,
            TimeMs aKeepMs,
            TimeMs aNowMs)
{
  aMemory.mUses[{ aService, aSession }] = { aVersion, aNowMs };
  if (aNowMs - aMemory.mSweptMs >= aKeepMs) {
    aMemory.mSweptMs = aNowMs;
    std::erase_if(aMemory.mUses, [&](const auto& aRow) {
      return aNowMs - aRow.second.mLastMs > aKeepMs;
    });
  }
}

std::optional<std::string>
PinnedVersion(const VersionShifts& aShifts,
              const SessionMemory& aMemory,
              const std::string& aService,
              const std::string& aSession,
              TimeMs aKeepMs,
              TimeMs aNowMs)
{
  auto shift = aShifts.mShifts.find(aService);
  auto use = aMemory.mUses.find({ aService, aSession });
  if (shift == aShifts.mShifts.end() || use == aMemory.mUses.end() ||
      aNowMs - use->second.mLastMs > aKeepMs) {
    return std::nullopt;
  }
  const VersionShift& state = shift->second;
  bool isTarget = use->second.mVersion == state.mOrder.mTarget;
  bool rolledBack =
    state.mCondemned ||
    (state.mProgress && state.mProgress->mState == ShiftState::RolledBack);
  bool firstHalf = static_cast<double>(aNowMs - state.mOrderSeenMs) <
                   kPinnedPart * static_cast<double>(state.mOrder.mDurationMs);
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
    if (isTarget && (shift.mCondemned || !shift.mProgress ||
                     shift.mProgress->mState == ShiftState::RolledBack)) {
      return false;
    }
    return aFallback || isTarget == UsesTarget(shift, aPoint);
  }
  auto established = aShifts.mEstablished.find(service);
  return established == aShifts.mEstablished.end() ||
         established->second.contains(version) ||
         aNowMs - aRunner.mFirstSeenMs >= kUnknownVersionMs;
}

} // namespace savory
