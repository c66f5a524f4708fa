#include "savory/core/limits.h"

#include <algorithm>
#include <cmath>

namespace savory {

namespace {

// Part of a customer's rate that is split evenly over the entries, so that an
// entry at which a customer has just turned up can serve it before its peers
// know.
constexpr double kEvenShare = 0.1;

// Part of the least served customer's usage with which one that did not wait
// joins the queue.
constexpr double kJoinShare = 0.9;

// Weight of a new sample in the time between a customer's turns.
constexpr double kTurnRate = 0.2;

CustomerState*
FindState(Limits& aLimits, std::string_view aCustomer)
{
  auto found = aLimits.mCustomers.find(aCustomer);
  return found == aLimits.mCustomers.end() ? nullptr : &found->second;
}

double
DecayOver(const LimitsOptions& aOptions, TimeMs aElapsedMs)
{
  return std::exp(-static_cast<double>(std::max<TimeMs>(0, aElapsedMs)) /
                  static_cast<double>(aOptions.mUsageDecayMs));
}

// Lets demand and usage decay up to now.
void
Decay(CustomerState& aState, const LimitsOptions& aOptions, TimeMs aNowMs)
{
  double factor = DecayOver(aOptions, aNowMs - aState.mDecayMs);
  aState.mDemand *= factor;
  aState.mUsage *= factor;
  aState.mDecayMs = aNowMs;
}

std::size_t
LivePeers(const Limits& aLimits, const LimitsOptions& aOptions, TimeMs aNowMs)
{
  return static_cast<std::size_t>(std::count_if(
    aLimits.mPeers.begin(), aLimits.mPeers.end(), [&](const auto& aPeer) {
      return aNowMs - aPeer.second.mReceivedMs <= aOptions.mPeerTimeoutMs;
    }));
}

// Sums what the live peers told. Called when a row arrives, so that decisions
// cost nothing for the number of entries.
void
SumPeers(Limits& aLimits, const LimitsOptions& aOptions, TimeMs aNowMs)
{
  for (auto& [name, state] : aLimits.mCustomers) {
    state.mPeerDemand = 0;
    state.mPeerUsage = 0;
    state.mPeerWaiting = false;
    state.mPeerMs = aNowMs;
  }
  for (const auto& [entry, peer] : aLimits.mPeers) {
    TimeMs age = aNowMs - peer.mReceivedMs;
    if (age > aOptions.mPeerTimeoutMs) {
      continue;
    }
    double factor = DecayOver(aOptions, age);
    for (const auto& told : peer.mRow.mCustomers) {
      if (auto* state = FindState(aLimits, told.mCustomer)) {
        state->mPeerDemand += told.mDemand * factor;
        state->mPeerUsage += told.mUsage * factor;
        state->mPeerWaiting |= told.mWaiting;
      }
    }
  }
}

// What a customer got for its weight, over all entries.
double
Normalized(const CustomerState& aState,
           const LimitsOptions& aOptions,
           TimeMs aNowMs)
{
  double own = aState.mUsage * DecayOver(aOptions, aNowMs - aState.mDecayMs);
  double peers =
    aState.mPeerUsage * DecayOver(aOptions, aNowMs - aState.mPeerMs);
  return (own + peers) / aState.mWeight;
}

bool
WaitsAtPeer(const CustomerState& aState,
            const LimitsOptions& aOptions,
            TimeMs aNowMs)
{
  return aState.mPeerWaiting &&
         aNowMs - aState.mPeerMs <= aOptions.mPeerTimeoutMs;
}

// What the least served customer that waits at any entry got for its weight.
std::optional<double>
LeastServed(const Limits& aLimits, const LimitsOptions& aOptions, TimeMs aNowMs)
{
  std::optional<double> least;
  for (const auto& [name, state] : aLimits.mCustomers) {
    if (!state.mQueue.empty() || WaitsAtPeer(state, aOptions, aNowMs)) {
      double served = Normalized(state, aOptions, aNowMs);
      least = std::min(least.value_or(served), served);
    }
  }
  return least;
}

// Whether a request was sent before, within the window, without having been
// answered in full; remembers it either way.
bool
SeenBefore(Limits& aLimits,
           const LimitsOptions& aOptions,
           std::uint64_t aFingerprint,
           TimeMs aNowMs)
{
  if (aNowMs - aLimits.mSeenSinceMs >= aOptions.mRetryWindowMs ||
      aLimits.mSeen.size() >= aOptions.mMaxFingerprints / 2) {
    aLimits.mSeenBefore = std::move(aLimits.mSeen);
    aLimits.mSeen = {};
    aLimits.mSeenSinceMs = aNowMs;
  }
  auto within = [&](const auto& aMap) {
    auto found = aMap.find(aFingerprint);
    return found != aMap.end() &&
           aNowMs - found->second < aOptions.mRetryWindowMs;
  };
  bool seen = within(aLimits.mSeen) || within(aLimits.mSeenBefore);
  aLimits.mSeen.insert_or_assign(aFingerprint, aNowMs);
  return seen;
}

// Refills the retry budget by its own rate. A successful answer refills it by
// the share of successes in OnAnswered.
void
RefillRetries(CustomerState& aState,
              const LimitsOptions& aOptions,
              double aShare,
              TimeMs aNowMs)
{
  double seconds = static_cast<double>(aNowMs - aState.mRetryMs) / 1000;
  aState.mRetryTokens =
    std::min(aOptions.mRetryBurst,
             aState.mRetryTokens + seconds * aOptions.mRetryPerSecond * aShare);
  aState.mRetryMs = aNowMs;
}

LimitAnswer
Refuse(ErrorCode aCode, TimeMs aRetryAfterMs, std::string aReason)
{
  LimitAnswer answer;
  answer.mCode = aCode;
  answer.mRetryAfterMs = aRetryAfterMs;
  answer.mReason = std::move(aReason);
  return answer;
}

} // namespace

void
ApplyCustomers(Limits& aLimits,
               const LimitsOptions& aOptions,
               std::span<const Customer> aCustomers,
               TimeMs aNowMs)
{
  std::map<std::string, CustomerState, std::less<>> customers;
  for (const auto& customer : aCustomers) {
    auto old = aLimits.mCustomers.find(customer.mName);
    CustomerState state;
    if (old != aLimits.mCustomers.end()) {
      state = std::move(old->second);
    } else {
      state.mBucket = customer.mTokensPerSecond * aOptions.mBurstSeconds;
      state.mRetryTokens = aOptions.mRetryBurst;
      state.mBucketMs = state.mRetryMs = state.mDecayMs = aNowMs;
    }
    state.mWeight = customer.mWeight;
    state.mPriority = customer.mPriority;
    state.mTokensPerSecond = customer.mTokensPerSecond;
    customers.emplace(customer.mName, std::move(state));
  }
  aLimits.mCustomers = std::move(customers);
  SumPeers(aLimits, aOptions, aNowMs);
}

double
OwnShare(const Limits& aLimits,
         const LimitsOptions& aOptions,
         std::string_view aCustomer,
         TimeMs aNowMs)
{
  auto found = aLimits.mCustomers.find(aCustomer);
  if (found == aLimits.mCustomers.end()) {
    return 0;
  }
  auto entries = static_cast<double>(LivePeers(aLimits, aOptions, aNowMs) + 1);
  const auto& state = found->second;
  double own = state.mDemand * DecayOver(aOptions, aNowMs - state.mDecayMs);
  double peers =
    state.mPeerDemand * DecayOver(aOptions, aNowMs - state.mPeerMs);
  double byDemand = own + peers > 0 ? own / (own + peers) : 1 / entries;
  return kEvenShare / entries + (1 - kEvenShare) * byDemand;
}

LimitAnswer
CheckArrival(Limits& aLimits,
             const LimitsOptions& aOptions,
             std::string_view aCustomer,
             std::uint64_t aFingerprint,
             std::int64_t aTokens,
             const Preset& aPreset,
             bool aOverloaded,
             TimeMs aNowMs)
{
  auto* state = FindState(aLimits, aCustomer);
  if (!state) {
    return Refuse(ErrorCode::Unauthorized, 0, "the customer is not configured");
  }
  // 1. Retries. A resent request beyond the budget does not count as demand,
  // or a customer could raise its share of a rate by resending.
  bool isRetry = SeenBefore(aLimits, aOptions, aFingerprint, aNowMs);
  if (isRetry && aOptions.mUseRetryBudget &&
      !TakeRetry(aLimits, aOptions, aCustomer, aNowMs)) {
    double wait = (1 - state->mRetryTokens) /
                  std::max(1e-3,
                           aOptions.mRetryPerSecond *
                             OwnShare(aLimits, aOptions, aCustomer, aNowMs));
    auto answer = Refuse(ErrorCode::RetryBudget,
                         static_cast<TimeMs>(1000 * std::min(30.0, wait)) + 1,
                         "the same request was sent before and the customer's "
                         "retry budget is spent");
    answer.mIsRetry = true;
    return answer;
  }
  Decay(*state, aOptions, aNowMs);
  auto tokens = static_cast<double>(aTokens);
  state->mDemand += tokens * 1000 / static_cast<double>(aOptions.mUsageDecayMs);

  // 2. Shedding.
  if (aOverloaded && state->mPriority < aPreset.mShedBelowPriority) {
    return Refuse(ErrorCode::Overloaded,
                  2000,
                  "the preset sheds this priority while there is too little "
                  "capacity");
  }

  // 3. The customer's rate.
  if (state->mTokensPerSecond > 0) {
    double rate =
      state->mTokensPerSecond * OwnShare(aLimits, aOptions, aCustomer, aNowMs);
    double seconds = static_cast<double>(aNowMs - state->mBucketMs) / 1000;
    state->mBucket =
      std::min(rate * aOptions.mBurstSeconds, state->mBucket + rate * seconds);
    state->mBucketMs = aNowMs;
    // A request may overdraw a bucket that is not empty, since one request can
    // be larger than the whole burst.
    if (state->mBucket <= 0) {
      double wait = (1 - state->mBucket) / std::max(1e-3, rate);
      return Refuse(ErrorCode::CustomerLimit,
                    static_cast<TimeMs>(1000 * std::min(60.0, wait)) + 1,
                    "the customer's rate is used up");
    }
    state->mBucket -= tokens;
  }
  LimitAnswer answer;
  answer.mAllowed = true;
  answer.mIsRetry = isRetry;
  return answer;
}

bool
TakeRetry(Limits& aLimits,
          const LimitsOptions& aOptions,
          std::string_view aCustomer,
          TimeMs aNowMs)
{
  auto* state = FindState(aLimits, aCustomer);
  if (!state) {
    return false;
  }
  double share = OwnShare(aLimits, aOptions, aCustomer, aNowMs);
  RefillRetries(*state, aOptions, share, aNowMs);
  if (state->mRetryTokens < 1) {
    return false;
  }
  state->mRetryTokens -= 1;
  return true;
}

void
OnAnswered(Limits& aLimits,
           const LimitsOptions& aOptions,
           std::string_view aCustomer,
           std::uint64_t aFingerprint,
           TimeMs aNowMs)
{
  (void)aNowMs;
  aLimits.mSeen.erase(aFingerprint);
  aLimits.mSeenBefore.erase(aFingerprint);
  if (auto* state = FindState(aLimits, aCustomer)) {
    state->mRetryTokens = std::min(aOptions.mRetryBurst,
                                   state->mRetryTokens + aOptions.mRetryShare);
  }
}

bool
Enqueue(Limits& aLimits,
        const LimitsOptions& aOptions,
        std::string_view aCustomer,
        const WaitingRequest& aRequest,
        TimeMs aNowMs)
{
  auto* state = FindState(aLimits, aCustomer);
  if (!state || state->mQueue.size() >= aOptions.mMaxQueuePerCustomer) {
    return false;
  }
  // A request that waited for most of its deadline is answered too late, and
  // its place in the capacity is lost. Small customers take turns rarely, so
  // the bound is one of time, not of length.
  if (static_cast<double>(state->mQueue.size()) * state->mTakeEveryMs >
      static_cast<double>(aOptions.mMaxWaitMs)) {
    return false;
  }
  // A customer that did not wait has no claim on what it left unused: it joins
  // just behind the least served, or it would take all capacity for a while.
  if (state->mQueue.empty() && !WaitsAtPeer(*state, aOptions, aNowMs)) {
    auto least = LeastServed(aLimits, aOptions, aNowMs);
    double missing =
      least.value_or(0) * kJoinShare - Normalized(*state, aOptions, aNowMs);
    if (missing > 0) {
      Decay(*state, aOptions, aNowMs);
      state->mUsage += missing * state->mWeight;
    }
  }
  state->mQueue.push_back(aRequest);
  // The prediction may be wrong; the bound holds all the same.
  auto& deadline = state->mQueue.back().mDeadlineMs;
  deadline = std::min(deadline, aNowMs + aOptions.mMaxWaitMs);
  return true;
}

bool
RemoveWaiting(Limits& aLimits, std::string_view aCustomer, std::string_view aId)
{
  auto* state = FindState(aLimits, aCustomer);
  return state && std::erase_if(state->mQueue, [&](const auto& aWaiting) {
                    return aWaiting.mId == aId;
                  }) > 0;
}

std::optional<NextRequest>
TakeNext(Limits& aLimits, const LimitsOptions& aOptions, TimeMs aNowMs)
{
  // 1. The least served customer that waits here.
  CustomerState* next = nullptr;
  const std::string* name = nullptr;
  double least = 0;
  for (auto& [customer, state] : aLimits.mCustomers) {
    double served = Normalized(state, aOptions, aNowMs);
    if (!state.mQueue.empty() && (!next || served < least)) {
      next = &state;
      name = &customer;
      least = served;
    }
  }
  if (!next) {
    return std::nullopt;
  }
  // 2. Leave the capacity to the other entries when a customer that waits
  // there is behind. The slack covers the delay of gossip.
  double anywhere = LeastServed(aLimits, aOptions, aNowMs).value_or(least);
  if (aOptions.mUseFairQueue &&
      least > anywhere * (1 + aOptions.mFairSlack) + 1e-9) {
    return std::nullopt;
  }
  // 3. Time between turns, learned while requests wait.
  if (next->mQueue.size() > 1) {
    next->mTakeEveryMs +=
      kTurnRate *
      (static_cast<double>(aNowMs - next->mTakenMs) - next->mTakeEveryMs);
  } else {
    next->mTakeEveryMs *= 1 - kTurnRate;
  }
  next->mTakenMs = aNowMs;
  NextRequest result{ *name, next->mQueue.front() };
  next->mQueue.erase(next->mQueue.begin());
  Decay(*next, aOptions, aNowMs);
  next->mUsage += static_cast<double>(result.mRequest.mTokens);
  return result;
}

void
PutBack(Limits& aLimits, const NextRequest& aNext)
{
  if (auto* state = FindState(aLimits, aNext.mCustomer)) {
    state->mQueue.insert(state->mQueue.begin(), aNext.mRequest);
    state->mUsage = std::max(
      0.0, state->mUsage - static_cast<double>(aNext.mRequest.mTokens));
  }
}

std::vector<NextRequest>
TakeExpired(Limits& aLimits, TimeMs aNowMs)
{
  std::vector<NextRequest> expired;
  for (auto& [name, state] : aLimits.mCustomers) {
    for (const auto& waiting : state.mQueue) {
      if (waiting.mDeadlineMs <= aNowMs) {
        expired.push_back({ name, waiting });
      }
    }
    std::erase_if(state.mQueue, [&](const WaitingRequest& aWaiting) {
      return aWaiting.mDeadlineMs <= aNowMs;
    });
  }
  return expired;
}

DemandRow
OwnDemand(Limits& aLimits, const LimitsOptions& aOptions, TimeMs aNowMs)
{
  DemandRow row{
    aLimits.mEntry, aLimits.mIncarnation, ++aLimits.mSequence, {}
  };
  for (auto& [name, state] : aLimits.mCustomers) {
    Decay(state, aOptions, aNowMs);
    if (state.mDemand > 1e-3 || state.mUsage > 1e-3 || !state.mQueue.empty()) {
      row.mCustomers.push_back(
        { name, state.mDemand, state.mUsage, !state.mQueue.empty() });
    }
  }
  return row;
}

bool
MergeDemand(Limits& aLimits,
            const LimitsOptions& aOptions,
            const DemandRow& aRow,
            TimeMs aNowMs)
{
  if (aRow.mEntry == aLimits.mEntry) {
    return false;
  }
  auto [place, isNew] = aLimits.mPeers.try_emplace(aRow.mEntry);
  auto& known = place->second.mRow;
  if (!isNew && std::pair(aRow.mIncarnation, aRow.mSequence) <=
                  std::pair(known.mIncarnation, known.mSequence)) {
    return false;
  }
  place->second = { aRow, aNowMs };
  std::erase_if(aLimits.mPeers, [&](const auto& aPeer) {
    return aNowMs - aPeer.second.mReceivedMs > 10 * aOptions.mPeerTimeoutMs;
  });
  SumPeers(aLimits, aOptions, aNowMs);
  return true;
}

} // namespace savory
