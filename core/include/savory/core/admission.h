#pragma once

#include "savory/core/balancer.h"
#include "savory/core/types.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace savory {

// Tuning of the admission at one backend server. The capacity is what its
// memory holds, in tokens; 0 means that it is not known and not checked.
struct AdmissionOptions
{
  std::int64_t mTokenCapacity = 0;
  int mMaxQueue = 8;
  int mMaxBypass = 4;
  bool mCheckMemory = true;
};

// A request as admission sees it. The deadline is absolute; the output is the
// number of tokens reserved for the answer. `mMayQueue` is false while the
// entry has other candidates to try.
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

// What runs at the backend server and what waits for it.
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

// The answer to a request. A refusal is always "not run".
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

// What an event let happen: requests to start now, in order, and queued
// requests that are refused.
struct AdmissionChanges
{
  std::vector<AdmissionRequest> mStarted;
  std::vector<AdmissionRefusal> mRefused;
};

// Decides a new request. It may push a queued one of lower priority out, which
// `aChanges` then holds. The allowance is that of warmup.h, `aCold` its IsCold.
AdmissionDecision
Admit(Admission& aAdmission,
      const AdmissionOptions& aOptions,
      int aAllowance,
      bool aCold,
      const AdmissionRequest& aRequest,
      TimeMs aNowMs,
      AdmissionChanges& aChanges);

// Takes the tokens generated so far of a running request. Returns the requests
// to cancel so that the tokens held fit the capacity again; they are counted
// as ended. The newest of the lowest priority go first.
std::vector<std::string>
OnTokensGenerated(Admission& aAdmission,
                  const AdmissionOptions& aOptions,
                  std::string_view aId,
                  std::int64_t aGenerated);

// Corrects the estimated input by the backend server's own count.
void
OnInputCounted(Admission& aAdmission,
               std::string_view aId,
               std::int64_t aInputTokens);

// The request left the backend server, in any way. An unknown id, as of one
// that OnTokensGenerated cancelled, changes nothing.
void
OnRequestEnded(Admission& aAdmission, std::string_view aId, TimeMs aNowMs);

// Removes a queued request whose caller has gone. True when it was queued.
bool
CancelQueued(Admission& aAdmission, std::string_view aId);

// Starts what fits now and refuses what has passed its deadline, or all that
// is queued when draining. Called after each event and every 100 ms.
AdmissionChanges
PollAdmission(Admission& aAdmission,
              const AdmissionOptions& aOptions,
              int aAllowance,
              bool aCold,
              TimeMs aNowMs);

// Whether the agent should report at once: it refused for load since it last
// said so and now has room, which entries would else learn only from the next
// periodic report. Resets what it tells.
bool
ConsumeCapacityNotice(Admission& aAdmission, int aAllowance);

LoadHint
MakeLoadHint(const Admission& aAdmission,
             const AdmissionOptions& aOptions,
             int aAllowance);

} // namespace savory
