#include "savory/core/prefix_cache.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace savory {

namespace {

// Most parts recorded for a runner; above it the least recently used half goes.
constexpr std::size_t kMaxParts = 16384;

// A part that was not used for this long is not relied on, however little was
// read since: this host may not know all that the engine read.
constexpr TimeMs kMaxPartAgeMs = 120'000;

// Least ratio of the expected times of a miss and a hit that can be told apart.
constexpr double kMinMissRatio = 1.5;

// Weight of the time by which a prefill delays the requests that run, and of
// the request's own time per output token, against its time to the first event.
// Half and twice of these change the replayed means by less than a tenth.
constexpr double kDelayWeight = 0.3;
constexpr double kOutputWeight = 0.2;

// Engines interrupt a prefill after this many tokens for a decode step.
constexpr double kPrefillChunkTokens = 2048;

// Output tokens where the request states none.
constexpr double kUsualOutputTokens = 200;

// Multiples of the prefill of the shared tokens that count in addition at
// runners that are not known to hold them, by their place in the rendezvous
// order. Where none holds them, hosts that do not know yet where a part is read
// thus send it to the same two runners. Where one does, reading them again is
// worth it only for a much longer wait: it takes time from all requests there
// and evicts other parts, which are then read again too. With weights of 0.5
// and 1 in place of 8 and 20 engines read 73% of the shared tokens again at a
// load where these weights leave 14%.
constexpr double kUnheldSecondWeight = 0.5;
constexpr double kHeldPreferredWeight = 8;
constexpr double kOtherWeight = 20;

// The same where the part is replicated.
constexpr double kReplicatePreferredWeight = 0;
constexpr double kReplicateOtherWeight = 1;

// Half-life of the count of a part's uses.
constexpr double kUseHalfLifeMs = 1000;

// From this work factor on, relative to the chosen runner, the holder counts as
// slow in the reason.
constexpr double kSlowHolderRatio = 1.5;

// What is known of a prompt's shared parts at all candidates.
enum class Holding
{
  None,
  Held,
  Replicate,
};

double
ReadingWeight(Affinity aAffinity, Holding aHolding)
{
  bool isPreferred = aAffinity != Affinity::Other;
  switch (aHolding) {
    case Holding::None:
      break;
    case Holding::Held:
      return isPreferred ? kHeldPreferredWeight : kOtherWeight;
    case Holding::Replicate:
      return isPreferred ? kReplicatePreferredWeight : kReplicateOtherWeight;
  }
  if (aAffinity == Affinity::First) {
    return 0;
  }
  return isPreferred ? kUnheldSecondWeight : kOtherWeight;
}

double
DecayedUses(const CachedPart& aPart, TimeMs aNowMs)
{
  return aPart.mUses * std::exp2(-static_cast<double>(aNowMs - aPart.mUsedMs) /
                                 kUseHalfLifeMs);
}

struct CandidateCost
{
  double mPrefillMs = 0;
  double mQueueMs = 0;
  double mFirstEventMs = 0;
  double mTotalMs = 0;
};

bool
IsFull(const PrefixCandidate& aCandidate)
{
  return aCandidate.mSlots > 0 &&
         aCandidate.mRunning + aCandidate.mWaiting >= aCandidate.mSlots;
}

CandidateCost
EstimateCost(const PrefixCandidate& aCandidate,
             const PrefixRequest& aRequest,
             Holding aHolding)
{
  double output =
    aRequest.mOutputTokens > 0 ? aRequest.mOutputTokens : kUsualOutputTokens;
  std::int64_t uncachedShared =
    aRequest.mSharedTokens - aCandidate.mCachedTokens;
  auto uncached =
    static_cast<double>(uncachedShared + aRequest.mUnsharedTokens);
  CandidateCost cost;
  // A decode step of the batch follows each chunk.
  cost.mPrefillMs =
    uncached * aRequest.mMsPerToken * aCandidate.mWorkFactor +
    std::floor(uncached / kPrefillChunkTokens) * aCandidate.mTokenMs;
  cost.mQueueMs = aCandidate.mQueueMs;
  if (IsFull(aCandidate)) {
    // Slots become free one after another, as streams of usual length end.
    double ahead =
      aCandidate.mRunning + aCandidate.mWaiting - aCandidate.mSlots + 1;
    double serviceMs = aRequest.mFixedMs + output * aCandidate.mTokenMs;
    cost.mQueueMs += ahead * serviceMs / aCandidate.mSlots;
  }
  cost.mFirstEventMs = aRequest.mFixedMs * aCandidate.mWorkFactor +
                       cost.mPrefillMs + cost.mQueueMs;
  double sharedMs = static_cast<double>(uncachedShared) * aRequest.mMsPerToken *
                    aCandidate.mWorkFactor;
  cost.mTotalMs =
    cost.mFirstEventMs + kDelayWeight * cost.mPrefillMs * aCandidate.mRunning +
    kOutputWeight * output * aCandidate.mTokenMs + aCandidate.mExtraMs +
    ReadingWeight(aCandidate.mAffinity, aHolding) * sharedMs;
  return cost;
}

// Whether the runner holds more than half of the shared tokens. Most runners
// hold a short first part that nearly all prompts have.
bool
IsHolder(const PrefixCandidate& aCandidate, const PrefixRequest& aRequest)
{
  return 2 * aCandidate.mCachedTokens > aRequest.mSharedTokens;
}

// Whether a holder has so many requests for the part that waiting there costs
// them together more than reading the part once.
bool
IsOverrun(const PrefixCandidate& aHolder, const PrefixRequest& aRequest)
{
  double waiting = aHolder.mUsesPerMs * aHolder.mQueueMs;
  double readMs = static_cast<double>(aRequest.mSharedTokens) *
                  aRequest.mMsPerToken * aHolder.mWorkFactor;
  return waiting * aHolder.mQueueMs > readMs;
}

// A part is replicated when all its holders are overrun.
Holding
EvaluateHolding(const std::vector<PrefixCandidate>& aCandidates,
                const PrefixRequest& aRequest)
{
  Holding holding = Holding::None;
  for (const PrefixCandidate& candidate : aCandidates) {
    if (!IsHolder(candidate, aRequest)) {
      continue;
    }
    if (!IsOverrun(candidate, aRequest)) {
      return Holding::Held;
    }
    holding = Holding::Replicate;
  }
  return holding;
}

// Why the request does not go to the holder.
PrefixReason
ReasonAgainstHolder(const PrefixCandidate& aHolder,
                    const CandidateCost& aHolderCost,
                    const PrefixCandidate& aChosen,
                    const CandidateCost& aChosenCost)
{
  if (IsFull(aHolder)) {
    return PrefixReason::HolderFull;
  }
  if (aHolderCost.mQueueMs >
      aChosenCost.mQueueMs + aChosenCost.mPrefillMs - aHolderCost.mPrefillMs) {
    return PrefixReason::HolderQueue;
  }
  return aHolder.mWorkFactor > kSlowHolderRatio * aChosen.mWorkFactor
           ? PrefixReason::HolderSlow
           : PrefixReason::LeastTime;
}

} // namespace

void
TouchPart(PrefixCache& aCache, std::uint64_t aKey, TimeMs aNowMs)
{
  if (aCache.mParts.size() >= kMaxParts && !aCache.mParts.contains(aKey)) {
    std::vector<TimeMs> uses;
    uses.reserve(aCache.mParts.size());
    for (const auto& [key, part] : aCache.mParts) {
      uses.push_back(part.mUsedMs);
    }
    auto middle = uses.begin() + static_cast<std::ptrdiff_t>(kMaxParts / 2);
    std::nth_element(uses.begin(), middle, uses.end());
    std::erase_if(aCache.mParts, [cutMs = *middle](const auto& aRow) {
      return aRow.second.mUsedMs <= cutMs;
    });
  }
  CachedPart& part = aCache.mParts[aKey];
  part = { aNowMs, aCache.mReadMs, DecayedUses(part, aNowMs) + 1 };
}

double
UsesPerMs(const PrefixCache& aCache, std::uint64_t aKey, TimeMs aNowMs)
{
  auto found = aCache.mParts.find(aKey);
  return found == aCache.mParts.end() ? 0
                                      : DecayedUses(found->second, aNowMs) *
                                          std::numbers::ln2 / kUseHalfLifeMs;
}

bool
HoldsPart(const PrefixCache& aCache,
          std::uint64_t aKey,
          double aCapacityMs,
          TimeMs aNowMs)
{
  auto found = aCache.mParts.find(aKey);
  return found != aCache.mParts.end() &&
         aNowMs - found->second.mUsedMs < kMaxPartAgeMs &&
         aCache.mReadMs - found->second.mReadMs < aCapacityMs;
}

bool
IsCacheMiss(double aObservedMs, double aHitMs, double aMissMs)
{
  return aHitMs > 0 && aMissMs >= kMinMissRatio * aHitMs &&
         aObservedMs > std::sqrt(aHitMs * aMissMs) &&
         aObservedMs < kMinMissRatio * aMissMs;
}

PrefixDecision
DecidePrefix(const std::vector<PrefixCandidate>& aCandidates,
             const PrefixRequest& aRequest)
{
  Holding holding = EvaluateHolding(aCandidates, aRequest);
  std::vector<CandidateCost> costs;
  std::size_t best = 0;
  std::size_t holder = aCandidates.size();
  for (std::size_t index = 0; index < aCandidates.size(); ++index) {
    const PrefixCandidate& candidate = aCandidates[index];
    costs.push_back(EstimateCost(candidate, aRequest, holding));
    if (costs[index].mTotalMs < costs[best].mTotalMs) {
      best = index;
    }
    bool holds = IsHolder(candidate, aRequest) &&
                 (holder == aCandidates.size() ||
                  costs[index].mTotalMs < costs[holder].mTotalMs);
    holder = holds ? index : holder;
  }
  PrefixDecision decision{ .mCandidate = best,
                           .mFirstEventMs = costs[best].mFirstEventMs,
                           .mPrefillMs = costs[best].mPrefillMs,
                           .mQueueMs = costs[best].mQueueMs };
  if (aRequest.mSharedTokens <= 0) {
    return decision;
  }
  if (IsHolder(aCandidates[best], aRequest)) {
    decision.mOption = PrefixOption::WaitAtHolder;
    decision.mReason = PrefixReason::LeastTime;
    return decision;
  }
  decision.mOption = PrefixOption::Prefill;
  if (holding == Holding::Replicate) {
    decision.mReason = PrefixReason::Replicate;
    return decision;
  }
  decision.mReason =
    holder == aCandidates.size()
      ? PrefixReason::NotHeld
      : ReasonAgainstHolder(
          aCandidates[holder], costs[holder], aCandidates[best], costs[best]);
  return decision;
}

} // namespace savory
