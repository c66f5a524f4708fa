#include "savory/core/admission.h"

#include <algorithm>
#include <cmath>

namespace savory {

namespace {

// Share of the capacity that new requests may fill. The rest is for answers
// that grow beyond their reserved tokens.
constexpr double kMaxFillRatio = 0.95;

// Weight of a new sample in the moving average of the service time.
constexpr double kServiceTimeWeight = 0.1;

// Maximum time by which a request of a very large weight may arrive after one
// of weight 1 and still be queued before it.
constexpr double kMaxHeadStartMs = 1000;

std::int64_t
HeldTokens(const RunningRequest& aRunning)
{
  return aRunning.mInputTokens +
         std::max(aRunning.mReservedTokens, aRunning.mGeneratedTokens);
}

std::int64_t
AdmissibleTokens(const AdmissionOptions& aOptions)
{
  return static_cast<std::int64_t>(
    kMaxFillRatio * static_cast<double>(aOptions.mTokenCapacity));
}

// Returns why a request cannot start now, or nothing if it can.
std::optional<ErrorCode>
CheckStart(const Admission& aAdmission,
           const AdmissionOptions& aOptions,
           int aAllowance,
           bool aCold,
           const AdmissionRequest& aRequest)
{
  if (!aAdmission.mRunning.empty() &&
      (aRequest.mIsolated || aAdmission.mRunning.begin()->second.mIsolated)) {
    return ErrorCode::Overloaded;
  }
  if (static_cast<int>(aAdmission.mRunning.size()) >= aAllowance) {
    return aCold ? ErrorCode::ColdLimit : ErrorCode::Overloaded;
  }
  if (aOptions.mCheckMemory && aOptions.mTokenCapacity > 0 &&
      aAdmission.mTokensHeld + aRequest.mInputTokens + aRequest.mOutputTokens >
        AdmissibleTokens(aOptions)) {
    return ErrorCode::MemoryLimit;
  }
  return std::nullopt;
}

void
StartRequest(Admission& aAdmission,
             const AdmissionRequest& aRequest,
             TimeMs aNowMs)
{
  RunningRequest running;
  running.mInputTokens = aRequest.mInputTokens;
  running.mReservedTokens = aRequest.mOutputTokens;
  running.mPriority = aRequest.mPriority;
  running.mStartedMs = aNowMs;
  running.mIsolated = aRequest.mIsolated;
  aAdmission.mTokensHeld += HeldTokens(running);
  aAdmission.mRunning.insert_or_assign(aRequest.mId, running);
}

// Mean time until a request behind `aAhead` queued requests starts.
TimeMs
ExpectedWait(const Admission& aAdmission, int aAllowance, std::size_t aAhead)
{
  return static_cast<TimeMs>(
    std::ceil(aAdmission.mMeanServiceMs * static_cast<double>(aAhead + 1) /
              std::max(1, aAllowance)));
}

AdmissionDecision
Refuse(const Admission& aAdmission,
       const AdmissionOptions& aOptions,
       int aAllowance,
       ErrorCode aCode,
       std::string aReason)
{
  AdmissionDecision decision;
  decision.mCode = aCode;
  decision.mReason = std::move(aReason);
  decision.mRetryAfterMs = std::clamp<TimeMs>(
    ExpectedWait(aAdmission, aAllowance, aAdmission.mQueue.size()), 50, 30000);
  decision.mLoad = MakeLoadHint(aAdmission, aOptions, aAllowance);
  return decision;
}

std::string
RefusalReason(ErrorCode aCode)
{
  switch (aCode) {
    case ErrorCode::ColdLimit:
      return "the backend server is warming up and at its allowance";
    case ErrorCode::MemoryLimit:
      return "the tokens of running requests leave too little memory";
    default:
      return "the backend server is at its allowance";
  }
}

// The sort key among queued requests of equal priority: the time of arrival,
// with a bounded head start for larger weights. The entries have already shared
// the capacity by weight; with a second fair queue here, small customers waited
// without bound.
double
SortKeyMs(const AdmissionRequest& aRequest, TimeMs aNowMs)
{
  return static_cast<double>(aNowMs) +
         kMaxHeadStartMs / std::max(1.0, aRequest.mWeight);
}

bool
OrdersBefore(const QueuedRequest& aLeft, const QueuedRequest& aRight)
{
  if (aLeft.mRequest.mPriority != aRight.mRequest.mPriority) {
    return aLeft.mRequest.mPriority > aRight.mRequest.mPriority;
  }
  return aLeft.mSortKeyMs < aRight.mSortKeyMs;
}

} // namespace

LoadHint
MakeLoadHint(const Admission& aAdmission,
             const AdmissionOptions& aOptions,
             int aAllowance)
{
  return { static_cast<int>(aAdmission.mRunning.size()),
           static_cast<int>(aAdmission.mQueue.size()),
           aAllowance,
           aAdmission.mTokensHeld,
           aOptions.mTokenCapacity };
}

bool
ConsumeCapacityNotice(Admission& aAdmission, int aAllowance)
{
  bool hasCapacity =
    static_cast<int>(aAdmission.mRunning.size()) < aAllowance &&
    aAdmission.mQueue.empty();
  bool shouldReport = hasCapacity && aAdmission.mRefusedForLoad;
  if (hasCapacity) {
    aAdmission.mRefusedForLoad = false;
  }
  return shouldReport;
}

AdmissionDecision
Admit(Admission& aAdmission,
      const AdmissionOptions& aOptions,
      int aAllowance,
      bool aCold,
      const AdmissionRequest& aRequest,
      TimeMs aNowMs,
      AdmissionChanges& aChanges)
{
  auto refuse = [&](ErrorCode aCode, std::string aReason) {
    aAdmission.mRefusedForLoad |= aCode == ErrorCode::Overloaded ||
                                  aCode == ErrorCode::ColdLimit ||
                                  aCode == ErrorCode::MemoryLimit;
    return Refuse(aAdmission, aOptions, aAllowance, aCode, std::move(aReason));
  };
  // 1. Refuse what can never run here, or no longer can.
  if (aAdmission.mDraining) {
    return refuse(ErrorCode::Draining, "the agent is leaving");
  }
  if (aRequest.mDeadlineMs <= aNowMs) {
    return refuse(ErrorCode::DeadlineExceeded, "the deadline has passed");
  }
  if (aOptions.mCheckMemory && aOptions.mTokenCapacity > 0 &&
      aRequest.mInputTokens + aRequest.mOutputTokens >
        AdmissibleTokens(aOptions)) {
    return refuse(ErrorCode::MemoryLimit,
                  "the request needs more memory than the backend server has");
  }

  // 2. Start at once if no request of the same or a higher priority is queued.
  auto obstacle = CheckStart(aAdmission, aOptions, aAllowance, aCold, aRequest);
  bool mustWait =
    std::any_of(aAdmission.mQueue.begin(),
                aAdmission.mQueue.end(),
                [&](const QueuedRequest& aQueued) {
                  return aQueued.mRequest.mPriority >= aRequest.mPriority;
                });
  if (!obstacle && !mustWait) {
    StartRequest(aAdmission, aRequest, aNowMs);
    AdmissionDecision decision;
    decision.mResult = AdmissionResult::Started;
    decision.mLoad = MakeLoadHint(aAdmission, aOptions, aAllowance);
    return decision;
  }
  ErrorCode code = obstacle.value_or(ErrorCode::Overloaded);

  // 3. Queue only if waiting can help. It does not at a cold backend server,
  // whose small allowance is better left to requests that no other backend
  // server can accept, and not if the request would start after its deadline.
  if (!aRequest.mMayQueue || code == ErrorCode::ColdLimit) {
    return refuse(code, RefusalReason(code));
  }
  std::size_t ahead = static_cast<std::size_t>(
    std::count_if(aAdmission.mQueue.begin(),
                  aAdmission.mQueue.end(),
                  [&](const QueuedRequest& aQueued) {
                    return aQueued.mRequest.mPriority >= aRequest.mPriority;
                  }));
  if (aNowMs + ExpectedWait(aAdmission, aAllowance, ahead) >
      aRequest.mDeadlineMs) {
    return refuse(code,
                  RefusalReason(code) +
                    ", and the request would start after its deadline");
  }
  QueuedRequest queued{ aRequest, aNowMs, 0, 0 };
  if (static_cast<int>(aAdmission.mQueue.size()) >= aOptions.mMaxQueue) {
    if (aAdmission.mQueue.empty() ||
        aAdmission.mQueue.back().mRequest.mPriority >= aRequest.mPriority) {
      return refuse(code, RefusalReason(code) + ", and the queue is full");
    }
    std::string displacedId = aAdmission.mQueue.back().mRequest.mId;
    aAdmission.mQueue.pop_back();
    aChanges.mRefused.push_back(
      { displacedId,
        refuse(ErrorCode::Overloaded,
               "displaced from the queue by a request of higher priority") });
  }
  queued.mSortKeyMs = SortKeyMs(aRequest, aNowMs);
  aAdmission.mQueue.insert(
    std::upper_bound(
      aAdmission.mQueue.begin(), aAdmission.mQueue.end(), queued, OrdersBefore),
    queued);
  AdmissionDecision decision;
  decision.mResult = AdmissionResult::Queued;
  decision.mLoad = MakeLoadHint(aAdmission, aOptions, aAllowance);
  return decision;
}

std::vector<std::string>
OnTokensGenerated(Admission& aAdmission,
                  const AdmissionOptions& aOptions,
                  std::string_view aId,
                  std::int64_t aGenerated)
{
  std::vector<std::string> cancelled;
  auto found = aAdmission.mRunning.find(std::string(aId));
  if (found == aAdmission.mRunning.end()) {
    return cancelled;
  }
  auto& running = found->second;
  std::int64_t before = HeldTokens(running);
  running.mGeneratedTokens = std::max(running.mGeneratedTokens, aGenerated);
  aAdmission.mTokensHeld += HeldTokens(running) - before;
  while (aOptions.mCheckMemory && aOptions.mTokenCapacity > 0 &&
         aAdmission.mTokensHeld > aOptions.mTokenCapacity) {
    auto victim = std::min_element(
      aAdmission.mRunning.begin(),
      aAdmission.mRunning.end(),
      [](const auto& aLeft, const auto& aRight) {
        if (aLeft.second.mPriority != aRight.second.mPriority) {
          return aLeft.second.mPriority < aRight.second.mPriority;
        }
        return aLeft.second.mStartedMs > aRight.second.mStartedMs;
      });
    aAdmission.mTokensHeld -= HeldTokens(victim->second);
    cancelled.push_back(victim->first);
    aAdmission.mRunning.erase(victim);
  }
  return cancelled;
}

void
OnInputCounted(Admission& aAdmission,
               std::string_view aId,
               std::int64_t aInputTokens)
{
  auto found = aAdmission.mRunning.find(std::string(aId));
  if (found != aAdmission.mRunning.end()) {
    std::int64_t before = HeldTokens(found->second);
    found->second.mInputTokens = aInputTokens;
    aAdmission.mTokensHeld += HeldTokens(found->second) - before;
  }
}

void
OnRequestEnded(Admission& aAdmission, std::string_view aId, TimeMs aNowMs)
{
  auto found = aAdmission.mRunning.find(std::string(aId));
  if (found == aAdmission.mRunning.end()) {
    return;
  }
  aAdmission.mMeanServiceMs +=
    kServiceTimeWeight *
    (static_cast<double>(aNowMs - found->second.mStartedMs) -
     aAdmission.mMeanServiceMs);
  aAdmission.mTokensHeld -= HeldTokens(found->second);
  aAdmission.mRunning.erase(found);
}

bool
CancelQueued(Admission& aAdmission, std::string_view aId)
{
  return std::erase_if(aAdmission.mQueue, [&](const QueuedRequest& aQueued) {
           return aQueued.mRequest.mId == aId;
         }) > 0;
}

AdmissionChanges
PollAdmission(Admission& aAdmission,
              const AdmissionOptions& aOptions,
              int aAllowance,
              bool aCold,
              TimeMs aNowMs)
{
  AdmissionChanges changes;
  // 1. Refuse what can no longer run.
  auto& queue = aAdmission.mQueue;
  for (auto queued = queue.begin(); queued != queue.end();) {
    bool late = queued->mRequest.mDeadlineMs <= aNowMs;
    if (!late && !aAdmission.mDraining) {
      ++queued;
      continue;
    }
    std::string id = queued->mRequest.mId;
    queued = queue.erase(queued);
    changes.mRefused.push_back(
      { id,
        Refuse(aAdmission,
               aOptions,
               aAllowance,
               late ? ErrorCode::DeadlineExceeded : ErrorCode::Draining,
               late ? "the deadline passed in the queue"
                    : "the agent is leaving") });
  }

  // 2. Start in order. Smaller requests may bypass one that does not fit a
  // bounded number of times, so that it neither blocks the queue nor starves.
  for (auto queued = queue.begin(); queued != queue.end();) {
    if (CheckStart(aAdmission, aOptions, aAllowance, aCold, queued->mRequest)) {
      if (queued->mBypassCount >= aOptions.mMaxBypass) {
        break;
      }
      ++queued;
      continue;
    }
    for (auto passed = queue.begin(); passed != queued; ++passed) {
      ++passed->mBypassCount;
    }
    StartRequest(aAdmission, queued->mRequest, aNowMs);
    changes.mStarted.push_back(std::move(queued->mRequest));
    queued = queue.erase(queued);
  }
  return changes;
}

} // namespace savory
