#include "crash_detail.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace savory {

using namespace crash_detail;

namespace {

// Parts whose answers are remembered, in each of two generations.
constexpr std::size_t kMaxAnsweredParts = 4096;

constexpr std::size_t kMaxCancelledRuns = 256;

void
RecordAnswered(AnsweredParts& aAnswered, const SuspectKey& aKey, TimeMs aNowMs)
{
  if (aAnswered.mNewer.size() >= kMaxAnsweredParts) {
    aAnswered.mOlder = std::exchange(aAnswered.mNewer, {});
  }
  aAnswered.mNewer[aKey] = aNowMs;
}

} // namespace

std::string
FormatHex(std::uint64_t aId)
{
  char text[17];
  auto end = std::to_chars(text, text + sizeof text, aId, 16);
  return { text, end.ptr };
}

void
OnCrash(CrashSuspects& aSuspects,
        const CrashSuspectOptions& aOptions,
        std::uint64_t aCrash,
        std::span<const CrashCandidate> aCandidates,
        TimeMs aNowMs)
{
  TimeMs crashedMs = NoticeCrash(aSuspects, aOptions, aCrash, aNowMs, kReports);
  for (const CrashCandidate& candidate : aCandidates) {
    AddCandidate(aSuspects, aOptions, aCrash, candidate, crashedMs);
  }
  Evaluate(aSuspects, aOptions);
}

void
OnRunCancelled(CrashSuspects& aSuspects,
               const CrashSuspectOptions& aOptions,
               std::uint64_t aCrash,
               const CrashCandidate& aCandidate,
               TimeMs aNowMs)
{
  auto noticed = aSuspects.mCrashes.find(aCrash);
  if (noticed != aSuspects.mCrashes.end()) {
    AddCandidate(
      aSuspects, aOptions, aCrash, aCandidate, noticed->second.mCrashedMs);
    Evaluate(aSuspects, aOptions);
    return;
  }
  auto& runs = aSuspects.mCancelledRuns;
  while (!runs.empty() &&
         (runs.size() >= kMaxCancelledRuns ||
          aNowMs - runs.front().mCancelledMs >= aOptions.mCancelledTtlMs)) {
    runs.pop_front();
  }
  runs.push_back({ aCrash, aCandidate, aNowMs });
}

void
OnAnswered(CrashSuspects& aSuspects,
           const CrashSuspectOptions& aOptions,
           const RequestContents& aContents,
           TimeMs aNowMs)
{
  bool changed = false;
  for (const SuspectKey& key : Keys(aContents)) {
    if (key.mKind == SuspectKind::PromptPart) {
      RecordAnswered(aSuspects.mAnswered, key, aNowMs);
    }
    auto found = aSuspects.mSuspects.find(key);
    if (found != aSuspects.mSuspects.end()) {
      CrashSuspect& suspect = found->second;
      suspect.mAnsweredMs = std::max(suspect.mAnsweredMs, aNowMs);
      if (DropVoidEvidence(suspect)) {
        suspect.mReportsLeft = kReports;
        changed = true;
      }
    }
  }
  if (changed) {
    Evaluate(aSuspects, aOptions);
  }
}

std::optional<SuspectKey>
FindBlockedSuspect(CrashSuspects& aSuspects,
                   const RequestContents& aContents,
                   TimeMs aNowMs)
{
  if (aSuspects.mSuspects.empty()) {
    return std::nullopt;
  }
  for (const SuspectKey& key : Keys(aContents)) {
    auto found = aSuspects.mSuspects.find(key);
    if (found != aSuspects.mSuspects.end() && found->second.mBlocked) {
      found->second.mLastSeenMs = std::max(found->second.mLastSeenMs, aNowMs);
      return key;
    }
  }
  return std::nullopt;
}

bool
TryAcquireTrial(CrashSuspects& aSuspects,
                const CrashSuspectOptions& aOptions,
                const SuspectKey& aKey,
                TimeMs aNowMs)
{
  auto found = aSuspects.mSuspects.find(aKey);
  if (found == aSuspects.mSuspects.end()) {
    return false;
  }
  CrashSuspect& suspect = found->second;
  TimeMs last = suspect.mLastTrialMs;
  for (const CrashEvidence& row : suspect.mEvidence) {
    last = std::max(last, row.mCrashedMs);
  }
  TimeMs interval = aOptions.mFirstTrialMs;
  for (int trial = 0; trial < suspect.mTrials; ++trial) {
    interval =
      std::min(interval * aOptions.mTrialGrowth, aOptions.mRetentionMs);
  }
  if (aNowMs - last < interval) {
    return false;
  }
  suspect.mTrials = std::min(suspect.mTrials + 1, kMaxTrials);
  suspect.mLastTrialMs = aNowMs;
  suspect.mReportsLeft = kReports;
  return true;
}

std::vector<SuspectKey>
ExtractBlocked(CrashSuspects& aSuspects)
{
  auto keys = std::exchange(aSuspects.mNewlyBlocked, {});
  std::erase_if(keys, [&](const SuspectKey& aKey) {
    auto found = aSuspects.mSuspects.find(aKey);
    return found == aSuspects.mSuspects.end() || !found->second.mBlocked;
  });
  return keys;
}

void
ExpireSuspects(CrashSuspects& aSuspects,
               const CrashSuspectOptions& aOptions,
               TimeMs aNowMs)
{
  std::erase_if(aSuspects.mCrashes, [&](const auto& aRow) {
    return aNowMs - aRow.second.mCrashedMs >= kNoticedCrashTtlMs;
  });
  for (auto& [key, suspect] : aSuspects.mSuspects) {
    if (!suspect.mBlocked) {
      std::erase_if(suspect.mEvidence, [&](const CrashEvidence& aEvidence) {
        return aNowMs - aEvidence.mCrashedMs >= aOptions.mEvidenceTtlMs;
      });
    }
  }
  auto removed = std::erase_if(aSuspects.mSuspects, [&](const auto& aRow) {
    const CrashSuspect& suspect = aRow.second;
    return suspect.mBlocked
             ? aNowMs - suspect.mLastSeenMs >= aOptions.mRetentionMs
             : suspect.mEvidence.empty() && suspect.mReportsLeft == 0;
  });
  if (removed > 0) {
    Evaluate(aSuspects, aOptions);
  }
}

} // namespace savory
