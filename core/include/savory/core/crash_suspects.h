#pragma once

#include "savory/core/types.h"

#include <array>
#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <tuple>
#include <vector>

namespace savory {

// Attribution of crashes of backend servers to what the requests on them have
// in common. A request may crash each backend server that begins to answer it;
// so may a part of a prompt, whatever else the request holds. Requests with
// such a part are all different, and sound requests share their other parts.
//
// Every request that a backend server had not begun to answer when it crashed
// is evidence against itself and its shared parts. A part counts as sound once
// a request with it is answered, so evidence lasts only for what never is. Load
// that this answers: a few such requests a second among thousands, at all
// hosts, while backend servers also crash for other reasons, many at a time.

struct CrashSuspectOptions
{
  // Successive crashes after which a suspect is blocked.
  int mMinCrashes = 3;
  // The same for a part that was answered within mProvenMs before the first of
  // them. A caller may name another one's part in a prompt that crashes.
  int mMinProvenCrashes = 5;
  TimeMs mProvenMs = 10LL * 60 * 1000;
  // Different requests among the crashes of a part.
  int mMinRequests = 2;
  // Evidence against what is not blocked expires.
  TimeMs mEvidenceTtlMs = 10LL * 60 * 1000;
  // How long a blocked suspect is kept after it was last requested.
  TimeMs mRetentionMs = 24LL * 3600 * 1000;
  // Time from the last crash to the first trial of a blocked suspect, and the
  // factor by which the time grows with each trial: three trials a day.
  TimeMs mFirstTrialMs = 10LL * 60 * 1000;
  int mTrialGrowth = 8;
  // A run counts as a candidate for this long after it was cancelled.
  TimeMs mCancelledTtlMs = 1000;
  std::size_t mMaxSuspects = 512;
};

enum class SuspectKind : std::uint8_t
{
  Request,
  PromptPart,
};

inline constexpr std::array<EnumName<SuspectKind>, 2> kSuspectKindNames{ {
  { SuspectKind::Request, "request" },
  { SuspectKind::PromptPart, "prompt-part" },
} };

// The text of an id, as in the headers of the platform.
std::string
FormatHex(std::uint64_t aId);

struct SuspectKey
{
  std::string mService;
  SuspectKind mKind = SuspectKind::Request;
  // The request's fingerprint or the part's id.
  std::uint64_t mId = 0;

  bool operator==(const SuspectKey&) const = default;
  bool operator<(const SuspectKey& aOther) const
  {
    return std::tie(mService, mKind, mId) <
           std::tie(aOther.mService, aOther.mKind, aOther.mId);
  }
};

// What may crash a backend server in one request: the request itself and the
// shared parts of its prompt, in their order.
struct RequestContents
{
  std::string mService;
  std::uint64_t mFingerprint = 0;
  std::vector<std::uint64_t> mParts;
};

// A request that was at a backend server when it crashed, and had not been
// answered beyond the head.
struct CrashCandidate
{
  RequestContents mContents;
  TimeMs mSentMs = 0;
  // The head of its answer had arrived.
  bool mStarted = false;
};

// A crash in which a suspect took part, by one request that held it.
struct CrashEvidence
{
  std::uint64_t mCrash = 0;
  std::uint64_t mFingerprint = 0;
  TimeMs mSentMs = 0;
  // When the crash was noticed.
  TimeMs mCrashedMs = 0;
  bool mStarted = false;
  // A blocked part explains the crash, so that it does not count against
  // others. Derived, not reported.
  bool mExplained = false;

  bool operator==(const CrashEvidence&) const = default;
};

inline constexpr TimeMs kNeverMs = std::numeric_limits<TimeMs>::min() / 2;

struct CrashSuspect
{
  // Position of a part in the prompts; the most specific part comes last.
  int mDepth = 0;
  // One row for each crash.
  std::vector<CrashEvidence> mEvidence;
  // A request with it was answered; evidence of requests sent before is void.
  TimeMs mAnsweredMs = kNeverMs;
  int mTrials = 0;
  TimeMs mLastTrialMs = kNeverMs;
  TimeMs mLastSeenMs = kNeverMs;
  bool mBlocked = false;
  // Number of beacons that still report the last change made by this host, and
  // when a beacon reported it last.
  int mReportsLeft = 0;
  TimeMs mLastReportedMs = kNeverMs;
};

// When parts were last answered at this host. Two generations bound the memory.
struct AnsweredParts
{
  using Generation = std::map<SuspectKey, TimeMs>;
  Generation mNewer;
  Generation mOlder;
};

struct CrashSuspects
{
  std::map<SuspectKey, CrashSuspect> mSuspects;
  AnsweredParts mAnswered;
  // Runs that this host cancelled, with the crash that would end their backend
  // server's process.
  struct CancelledRun
  {
    std::uint64_t mCrash = 0;
    CrashCandidate mCandidate;
    TimeMs mCancelledMs = 0;
  };
  std::deque<CancelledRun> mCancelledRuns;
  // Recent crashes, with the time at which they were noticed.
  struct NoticedCrash
  {
    TimeMs mCrashedMs = 0;
    int mReportsLeft = 0;
  };
  std::map<std::uint64_t, NoticedCrash> mCrashes;
  // Suspects that were blocked since the last ExtractBlocked.
  std::vector<SuspectKey> mNewlyBlocked;
};

// A backend server on which these requests were has crashed. The id is the same
// at all hosts (CrashId).
void
OnCrash(CrashSuspects& aSuspects,
        const CrashSuspectOptions& aOptions,
        std::uint64_t aCrash,
        std::span<const CrashCandidate> aCandidates,
        TimeMs aNowMs);

// This host has cancelled a run at the backend server whose crash would have
// the id. The process may crash by it a little later.
void
OnRunCancelled(CrashSuspects& aSuspects,
               const CrashSuspectOptions& aOptions,
               std::uint64_t aCrash,
               const CrashCandidate& aCandidate,
               TimeMs aNowMs);

// A backend server has answered the request beyond the head.
void
OnAnswered(CrashSuspects& aSuspects,
           const CrashSuspectOptions& aOptions,
           const RequestContents& aContents,
           TimeMs aNowMs);

// The first blocked suspect that a request holds, or nothing if the request may
// be sent. Renews the suspect's retention.
std::optional<SuspectKey>
FindBlockedSuspect(CrashSuspects& aSuspects,
                   const RequestContents& aContents,
                   TimeMs aNowMs);

// Whether a blocked suspect is due for a trial: one request with it may be sent
// once, without a repetition. Records the trial. One host should make the
// trials for the fleet.
bool
TryAcquireTrial(CrashSuspects& aSuspects,
                const CrashSuspectOptions& aOptions,
                const SuspectKey& aKey,
                TimeMs aNowMs);

// Returns the suspects that were blocked since the last call and still are.
std::vector<SuspectKey>
ExtractBlocked(CrashSuspects& aSuspects);

// Rows of a beacon. They hold ages, not times, because the clocks of the hosts
// are not related.
struct CrashEvidenceRow
{
  std::uint64_t mCrash = 0;
  std::uint64_t mFingerprint = 0;
  TimeMs mSentAgeMs = 0;
  TimeMs mCrashedAgeMs = 0;
  bool mStarted = false;
};

struct CrashSuspectRow
{
  SuspectKey mKey;
  int mDepth = 0;
  std::vector<CrashEvidenceRow> mEvidence;
  // -1 if never.
  TimeMs mAnsweredAgeMs = -1;
  TimeMs mTrialAgeMs = -1;
  int mTrials = 0;
};

struct CrashRow
{
  std::uint64_t mCrash = 0;
  TimeMs mAgeMs = 0;
};

struct CrashReport
{
  std::vector<CrashSuspectRow> mSuspects;
  std::vector<CrashRow> mCrashes;
};

// The report for the next beacon: what this host learned by itself, several
// times, and from time to time all that is blocked, for hosts that have just
// started. The gravest suspects come first.
CrashReport
MakeCrashReport(CrashSuspects& aSuspects, TimeMs aNowMs);

// Makes the next report hold all that is blocked, for a host that was just
// heard for the first time.
void
OnHostJoined(CrashSuspects& aSuspects);

// Whether the next beacon has something new to report.
bool
HasNewReport(const CrashSuspects& aSuspects);

// Merges a peer's report. Copies merge to the same evidence in any order.
void
MergeCrashReport(CrashSuspects& aSuspects,
                 const CrashSuspectOptions& aOptions,
                 const CrashReport& aReport,
                 TimeMs aNowMs);

// Removes what has expired. To be called every few seconds at least.
void
ExpireSuspects(CrashSuspects& aSuspects,
               const CrashSuspectOptions& aOptions,
               TimeMs aNowMs);

} // namespace savory
