#include "savory/core/record.h"

#include <algorithm>

namespace savory {

tl::expected<void, WitnessRefusal>
StoreClaims(Witness& aWitness, const SendClaims& aMessage)
{
  if (aMessage.mRecipient != aWitness.mSelf) {
    return tl::unexpected(WitnessRefusal::OtherIncarnation);
  }
  if (aWitness.mFenceEpochs && aMessage.mEpoch < aWitness.mEpoch) {
    return tl::unexpected(WitnessRefusal::OlderEpoch);
  }
  if (aWitness.mClaims.size() + aMessage.mClaims.size() > aWitness.mMaxClaims) {
    return tl::unexpected(WitnessRefusal::Full);
  }
  aWitness.mEpoch = std::max(aWitness.mEpoch, aMessage.mEpoch);
  for (const auto& claim : aMessage.mClaims) {
    aWitness.mClaims.emplace_back(aMessage.mRound, claim);
  }
  return {};
}

tl::expected<std::vector<Claim>, WitnessRefusal>
TransferClaims(Witness& aWitness, const FetchClaims& aMessage)
{
  if (aMessage.mRecipient != aWitness.mSelf) {
    return tl::unexpected(WitnessRefusal::OtherIncarnation);
  }
  if (aMessage.mEpoch < aWitness.mEpoch) {
    return tl::unexpected(WitnessRefusal::OlderEpoch);
  }
  aWitness.mEpoch = aMessage.mEpoch;
  std::vector<Claim> claims;
  claims.reserve(aWitness.mClaims.size());
  for (const auto& [round, claim] : aWitness.mClaims) {
    claims.push_back(claim);
  }
  return claims;
}

void
DiscardWrittenClaims(Witness& aWitness, const DiscardClaims& aMessage)
{
  if (aMessage.mRecipient != aWitness.mSelf ||
      aMessage.mEpoch < aWitness.mEpoch) {
    return;
  }
  std::erase_if(aWitness.mClaims, [&aMessage](const auto& aEntry) {
    return aEntry.second.mEpoch < aMessage.mEpoch ||
           aEntry.first <= aMessage.mRound;
  });
}

} // namespace savory
