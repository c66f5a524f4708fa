#include "crash_detail.h"

#include <algorithm>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

namespace savory::crash_detail {

namespace {

// Crashes kept for one suspect, the newest ones; more than it takes to block.
constexpr std::size_t kMaxEvidence = 8;

// Crashes that were noticed within this time may have one cause, such as a rack
// that lost power. Hosts notice a closed port within milliseconds, busy ones
// later.
constexpr TimeMs kCommonCauseMs = 100;

constexpr std::size_t kMaxNoticedCrashes = 256;

TimeMs
AnsweredMs(const AnsweredParts& aAnswered, const SuspectKey& aKey)
{
  for (const auto* generation : { &aAnswered.mNewer, &aAnswered.mOlder }) {
    auto found = generation->find(aKey);
    if (found != generation->end()) {
      return found->second;
    }
  }
  return kNeverMs;
}

// Of the requests that held a suspect at one crash, the one that is more likely
// its cause comes first. The order is total, so that copies merge alike.
bool
Precedes(const CrashEvidence& aLeft, const CrashEvidence& aRight)
{
  return std::tuple(!aLeft.mStarted, aLeft.mSentMs, aLeft.mFingerprint) <
         std::tuple(!aRight.mStarted, aRight.mSentMs, aRight.mFingerprint);
}

struct CrashCount
{
  int mCrashes = 0;
  // Those at which a request with the suspect had begun to be answered.
  int mStarted = 0;
  int mRequests = 0;
};

// Counts the crashes that happened one after the other: at different times, or
// by a request that was sent after the one before was noticed. Backend servers
// that fail together count once, however many requests with a popular part were
// on them.
CrashCount
CountSuccessiveCrashes(std::vector<CrashEvidence> aRows)
{
  std::sort(
    aRows.begin(), aRows.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.mCrashedMs < aRight.mCrashedMs;
    });
  CrashCount count;
  std::set<std::uint64_t> requests;
  TimeMs lastCrashedMs = kNeverMs;
  for (const CrashEvidence& row : aRows) {
    requests.insert(row.mFingerprint);
    if (row.mSentMs >= lastCrashedMs ||
        row.mCrashedMs - lastCrashedMs >= kCommonCauseMs) {
      ++count.mCrashes;
      count.mStarted += row.mStarted;
      lastCrashedMs = row.mCrashedMs;
    }
  }
  count.mRequests = static_cast<int>(requests.size());
  return count;
}

// The evidence that counts against a suspect: of crashes that no blocked part
// explains and, where some request had begun to be answered at the crash, only
// of such requests.
std::vector<CrashEvidence>
CountedEvidence(const CrashSuspect& aSuspect,
                const std::set<std::uint64_t>& aExplained,
                const std::set<std::uint64_t>& aStarted)
{
  std::vector<CrashEvidence> rows;
  for (const CrashEvidence& row : aSuspect.mEvidence) {
    if (!aExplained.contains(row.mCrash) &&
        (row.mStarted || !aStarted.contains(row.mCrash))) {
      rows.push_back(row);
    }
  }
  return rows;
}

bool
IsProven(const CrashSuspect& aSuspect, const CrashSuspectOptions& aOptions)
{
  return std::any_of(aSuspect.mEvidence.begin(),
                     aSuspect.mEvidence.end(),
                     [&](const CrashEvidence& aRow) {
                       return aRow.mSentMs - aSuspect.mAnsweredMs <
                              aOptions.mProvenMs;
                     });
}

using SuspectRef = std::pair<const SuspectKey*, CrashSuspect*>;

// The crashes that decide which suspects are blocked.
struct CrashSets
{
  // Crashes at which some request had begun to be answered.
  std::set<std::uint64_t> mStarted;
  // Crashes that a blocked part explains.
  std::set<std::uint64_t> mExplained;
};

// Whether a suspect has enough evidence against it to be blocked.
bool
IsGuilty(const SuspectRef& aSuspect,
         const CrashCount& aCount,
         const CrashSuspectOptions& aOptions)
{
  bool isPart = aSuspect.first->mKind == SuspectKind::PromptPart;
  int minCrashes = isPart && IsProven(*aSuspect.second, aOptions)
                     ? aOptions.mMinProvenCrashes
                     : aOptions.mMinCrashes;
  return aCount.mCrashes >= minCrashes &&
         (!isPart || aCount.mRequests >= aOptions.mMinRequests);
}

// The suspect of a kind that is to be blocked next, or none.
std::optional<SuspectRef>
FindGuiltiest(const std::vector<SuspectRef>& aSuspects,
              SuspectKind aKind,
              const CrashSets& aCrashes,
              const CrashSuspectOptions& aOptions)
{
  std::optional<SuspectRef> guiltiest;
  std::tuple<int, int, int> highest;
  for (const SuspectRef& suspect : aSuspects) {
    if (suspect.first->mKind != aKind) {
      continue;
    }
    CrashCount count = CountSuccessiveCrashes(
      CountedEvidence(*suspect.second, aCrashes.mExplained, aCrashes.mStarted));
    std::tuple rank(count.mStarted, suspect.second->mDepth, count.mCrashes);
    if (IsGuilty(suspect, count, aOptions) && (!guiltiest || rank > highest)) {
      guiltiest = suspect;
      highest = rank;
    }
  }
  return guiltiest;
}

// Makes room when the table is full: a suspect that is not blocked, with the
// least and oldest evidence.
void
EvictSuspect(CrashSuspects& aSuspects, const CrashSuspectOptions& aOptions)
{
  if (aSuspects.mSuspects.size() < aOptions.mMaxSuspects) {
    return;
  }
  auto victim =
    std::min_element(aSuspects.mSuspects.begin(),
                     aSuspects.mSuspects.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       auto rank = [](const CrashSuspect& aSuspect) {
                         return std::tuple(aSuspect.mBlocked,
                                           aSuspect.mEvidence.size(),
                                           aSuspect.mLastSeenMs);
                       };
                       return rank(aLeft.second) < rank(aRight.second);
                     });
  aSuspects.mSuspects.erase(victim);
}

} // namespace

std::vector<SuspectKey>
Keys(const RequestContents& aContents)
{
  std::vector<SuspectKey> keys{
    { aContents.mService, SuspectKind::Request, aContents.mFingerprint }
  };
  for (std::uint64_t part : aContents.mParts) {
    keys.push_back({ aContents.mService, SuspectKind::PromptPart, part });
  }
  return keys;
}

bool
DropVoidEvidence(CrashSuspect& aSuspect)
{
  return std::erase_if(aSuspect.mEvidence, [&](const CrashEvidence& aRow) {
           return aRow.mSentMs <= aSuspect.mAnsweredMs;
         }) > 0;
}

EvidenceChange
AddEvidence(CrashSuspect& aSuspect, const CrashEvidence& aRow)
{
  auto& rows = aSuspect.mEvidence;
  if (aRow.mSentMs <= aSuspect.mAnsweredMs) {
    return EvidenceChange::None;
  }
  auto known = std::find_if(rows.begin(), rows.end(), [&](const auto& aKnown) {
    return aKnown.mCrash == aRow.mCrash;
  });
  if (known != rows.end()) {
    const CrashEvidence before = *known;
    if (Precedes(aRow, before)) {
      *known = aRow;
      known->mExplained = before.mExplained;
    }
    known->mCrashedMs = std::min(before.mCrashedMs, aRow.mCrashedMs);
    if (known->mStarted != before.mStarted ||
        known->mFingerprint != before.mFingerprint) {
      return EvidenceChange::Cause;
    }
    return *known == before ? EvidenceChange::None : EvidenceChange::Times;
  }
  if (rows.size() >= kMaxEvidence) {
    auto oldest = std::min_element(
      rows.begin(), rows.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.mCrashedMs < aRight.mCrashedMs;
      });
    if (aRow.mCrashedMs <= oldest->mCrashedMs) {
      return EvidenceChange::None;
    }
    rows.erase(oldest);
  }
  rows.push_back(aRow);
  return EvidenceChange::Cause;
}

void
Evaluate(CrashSuspects& aSuspects, const CrashSuspectOptions& aOptions)
{
  CrashSets crashes;
  std::vector<SuspectRef> left;
  for (auto& [key, suspect] : aSuspects.mSuspects) {
    for (const CrashEvidence& row : suspect.mEvidence) {
      if (row.mStarted) {
        crashes.mStarted.insert(row.mCrash);
      }
    }
    if (static_cast<int>(suspect.mEvidence.size()) >= aOptions.mMinCrashes) {
      left.emplace_back(&key, &suspect);
    }
  }
  std::set<SuspectKey> blocked;
  for (SuspectKind kind : { SuspectKind::PromptPart, SuspectKind::Request }) {
    while (auto next = FindGuiltiest(left, kind, crashes, aOptions)) {
      blocked.insert(*next->first);
      for (const CrashEvidence& row : next->second->mEvidence) {
        if (kind == SuspectKind::PromptPart) {
          crashes.mExplained.insert(row.mCrash);
        }
      }
      std::erase(left, *next);
    }
  }
  for (auto& [key, suspect] : aSuspects.mSuspects) {
    bool isBlocked = blocked.contains(key);
    for (CrashEvidence& row : suspect.mEvidence) {
      row.mExplained = !isBlocked && crashes.mExplained.contains(row.mCrash);
    }
    if (isBlocked && !suspect.mBlocked) {
      aSuspects.mNewlyBlocked.push_back(key);
    }
    suspect.mBlocked = isBlocked;
  }
}

CrashSuspect&
FindOrAddSuspect(CrashSuspects& aSuspects,
                 const CrashSuspectOptions& aOptions,
                 const SuspectKey& aKey)
{
  auto found = aSuspects.mSuspects.find(aKey);
  if (found != aSuspects.mSuspects.end()) {
    return found->second;
  }
  EvictSuspect(aSuspects, aOptions);
  CrashSuspect& suspect = aSuspects.mSuspects[aKey];
  suspect.mAnsweredMs = AnsweredMs(aSuspects.mAnswered, aKey);
  return suspect;
}

void
AddCandidate(CrashSuspects& aSuspects,
             const CrashSuspectOptions& aOptions,
             std::uint64_t aCrash,
             const CrashCandidate& aCandidate,
             TimeMs aCrashedMs)
{
  // A request that was sent later cannot have caused the crash.
  if (aCandidate.mSentMs >= aCrashedMs) {
    return;
  }
  int depth = 0;
  for (const SuspectKey& key : Keys(aCandidate.mContents)) {
    CrashSuspect& suspect = FindOrAddSuspect(aSuspects, aOptions, key);
    suspect.mDepth = std::max(suspect.mDepth, depth++);
    suspect.mLastSeenMs = std::max(suspect.mLastSeenMs, aCrashedMs);
    if (AddEvidence(suspect,
                    { aCrash,
                      aCandidate.mContents.mFingerprint,
                      aCandidate.mSentMs,
                      aCrashedMs,
                      aCandidate.mStarted }) == EvidenceChange::Cause) {
      suspect.mReportsLeft = kReports;
    }
  }
}

TimeMs
NoticeCrash(CrashSuspects& aSuspects,
            const CrashSuspectOptions& aOptions,
            std::uint64_t aCrash,
            TimeMs aCrashedMs,
            int aReports)
{
  auto [noticed, isNew] =
    aSuspects.mCrashes.try_emplace(aCrash, CrashSuspects::NoticedCrash{});
  if (!isNew) {
    return noticed->second.mCrashedMs;
  }
  noticed->second = { aCrashedMs, aReports };
  if (aSuspects.mCrashes.size() > kMaxNoticedCrashes) {
    aSuspects.mCrashes.erase(std::min_element(
      aSuspects.mCrashes.begin(),
      aSuspects.mCrashes.end(),
      [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.mCrashedMs < aRight.second.mCrashedMs;
      }));
  }
  for (const auto& run : aSuspects.mCancelledRuns) {
    if (run.mCrash == aCrash &&
        aCrashedMs - run.mCancelledMs < aOptions.mCancelledTtlMs) {
      AddCandidate(aSuspects, aOptions, aCrash, run.mCandidate, aCrashedMs);
    }
  }
  return aCrashedMs;
}

} // namespace savory::crash_detail
