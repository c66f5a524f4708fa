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

// A crash of a backend server that a request was running on. The id is the
// same wherever the crash is told of: a hash of the agent's address and the
// incarnation of the backend server that crashed.
struct Crash
{
  std::uint64_t mId = 0;
  bool mIsolated = false;
  bool mCleared = false;
};

// A request under suspicion. Its crashes only grow, and cleared ones stay
// cleared, so that copies merge in any order to the same value.
struct Suspect
{
  std::vector<Crash> mCrashes;
  TimeMs mLastSeenMs = std::numeric_limits<TimeMs>::min() / 2;
};

struct Quarantine
{
  std::unordered_map<std::uint64_t, Suspect> mSuspects;
};

// A suspect as gossip carries it. The age, not the time, is sent, since the
// clocks of the processes are not related; it keeps an expired suspect from
// returning through a peer with a new lifetime.
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

// Marks the requests that ran on a backend server when it crashed. When there
// was one, it ran in isolation, whether or not it was a suspect before.
void
OnCrash(Quarantine& aQuarantine,
        const QuarantineOptions& aOptions,
        std::uint64_t aCrashId,
        std::span<const std::uint64_t> aFingerprints,
        TimeMs aNowMs);

// Clears a request that ran to its end. A request that is refused stays so.
void
OnRequestCompleted(Quarantine& aQuarantine,
                   const QuarantineOptions& aOptions,
                   std::uint64_t aFingerprint);

// How to treat a request. An attempt of a refused request renews its lifetime,
// so that a caller that resends for days is not let through once a day.
QuarantineAction
CheckQuarantine(Quarantine& aQuarantine,
                const QuarantineOptions& aOptions,
                std::uint64_t aFingerprint,
                TimeMs aNowMs);

// The backend server on which a suspect may run: every entry names the same
// one, and its agent runs one such request at a time, so no lock is needed.
// `aAddresses` are the live members of the pool that serve the version; empty
// when there is none.
std::string
IsolationTarget(std::uint64_t aFingerprint,
                std::span<const std::string> aAddresses);

// All suspects for gossip, and the merge of a peer's. True when it told of
// anything new, which should be passed on at once.
std::vector<SuspectRow>
MakeSuspectRows(const Quarantine& aQuarantine, TimeMs aNowMs);
bool
MergeSuspects(Quarantine& aQuarantine,
              const QuarantineOptions& aOptions,
              std::span<const SuspectRow> aRows,
              TimeMs aNowMs);

// Forgets suspects older than the retention.
void
ExpireSuspects(Quarantine& aQuarantine,
               const QuarantineOptions& aOptions,
               TimeMs aNowMs);

} // namespace savory
