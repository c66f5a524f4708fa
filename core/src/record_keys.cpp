#include "record_detail.h"

#include <algorithm>

namespace savory::record_detail {

namespace {

// The parts of a key's memory besides its text: the map's node and bucket and
// the entry for expiry.
constexpr std::size_t kKeyOverhead =
  sizeof(std::string) + sizeof(KeyState) + 24 + 24;

std::size_t
OutcomeBytes(const std::shared_ptr<const Outcome>& aOutcome)
{
  if (!aOutcome) {
    return 0;
  }
  std::size_t bytes = sizeof(Outcome) + 32 + aOutcome->mBody.capacity();
  for (const auto& [name, value] : aOutcome->mHeaders) {
    bytes += 2 * sizeof(std::string) + name.size() + value.size();
  }
  return bytes;
}

} // namespace

std::shared_ptr<const Outcome>
WithoutBody(const Outcome& aOutcome)
{
  auto copy = std::make_shared<Outcome>();
  copy->mStatus = aOutcome.mStatus;
  copy->mKept = false;
  return copy;
}

std::size_t
KeyBytes(const std::string& aKey)
{
  // A text of up to 15 bytes lies within the string object.
  return kKeyOverhead + (aKey.size() > 15 ? aKey.size() + 1 : 0);
}

KeyState&
AddKey(Slot& aSlot, const std::string& aKey, std::int64_t aClaimedMs)
{
  auto [found, added] = aSlot.mKeys.try_emplace(aKey);
  if (added) {
    aSlot.mBytes += KeyBytes(aKey);
  }
  found->second.mClaimedMs = aClaimedMs;
  ++found->second.mEntries;
  aSlot.mExpiry.emplace_back(aClaimedMs, &found->first);
  return found->second;
}

void
SetOutcome(Slot& aSlot,
           KeyState& aState,
           const std::shared_ptr<const Outcome>& aOutcome)
{
  aSlot.mBytes -= OutcomeBytes(aState.mOutcome);
  aState.mPhase = KeyPhase::Done;
  aState.mOutcome = aOutcome;
  aSlot.mBytes += OutcomeBytes(aState.mOutcome);
  MakeRoom(aSlot, 0);
  if (aSlot.mBytes > aSlot.mOptions.mMaxBytes && aState.mOutcome &&
      aState.mOutcome->mKept) {
    aSlot.mBytes -= OutcomeBytes(aState.mOutcome);
    aState.mOutcome = WithoutBody(*aState.mOutcome);
    aSlot.mBytes += OutcomeBytes(aState.mOutcome);
  }
}

void
MakeRoom(Slot& aSlot, std::size_t aBytes)
{
  while (aSlot.mBytes + aBytes > aSlot.mOptions.mMaxBytes &&
         aSlot.mDropped < aSlot.mExpiry.size()) {
    KeyState& state = aSlot.mKeys.at(*aSlot.mExpiry[aSlot.mDropped].second);
    ++aSlot.mDropped;
    if (state.mOutcome && state.mOutcome->mKept) {
      aSlot.mBytes -= OutcomeBytes(state.mOutcome);
      state.mOutcome = WithoutBody(*state.mOutcome);
      aSlot.mBytes += OutcomeBytes(state.mOutcome);
    }
  }
}

void
ExpireKeys(Slot& aSlot, TimeMs aNowMs)
{
  std::int64_t unixMs = UnixMs(aSlot, aNowMs);
  while (!aSlot.mExpiry.empty() &&
         aSlot.mExpiry.front().first + aSlot.mOptions.mRetentionMs <= unixMs) {
    const std::string* key = aSlot.mExpiry.front().second;
    aSlot.mExpiry.pop_front();
    aSlot.mDropped -= std::min<std::size_t>(aSlot.mDropped, 1);
    auto found = aSlot.mKeys.find(*key);
    KeyState& state = found->second;
    if (--state.mEntries > 0) {
      // Claimed again later: a later entry expires it.
      continue;
    }
    if (state.mPhase == KeyPhase::Claiming ||
        state.mPhase == KeyPhase::Running) {
      ++state.mEntries;
      aSlot.mExpiry.emplace_back(unixMs, key);
      continue;
    }
    aSlot.mBytes -= KeyBytes(*key) + OutcomeBytes(state.mOutcome);
    aSlot.mKeys.erase(found);
  }
}

} // namespace savory::record_detail
