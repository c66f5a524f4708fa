#include "record_detail.h"

#include <algorithm>

namespace savory::record_detail {

namespace {

// Memory of a key besides its text: the map's node and bucket, the entry in the
// expiry queue and the outcome without headers and body.
constexpr std::size_t kKeyOverheadBytes =
  sizeof(std::string) + sizeof(KeyState) + 24 + 24 + sizeof(Outcome) + 32;

// Memory of an outcome's headers and body.
std::size_t
OutcomeBytes(const std::shared_ptr<const Outcome>& aOutcome)
{
  if (!aOutcome) {
    return 0;
  }
  // Strings of up to 15 bytes are stored within the string object.
  std::size_t bytes =
    aOutcome->mBody.size() > 15 ? aOutcome->mBody.capacity() + 1 : 0;
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
  copy->mBodyKept = false;
  return copy;
}

std::size_t
KeyBytes(const std::string& aKey)
{
  // Strings of up to 15 bytes are stored within the string object.
  return kKeyOverheadBytes + (aKey.size() > 15 ? aKey.size() + 1 : 0);
}

KeyState&
FindOrAddKey(Slot& aSlot, const std::string& aKey, std::int64_t aClaimedMs)
{
  auto [found, added] = aSlot.mKeys.try_emplace(aKey);
  if (added) {
    aSlot.mMemoryBytes += KeyBytes(aKey);
    aSlot.mExpiryQueue.emplace_back(aClaimedMs, &found->first);
  }
  found->second.mClaimedMs = aClaimedMs;
  return found->second;
}

void
SetOutcome(Slot& aSlot,
           KeyState& aState,
           const std::shared_ptr<const Outcome>& aOutcome)
{
  aSlot.mMemoryBytes -= OutcomeBytes(aState.mOutcome);
  aState.mPhase = KeyPhase::Done;
  aState.mOutcome = aOutcome;
  aSlot.mMemoryBytes += OutcomeBytes(aState.mOutcome);
  EvictBodies(aSlot, 0);
  if (aSlot.mMemoryBytes > aSlot.mOptions.mMaxBytes && aState.mOutcome &&
      aState.mOutcome->mBodyKept) {
    aSlot.mMemoryBytes -= OutcomeBytes(aState.mOutcome);
    aState.mOutcome = WithoutBody(*aState.mOutcome);
    aSlot.mMemoryBytes += OutcomeBytes(aState.mOutcome);
  }
}

void
EvictBodies(Slot& aSlot, std::size_t aBytes)
{
  while (aSlot.mMemoryBytes + aBytes > aSlot.mOptions.mMaxBytes &&
         aSlot.mEvictedBodies < aSlot.mExpiryQueue.size()) {
    KeyState& state =
      aSlot.mKeys.at(*aSlot.mExpiryQueue[aSlot.mEvictedBodies].second);
    ++aSlot.mEvictedBodies;
    if (state.mOutcome && state.mOutcome->mBodyKept) {
      aSlot.mMemoryBytes -= OutcomeBytes(state.mOutcome);
      state.mOutcome = WithoutBody(*state.mOutcome);
      aSlot.mMemoryBytes += OutcomeBytes(state.mOutcome);
    }
  }
}

void
ExpireKeys(Slot& aSlot, TimeMs aNowMs)
{
  std::int64_t unixMs = UnixMs(aSlot, aNowMs);
  while (!aSlot.mExpiryQueue.empty() &&
         aSlot.mExpiryQueue.front().first + aSlot.mOptions.mRetentionMs <=
           unixMs) {
    auto [claimedMs, key] = aSlot.mExpiryQueue.front();
    aSlot.mExpiryQueue.pop_front();
    aSlot.mEvictedBodies -= std::min<std::size_t>(aSlot.mEvictedBodies, 1);
    auto found = aSlot.mKeys.find(*key);
    KeyState& state = found->second;
    // A key that was claimed again later, or is in use, gets a new entry at the
    // end of the queue. It may be kept longer than its retention, but never
    // shorter.
    bool busy =
      state.mPhase == KeyPhase::Claiming || state.mPhase == KeyPhase::Running;
    if (busy || state.mClaimedMs > claimedMs) {
      aSlot.mExpiryQueue.emplace_back(busy ? unixMs : state.mClaimedMs, key);
      continue;
    }
    aSlot.mMemoryBytes -= KeyBytes(*key) + OutcomeBytes(state.mOutcome);
    aSlot.mKeys.erase(found);
  }
}

void
Enqueue(Slot& aSlot, KeyState& aState, RecordItem aItem)
{
  aSlot.mQueueBytes += MaxEncodedBytes(aItem);
  if (aState.mQueueIndex >= aSlot.mQueueBase) {
    auto& present = aSlot.mWriteQueue[static_cast<std::size_t>(
      aState.mQueueIndex - aSlot.mQueueBase)];
    aSlot.mQueueBytes -= MaxEncodedBytes(present);
    present = std::move(aItem);
    return;
  }
  aState.mQueueIndex =
    aSlot.mQueueBase + static_cast<std::int64_t>(aSlot.mWriteQueue.size());
  aSlot.mWriteQueue.push_back(std::move(aItem));
}

} // namespace savory::record_detail
