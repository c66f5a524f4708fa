#pragma once

#include "savory/core/balancer.h"
#include "savory/core/types.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace savory {

// Options of the admission control at one backend server. `mTokenCapacity` is
// the number of tokens that its memory holds; 0 means that the capacity is
// unknown and not checked. `mMaxBypass` is how often later requests may start
// before a queued one that does not fit.
struct AdmissionOptions
{
  std::int64_t mTokenCapacity = 0;
  int mMaxQueue = 8;
  int mMaxBypass = 4;
  bool mCheckMemory = true;
};

// A request for admission. The deadline is a point in time; `mOutputTokens` is
// the number of tokens reserved for the answer. `mMayQueue` is false while the
// entry has other candidates to try. An `mIsolated` request runs without any
// other request beside it.
struct AdmissionRequest
{
  std::string mId;
  std::string mCustomer;
  std::int64_t mInputTokens = 0;
  std::int64_t mOutputTokens = 0;
  int mPriority = 1;
  double mWeight = 1;
  TimeMs mDeadlineMs = 0;
  bool mMayQueue = true;
  bool mIsolated = false;
};

struct RunningRequest
{
  std::int64_t mInputTokens = 0;
  std::int64_t mReservedTokens = 0;
  std::int64_t mGeneratedTokens = 0;
  int mPriority = 1;
  TimeMs mStartedMs = 0;
  bool mIsolated = false;
};

struct QueuedRequest
{
  AdmissionRequest mRequest;
  TimeMs mQueuedMs = 0;
  double mSortKeyMs = 0;
  int mBypassCount = 0;
};

// The requests that run at the backend server and those queued for it.
// `mMeanServiceMs` is the moving average of the service times of ended
// requests. `mRefusedForLoad` is whether a request was refused for load since
// ConsumeCapacityNotice last found free capacity.
struct Admission
{
  std::map<std::string, RunningRequest> mRunning;
  std::vector<QueuedRequest> mQueue;
  std::int64_t mTokensHeld = 0;
  double mMeanServiceMs = 1000;
  bool mDraining = false;
  bool mRefusedForLoad = false;
};

enum class AdmissionResult
{
  Started,
  Queued,
  Refused,
};

// The decision about a request. A refused request has never reached the backend
// server (ExecutionState::NotRun).
struct AdmissionDecision
{
  AdmissionResult mResult = AdmissionResult::Refused;
  ErrorCode mCode = ErrorCode::Overloaded;
  TimeMs mRetryAfterMs = 0;
  std::string mReason;
  LoadHint mLoad;
};

struct AdmissionRefusal
{
  std::string mId;
  AdmissionDecision mDecision;
};

// The consequences of an event: the requests to start now, in this order, and
// the queued requests that are refused.
struct AdmissionChanges
{
  std::vector<AdmissionRequest> mStarted;
  std::vector<AdmissionRefusal> mRefused;
};

// Starts, queues or refuses a new request. If the queue is full, the request
// may displace a queued one of lower priority, which is added to `aChanges` as
// refused. `aAllowance` is the allowance of warmup.h and `aCold` its IsCold.
AdmissionDecision
Admit(Admission& aAdmission,
      const AdmissionOptions& aOptions,
      int aAllowance,
      bool aCold,
      const AdmissionRequest& aRequest,
      TimeMs aNowMs,
      AdmissionChanges& aChanges);

// Updates the number of tokens that a running request has generated so far.
// Returns the requests to cancel so that the tokens held fit the capacity
// again; they count as ended. Requests of the lowest priority are cancelled
// first, and among those the newest.
std::vector<std::string>
OnTokensGenerated(Admission& aAdmission,
                  const AdmissionOptions& aOptions,
                  std::string_view aId,
                  std::int64_t aGenerated);

// Replaces the estimated number of input tokens by the backend server's own
// count.
void
OnInputCounted(Admission& aAdmission,
               std::string_view aId,
               std::int64_t aInputTokens);

// The request ended at the backend server, in whichever way. An unknown id,
// such as that of a request that OnTokensGenerated cancelled, has no effect.
void
OnRequestEnded(Admission& aAdmission, std::string_view aId, TimeMs aNowMs);

// Removes a queued request whose caller has disconnected. Returns whether it
// was queued.
bool
CancelQueued(Admission& aAdmission, std::string_view aId);

// Starts the queued requests that fit now and refuses those whose deadline has
// passed, or all of them while draining. Called after each event and every
// 100 ms.
AdmissionChanges
PollAdmission(Admission& aAdmission,
              const AdmissionOptions& aOptions,
              int aAllowance,
              bool aCold,
              TimeMs aNowMs);

// Whether the agent should send a report at once, because it has refused a
// request for load and has free capacity again. Entries would otherwise learn
// this only from the next periodic report. Resets mRefusedForLoad if there is
// free capacity.
bool
ConsumeCapacityNotice(Admission& aAdmission, int aAllowance);

LoadHint
MakeLoadHint(const Admission& aAdmission,
             const AdmissionOptions& aOptions,
             int aAllowance);

} // namespace savory
