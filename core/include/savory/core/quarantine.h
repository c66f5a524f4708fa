#pragma once

#include "savory/core/types.h"

#include <array>
#include <cstdint>
#include <limits>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace savory {

struct QuarantineOptions
{
  std::size_t mMaxSuspects = 4096;
  int mMaxIsolatedCrashes = 2;
  int mMaxCrashes = 3;
  TimeMs mRetentionMs = 24LL * 3600 * 1000;
};

// A crash of a backend server on which a request was running. The id is the
// same in all reports of the crash: a hash of the agent's address and the
// incarnation of the backend server that crashed.
struct Crash
{
  std::uint64_t mId = 0;
  bool mIsolated = false;
  bool mCleared = false;
};

// A request that may have crashed backend servers. Crashes are only added, and
// cleared ones stay cleared, so that copies merge to the same value in any
// order.
struct Suspect
{
  std::vector<Crash> mCrashes;
  TimeMs mLastSeenMs = std::numeric_limits<TimeMs>::min() / 2;
};

struct Quarantine
{
  std::unordered_map<std::uint64_t, Suspect> mSuspects;
};

// A suspect in a gossip message. It holds the age, not the time, because the
// clocks of the processes are not related. The age prevents an expired suspect
// from returning through a peer with a new lifetime.
struct SuspectRow
{
  std::uint64_t mFingerprint = 0;
  std::vector<Crash> mCrashes;
  TimeMs mAgeMs = 0;
};

// How a request may run: with others, alone on the backend server that
// IsolationTarget names, or not at all.
enum class QuarantineAction
{
  Free,
  Isolate,
  Refuse,
};

inline constexpr std::array<EnumName<QuarantineAction>, 3>
  kQuarantineActionNames{ {
    { QuarantineAction::Free, "free" },
    { QuarantineAction::Isolate, "isolate" },
    { QuarantineAction::Refuse, "refuse" },
  } };

std::uint64_t
CrashId(std::string_view aAddress, std::string_view aIncarnation);

// Records a crash for the requests that were running on the backend server. If
// there was only one, its crash counts as isolated, whether or not the request
// was a suspect before.
void
OnCrash(Quarantine& aQuarantine,
        const QuarantineOptions& aOptions,
        std::uint64_t aCrashId,
        std::span<const std::uint64_t> aFingerprints,
        TimeMs aNowMs);

// Clears the crashes of a request that completed. A refused request stays
// refused.
void
OnRequestCompleted(Quarantine& aQuarantine,
                   const QuarantineOptions& aOptions,
                   std::uint64_t aFingerprint);

// Decides how a request may run. An attempt of a refused request renews its
// retention, so that a caller that resends for days is not admitted once a day.
QuarantineAction
CheckQuarantine(Quarantine& aQuarantine,
                const QuarantineOptions& aOptions,
                std::uint64_t aFingerprint,
                TimeMs aNowMs);

// The backend server on which a suspect may run, by rendezvous hashing. Every
// entry chooses the same one, and its agent runs one such request at a time, so
// no lock is needed. `aAddresses` are the live members of the pool that serve
// the version; the result is empty when there is none.
std::string
IsolationTarget(std::uint64_t aFingerprint,
                std::span<const std::string> aAddresses);

// Gossip: makes the rows of all suspects, and merges the rows of a peer. True
// when a row held new information, which should be forwarded at once.
std::vector<SuspectRow>
MakeSuspectRows(const Quarantine& aQuarantine, TimeMs aNowMs);
bool
MergeSuspects(Quarantine& aQuarantine,
              const QuarantineOptions& aOptions,
              std::span<const SuspectRow> aRows,
              TimeMs aNowMs);

// Removes suspects whose age has reached the retention.
void
ExpireSuspects(Quarantine& aQuarantine,
               const QuarantineOptions& aOptions,
               TimeMs aNowMs);

} // namespace savory
