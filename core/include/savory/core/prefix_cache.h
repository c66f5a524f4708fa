#pragma once

#include "savory/core/types.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace savory {

// A prompt part that an engine holds in its KV cache as far as this host knows.
struct CachedPart
{
  TimeMs mUsedMs = 0;
  // PrefixCache::mReadMs when the part was used last.
  double mReadMs = 0;
  // Uses, decayed to mUsedMs; see UsesPerMs.
  double mUses = 0;
};

// What the KV cache of one runner is estimated to hold. An engine evicts the
// least recently used tokens, so a part is held until about as many tokens as
// fit into the memory were read after its last use. Peers report what they sent
// in milliseconds of prefill, so that is the unit in which reading is counted.
struct PrefixCache
{
  // Keyed by PrefixCacheKey.
  std::unordered_map<std::uint64_t, CachedPart> mParts;
  // Milliseconds of prefill sent to the runner by this host and its peers.
  double mReadMs = 0;
};

// Records the use of a part and bounds the number of parts.
void
TouchPart(PrefixCache& aCache, std::uint64_t aKey, TimeMs aNowMs);

// Whether a part is estimated to be held by an engine whose memory takes
// aCapacityMs of prefill.
bool
HoldsPart(const PrefixCache& aCache,
          std::uint64_t aKey,
          double aCapacityMs,
          TimeMs aNowMs);

// Recent uses of a part per millisecond, by this host and its peers.
double
UsesPerMs(const PrefixCache& aCache, std::uint64_t aKey, TimeMs aNowMs);

// Whether the time to the first event fits a prefill of the whole prompt better
// than one of the part that was not expected to be cached. Both are expected
// times with the queue. Times that differ by less than half say nothing.
bool
IsCacheMiss(double aObservedMs, double aHitMs, double aMissMs);

// What a request does about a prompt prefix that it shares with others.
enum class PrefixOption
{
  // The prompt has no shared part.
  NoPrefix,
  // It goes to a runner that holds the prefix, behind what waits there.
  WaitAtHolder,
  // It goes to a runner that reads the prefix.
  Prefill,
};

inline constexpr std::array<EnumName<PrefixOption>, 3> kPrefixOptionNames{ {
  { PrefixOption::NoPrefix, "no-prefix" },
  { PrefixOption::WaitAtHolder, "wait-at-holder" },
  { PrefixOption::Prefill, "prefill" },
} };

enum class PrefixReason
{
  NoPrefix,
  // No runner that may take the request is known to hold the prefix.
  NotHeld,
  // The option costs callers the least time.
  LeastTime,
  // The runners that hold the prefix have no slot free.
  HolderFull,
  // The queue at the holder is longer than reading the prefix elsewhere.
  HolderQueue,
  // The holder works slowly.
  HolderSlow,
  // The prefix is copied to a second runner, as the requests that wait for it
  // lose more time than it takes to read it.
  Replicate,
};

inline constexpr std::array<EnumName<PrefixReason>, 7> kPrefixReasonNames{ {
  { PrefixReason::NoPrefix, "no-prefix" },
  { PrefixReason::NotHeld, "not-held" },
  { PrefixReason::LeastTime, "least-time" },
  { PrefixReason::HolderFull, "holder-full" },
  { PrefixReason::HolderQueue, "holder-queue" },
  { PrefixReason::HolderSlow, "holder-slow" },
  { PrefixReason::Replicate, "replicate" },
} };

// The place of a runner in the rendezvous order of a prompt's last shared part.
enum class Affinity
{
  First,
  Second,
  Other,
};

// A runner that may take a request. Times are in milliseconds at that runner.
struct PrefixCandidate
{
  // How long work that begins now takes there over how long it takes at a usual
  // runner.
  double mWorkFactor = 1;
  // Prefill that waits there.
  double mQueueMs = 0;
  // Shared tokens that it holds.
  std::int64_t mCachedTokens = 0;
  // Requests for the last shared part that come there per millisecond.
  double mUsesPerMs = 0;
  // Estimates of its running and waiting requests, and its slots; 0 slots means
  // unknown.
  double mRunning = 0;
  double mWaiting = 0;
  int mSlots = 0;
  // Milliseconds per output token with this request in the batch.
  double mTokenMs = 0;
  // Other costs, in milliseconds of waiting: failures and zones.
  double mExtraMs = 0;
  Affinity mAffinity = Affinity::Other;
};

struct PrefixRequest
{
  std::int64_t mSharedTokens = 0;
  std::int64_t mUnsharedTokens = 0;
  double mMsPerToken = 0;
  double mFixedMs = 0;
  double mOutputTokens = 0;
};

struct PrefixDecision
{
  // Index in the table of candidates.
  std::size_t mCandidate = 0;
  PrefixOption mOption = PrefixOption::NoPrefix;
  PrefixReason mReason = PrefixReason::NoPrefix;
  // Estimated milliseconds at that runner: to the first event, of the prefill,
  // and before it.
  double mFirstEventMs = 0;
  double mPrefillMs = 0;
  double mQueueMs = 0;
};

// Chooses among at least one candidate the one that costs callers the least
// time: that of the request itself, until its last token, and that by which its
// prefill delays the requests that run there. Load: engines of which a third is
// slow, prompts that share most of their tokens, and batches that a prefill of
// 13,000 tokens stops for 80 ms.
PrefixDecision
DecidePrefix(const std::vector<PrefixCandidate>& aCandidates,
             const PrefixRequest& aRequest);

} // namespace savory
