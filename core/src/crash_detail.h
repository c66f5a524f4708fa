#pragma once

#include "savory/core/crash_suspects.h"

// Helpers shared by the sources of the crash suspects.
namespace savory::crash_detail {

// A change is reported in this many beacons, as a datagram may be lost.
inline constexpr int kReports = 3;

// Crashes are remembered this long, so that a run that was cancelled after its
// backend server's crash was noticed is still a candidate.
inline constexpr TimeMs kNoticedCrashTtlMs = 10000;

// Trials above this number do not lengthen the interval any more.
inline constexpr int kMaxTrials = 16;

std::vector<SuspectKey>
Keys(const RequestContents& aContents);

// Drops the evidence of requests that were sent before the last answer; returns
// whether there was any.
bool
DropVoidEvidence(CrashSuspect& aSuspect);

enum class EvidenceChange
{
  None,
  // Times that are known from elsewhere, with another delay.
  Times,
  // Another crash, or a likelier request of a known one.
  Cause,
};

EvidenceChange
AddEvidence(CrashSuspect& aSuspect, const CrashEvidence& aRow);

// Decides which suspects are blocked. The part with the most crashes of
// requests that had begun to be answered comes first, of several the most
// specific one, and its crashes no longer count against others: sound parts
// stand beside it in the same prompts.
void
Evaluate(CrashSuspects& aSuspects, const CrashSuspectOptions& aOptions);

CrashSuspect&
FindOrAddSuspect(CrashSuspects& aSuspects,
                 const CrashSuspectOptions& aOptions,
                 const SuspectKey& aKey);

// Adds a candidate of a crash that was noticed at aCrashedMs.
void
AddCandidate(CrashSuspects& aSuspects,
             const CrashSuspectOptions& aOptions,
             std::uint64_t aCrash,
             const CrashCandidate& aCandidate,
             TimeMs aCrashedMs);

// Records that a crash was noticed and adds the runs that this host had
// cancelled there. Returns when it was noticed first.
TimeMs
NoticeCrash(CrashSuspects& aSuspects,
            const CrashSuspectOptions& aOptions,
            std::uint64_t aCrash,
            TimeMs aCrashedMs,
            int aReports);

} // namespace savory::crash_detail
