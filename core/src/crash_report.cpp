#include "crash_detail.h"

#include <algorithm>
#include <tuple>

namespace savory {

using namespace crash_detail;

namespace {

// Suspects, their evidence and crashes in one beacon, which take at most 3 KiB
// of it.
constexpr std::size_t kMaxReportedSuspects = 8;
constexpr std::size_t kMaxReportedEvidence = 32;
constexpr std::size_t kMaxReportedCrashes = 16;

// How often each host reports a blocked suspect to hosts that start later.
constexpr TimeMs kBlockedReportIntervalMs = 1000;

// Suspects of a service with a longer name stay at this host.
constexpr std::size_t kMaxServiceBytes = 64;

bool
IsReportDue(const CrashSuspect& aSuspect, TimeMs aNowMs)
{
  return aSuspect.mReportsLeft > 0 ||
         (aSuspect.mBlocked &&
          aNowMs - aSuspect.mLastReportedMs >= kBlockedReportIntervalMs);
}

// The suspects with the highest rank are reported first: what is blocked, then
// those that were reported least, and of them those that most likely are the
// cause.
auto
ReportRank(const CrashSuspect& aSuspect)
{
  bool isStarted = std::any_of(aSuspect.mEvidence.begin(),
                               aSuspect.mEvidence.end(),
                               [](const auto& aRow) { return aRow.mStarted; });
  return std::tuple(aSuspect.mBlocked,
                    aSuspect.mReportsLeft,
                    isStarted,
                    aSuspect.mEvidence.size(),
                    aSuspect.mDepth);
}

CrashSuspectRow
MakeRow(const SuspectKey& aKey, const CrashSuspect& aSuspect, TimeMs aNowMs)
{
  auto age = [aNowMs](TimeMs aTimeMs) {
    return aTimeMs == kNeverMs ? -1 : std::max<TimeMs>(0, aNowMs - aTimeMs);
  };
  CrashSuspectRow row{ aKey,
                       aSuspect.mDepth,
                       {},
                       age(aSuspect.mAnsweredMs),
                       age(aSuspect.mLastTrialMs),
                       aSuspect.mTrials };
  for (const CrashEvidence& evidence : aSuspect.mEvidence) {
    // A host that does not know the blocked part yet would blame this one.
    if (evidence.mExplained) {
      continue;
    }
    row.mEvidence.push_back({ evidence.mCrash,
                              evidence.mFingerprint,
                              aNowMs - evidence.mSentMs,
                              aNowMs - evidence.mCrashedMs,
                              evidence.mStarted });
  }
  return row;
}

} // namespace

CrashReport
MakeCrashReport(CrashSuspects& aSuspects, TimeMs aNowMs)
{
  CrashReport report;
  for (auto& [crash, noticed] : aSuspects.mCrashes) {
    if (noticed.mReportsLeft > 0 &&
        report.mCrashes.size() < kMaxReportedCrashes) {
      --noticed.mReportsLeft;
      report.mCrashes.push_back({ crash, aNowMs - noticed.mCrashedMs });
    }
  }
  std::vector<std::pair<const SuspectKey*, CrashSuspect*>> due;
  for (auto& [key, suspect] : aSuspects.mSuspects) {
    if (key.mService.size() <= kMaxServiceBytes &&
        IsReportDue(suspect, aNowMs)) {
      due.emplace_back(&key, &suspect);
    }
  }
  std::stable_sort(
    due.begin(), due.end(), [](const auto& aLeft, const auto& aRight) {
      return ReportRank(*aLeft.second) > ReportRank(*aRight.second);
    });
  std::size_t evidence = 0;
  for (const auto& [key, suspect] : due) {
    evidence += suspect->mEvidence.size();
    if (report.mSuspects.size() >= kMaxReportedSuspects ||
        evidence > kMaxReportedEvidence) {
      break;
    }
    suspect->mReportsLeft = std::max(0, suspect->mReportsLeft - 1);
    suspect->mLastReportedMs = aNowMs;
    report.mSuspects.push_back(MakeRow(*key, *suspect, aNowMs));
  }
  return report;
}

void
OnHostJoined(CrashSuspects& aSuspects)
{
  for (auto& [key, suspect] : aSuspects.mSuspects) {
    if (suspect.mBlocked) {
      suspect.mLastReportedMs = kNeverMs;
    }
  }
}

bool
HasNewReport(const CrashSuspects& aSuspects)
{
  auto isNew = [](const auto& aRow) {
    return aRow.second.mReportsLeft == kReports;
  };
  return std::any_of(
           aSuspects.mCrashes.begin(), aSuspects.mCrashes.end(), isNew) ||
         std::any_of(
           aSuspects.mSuspects.begin(), aSuspects.mSuspects.end(), isNew);
}

void
MergeCrashReport(CrashSuspects& aSuspects,
                 const CrashSuspectOptions& aOptions,
                 const CrashReport& aReport,
                 TimeMs aNowMs)
{
  bool changed = false;
  for (const CrashRow& crash : aReport.mCrashes) {
    if (crash.mAgeMs >= 0 && crash.mAgeMs < kNoticedCrashTtlMs) {
      changed |= !aSuspects.mCrashes.contains(crash.mCrash);
      NoticeCrash(aSuspects, aOptions, crash.mCrash, aNowMs - crash.mAgeMs, 0);
    }
  }
  for (const CrashSuspectRow& row : aReport.mSuspects) {
    if (row.mKey.mService.size() > kMaxServiceBytes) {
      continue;
    }
    CrashSuspect& suspect = FindOrAddSuspect(aSuspects, aOptions, row.mKey);
    suspect.mDepth = std::max(suspect.mDepth, row.mDepth);
    if (row.mAnsweredAgeMs >= 0) {
      suspect.mAnsweredMs =
        std::max(suspect.mAnsweredMs, aNowMs - row.mAnsweredAgeMs);
      changed |= DropVoidEvidence(suspect);
    }
    if (row.mTrials > suspect.mTrials) {
      suspect.mTrials = std::min(row.mTrials, kMaxTrials);
      suspect.mLastTrialMs = aNowMs - std::max<TimeMs>(0, row.mTrialAgeMs);
    }
    for (const CrashEvidenceRow& evidence : row.mEvidence) {
      if (evidence.mCrashedAgeMs < 0 ||
          evidence.mSentAgeMs < evidence.mCrashedAgeMs ||
          evidence.mSentAgeMs >= aOptions.mRetentionMs) {
        continue;
      }
      CrashEvidence known{ evidence.mCrash,
                           evidence.mFingerprint,
                           aNowMs - evidence.mSentAgeMs,
                           aNowMs - evidence.mCrashedAgeMs,
                           evidence.mStarted };
      // The sender does not know yet that the suspect was answered since.
      if (known.mSentMs <= suspect.mAnsweredMs) {
        suspect.mReportsLeft = kReports;
      }
      changed |= AddEvidence(suspect, known) != EvidenceChange::None;
      suspect.mLastSeenMs = std::max(suspect.mLastSeenMs, known.mCrashedMs);
    }
  }
  if (changed) {
    Evaluate(aSuspects, aOptions);
  }
}

} // namespace savory
