#include "savory/core/quarantine.h"
#include "savory/core/identity.h"

#include <algorithm>

namespace savory {

namespace {

// Crashes kept for one request. A refused request needs three; the rest is
// room for cleared ones, of which the oldest are dropped first.
constexpr std::size_t kMaxCrashes = 8;

Treatment
TreatmentOf(const Suspect& aSuspect, const QuarantineOptions& aOptions)
{
  int total = 0;
  int isolated = 0;
  for (const auto& crash : aSuspect.mCrashes) {
    if (!crash.mCleared) {
      ++total;
      isolated += crash.mIsolated ? 1 : 0;
    }
  }
  if (total >= aOptions.mMaxTotal || isolated >= aOptions.mMaxIsolated) {
    return Treatment::Refuse;
  }
  return total > 0 ? Treatment::Isolate : Treatment::Free;
}

// Adds what a crash record says; true when it is new.
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
  if (aSuspect.mCrashes.size() >= kMaxCrashes) {
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

// Makes room for one more suspect: a cleared one goes first, then the oldest
// that is not refused, and only then the oldest refused one.
void
MakeRoom(Quarantine& aQuarantine, const QuarantineOptions& aOptions)
{
  if (aQuarantine.mSuspects.size() < aOptions.mMaxSuspects) {
    return;
  }
  auto victim =
    std::min_element(aQuarantine.mSuspects.begin(),
                     aQuarantine.mSuspects.end(),
                     [&](const auto& aLeft, const auto& aRight) {
                       auto left = TreatmentOf(aLeft.second, aOptions);
                       auto right = TreatmentOf(aRight.second, aOptions);
                       return left != right
                                ? left < right
                                : aLeft.second.mLastMs < aRight.second.mLastMs;
                     });
  aQuarantine.mSuspects.erase(victim);
}

Suspect&
SuspectFor(Quarantine& aQuarantine,
           const QuarantineOptions& aOptions,
           std::uint64_t aFingerprint)
{
  auto found = aQuarantine.mSuspects.find(aFingerprint);
  if (found != aQuarantine.mSuspects.end()) {
    return found->second;
  }
  MakeRoom(aQuarantine, aOptions);
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
    auto& suspect = SuspectFor(aQuarantine, aOptions, fingerprint);
    AddCrash(suspect, { aCrashId, aFingerprints.size() == 1, false });
    suspect.mLastMs = std::max(suspect.mLastMs, aNowMs);
  }
}

void
OnRanToEnd(Quarantine& aQuarantine,
           const QuarantineOptions& aOptions,
           std::uint64_t aFingerprint)
{
  auto found = aQuarantine.mSuspects.find(aFingerprint);
  if (found == aQuarantine.mSuspects.end() ||
      TreatmentOf(found->second, aOptions) == Treatment::Refuse) {
    return;
  }
  for (auto& crash : found->second.mCrashes) {
    crash.mCleared = true;
  }
}

Treatment
Judge(Quarantine& aQuarantine,
      const QuarantineOptions& aOptions,
      std::uint64_t aFingerprint,
      TimeMs aNowMs)
{
  auto found = aQuarantine.mSuspects.find(aFingerprint);
  if (found == aQuarantine.mSuspects.end()) {
    return Treatment::Free;
  }
  auto treatment = TreatmentOf(found->second, aOptions);
  if (treatment == Treatment::Refuse) {
    found->second.mLastMs = std::max(found->second.mLastMs, aNowMs);
  }
  return treatment;
}

std::string
IsolationTarget(std::uint64_t aFingerprint,
                std::span<const std::string> aAddresses)
{
  const std::string* best = nullptr;
  std::uint64_t most = 0;
  for (const auto& address : aAddresses) {
    std::uint64_t rank = Hash64(address, aFingerprint);
    if (!best || rank > most || (rank == most && address < *best)) {
      best = &address;
      most = rank;
    }
  }
  return best ? *best : std::string();
}

std::vector<SuspectRow>
SuspectRows(const Quarantine& aQuarantine, TimeMs aNowMs)
{
  std::vector<SuspectRow> rows;
  rows.reserve(aQuarantine.mSuspects.size());
  for (const auto& [fingerprint, suspect] : aQuarantine.mSuspects) {
    rows.push_back({ fingerprint,
                     suspect.mCrashes,
                     std::max<TimeMs>(0, aNowMs - suspect.mLastMs) });
  }
  return rows;
}

bool
MergeSuspects(Quarantine& aQuarantine,
              const QuarantineOptions& aOptions,
              std::span<const SuspectRow> aRows,
              TimeMs aNowMs)
{
  bool anyNew = false;
  for (const auto& row : aRows) {
    if (row.mCrashes.empty() || row.mAgeMs >= aOptions.mRetentionMs) {
      continue;
    }
    auto& suspect = SuspectFor(aQuarantine, aOptions, row.mFingerprint);
    bool isNews = false;
    for (const auto& crash : row.mCrashes) {
      isNews |= AddCrash(suspect, crash);
    }
    // The age lags by the time of the exchange. Taken from known crashes too,
    // it would come back from peer to peer a little younger each time, and the
    // suspect would stay as young as one exchange for good.
    if (isNews) {
      suspect.mLastMs = std::max(suspect.mLastMs, aNowMs - row.mAgeMs);
    }
    anyNew |= isNews;
  }
  return anyNew;
}

void
ExpireSuspects(Quarantine& aQuarantine,
               const QuarantineOptions& aOptions,
               TimeMs aNowMs)
{
  std::erase_if(aQuarantine.mSuspects, [&](const auto& aSuspect) {
    return aNowMs - aSuspect.second.mLastMs >= aOptions.mRetentionMs;
  });
}

} // namespace savory
