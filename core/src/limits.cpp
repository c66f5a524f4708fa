#include "savory/core/limits.h"

#include <algorithm>
#include <cmath>

namespace savory {

namespace {

// Part of a customer's rate that is divided evenly among the entries, so that
// an entry can serve a customer's first requests before its peers learn of the
// demand.
constexpr double kEvenShare = 0.1;

// A customer that did not wait joins the queue with this fraction of the least
// normalized usage of the waiting customers.
constexpr double kJoinShare = 0.9;

// Weight of a new sample in the moving average of the time between two dequeues
// of a customer.
constexpr double kDequeueIntervalWeight = 0.2;

CustomerState*
FindState(Limits& aLimits, std::string_view aCustomer)
{
  auto found = aLimits.mCustomers.find(aCustomer);
  return found == aLimits.mCustomers.end() ? nullptr : &found->second;
}

double
DecayFactor(const LimitsOptions& aOptions, TimeMs aElapsedMs)
{
  return std::exp(-static_cast<double>(std::max<TimeMs>(0, aElapsedMs)) /
                  static_cast<double>(aOptions.mUsageDecayMs));
}

// Decays demand and usage to the present time.
void
Decay(CustomerState& aState, const LimitsOptions& aOptions, TimeMs aNowMs)
{
  double factor = DecayFactor(aOptions, aNowMs - aState.mLastDecayMs);
  aState.mDemand *= factor;
  aState.mUsage *= factor;
  aState.mLastDecayMs = aNowMs;
}

std::size_t
CountLivePeers(const Limits& aLimits,
               const LimitsOptions& aOptions,
               TimeMs aNowMs)
{
  return static_cast<std::size_t>(std::count_if(
    aLimits.mPeers.begin(), aLimits.mPeers.end(), [&](const auto& aPeer) {
      return aNowMs - aPeer.second.mReceivedMs <= aOptions.mPeerTimeoutMs;
    }));
}

// Sums demand and usage at the live peers. Called when a row arrives, so that
// the cost of a decision does not depend on the number of entries.
void
SumPeerDemand(Limits& aLimits, const LimitsOptions& aOptions, TimeMs aNowMs)
{
  for (auto& [name, state] : aLimits.mCustomers) {
    state.mPeerDemand = 0;
    state.mPeerUsage = 0;
    state.mPeerWaiting = false;
    state.mPeerUpdateMs = aNowMs;
  }
  for (const auto& [entry, peer] : aLimits.mPeers) {
    TimeMs age = aNowMs - peer.mReceivedMs;
    if (age > aOptions.mPeerTimeoutMs) {
      continue;
    }
    double factor = DecayFactor(aOptions, age);
    for (const auto& demand : peer.mRow.mCustomers) {
      if (auto* state = FindState(aLimits, demand.mCustomer)) {
        state->mPeerDemand += demand.mDemand * factor;
        state->mPeerUsage += demand.mUsage * factor;
        state->mPeerWaiting |= demand.mWaiting;
      }
    }
  }
}

// A customer's usage over all entries, divided by its weight.
double
NormalizedUsage(const CustomerState& aState,
                const LimitsOptions& aOptions,
                TimeMs aNowMs)
{
  double local =
    aState.mUsage * DecayFactor(aOptions, aNowMs - aState.mLastDecayMs);
  double peers =
    aState.mPeerUsage * DecayFactor(aOptions, aNowMs - aState.mPeerUpdateMs);
  return (local + peers) / aState.mWeight;
}

bool
WaitsAtPeer(const CustomerState& aState,
            const LimitsOptions& aOptions,
            TimeMs aNowMs)
{
  return aState.mPeerWaiting &&
         aNowMs - aState.mPeerUpdateMs <= aOptions.mPeerTimeoutMs;
}

// The least normalized usage of the customers that wait at any entry.
std::optional<double>
MinWaitingUsage(const Limits& aLimits,
                const LimitsOptions& aOptions,
                TimeMs aNowMs)
{
  std::optional<double> least;
  for (const auto& [name, state] : aLimits.mCustomers) {
    if (!state.mQueue.empty() || WaitsAtPeer(state, aOptions, aNowMs)) {
      double usage = NormalizedUsage(state, aOptions, aNowMs);
      least = std::min(least.value_or(usage), usage);
    }
  }
  return least;
}

// Records a request. True when the same request arrived within the retry window
// and has not been answered in full.
bool
RecordFingerprint(Limits& aLimits,
                  const LimitsOptions& aOptions,
                  std::uint64_t aFingerprint,
                  TimeMs aNowMs)
{
  if (aNowMs - aLimits.mGenerationStartMs >= aOptions.mRetryWindowMs ||
      aLimits.mFingerprints.size() >= aOptions.mMaxFingerprints / 2) {
    aLimits.mOlderFingerprints = std::move(aLimits.mFingerprints);
    aLimits.mFingerprints = {};
    aLimits.mGenerationStartMs = aNowMs;
  }
  auto isRecent = [&](const auto& aMap) {
    auto found = aMap.find(aFingerprint);
    return found != aMap.end() &&
           aNowMs - found->second < aOptions.mRetryWindowMs;
  };
  bool seen =
    isRecent(aLimits.mFingerprints) || isRecent(aLimits.mOlderFingerprints);
  aLimits.mFingerprints.insert_or_assign(aFingerprint, aNowMs);
  return seen;
}

// Refills the retry budget for the time that has passed. OnAnswered also
// refills it by `mRetryTokensPerAnswer` for each full answer.
void
RefillRetries(CustomerState& aState,
              const LimitsOptions& aOptions,
              double aShare,
              TimeMs aNowMs)
{
  double seconds = static_cast<double>(aNowMs - aState.mRetryRefillMs) / 1000;
  aState.mRetryTokens = std::min(
    aOptions.mRetryBurst,
    aState.mRetryTokens + seconds * aOptions.mRetryTokensPerSecond * aShare);
  aState.mRetryRefillMs = aNowMs;
}

LimitDecision
Refuse(ErrorCode aCode, TimeMs aRetryAfterMs, std::string aReason)
{
  LimitDecision decision;
  decision.mCode = aCode;
  decision.mRetryAfterMs = aRetryAfterMs;
  decision.mReason = std::move(aReason);
  return decision;
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
      state.mBucketTokens = customer.mTokensPerSecond * aOptions.mBurstSeconds;
      state.mRetryTokens = aOptions.mRetryBurst;
      state.mBucketRefillMs = state.mRetryRefillMs = state.mLastDecayMs =
        aNowMs;
    }
    state.mWeight = customer.mWeight;
    state.mPriority = customer.mPriority;
    state.mTokensPerSecond = customer.mTokensPerSecond;
    customers.emplace(customer.mName, std::move(state));
  }
  aLimits.mCustomers = std::move(customers);
  SumPeerDemand(aLimits, aOptions, aNowMs);
}

double
LocalShare(const Limits& aLimits,
           const LimitsOptions& aOptions,
           std::string_view aCustomer,
           TimeMs aNowMs)
{
  auto found = aLimits.mCustomers.find(aCustomer);
  if (found == aLimits.mCustomers.end()) {
    return 0;
  }
  auto entries =
    static_cast<double>(CountLivePeers(aLimits, aOptions, aNowMs) + 1);
  const auto& state = found->second;
  double local =
    state.mDemand * DecayFactor(aOptions, aNowMs - state.mLastDecayMs);
  double peers =
    state.mPeerDemand * DecayFactor(aOptions, aNowMs - state.mPeerUpdateMs);
  double byDemand = local + peers > 0 ? local / (local + peers) : 1 / entries;
  return kEvenShare / entries + (1 - kEvenShare) * byDemand;
}

LimitDecision
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
  // 1. Retry budget. A retry beyond the budget does not count as demand, or a
  // customer could raise its share of a rate by resending.
  bool isRetry = RecordFingerprint(aLimits, aOptions, aFingerprint, aNowMs);
  if (isRetry && aOptions.mUseRetryBudget &&
      !TryAcquireRetry(aLimits, aOptions, aCustomer, aNowMs)) {
    double wait = (1 - state->mRetryTokens) /
                  std::max(1e-3,
                           aOptions.mRetryTokensPerSecond *
                             LocalShare(aLimits, aOptions, aCustomer, aNowMs));
    auto decision =
      Refuse(ErrorCode::RetryBudget,
             static_cast<TimeMs>(1000 * std::min(30.0, wait)) + 1,
             "the same request was sent before and the customer's "
             "retry budget is spent");
    decision.mIsRetry = true;
    return decision;
  }
  Decay(*state, aOptions, aNowMs);
  auto tokens = static_cast<double>(aTokens);
  state->mDemand += tokens * 1000 / static_cast<double>(aOptions.mUsageDecayMs);

  // 2. Load shedding.
  if (aOverloaded && state->mPriority < aPreset.mShedBelowPriority) {
    return Refuse(ErrorCode::Overloaded,
                  2000,
                  "the preset sheds this priority while there is too little "
                  "capacity");
  }

  // 3. Token bucket.
  if (state->mTokensPerSecond > 0) {
    double rate = state->mTokensPerSecond *
                  LocalShare(aLimits, aOptions, aCustomer, aNowMs);
    double seconds =
      static_cast<double>(aNowMs - state->mBucketRefillMs) / 1000;
    state->mBucketTokens = std::min(rate * aOptions.mBurstSeconds,
                                    state->mBucketTokens + rate * seconds);
    state->mBucketRefillMs = aNowMs;
    // A request may overdraw a bucket that is not empty, because one request
    // can be larger than the whole burst.
    if (state->mBucketTokens <= 0) {
      double wait = (1 - state->mBucketTokens) / std::max(1e-3, rate);
      return Refuse(ErrorCode::CustomerLimit,
                    static_cast<TimeMs>(1000 * std::min(60.0, wait)) + 1,
                    "the customer's rate is used up");
    }
    state->mBucketTokens -= tokens;
  }
  LimitDecision decision;
  decision.mAllowed = true;
  decision.mIsRetry = isRetry;
  return decision;
}

bool
TryAcquireRetry(Limits& aLimits,
                const LimitsOptions& aOptions,
                std::string_view aCustomer,
                TimeMs aNowMs)
{
  auto* state = FindState(aLimits, aCustomer);
  if (!state) {
    return false;
  }
  double share = LocalShare(aLimits, aOptions, aCustomer, aNowMs);
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
  aLimits.mFingerprints.erase(aFingerprint);
  aLimits.mOlderFingerprints.erase(aFingerprint);
  if (auto* state = FindState(aLimits, aCustomer)) {
    state->mRetryTokens =
      std::min(aOptions.mRetryBurst,
               state->mRetryTokens + aOptions.mRetryTokensPerAnswer);
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
  // A request that waits for most of its deadline is answered too late and
  // wastes the capacity that it uses. Requests of small customers are dequeued
  // rarely, so the bound is on the time, not on the length.
  if (static_cast<double>(state->mQueue.size()) * state->mDequeueIntervalMs >
      static_cast<double>(aOptions.mMaxWaitMs)) {
    return false;
  }
  // Capacity that a customer left unused earns no credit: a customer that did
  // not wait starts just below the least usage of the waiting ones, or it would
  // get all capacity for a while.
  if (state->mQueue.empty() && !WaitsAtPeer(*state, aOptions, aNowMs)) {
    auto least = MinWaitingUsage(aLimits, aOptions, aNowMs);
    double deficit = least.value_or(0) * kJoinShare -
                     NormalizedUsage(*state, aOptions, aNowMs);
    if (deficit > 0) {
      Decay(*state, aOptions, aNowMs);
      state->mUsage += deficit * state->mWeight;
    }
  }
  state->mQueue.push_back(aRequest);
  // The predicted wait may be wrong, so the deadline enforces the bound.
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

std::optional<DequeuedRequest>
DequeueNext(Limits& aLimits, const LimitsOptions& aOptions, TimeMs aNowMs)
{
  // 1. The customer with the least normalized usage that waits here.
  CustomerState* next = nullptr;
  const std::string* name = nullptr;
  double least = 0;
  for (auto& [customer, state] : aLimits.mCustomers) {
    double usage = NormalizedUsage(state, aOptions, aNowMs);
    if (!state.mQueue.empty() && (!next || usage < least)) {
      next = &state;
      name = &customer;
      least = usage;
    }
  }
  if (!next) {
    return std::nullopt;
  }
  // 2. Leave the capacity to another entry when a customer that waits there has
  // less usage. The slack covers the delay of gossip.
  double fleetLeast =
    MinWaitingUsage(aLimits, aOptions, aNowMs).value_or(least);
  if (aOptions.mUseFairQueue &&
      least > fleetLeast * (1 + aOptions.mFairSlack) + 1e-9) {
    return std::nullopt;
  }
  // 3. Average the time between dequeues while more requests wait.
  if (next->mQueue.size() > 1) {
    next->mDequeueIntervalMs +=
      kDequeueIntervalWeight *
      (static_cast<double>(aNowMs - next->mLastDequeueMs) -
       next->mDequeueIntervalMs);
  } else {
    next->mDequeueIntervalMs *= 1 - kDequeueIntervalWeight;
  }
  next->mLastDequeueMs = aNowMs;
  DequeuedRequest result{ *name, next->mQueue.front() };
  next->mQueue.erase(next->mQueue.begin());
  Decay(*next, aOptions, aNowMs);
  next->mUsage += static_cast<double>(result.mRequest.mTokens);
  return result;
}

void
Requeue(Limits& aLimits, const DequeuedRequest& aRequest)
{
  if (auto* state = FindState(aLimits, aRequest.mCustomer)) {
    state->mQueue.insert(state->mQueue.begin(), aRequest.mRequest);
    state->mUsage = std::max(
      0.0, state->mUsage - static_cast<double>(aRequest.mRequest.mTokens));
  }
}

std::vector<DequeuedRequest>
RemoveExpired(Limits& aLimits, TimeMs aNowMs)
{
  std::vector<DequeuedRequest> expired;
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
MakeDemandRow(Limits& aLimits, const LimitsOptions& aOptions, TimeMs aNowMs)
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
  auto [found, isNew] = aLimits.mPeers.try_emplace(aRow.mEntry);
  auto& known = found->second.mRow;
  if (!isNew && std::pair(aRow.mIncarnation, aRow.mSequence) <=
                  std::pair(known.mIncarnation, known.mSequence)) {
    return false;
  }
  found->second = { aRow, aNowMs };
  std::erase_if(aLimits.mPeers, [&](const auto& aPeer) {
    return aNowMs - aPeer.second.mReceivedMs > 10 * aOptions.mPeerTimeoutMs;
  });
  SumPeerDemand(aLimits, aOptions, aNowMs);
  return true;
}

} // namespace savory
