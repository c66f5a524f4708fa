#include "savory/core/balancer.h"
#include "balancer_index.h"
#include "savory/core/identity.h"

#include <algorithm>
#include <cstdio>

namespace savory {

std::uint64_t
IndexKey(std::string_view aPool, std::string_view aVersion)
{
  return Hash64(aVersion, Hash64(aPool));
}

void
RebuildIndex(Balancer& aBalancer, const BalancerOptions& aOptions)
{
  aBalancer.mIndex.clear();
  for (std::size_t i = 0; i < aBalancer.mRows.size(); ++i) {
    const auto& row = aBalancer.mRows[i];
    if (!row.mPresent) {
      continue;
    }
    // A pool is listed even when none of its members is usable, so that a
    // refusal can tell this apart from an unknown pool.
    auto& all = aBalancer.mIndex[IndexKey(row.mPool, {})];
    bool zoneOut =
      row.mZone < 0 || aBalancer.mZones[row.mZone].mState == ZoneState::Out;
    if ((aOptions.mUseZones && zoneOut) || !row.mReachable ||
        (aOptions.mUseLeaving && row.mLeaving)) {
      continue;
    }
    all.push_back(static_cast<std::uint32_t>(i));
    for (const auto& version : row.mVersions) {
      aBalancer.mIndex[IndexKey(row.mPool, version)].push_back(
        static_cast<std::uint32_t>(i));
    }
  }
  aBalancer.mIndexStale = false;
}

void
RecordPrefix(Balancer& aBalancer,
             const BalancerOptions& aOptions,
             std::uint64_t aHash,
             std::uint32_t aRow,
             TimeMs aNowMs)
{
  // Two generations bound the memory: when the younger one is full it replaces
  // the older one, and prefixes in use move back into the younger.
  if (aBalancer.mPrefixes.size() >= aOptions.mPrefixCapacity / 2) {
    aBalancer.mOlderPrefixes = std::move(aBalancer.mPrefixes);
    aBalancer.mPrefixes = {};
  }
  auto [found, isNew] = aBalancer.mPrefixes.try_emplace(aHash);
  auto& holders = found->second;
  if (isNew) {
    auto old = aBalancer.mOlderPrefixes.find(aHash);
    if (old != aBalancer.mOlderPrefixes.end()) {
      holders = old->second;
    }
  }
  PrefixHolders::Holder holder{ aRow,
                                aBalancer.mRows[aRow].mCacheEpoch,
                                aNowMs };
  auto* begin = holders.mHolders.data();
  auto* end = begin + holders.mCount;
  auto* known = std::find_if(
    begin, end, [&](const auto& aHolder) { return aHolder.mRow == aRow; });
  if (known == end) {
    if (holders.mCount < holders.mHolders.size()) {
      ++holders.mCount;
    } else {
      known =
        std::min_element(begin, end, [](const auto& aLeft, const auto& aRight) {
          return aLeft.mSeenMs < aRight.mSeenMs;
        });
    }
  }
  *known = holder;
}

const PrefixHolders*
FindPrefix(const Balancer& aBalancer, std::uint64_t aHash)
{
  for (const auto* map : { &aBalancer.mPrefixes, &aBalancer.mOlderPrefixes }) {
    auto found = map->find(aHash);
    if (found != map->end() && found->second.mCount > 0) {
      return &found->second;
    }
  }
  return nullptr;
}

namespace {

// Why a row is not eligible for the request now.
enum class Rejection
{
  None,
  Excluded,
  ZoneShare,
  Cold,
  Full,
  Memory,
};

struct ScoredRow
{
  std::uint32_t mRow = 0;
  double mScore = 0;
  std::size_t mCachedBlocks = 0;
};

struct Selection
{
  const Balancer& mBalancer;
  const BalancerOptions& mOptions;
  const ChoiceRequest& mRequest;
  RandomEngine& mRandom;
  TimeMs mNowMs;
  int mPoolAllowance = 0;
  std::array<ScoredRow, 16> mEligible{};
  std::size_t mEligibleCount = 0;
  std::array<int, 6> mRejections{};
};

double
UniformIn01(RandomEngine& aRandom)
{
  return static_cast<double>(aRandom() >> 11) * 0x1.0p-53;
}

Rejection
CheckRow(Selection& aSelection, const BackendState& aRow, bool aApplyZoneShare)
{
  const auto& options = aSelection.mOptions;
  for (const auto& address : aSelection.mRequest.mExcluded) {
    if (address == aRow.mAddress) {
      return Rejection::Excluded;
    }
  }
  if (options.mUseZones && aApplyZoneShare) {
    const auto& zone =
      aSelection.mBalancer.mZones[static_cast<std::size_t>(aRow.mZone)];
    double weight = ZoneWeight(zone, options, aSelection.mNowMs);
    if (weight < 1 && UniformIn01(aSelection.mRandom) >= weight) {
      return Rejection::ZoneShare;
    }
  }
  int load = aRow.mPeerRequests + aRow.mLocalRequests;
  if (options.mUseAllowance) {
    // A backend server whose allowance is below the pool's largest counts as
    // cold, and its allowance is a hard limit. A warm one gets a fraction more,
    // which queues at its agent, so that a freed slot does not stay empty for a
    // round trip.
    bool cold = aRow.mAllowance < aSelection.mPoolAllowance;
    if (cold && load >= aRow.mAllowance) {
      return Rejection::Cold;
    }
    int queue = static_cast<int>(options.mAgentQueueRatio * aRow.mAllowance);
    if (load >= aRow.mAllowance + queue) {
      return Rejection::Full;
    }
  }
  // An agent that refused a request is not tried again at the same load, or
  // requests would go back and forth between entry and agent while they wait.
  if (aRow.mRefusedLoad > 0 && load >= aRow.mRefusedLoad &&
      aSelection.mNowMs - aRow.mRefusedMs < options.mRefusalBackoffMs) {
    return Rejection::Full;
  }
  if (aRow.mTokenCapacity > 0 &&
      aRow.mPeerTokens + aRow.mLocalTokens + aSelection.mRequest.mTokens >
        aRow.mTokenCapacity) {
    return Rejection::Memory;
  }
  return Rejection::None;
}

double
ScoreRow(const Selection& aSelection,
         const BackendState& aRow,
         std::size_t aCached)
{
  const auto& options = aSelection.mOptions;
  double load = aRow.mPeerRequests + aRow.mLocalRequests;
  double occupancy = (load + 1) / std::max(1, aRow.mAllowance);
  // Requests beyond the allowance queue, which costs far more than a full
  // batch.
  double score = occupancy <= 1 ? occupancy : 1 + 4 * (occupancy - 1);
  if (aRow.mTokenCapacity > 0) {
    score += 0.25 * static_cast<double>(aRow.mPeerTokens + aRow.mLocalTokens) /
             static_cast<double>(aRow.mTokenCapacity);
  }
  if (!aSelection.mRequest.mPrefix.empty()) {
    score -= options.mCachedBonus * static_cast<double>(aCached) /
             static_cast<double>(aSelection.mRequest.mPrefix.size());
  }
  if (aRow.mZone < 0 ||
      aSelection.mBalancer.mZones[static_cast<std::size_t>(aRow.mZone)].mName !=
        aSelection.mBalancer.mLocalZone) {
    score += options.mOtherZonePenalty;
  }
  if (aSelection.mNowMs - aRow.mReportedMs > options.mReportStaleMs) {
    score += 10;
  }
  return score;
}

// Adds a row to the candidates when it is eligible and not yet among them.
bool
TryAddCandidate(Selection& aSelection,
                std::uint32_t aIndex,
                std::size_t aCached,
                bool aApplyZoneShare)
{
  for (std::size_t i = 0; i < aSelection.mEligibleCount; ++i) {
    if (aSelection.mEligible[i].mRow == aIndex) {
      return false;
    }
  }
  const auto& row = aSelection.mBalancer.mRows[aIndex];
  Rejection rejection = CheckRow(aSelection, row, aApplyZoneShare);
  ++aSelection.mRejections[static_cast<std::size_t>(rejection)];
  if (rejection != Rejection::None ||
      aSelection.mEligibleCount == aSelection.mEligible.size()) {
    return false;
  }
  aSelection.mEligible[aSelection.mEligibleCount++] = {
    aIndex, ScoreRow(aSelection, row, aCached), aCached
  };
  return true;
}

// Adds the eligible holders of the longest prefix that has any.
void
AddPrefixHolders(Selection& aSelection)
{
  const auto& prefix = aSelection.mRequest.mPrefix;
  for (std::size_t length = prefix.size(); length > 0; --length) {
    const auto* holders = FindPrefix(aSelection.mBalancer, prefix[length - 1]);
    if (!holders) {
      continue;
    }
    bool any = false;
    for (std::size_t i = 0; i < holders->mCount; ++i) {
      const auto& holder = holders->mHolders[i];
      const auto& row = aSelection.mBalancer.mRows[holder.mRow];
      bool serves =
        aSelection.mRequest.mVersion.empty() ||
        std::find(row.mVersions.begin(),
                  row.mVersions.end(),
                  aSelection.mRequest.mVersion) != row.mVersions.end();
      bool zoneIn =
        row.mZone >= 0 &&
        aSelection.mBalancer.mZones[static_cast<std::size_t>(row.mZone)]
            .mState != ZoneState::Out;
      bool usable =
        row.mPresent && row.mReachable && serves &&
        row.mPool == aSelection.mRequest.mPool &&
        (!row.mLeaving || !aSelection.mOptions.mUseLeaving) &&
        (zoneIn || !aSelection.mOptions.mUseZones) &&
        holder.mEpoch == row.mCacheEpoch &&
        aSelection.mNowMs - holder.mSeenMs <= aSelection.mOptions.mPrefixTtlMs;
      if (usable) {
        any |= TryAddCandidate(aSelection, holder.mRow, length, true);
      }
    }
    if (any) {
      return;
    }
  }
}

// Sets the reason of the choice and, without candidates, the error code. Among
// the rejections that occurred, a full backend server decides before a cold
// one, and a cold one before a lack of memory.
void
DescribeChoice(const Selection& aSelection,
               std::size_t aUsable,
               Choice& aChoice)
{
  auto count = [&](Rejection aRejection) {
    return aSelection.mRejections[static_cast<std::size_t>(aRejection)];
  };
  char text[160];
  if (aChoice.mCandidates.empty()) {
    if (count(Rejection::Full) > 0) {
      aChoice.mCode = ErrorCode::Overloaded;
    } else if (count(Rejection::Cold) > 0) {
      aChoice.mCode = ErrorCode::ColdLimit;
    } else if (count(Rejection::Memory) > 0) {
      aChoice.mCode = ErrorCode::MemoryLimit;
    } else {
      aChoice.mCode = ErrorCode::NoBackend;
    }
    aChoice.mRetryAfterMs = aChoice.mCode == ErrorCode::ColdLimit ? 1000 : 500;
    std::snprintf(
      text,
      sizeof text,
      "none of %zu usable is eligible: %d cold at allowance, %d full, "
      "%d out of memory, %d excluded, %d by zone share",
      aUsable,
      count(Rejection::Cold),
      count(Rejection::Full),
      count(Rejection::Memory),
      count(Rejection::Excluded),
      count(Rejection::ZoneShare));
  } else {
    const auto& best = aChoice.mCandidates.front();
    std::snprintf(text,
                  sizeof text,
                  "score %.3f, %zu of %zu blocks cached, best of %zu eligible "
                  "among %zu usable",
                  best.mScore,
                  best.mCachedBlocks,
                  aSelection.mRequest.mPrefix.size(),
                  aSelection.mEligibleCount,
                  aUsable);
  }
  aChoice.mReason = text;
}

} // namespace

Choice
ChooseBackend(Balancer& aBalancer,
              const BalancerOptions& aOptions,
              const ChoiceRequest& aRequest,
              RandomEngine& aRandom,
              TimeMs aNowMs)
{
  Choice choice;
  // 1. The rows that serve the version.
  if (aBalancer.mIndexStale) {
    RebuildIndex(aBalancer, aOptions);
  }
  std::uint64_t poolKey = IndexKey(aRequest.mPool, {});
  auto pool = aBalancer.mIndex.find(poolKey);
  auto usable =
    aRequest.mVersion.empty()
      ? pool
      : aBalancer.mIndex.find(IndexKey(aRequest.mPool, aRequest.mVersion));
  if (usable == aBalancer.mIndex.end() || usable->second.empty()) {
    bool anyUsable = pool != aBalancer.mIndex.end() && !pool->second.empty();
    choice.mCode = anyUsable ? ErrorCode::ModelNotLoaded : ErrorCode::NoBackend;
    choice.mRetryAfterMs = 1000;
    choice.mReason = anyUsable
                       ? "no usable backend server has the version loaded"
                       : "the pool has no usable backend server";
    return choice;
  }
  const auto& rows = usable->second;
  Selection selection{ aBalancer, aOptions, aRequest, aRandom, aNowMs };
  selection.mPoolAllowance = aBalancer.mPoolAllowance[poolKey];

  // 2. Holders of the prompt's prefix, then random draws.
  AddPrefixHolders(selection);
  for (int i = 0; i < aOptions.mChoices; ++i) {
    TryAddCandidate(selection, rows[aRandom() % rows.size()], 0, true);
  }

  // 3. When these are too few, a bounded scan from a random start. A returning
  // zone gets more than its share only when no other row is eligible.
  std::size_t wanted = std::min(aOptions.mMaxCandidates, rows.size());
  std::size_t probes =
    std::min(rows.size(), static_cast<std::size_t>(aOptions.mProbes));
  for (bool applyZoneShare : { true, false }) {
    std::size_t start = aRandom() % rows.size();
    for (std::size_t i = 0; i < probes && selection.mEligibleCount < wanted;
         ++i) {
      TryAddCandidate(
        selection, rows[(start + i) % rows.size()], 0, applyZoneShare);
    }
    if (selection.mEligibleCount > 0) {
      break;
    }
  }

  // 4. Sort by score, best first.
  auto begin = selection.mEligible.begin();
  auto end = begin + static_cast<std::ptrdiff_t>(selection.mEligibleCount);
  std::sort(begin, end, [](const ScoredRow& aLeft, const ScoredRow& aRight) {
    return aLeft.mScore < aRight.mScore;
  });
  auto cold = std::find_if(begin, end, [&](const ScoredRow& aRow) {
    return aBalancer.mRows[aRow.mRow].mAllowance < selection.mPoolAllowance;
  });
  if (cold != end && cold != begin &&
      std::bernoulli_distribution(aOptions.mWarmupShare)(aRandom)) {
    std::rotate(begin, cold, cold + 1);
  }
  for (auto row = begin;
       row != end && choice.mCandidates.size() < aOptions.mMaxCandidates;
       ++row) {
    choice.mCandidates.push_back(
      { aBalancer.mRows[row->mRow].mAddress, row->mScore, row->mCachedBlocks });
  }
  DescribeChoice(selection, rows.size(), choice);
  return choice;
}

} // namespace savory
