#pragma once

#include "agent_exchange.h"
#include "caller_api.h"
#include "savory/core/cascade.h"
#include "savory/core/quarantine.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace savory {

class Entry;

// A model call at an entry, from the caller's request to its answer.
class ModelCall : public std::enable_shared_from_this<ModelCall>
{
public:
  ModelCall(Entry& aEntry,
            CallerContext aContext,
            const std::shared_ptr<HttpReply>& aReply);
  ~ModelCall();
  ModelCall(const ModelCall&) = delete;
  ModelCall& operator=(const ModelCall&) = delete;

  void Begin(const HttpRequest& aRequest);
  // Tries to place a call that waited for capacity. Returns false when there is
  // still none; the call then stays queued.
  bool Resume();
  // The call's deadline or its maximum time in the queue has passed.
  void OnExpired();
  bool IsFinished() const { return mFinished; }

private:
  // Result of an attempt to place the current step at a backend server. Ended:
  // the call has failed, or a retry is scheduled.
  enum class PlacementResult
  {
    Sent,
    NoCapacity,
    Ended,
  };

  bool CheckLimits();
  bool ChoosePlan(const HttpRequest& aRequest);
  bool PlanSession(const std::string& aSession, bool aStrict);
  bool PlanFixed(const std::string& aModel, const std::string& aVersion);
  PlanInput MakePlanInput() const;
  std::vector<std::string> FindCandidatesAtLimit() const;

  void PlaceOrWait();
  PlacementResult PlaceStep();
  std::optional<std::string> FindIsolationTarget();
  bool UseNewestConfiguration();
  bool EnsureStepPermitted();
  bool SendStep(const std::string& aAddress, bool aIsolated);
  void EnqueueOrFail();
  void ScheduleRetry(TimeMs aDelayMs);

  void OnAccepted(const AnswerHead& aHead);
  void OnRefused(const AnswerHead& aHead);
  void OnBody(std::string_view aBytes);
  void OnEnd(const AnswerEnd& aEnd);
  void OnAgentLost();
  void RetryOrFail(std::uint64_t aCrashId);
  void OnStepCompleted();
  void OnStepRated(std::optional<bool> aPassed);
  void RateDeliveredAnswer();
  std::string AnswerText() const;
  void ParseBufferedEvents();

  void AddBillStep(const AnswerEnd& aEnd, bool aComplete);
  void EndAttempt();
  void Deliver();
  void Fail(const CallerError& aError);
  void Finish();
  Headers MakeAnswerHeaders() const;
  void Explain(const std::string& aKind,
               const std::string& aOutcome,
               const std::string& aReason);
  TimeMs RemainingMs() const;
  const Step& CurrentStep() const { return mPlan.mSteps[mStepIndex]; }

  Entry& mEntry;
  CallerContext mContext;
  std::shared_ptr<HttpReply> mReply;
  std::shared_ptr<AgentExchange> mExchange;
  Timer mDeadlineTimer;
  Timer mRetryTimer;
  ChatRequest mChatRequest;
  RequestClass mRequestClass;
  // Copy of the customer's name, since a newer configuration may no longer
  // contain the customer.
  std::string mCustomer;
  std::string mRequestBody;
  std::string mBody;
  std::uint64_t mFingerprint = 0;
  std::vector<std::uint64_t> mPrefixHashes;
  Plan mPlan;
  std::size_t mStepIndex = 0;
  std::string mSession;
  std::string mSessionMovedFrom;
  TimeMs mStartedMs = 0;
  TimeMs mStepStartedMs = 0;

  std::string mAgentAddress;
  std::string mBackendHost;
  std::vector<std::string> mTriedAgents;
  CallerError mLastError;
  int mAttemptCount = 0;
  bool mMayHaveRun = false;
  bool mQueued = false;
  bool mIsolated = false;
  bool mFinished = false;
  bool mRatingRequested = false;

  Headers mHeaders;
  int mStatus = 200;
  std::string mAnswer;
  // Text of the stream events already parsed and removed from mAnswer, and the
  // number of stream bytes kept for the rating so far.
  std::string mEventText;
  std::size_t mRatedStreamBytes = 0;
  bool mFirstByteReceived = false;
};

} // namespace savory
