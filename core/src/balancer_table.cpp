#include "balancer_index.h"
#include "savory/core/balancer.h"
#include "savory/core/identity.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <tuple>

namespace savory {

namespace {

BackendState*
FindRow(Balancer& aBalancer, std::string_view aAddress)
{
  auto found = aBalancer.mByAddress.find(std::string(aAddress));
  return found == aBalancer.mByAddress.end() ? nullptr
                                             : &aBalancer.mRows[found->second];
}

int
FindZoneIndex(const Balancer& aBalancer, std::string_view aName)
{
  for (std::size_t i = 0; i < aBalancer.mZones.size(); ++i) {
    if (aBalancer.mZones[i].mName == aName) {
      return static_cast<int>(i);
    }
  }
  return -1;
}

std::uint32_t
AddRow(Balancer& aBalancer, const std::string& aAddress)
{
  std::uint32_t row = 0;
  if (aBalancer.mFreeRows.empty()) {
    row = static_cast<std::uint32_t>(aBalancer.mRows.size());
    aBalancer.mRows.emplace_back();
  } else {
    row = aBalancer.mFreeRows.back();
    aBalancer.mFreeRows.pop_back();
  }
  // A reused row continues its count of cache epochs, so that prefixes recorded
  // for its previous backend server do not apply to the new one.
  std::uint32_t epoch = aBalancer.mRows[row].mCacheEpoch + 1;
  aBalancer.mRows[row] = {};
  aBalancer.mRows[row].mAddress = aAddress;
  aBalancer.mRows[row].mCacheEpoch = epoch;
  aBalancer.mRows[row].mPresent = true;
  aBalancer.mByAddress.emplace(aAddress, row);
  return row;
}

// Sets the peer load: the reported load less the local part.
void
SetLoad(BackendState& aRow, const LoadHint& aLoad, TimeMs aNowMs)
{
  aRow.mPeerRequests =
    std::max(0, aLoad.mRunning + aLoad.mQueued - aRow.mLocalRequests);
  aRow.mPeerTokens =
    std::max<std::int64_t>(0, aLoad.mTokensHeld - aRow.mLocalTokens);
  aRow.mTokenCapacity = aLoad.mTokenCapacity;
  aRow.mReportedMs = aNowMs;
  if (aLoad.mAllowance * 2 < aRow.mAllowance) {
    // The allowance of a running agent drops this far only when its backend
    // server restarted, and then its cache is empty.
    ++aRow.mCacheEpoch;
  }
  aRow.mAllowance = aLoad.mAllowance;
}

} // namespace

std::vector<std::string>
ChooseSubset(std::string_view aEntry,
             std::string_view aRegion,
             std::span<const PoolMember> aMembers,
             std::size_t aSize)
{
  struct Ranked
  {
    bool mOtherRegion;
    std::uint64_t mRank;
    const PoolMember* mMember;
  };
  std::vector<Ranked> ranked;
  ranked.reserve(aMembers.size());
  std::uint64_t seed = Hash64(aEntry);
  for (const auto& member : aMembers) {
    ranked.push_back(
      { member.mRegion != aRegion, Hash64(member.mAddress, seed), &member });
  }
  auto before = [](const Ranked& aLeft, const Ranked& aRight) {
    return std::tie(aLeft.mOtherRegion, aLeft.mRank, aLeft.mMember->mAddress) <
           std::tie(
             aRight.mOtherRegion, aRight.mRank, aRight.mMember->mAddress);
  };
  std::size_t size = std::min(aSize, ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(size),
                    ranked.end(),
                    before);
  std::vector<std::string> subset;
  subset.reserve(size);
  for (std::size_t i = 0; i < size; ++i) {
    subset.push_back(ranked[i].mMember->mAddress);
  }
  return subset;
}

void
ApplyZones(Balancer& aBalancer, std::span<const Zone> aZones, TimeMs aNowMs)
{
  std::vector<ZoneStatus> zones;
  for (const auto& zone : aZones) {
    ZoneStatus status{ zone.mName, zone.mRegion, zone.mState, aNowMs };
    int old = FindZoneIndex(aBalancer, zone.mName);
    if (old >= 0) {
      const auto& known = aBalancer.mZones[static_cast<std::size_t>(old)];
      if (known.mState == zone.mState) {
        status.mSinceMs = known.mSinceMs;
      }
    }
    zones.push_back(std::move(status));
  }
  aBalancer.mZones = std::move(zones);
  for (auto& row : aBalancer.mRows) {
    row.mZone = FindZoneIndex(aBalancer, row.mZoneName);
  }
  aBalancer.mIndexStale = true;
}

double
ZoneWeight(const ZoneStatus& aZone,
           const BalancerOptions& aOptions,
           TimeMs aNowMs)
{
  switch (aZone.mState) {
    case ZoneState::In:
      return 1;
    case ZoneState::Out:
      return 0;
    case ZoneState::Returning: {
      // The share doubles with each step, as the zone's backend servers warm
      // up, and never decreases while the zone is returning.
      auto steps = (aNowMs - aZone.mSinceMs) / aOptions.mZoneStepMs;
      return std::min(1.0, 0.125 * std::exp2(static_cast<double>(steps)));
    }
  }
  return 0;
}

void
ApplyReport(Balancer& aBalancer, const AgentReport& aReport, TimeMs aNowMs)
{
  auto found = aBalancer.mByAddress.find(aReport.mAddress);
  bool isNew = found == aBalancer.mByAddress.end();
  std::uint32_t index =
    isNew ? AddRow(aBalancer, aReport.mAddress) : found->second;
  auto& row = aBalancer.mRows[index];
  if (!isNew && aReport.mSender.mIncarnation < row.mIncarnation) {
    return;
  }
  bool restarted = aReport.mSender.mIncarnation > row.mIncarnation;
  bool leaving = aReport.mLeaving || (row.mLeaving && !restarted);
  int zone = FindZoneIndex(aBalancer, aReport.mZone);
  if (isNew || restarted || leaving != row.mLeaving || row.mZone != zone ||
      row.mReachable != aReport.mReachable || row.mPool != aReport.mPool ||
      row.mVersions != aReport.mVersions) {
    aBalancer.mIndexStale = true;
  }
  if (restarted) {
    ++row.mCacheEpoch;
  }
  if (restarted || aReport.mRunning + aReport.mQueued < row.mRefusedLoad) {
    row.mRefusedLoad = 0;
  }
  row.mIncarnation = aReport.mSender.mIncarnation;
  row.mLeaving = leaving;
  row.mReachable = aReport.mReachable;
  row.mZone = zone;
  row.mZoneName = aReport.mZone;
  row.mPool = aReport.mPool;
  row.mVersions = aReport.mVersions;
  SetLoad(row,
          { aReport.mRunning,
            aReport.mQueued,
            aReport.mAllowance,
            aReport.mTokensHeld,
            aReport.mTokenCapacity },
          aNowMs);
  auto& largestAllowance = aBalancer.mPoolAllowance[IndexKey(row.mPool, {})];
  largestAllowance = std::max(largestAllowance, row.mAllowance);
}

void
MarkLeaving(Balancer& aBalancer, std::string_view aAddress)
{
  auto* row = FindRow(aBalancer, aAddress);
  if (row && !row->mLeaving) {
    row->mLeaving = true;
    aBalancer.mIndexStale = true;
  }
}

void
RemoveBackend(Balancer& aBalancer, std::string_view aAddress)
{
  auto found = aBalancer.mByAddress.find(std::string(aAddress));
  if (found == aBalancer.mByAddress.end()) {
    return;
  }
  aBalancer.mRows[found->second].mPresent = false;
  aBalancer.mFreeRows.push_back(found->second);
  aBalancer.mByAddress.erase(found);
  aBalancer.mIndexStale = true;
}

void
OnRequestSent(Balancer& aBalancer,
              const BalancerOptions& aOptions,
              std::string_view aAddress,
              std::int64_t aTokens,
              std::span<const std::uint64_t> aPrefix,
              TimeMs aNowMs)
{
  auto* row = FindRow(aBalancer, aAddress);
  if (!row) {
    return;
  }
  ++row->mLocalRequests;
  row->mLocalTokens += aTokens;
  auto index = static_cast<std::uint32_t>(row - aBalancer.mRows.data());
  for (auto hash : aPrefix) {
    RecordPrefix(aBalancer, aOptions, hash, index, aNowMs);
  }
}

void
OnRequestEnded(Balancer& aBalancer,
               std::string_view aAddress,
               std::int64_t aTokens)
{
  // A row that was removed and added again starts at zero; requests that were
  // sent before must not make its counts negative.
  if (auto* row = FindRow(aBalancer, aAddress)) {
    row->mLocalRequests = std::max(0, row->mLocalRequests - 1);
    row->mLocalTokens = std::max<std::int64_t>(0, row->mLocalTokens - aTokens);
  }
}

std::string
EncodeLoadHint(const LoadHint& aHint)
{
  return "load " + std::to_string(aHint.mRunning) + " " +
         std::to_string(aHint.mQueued) + " " +
         std::to_string(aHint.mAllowance) + " " +
         std::to_string(aHint.mTokensHeld) + " " +
         std::to_string(aHint.mTokenCapacity);
}

std::optional<LoadHint>
DecodeLoadHint(std::string_view aText)
{
  if (!aText.starts_with("load ")) {
    return std::nullopt;
  }
  aText.remove_prefix(4);
  std::array<std::int64_t, 5> values{};
  for (auto& value : values) {
    if (aText.empty() || aText.front() != ' ') {
      return std::nullopt;
    }
    const char* end = aText.data() + aText.size();
    auto [rest, failed] = std::from_chars(aText.data() + 1, end, value);
    if (failed != std::errc() || value < 0 || value > (1LL << 40)) {
      return std::nullopt;
    }
    aText.remove_prefix(static_cast<std::size_t>(rest - aText.data()));
  }
  if (!aText.empty()) {
    return std::nullopt;
  }
  auto count = [](std::int64_t aValue) {
    return static_cast<int>(std::min<std::int64_t>(aValue, 1 << 20));
  };
  return LoadHint{
    count(values[0]), count(values[1]), count(values[2]), values[3], values[4]
  };
}

void
ApplyLoadHint(Balancer& aBalancer,
              std::string_view aAddress,
              const LoadHint& aHint,
              TimeMs aNowMs)
{
  if (auto* row = FindRow(aBalancer, aAddress)) {
    SetLoad(*row, aHint, aNowMs);
    row->mRefusedLoad = row->mPeerRequests + row->mLocalRequests;
    row->mRefusedMs = aNowMs;
  }
}

void
OnCacheEvent(Balancer& aBalancer,
             const BalancerOptions& aOptions,
             std::string_view aAddress,
             std::uint64_t aPrefix,
             bool aStored,
             TimeMs aNowMs)
{
  auto* row = FindRow(aBalancer, aAddress);
  if (!row) {
    return;
  }
  auto index = static_cast<std::uint32_t>(row - aBalancer.mRows.data());
  if (aStored) {
    RecordPrefix(aBalancer, aOptions, aPrefix, index, aNowMs);
    return;
  }
  for (auto* map : { &aBalancer.mPrefixes, &aBalancer.mOlderPrefixes }) {
    auto found = map->find(aPrefix);
    if (found == map->end()) {
      continue;
    }
    auto& holders = found->second;
    for (std::size_t i = 0; i < holders.mCount; ++i) {
      if (holders.mHolders[i].mRow == index) {
        holders.mHolders[i] = holders.mHolders[--holders.mCount];
        break;
      }
    }
  }
}

std::vector<std::uint64_t>
PrefixHashes(std::string_view aPrompt,
             std::size_t aBlockBytes,
             std::size_t aMaxBlocks)
{
  std::vector<std::uint64_t> hashes;
  std::uint64_t hash = 0;
  while (aPrompt.size() >= aBlockBytes && hashes.size() < aMaxBlocks) {
    hash = Hash64(aPrompt.substr(0, aBlockBytes), hash);
    hashes.push_back(hash);
    aPrompt.remove_prefix(aBlockBytes);
  }
  return hashes;
}

} // namespace savory
