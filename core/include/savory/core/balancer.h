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

// A member of a pool in the host list.
struct PoolMember
{
  std::string mAddress;
  std::string mRegion;
};

// The members that an entry uses: at most `aSize`, those of its own region
// first, ordered by rendezvous hashing of entry and address. Adding or removing
// one member changes at most one element of the subset.
std::vector<std::string>
ChooseSubset(std::string_view aEntry,
             std::string_view aRegion,
             std::span<const PoolMember> aMembers,
             std::size_t aSize = 64);

// Parameters of the selection. The `mUse` switches exist for tests that show
// what a mechanism prevents; the programs never change them.
struct BalancerOptions
{
  int mChoices = 2;
  int mProbes = 64;
  std::size_t mMaxCandidates = 3;
  std::size_t mPrefixCapacity = 1 << 16;
  TimeMs mPrefixTtlMs = 600000;
  TimeMs mReportStaleMs = 5000;
  TimeMs mRefusalBackoffMs = 1000;
  double mAgentQueueRatio = 0.25;
  TimeMs mZoneStepMs = 5000;
  double mCachedBonus = 2.0;
  double mOtherZonePenalty = 0.02;
  // Share of choices that put an eligible cold backend server first. Ranked by
  // occupancy alone, an empty one with an allowance of 1 stays behind warm ones
  // that are nearly full, and never warms up.
  double mWarmupShare = 0.01;
  bool mUseAllowance = true;
  bool mUseZones = true;
  bool mUseLeaving = true;
};

// A zone of the configuration, and since when it has been in its state.
struct ZoneStatus
{
  std::string mName;
  std::string mRegion;
  ZoneState mState = ZoneState::In;
  TimeMs mSinceMs = 0;
};

// A backend server behind its agent. Its load is the sum of the requests, and
// of the tokens, of this entry (local) and of all other entries (peer). The
// peer part is the agent's last reported load less the local part at that time.
// `mRefusedLoad` is the load in requests at which the agent refused one; 0 when
// it has refused none since its last report of a lower load.
struct BackendState
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
  int mPeerRequests = 0;
  int mLocalRequests = 0;
  int mRefusedLoad = 0;
  TimeMs mRefusedMs = 0;
  std::int64_t mPeerTokens = 0;
  std::int64_t mLocalTokens = 0;
  std::int64_t mTokenCapacity = 0;
  std::uint32_t mCacheEpoch = 0;
  TimeMs mReportedMs = 0;
  std::string mZoneName;
};

// The backend servers that have one prefix cached. A holder with an older cache
// epoch has lost its cache since and does not count.
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

// The state of an entry's backend servers. `mIndex` lists the usable rows of a
// pool and version; it is rebuilt when a row's membership changes, never on a
// change of load. `mPoolAllowance` is the largest allowance ever reported in a
// pool; it identifies cold members even when all warm ones have left.
struct Balancer
{
  std::string mLocalZone;
  std::vector<ZoneStatus> mZones;
  std::vector<BackendState> mRows;
  std::unordered_map<std::string, std::uint32_t> mByAddress;
  std::vector<std::uint32_t> mFreeRows;
  std::unordered_map<std::uint64_t, std::vector<std::uint32_t>> mIndex;
  std::unordered_map<std::uint64_t, int> mPoolAllowance;
  bool mIndexStale = false;
  std::unordered_map<std::uint64_t, PrefixHolders> mPrefixes;
  std::unordered_map<std::uint64_t, PrefixHolders> mOlderPrefixes;
};

// Applies the zones of a configuration. A zone whose state changes to returning
// starts its steps at `aNowMs`; repeating the same state does not restart them.
void
ApplyZones(Balancer& aBalancer, std::span<const Zone> aZones, TimeMs aNowMs);

// The share in [0, 1] of its normal traffic that a zone receives.
double
ZoneWeight(const ZoneStatus& aZone,
           const BalancerOptions& aOptions,
           TimeMs aNowMs);

// Applies an agent's report. A report of an older incarnation is ignored.
// Leaving is final for an incarnation, so a late report cannot revoke it.
void
ApplyReport(Balancer& aBalancer, const AgentReport& aReport, TimeMs aNowMs);

// Marks an agent as leaving because the host list says so.
void
MarkLeaving(Balancer& aBalancer, std::string_view aAddress);

// Removes an agent that is no longer a member.
void
RemoveBackend(Balancer& aBalancer, std::string_view aAddress);

// A request of this entry was sent to a backend server, or ended there with any
// result. Sending records the backend server as a holder of the prefixes.
void
OnRequestSent(Balancer& aBalancer,
              const BalancerOptions& aOptions,
              std::string_view aAddress,
              std::int64_t aTokens,
              std::span<const std::uint64_t> aPrefix,
              TimeMs aNowMs);
void
OnRequestEnded(Balancer& aBalancer,
               std::string_view aAddress,
               std::int64_t aTokens);

// The load that an agent states in a refusal (AnswerHead::mLoadHint).
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

// Returns nothing when the text is not a load hint, such as the hint of another
// kind of refusal.
std::optional<LoadHint>
DecodeLoadHint(std::string_view aText);

// Applies the load stated in a refusal. Call it after OnRequestEnded for the
// refused request, so that this one does not count as local load.
void
ApplyLoadHint(Balancer& aBalancer,
              std::string_view aAddress,
              const LoadHint& aHint,
              TimeMs aNowMs);

// A backend server reported that it stored or evicted a prefix.
void
OnCacheEvent(Balancer& aBalancer,
             const BalancerOptions& aOptions,
             std::string_view aAddress,
             std::uint64_t aPrefix,
             bool aStored,
             TimeMs aNowMs);

// Hashes of a prompt's leading complete blocks; each hash covers all blocks up
// to its own. At most `aMaxBlocks` blocks of `aBlockBytes`; a prompt shorter
// than a block has none.
std::vector<std::uint64_t>
PrefixHashes(std::string_view aPrompt,
             std::size_t aBlockBytes = 1024,
             std::size_t aMaxBlocks = 32);

// The request to place. `mVersion` is "model@version", empty for a plain
// service; `mExcluded` are the addresses that were tried already.
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

// The candidates, best first. When there are none, `mCode` says why and
// `mRetryAfterMs` when a retry may succeed. `mReason` is the text for the
// decision log.
struct Choice
{
  std::vector<Candidate> mCandidates;
  ErrorCode mCode = ErrorCode::NoBackend;
  TimeMs mRetryAfterMs = 0;
  std::string mReason;
};

// Chooses by power of d choices among the eligible backend servers and the
// holders of the longest known prefix. The cost does not grow with the pool.
Choice
ChooseBackend(Balancer& aBalancer,
              const BalancerOptions& aOptions,
              const ChoiceRequest& aRequest,
              RandomEngine& aRandom,
              TimeMs aNowMs);

} // namespace savory
