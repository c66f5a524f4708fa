#include "savory/core/quarantine.h"
#include "savory/core/identity.h"

#include <algorithm>

namespace savory {

namespace {

// Crashes kept for one request. A refused request needs at most three; the rest
// is for cleared ones, of which the oldest are dropped first.
constexpr std::size_t kMaxKeptCrashes = 8;

QuarantineAction
EvaluateSuspect(const Suspect& aSuspect, const QuarantineOptions& aOptions)
{
  int total = 0;
  int isolated = 0;
  for (const auto& crash : aSuspect.mCrashes) {
    if (!crash.mCleared) {
      ++total;
      isolated += crash.mIsolated ? 1 : 0;
    }
  }
  if (total >= aOptions.mMaxCrashes ||
      isolated >= aOptions.mMaxIsolatedCrashes) {
    return QuarantineAction::Refuse;
  }
  return total > 0 ? QuarantineAction::Isolate : QuarantineAction::Free;
}

// Merges a crash into a suspect; true when it holds new information.
bool
AddCrash(Suspect& aSuspect, const Crash& aCrash)
{
  auto known =
    std::find_if(aSuspect.mCrashes.begin(),
                 aSuspect.mCrashes.end(),
                 [&](const Crash& aKnown) { return aKnown.mId == aCrash.mId; });
  if (known != aSuspect.mCrashes.end()) {
    bool isNew = (aCrash.mIsolated && !known->mIsolated) ||
                 (aCrash.mCleared && !known->mCleared);
    known->mIsolated |= aCrash.mIsolated;
    known->mCleared |= aCrash.mCleared;
    return isNew;
  }
  if (aSuspect.mCrashes.size() >= kMaxKeptCrashes) {
    auto cleared =
      std::find_if(aSuspect.mCrashes.begin(),
                   aSuspect.mCrashes.end(),
                   [](const Crash& aKnown) { return aKnown.mCleared; });
    if (cleared == aSuspect.mCrashes.end() || aCrash.mCleared) {
      return false;
    }
    aSuspect.mCrashes.erase(cleared);
  }
  aSuspect.mCrashes.push_back(aCrash);
  return true;
}

// Evicts a suspect when the table is full: first a cleared one, then the oldest
// that is not refused, and only then the oldest refused one.
void
EvictSuspect(Quarantine& aQuarantine, const QuarantineOptions& aOptions)
{
  if (aQuarantine.mSuspects.size() < aOptions.mMaxSuspects) {
    return;
  }
  auto victim =
    std::min_element(aQuarantine.mSuspects.begin(),
                     aQuarantine.mSuspects.end(),
                     [&](const auto& aLeft, const auto& aRight) {
                       auto left = EvaluateSuspect(aLeft.second, aOptions);
                       auto right = EvaluateSuspect(aRight.second, aOptions);
                       return left != right ? left < right
                                            : aLeft.second.mLastSeenMs <
                                                aRight.second.mLastSeenMs;
                     });
  aQuarantine.mSuspects.erase(victim);
}

Suspect&
FindOrAddSuspect(Quarantine& aQuarantine,
                 const QuarantineOptions& aOptions,
                 std::uint64_t aFingerprint)
{
  auto found = aQuarantine.mSuspects.find(aFingerprint);
  if (found != aQuarantine.mSuspects.end()) {
    return found->second;
  }
  EvictSuspect(aQuarantine, aOptions);
  return aQuarantine.mSuspects[aFingerprint];
}

} // namespace

std::uint64_t
CrashId(std::string_view aAddress, std::string_view aIncarnation)
{
  return Hash64(aIncarnation, Hash64(aAddress));
}

void
OnCrash(Quarantine& aQuarantine,
        const QuarantineOptions& aOptions,
        std::uint64_t aCrashId,
        std::span<const std::uint64_t> aFingerprints,
        TimeMs aNowMs)
{
  for (auto fingerprint : aFingerprints) {
    auto& suspect = FindOrAddSuspect(aQuarantine, aOptions, fingerprint);
    AddCrash(suspect, { aCrashId, aFingerprints.size() == 1, false });
    suspect.mLastSeenMs = std::max(suspect.mLastSeenMs, aNowMs);
  }
}

void
OnRequestCompleted(Quarantine& aQuarantine,
                   const QuarantineOptions& aOptions,
                   std::uint64_t aFingerprint)
{
  auto found = aQuarantine.mSuspects.find(aFingerprint);
  if (found == aQuarantine.mSuspects.end() ||
      EvaluateSuspect(found->second, aOptions) == QuarantineAction::Refuse) {
    return;
  }
  for (auto& crash : found->second.mCrashes) {
    crash.mCleared = true;
  }
}

QuarantineAction
CheckQuarantine(Quarantine& aQuarantine,
                const QuarantineOptions& aOptions,
                std::uint64_t aFingerprint,
                TimeMs aNowMs)
{
  auto found = aQuarantine.mSuspects.find(aFingerprint);
  if (found == aQuarantine.mSuspects.end()) {
    return QuarantineAction::Free;
  }
  auto action = EvaluateSuspect(found->second, aOptions);
  if (action == QuarantineAction::Refuse) {
    found->second.mLastSeenMs = std::max(found->second.mLastSeenMs, aNowMs);
  }
  return action;
}

std::string
IsolationTarget(std::uint64_t aFingerprint,
                std::span<const std::string> aAddresses)
{
  const std::string* best = nullptr;
  std::uint64_t bestRank = 0;
  for (const auto& address : aAddresses) {
    std::uint64_t rank = Hash64(address, aFingerprint);
    if (!best || rank > bestRank || (rank == bestRank && address < *best)) {
      best = &address;
      bestRank = rank;
    }
  }
  return best ? *best : std::string();
}

std::vector<SuspectRow>
MakeSuspectRows(const Quarantine& aQuarantine, TimeMs aNowMs)
{
  std::vector<SuspectRow> rows;
  rows.reserve(aQuarantine.mSuspects.size());
  for (const auto& [fingerprint, suspect] : aQuarantine.mSuspects) {
    rows.push_back({ fingerprint,
                     suspect.mCrashes,
                     std::max<TimeMs>(0, aNowMs - suspect.mLastSeenMs) });
  }
  return rows;
}

bool
MergeSuspects(Quarantine& aQuarantine,
              const QuarantineOptions& aOptions,
              std::span<const SuspectRow> aRows,
              TimeMs aNowMs)
{
  bool changed = false;
  for (const auto& row : aRows) {
    if (row.mCrashes.empty() || row.mAgeMs >= aOptions.mRetentionMs) {
      continue;
    }
    auto& suspect = FindOrAddSuspect(aQuarantine, aOptions, row.mFingerprint);
    bool isNew = false;
    for (const auto& crash : row.mCrashes) {
      isNew |= AddCrash(suspect, crash);
    }
    // The received age lags by the delay of the exchange. If rows without new
    // crashes set it too, each exchange between peers would return it a little
    // younger, and the suspect would never get older than one exchange.
    if (isNew) {
      suspect.mLastSeenMs = std::max(suspect.mLastSeenMs, aNowMs - row.mAgeMs);
    }
    changed |= isNew;
  }
  return changed;
}

void
ExpireSuspects(Quarantine& aQuarantine,
               const QuarantineOptions& aOptions,
               TimeMs aNowMs)
{
  std::erase_if(aQuarantine.mSuspects, [&](const auto& aSuspect) {
    return aNowMs - aSuspect.second.mLastSeenMs >= aOptions.mRetentionMs;
  });
}

} // namespace savory
