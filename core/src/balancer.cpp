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
    // A pool stays known while all its members are unusable, so that a refusal
    // can say which of the two it is.
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
  // Two generations bound the memory: when the younger is full it replaces the
  // older, and prefixes in use move back into the younger.
  if (aBalancer.mPrefixes.size() >= aOptions.mPrefixCapacity / 2) {
    aBalancer.mOldPrefixes = std::move(aBalancer.mPrefixes);
    aBalancer.mPrefixes = {};
  }
  auto [place, isNew] = aBalancer.mPrefixes.try_emplace(aHash);
  auto& holders = place->second;
  if (isNew) {
    auto old = aBalancer.mOldPrefixes.find(aHash);
    if (old != aBalancer.mOldPrefixes.end()) {
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
  for (const auto* map : { &aBalancer.mPrefixes, &aBalancer.mOldPrefixes }) {
    auto found = map->find(aHash);
    if (found != map->end() && found->second.mCount > 0) {
      return &found->second;
    }
  }
  return nullptr;
}

namespace {

// Why a row cannot take the request now.
enum class Unfit
{
  None,
  Excluded,
  ZoneShare,
  Cold,
  Full,
  Memory,
};

struct Scored
{
  std::uint32_t mRow = 0;
  double mScore = 0;
  std::size_t mCached = 0;
};

struct Selection
{
  const Balancer& mBalancer;
  const BalancerOptions& mOptions;
  const ChoiceRequest& mRequest;
  RandomEngine& mRandom;
  TimeMs mNowMs;
  int mPoolAllowance = 0;
  std::array<Scored, 16> mFit{};
  std::size_t mFitCount = 0;
  std::array<int, 6> mUnfit{};
};

double
UniformIn01(RandomEngine& aRandom)
{
  return static_cast<double>(aRandom() >> 11) * 0x1.0p-53;
}

Unfit
CheckRow(Selection& aSelection, const BackendRow& aRow, bool aZoneShare)
{
  const auto& options = aSelection.mOptions;
  for (const auto& address : aSelection.mRequest.mExcluded) {
    if (address == aRow.mAddress) {
      return Unfit::Excluded;
    }
  }
  if (options.mUseZones && aZoneShare) {
    const auto& zone =
      aSelection.mBalancer.mZones[static_cast<std::size_t>(aRow.mZone)];
    double weight = ZoneWeight(zone, options, aSelection.mNowMs);
    if (weight < 1 && UniformIn01(aSelection.mRandom) >= weight) {
      return Unfit::ZoneShare;
    }
  }
  int load = aRow.mOthers + aRow.mOwn;
  if (options.mUseAllowance) {
    // Below the pool's largest allowance a backend server counts as cold and
    // its allowance is a hard limit. At it, a part more waits at the agent, so
    // that a place that becomes free does not stay empty for a round trip.
    bool cold = aRow.mAllowance < aSelection.mPoolAllowance;
    if (cold && load >= aRow.mAllowance) {
      return Unfit::Cold;
    }
    int queue = static_cast<int>(options.mAgentQueue * aRow.mAllowance);
    if (load >= aRow.mAllowance + queue) {
      return Unfit::Full;
    }
  }
  // An agent that refused is not asked again at the same load, or requests
  // would go back and forth between entry and agent for as long as they wait.
  if (aRow.mRefusedAt > 0 && load >= aRow.mRefusedAt &&
      aSelection.mNowMs - aRow.mRefusedMs < options.mRefusalMs) {
    return Unfit::Full;
  }
  if (aRow.mTokenCapacity > 0 &&
      aRow.mOtherTokens + aRow.mOwnTokens + aSelection.mRequest.mTokens >
        aRow.mTokenCapacity) {
    return Unfit::Memory;
  }
  return Unfit::None;
}

double
ScoreRow(const Selection& aSelection,
         const BackendRow& aRow,
         std::size_t aCached)
{
  const auto& options = aSelection.mOptions;
  double load = aRow.mOthers + aRow.mOwn;
  double occupancy = (load + 1) / std::max(1, aRow.mAllowance);
  // Work beyond the allowance waits, which costs far more than a busy batch.
  double score = occupancy <= 1 ? occupancy : 1 + 4 * (occupancy - 1);
  if (aRow.mTokenCapacity > 0) {
    score += 0.25 * static_cast<double>(aRow.mOtherTokens + aRow.mOwnTokens) /
             static_cast<double>(aRow.mTokenCapacity);
  }
  if (!aSelection.mRequest.mPrefix.empty()) {
    score -= options.mCachedBonus * static_cast<double>(aCached) /
             static_cast<double>(aSelection.mRequest.mPrefix.size());
  }
  if (aRow.mZone < 0 ||
      aSelection.mBalancer.mZones[static_cast<std::size_t>(aRow.mZone)].mName !=
        aSelection.mBalancer.mOwnZone) {
    score += options.mOtherZonePenalty;
  }
  if (aSelection.mNowMs - aRow.mReportedMs > options.mStaleMs) {
    score += 10;
  }
  return score;
}

// Adds a row to the candidates when it is fit and not yet among them.
bool
Consider(Selection& aSelection,
         std::uint32_t aIndex,
         std::size_t aCached,
         bool aZoneShare)
{
  for (std::size_t i = 0; i < aSelection.mFitCount; ++i) {
    if (aSelection.mFit[i].mRow == aIndex) {
      return false;
    }
  }
  const auto& row = aSelection.mBalancer.mRows[aIndex];
  Unfit unfit = CheckRow(aSelection, row, aZoneShare);
  ++aSelection.mUnfit[static_cast<std::size_t>(unfit)];
  if (unfit != Unfit::None || aSelection.mFitCount == aSelection.mFit.size()) {
    return false;
  }
  aSelection.mFit[aSelection.mFitCount++] = {
    aIndex, ScoreRow(aSelection, row, aCached), aCached
  };
  return true;
}

// Considers the holders of the longest prefix that any usable row holds.
void
ConsiderHolders(Selection& aSelection)
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
        any |= Consider(aSelection, holder.mRow, length, true);
      }
    }
    if (any) {
      return;
    }
  }
}

// Why nothing was fit, by what hindered most of the rows that were looked at.
void
Explain(const Selection& aSelection, std::size_t aUsable, Choice& aChoice)
{
  auto count = [&](Unfit aUnfit) {
    return aSelection.mUnfit[static_cast<std::size_t>(aUnfit)];
  };
  char text[160];
  if (aChoice.mCandidates.empty()) {
    if (count(Unfit::Full) > 0) {
      aChoice.mCode = ErrorCode::Overloaded;
    } else if (count(Unfit::Cold) > 0) {
      aChoice.mCode = ErrorCode::ColdLimit;
    } else if (count(Unfit::Memory) > 0) {
      aChoice.mCode = ErrorCode::MemoryLimit;
    } else {
      aChoice.mCode = ErrorCode::NoBackend;
    }
    aChoice.mRetryAfterMs = aChoice.mCode == ErrorCode::ColdLimit ? 1000 : 500;
    std::snprintf(text,
                  sizeof text,
                  "none of %zu usable is fit: %d at cold allowance, %d full, "
                  "%d short of memory, %d excluded, %d by zone share",
                  aUsable,
                  count(Unfit::Cold),
                  count(Unfit::Full),
                  count(Unfit::Memory),
                  count(Unfit::Excluded),
                  count(Unfit::ZoneShare));
  } else {
    const auto& best = aChoice.mCandidates.front();
    std::snprintf(text,
                  sizeof text,
                  "score %.3f, %zu of %zu blocks cached, best of %zu fit "
                  "among %zu usable",
                  best.mScore,
                  best.mCachedBlocks,
                  aSelection.mRequest.mPrefix.size(),
                  aSelection.mFitCount,
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
    bool alive = pool != aBalancer.mIndex.end() && !pool->second.empty();
    choice.mCode = alive ? ErrorCode::ModelNotLoaded : ErrorCode::NoBackend;
    choice.mRetryAfterMs = 1000;
    choice.mReason = alive ? "no usable backend server has the version loaded"
                           : "the pool has no usable backend server";
    return choice;
  }
  const auto& rows = usable->second;
  Selection selection{ aBalancer, aOptions, aRequest, aRandom, aNowMs };
  selection.mPoolAllowance = aBalancer.mPoolAllowance[poolKey];

  // 2. Holders of the prompt's prefix, then random draws.
  ConsiderHolders(selection);
  for (int i = 0; i < aOptions.mChoices; ++i) {
    Consider(selection, rows[aRandom() % rows.size()], 0, true);
  }

  // 3. When that gave too few, a bounded walk from a random start. Only when
  // nothing else is fit does a returning zone get more than its share.
  std::size_t wanted = std::min(aOptions.mMaxCandidates, rows.size());
  std::size_t probes =
    std::min(rows.size(), static_cast<std::size_t>(aOptions.mProbes));
  for (bool zoneShare : { true, false }) {
    std::size_t start = aRandom() % rows.size();
    for (std::size_t i = 0; i < probes && selection.mFitCount < wanted; ++i) {
      Consider(selection, rows[(start + i) % rows.size()], 0, zoneShare);
    }
    if (selection.mFitCount > 0) {
      break;
    }
  }

  // 4. Best first.
  auto begin = selection.mFit.begin();
  auto end = begin + static_cast<std::ptrdiff_t>(selection.mFitCount);
  std::sort(begin, end, [](const Scored& aLeft, const Scored& aRight) {
    return aLeft.mScore < aRight.mScore;
  });
  auto cold = std::find_if(begin, end, [&](const Scored& aPlace) {
    return aBalancer.mRows[aPlace.mRow].mAllowance < selection.mPoolAllowance;
  });
  if (cold != end && cold != begin &&
      std::bernoulli_distribution(aOptions.mWarmupShare)(aRandom)) {
    std::rotate(begin, cold, cold + 1);
  }
  for (auto place = begin;
       place != end && choice.mCandidates.size() < aOptions.mMaxCandidates;
       ++place) {
    choice.mCandidates.push_back(
      { aBalancer.mRows[place->mRow].mAddress, place->mScore, place->mCached });
  }
  Explain(selection, rows.size(), choice);
  return choice;
}

} // namespace savory
