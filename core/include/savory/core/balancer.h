#pragma once

#include "savory/core/config.h"
#include "savory/core/wire.h"

#include <array>
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace savory {

using RandomEngine = std::mt19937_64;

// A member of a pool as the host list names it.
struct PoolMember
{
  std::string mAddress;
  std::string mRegion;
};

// The members that an entry uses: at most `aSize`, its own region first, by
// rendezvous hashing of entry and address. A change of one member changes at
// most one place of the subset.
std::vector<std::string>
ChooseSubset(std::string_view aEntry,
             std::string_view aRegion,
             std::span<const PoolMember> aMembers,
             std::size_t aSize = 64);

// Tuning of the selection. The `mUse` switches exist for tests that show what
// a mechanism prevents; the processes never change them.
struct BalancerOptions
{
  int mChoices = 2;
  int mProbes = 64;
  std::size_t mMaxCandidates = 3;
  std::size_t mPrefixCapacity = 1 << 16;
  TimeMs mPrefixTtlMs = 600000;
  TimeMs mStaleMs = 5000;
  TimeMs mRefusalMs = 1000;
  double mAgentQueue = 0.25;
  TimeMs mZoneStepMs = 5000;
  double mCachedBonus = 2.0;
  double mOtherZonePenalty = 0.02;
  // Share of choices that put a cold backend server first when one is fit.
  // Ranked by occupancy alone, an empty one with an allowance of 1 stays behind
  // warm ones that are nearly full, and never warms up.
  double mWarmupShare = 0.01;
  bool mUseAllowance = true;
  bool mUseZones = true;
  bool mUseLeaving = true;
};

// A zone as the configuration has it, and since when it has been in its state.
struct ZoneView
{
  std::string mName;
  std::string mRegion;
  ZoneState mState = ZoneState::In;
  TimeMs mSinceMs = 0;
};

// A backend server behind its agent. Load counts requests and tokens; "others"
// is what the last report said less this entry's own part at that time. The
// agent refused at the load `mRefusedAt`; 0 when it has not since its report.
struct BackendRow
{
  std::string mAddress;
  std::string mPool;
  std::vector<std::string> mVersions;
  std::int64_t mIncarnation = 0;
  int mZone = -1;
  bool mPresent = false;
  bool mLeaving = false;
  bool mReachable = true;
  int mAllowance = 0;
  int mOthers = 0;
  int mOwn = 0;
  int mRefusedAt = 0;
  TimeMs mRefusedMs = 0;
  std::int64_t mOtherTokens = 0;
  std::int64_t mOwnTokens = 0;
  std::int64_t mTokenCapacity = 0;
  std::uint32_t mCacheEpoch = 0;
  TimeMs mReportedMs = 0;
  std::string mZoneName;
};

// The backend servers that hold one prefix. A holder of an older cache epoch
// lost its cache since and does not count.
struct PrefixHolders
{
  struct Holder
  {
    std::uint32_t mRow = 0;
    std::uint32_t mEpoch = 0;
    TimeMs mSeenMs = 0;
  };
  std::array<Holder, 3> mHolders{};
  std::size_t mCount = 0;
};

// Everything an entry knows of its backend servers. `mIndex` lists the usable
// rows of a pool and version; it is rebuilt when a row's membership changes,
// never on a change of load. `mPoolAllowance` is the largest allowance ever
// reported in a pool, by which cold members are known when all warm ones left.
struct Balancer
{
  std::string mOwnZone;
  std::vector<ZoneView> mZones;
  std::vector<BackendRow> mRows;
  std::unordered_map<std::string, std::uint32_t> mByAddress;
  std::vector<std::uint32_t> mFree;
  std::unordered_map<std::uint64_t, std::vector<std::uint32_t>> mIndex;
  std::unordered_map<std::uint64_t, int> mPoolAllowance;
  bool mIndexStale = false;
  std::unordered_map<std::uint64_t, PrefixHolders> mPrefixes;
  std::unordered_map<std::uint64_t, PrefixHolders> mOldPrefixes;
};

// Takes the zones of a configuration. A zone that changes to returning starts
// its steps at `aNowMs`; repeating the same state does not restart them.
void
ApplyZones(Balancer& aBalancer, std::span<const Zone> aZones, TimeMs aNowMs);

// The share in [0, 1] of its ordinary work that a zone receives.
double
ZoneWeight(const ZoneView& aZone,
           const BalancerOptions& aOptions,
           TimeMs aNowMs);

// Takes an agent's report. A report of an older incarnation is ignored, and
// leaving is final for an incarnation, so a late report cannot revoke it.
void
ApplyReport(Balancer& aBalancer, const AgentReport& aReport, TimeMs aNowMs);

// Marks an agent as leaving on the word of the host list.
void
MarkLeaving(Balancer& aBalancer, std::string_view aAddress);

// Forgets an agent that is no longer a member.
void
RemoveBackend(Balancer& aBalancer, std::string_view aAddress);

// Own requests: sent to a backend server, ended there in any way. Sending
// records the prefixes as held by it.
void
OnSent(Balancer& aBalancer,
       const BalancerOptions& aOptions,
       std::string_view aAddress,
       std::int64_t aTokens,
       std::span<const std::uint64_t> aPrefix,
       TimeMs aNowMs);
void
OnEnded(Balancer& aBalancer, std::string_view aAddress, std::int64_t aTokens);

// The load of an agent as its refusal states it (AnswerHead::mLoadHint).
struct LoadHint
{
  int mRunning = 0;
  int mQueued = 0;
  int mAllowance = 0;
  std::int64_t mTokensHeld = 0;
  std::int64_t mTokenCapacity = 0;
};

std::string
EncodeLoadHint(const LoadHint& aHint);

// Nothing when the text is no load hint, as the hint of another refusal.
std::optional<LoadHint>
DecodeLoadHint(std::string_view aText);

// Takes the load that a refusal carried. Call it after OnEnded for the refused
// request, so that it is not counted as own.
void
ApplyLoadHint(Balancer& aBalancer,
              std::string_view aAddress,
              const LoadHint& aHint,
              TimeMs aNowMs);

// A backend server's event that it stored or evicted a prefix.
void
OnCacheEvent(Balancer& aBalancer,
             const BalancerOptions& aOptions,
             std::string_view aAddress,
             std::uint64_t aPrefix,
             bool aStored,
             TimeMs aNowMs);

// Hashes of a prompt's leading whole blocks, each covering all before it. At
// most `aMaxBlocks` blocks of `aBlockBytes`; a shorter prompt has none.
std::vector<std::uint64_t>
PrefixHashes(std::string_view aPrompt,
             std::size_t aBlockBytes = 1024,
             std::size_t aMaxBlocks = 32);

// What is to be placed. `mVersion` is "model@version", empty for a plain
// service; `mExcluded` are addresses already tried.
struct ChoiceRequest
{
  std::string_view mPool;
  std::string_view mVersion;
  std::span<const std::uint64_t> mPrefix;
  std::int64_t mTokens = 0;
  std::span<const std::string> mExcluded;
};

struct Candidate
{
  std::string mAddress;
  double mScore = 0;
  std::size_t mCachedBlocks = 0;
};

// Candidates, best first. Without any, `mCode` says why and `mRetryAfterMs`
// when it may be different. `mReason` is the text for the decision log.
struct Choice
{
  std::vector<Candidate> mCandidates;
  ErrorCode mCode = ErrorCode::NoBackend;
  TimeMs mRetryAfterMs = 0;
  std::string mReason;
};

// Chooses by power of d choices among the eligible backend servers plus the
// holders of the longest known prefix. Cost does not grow with the pool.
Choice
ChooseBackend(Balancer& aBalancer,
              const BalancerOptions& aOptions,
              const ChoiceRequest& aRequest,
              RandomEngine& aRandom,
              TimeMs aNowMs);

} // namespace savory
