#pragma once

#include "savory/core/config.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace savory {

// Parameters of the limits at one entry. The `mUse` switches exist for tests
// that show what a mechanism prevents.
struct LimitsOptions
{
  double mRetryTokensPerAnswer = 0.1;
  double mRetryTokensPerSecond = 3;
  double mRetryBurst = 10;
  TimeMs mRetryWindowMs = 10000;
  std::size_t mMaxFingerprints = 1 << 17;
  TimeMs mUsageDecayMs = 10000;
  TimeMs mPeerTimeoutMs = 10000;
  double mBurstSeconds = 2;
  double mFairSlack = 0.02;
  std::size_t mMaxQueuePerCustomer = 64;
  TimeMs mMaxWaitMs = 5000;
  bool mUseFairQueue = true;
  bool mUseRetryBudget = true;
};

// The state of one customer that an entry sends to its peers: the demand in
// tokens per second, the decayed sum of tokens that the entry dispatched, and
// whether requests of the customer wait for capacity.
struct CustomerDemand
{
  std::string mCustomer;
  double mDemand = 0;
  double mUsage = 0;
  bool mWaiting = false;
};

// The counters of one entry. Only the entry itself numbers its rows, so its
// newest row has the highest incarnation and sequence.
struct DemandRow
{
  std::string mEntry;
  std::int64_t mIncarnation = 0;
  std::int64_t mSequence = 0;
  std::vector<CustomerDemand> mCustomers;
};

struct WaitingRequest
{
  std::string mId;
  std::int64_t mTokens = 0;
  TimeMs mDeadlineMs = 0;
};

struct CustomerState
{
  double mWeight = 1;
  int mPriority = 1;
  double mTokensPerSecond = 0;
  double mBucketTokens = 0;
  TimeMs mBucketRefillMs = 0;
  double mRetryTokens = 0;
  TimeMs mRetryRefillMs = 0;
  double mDemand = 0;
  double mUsage = 0;
  TimeMs mLastDecayMs = 0;
  double mPeerDemand = 0;
  double mPeerUsage = 0;
  bool mPeerWaiting = false;
  TimeMs mPeerUpdateMs = 0;
  TimeMs mLastDequeueMs = 0;
  double mDequeueIntervalMs = 0;
  std::vector<WaitingRequest> mQueue;
};

struct PeerDemand
{
  DemandRow mRow;
  TimeMs mReceivedMs = 0;
};

// The limits of one entry. Fingerprints of requests that arrived and have not
// been answered in full are kept in two generations of one retry window each.
struct Limits
{
  std::string mEntry;
  std::int64_t mIncarnation = 0;
  std::int64_t mSequence = 0;
  std::map<std::string, CustomerState, std::less<>> mCustomers;
  std::map<std::string, PeerDemand> mPeers;
  std::unordered_map<std::uint64_t, TimeMs> mFingerprints;
  std::unordered_map<std::uint64_t, TimeMs> mOlderFingerprints;
  TimeMs mGenerationStartMs = 0;
};

// Applies the customers of a configuration. Counters of the customers that stay
// are kept; those of removed customers are dropped with their queues.
void
ApplyCustomers(Limits& aLimits,
               const LimitsOptions& aOptions,
               std::span<const Customer> aCustomers,
               TimeMs aNowMs);

// Whether a request is admitted. A refused request was not run.
struct LimitDecision
{
  bool mAllowed = false;
  bool mIsRetry = false;
  ErrorCode mCode = ErrorCode::Internal;
  TimeMs mRetryAfterMs = 0;
  std::string mReason;
};

// Decides on a request that has just arrived. The checks are, in this order:
// known customer, retry budget, shedding by the preset's priority while
// `aOverloaded`, token bucket. The fingerprint covers the customer too.
LimitDecision
CheckArrival(Limits& aLimits,
             const LimitsOptions& aOptions,
             std::string_view aCustomer,
             std::uint64_t aFingerprint,
             std::int64_t aTokens,
             const Preset& aPreset,
             bool aOverloaded,
             TimeMs aNowMs);

// Spends a token of the customer's retry budget on a retry by this entry
// itself. False when the budget is exhausted; the caller then gets the refusal
// that would have been retried.
bool
TryAcquireRetry(Limits& aLimits,
                const LimitsOptions& aOptions,
                std::string_view aCustomer,
                TimeMs aNowMs);

// Handles a full answer: it refills the retry budget, and the same request sent
// again later counts as a new one.
void
OnAnswered(Limits& aLimits,
           const LimitsOptions& aOptions,
           std::string_view aCustomer,
           std::uint64_t aFingerprint,
           TimeMs aNowMs);

// Adds an allowed request to its customer's queue. False when the queue is full
// or so long that the request would wait longer than `mMaxWaitMs`; the caller
// of the function then refuses it with `overloaded`. The deadline of a queued
// request is at most `mMaxWaitMs` after `aNowMs`.
bool
Enqueue(Limits& aLimits,
        const LimitsOptions& aOptions,
        std::string_view aCustomer,
        const WaitingRequest& aRequest,
        TimeMs aNowMs);

// Removes a queued request whose caller has left. True when it was queued.
bool
RemoveWaiting(Limits& aLimits,
              std::string_view aCustomer,
              std::string_view aId);

struct DequeuedRequest
{
  std::string mCustomer;
  WaitingRequest mRequest;
};

// Dequeues a request of the customer with the least usage for its weight over
// all entries. Nothing when no request waits, or when all customers that wait
// here have more usage for their weight than one that waits at another entry.
// The request counts as dispatched; when no backend server accepts it, return
// it with Requeue.
std::optional<DequeuedRequest>
DequeueNext(Limits& aLimits, const LimitsOptions& aOptions, TimeMs aNowMs);
void
Requeue(Limits& aLimits, const DequeuedRequest& aRequest);

// Removes and returns the queued requests whose deadline has passed.
std::vector<DequeuedRequest>
RemoveExpired(Limits& aLimits, TimeMs aNowMs);

// Gossip: makes the row of this entry's counters under a new sequence, and
// merges the row of a peer, which replaces an older one of the same peer. True
// when the row was newer.
DemandRow
MakeDemandRow(Limits& aLimits, const LimitsOptions& aOptions, TimeMs aNowMs);
bool
MergeDemand(Limits& aLimits,
            const LimitsOptions& aOptions,
            const DemandRow& aRow,
            TimeMs aNowMs);

// The share in [0, 1] of a customer's rate that this entry may grant.
double
LocalShare(const Limits& aLimits,
           const LimitsOptions& aOptions,
           std::string_view aCustomer,
           TimeMs aNowMs);

} // namespace savory
