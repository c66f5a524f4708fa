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

// One model call at an entry, from the caller's request to its answer.
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
  // Tries to place a call that waited for capacity. False when there is still
  // no room, and then nothing was done.
  bool Resume();
  // The deadline passed while the call waited.
  void Expire();
  bool IsOver() const { return mOver; }

private:
  // How an attempt to place the step at a backend server ended.
  enum class Placed
  {
    Sent,
    NoRoom,
    Ended,
  };

  bool CheckLimits();
  bool ChoosePlan(const HttpRequest& aRequest);
  bool PlanSession(const std::string& aSession, bool aStrict);
  bool PlanFixed(const std::string& aModel, const std::string& aVersion);
  PlanInput MakePlanInput() const;
  std::vector<std::string> CandidatesAtLimit() const;

  void Proceed();
  Placed Place();
  std::optional<std::string> IsolatedPlace();
  bool UseNewestConfiguration();
  bool MayStillRun();
  bool Send(const std::string& aAddress, bool aAlone);
  void WaitForRoom();
  void RetryAfter(TimeMs aDelayMs);

  void OnAccepted(const AnswerHead& aHead);
  void OnRefused(const AnswerHead& aHead);
  void OnBody(std::string_view aBytes);
  void OnEnd(const AnswerEnd& aEnd);
  void OnBroken();
  void AfterFailure(std::uint64_t aCrash);
  void OnStepDone();
  void OnStepRated(std::optional<bool> aPassed);
  void AskForRating();
  std::string AnswerText() const;
  void FoldAnswer();

  void Bill(const AnswerEnd& aEnd, bool aComplete);
  void Leave();
  void Deliver();
  void Fail(const CallerError& aError);
  void Over();
  Headers AnswerHeaders() const;
  void Explain(const std::string& aKind,
               const std::string& aOutcome,
               const std::string& aReason);
  TimeMs RemainingMs() const;
  const Step& CurrentStep() const { return mPlan.mSteps[mStep]; }

  Entry& mEntry;
  CallerContext mContext;
  std::shared_ptr<HttpReply> mReply;
  std::shared_ptr<AgentExchange> mExchange;
  Timer mDeadline;
  Timer mRetry;
  ChatRequest mChat;
  RequestClass mClass;
  // The customer's name, which stays known when a newer configuration lacks
  // the customer.
  std::string mCustomer;
  std::string mDocument;
  std::string mBody;
  std::uint64_t mFingerprint = 0;
  std::vector<std::uint64_t> mPrefix;
  Plan mPlan;
  std::size_t mStep = 0;
  std::string mSession;
  std::string mMovedFrom;
  TimeMs mStartedMs = 0;
  TimeMs mStepStartedMs = 0;

  std::string mAddress;
  std::string mBackendHost;
  std::vector<std::string> mTried;
  CallerError mLastError;
  int mAttempt = 0;
  bool mExecution = false;
  bool mQueued = false;
  bool mAlone = false;
  bool mOver = false;
  bool mRated = false;

  Headers mHeaders;
  int mStatus = 200;
  std::string mAnswer;
  // Text of the events that were taken out of the answer, and the bytes of
  // the stream seen for the rating.
  std::string mText;
  std::size_t mRatedBytes = 0;
  bool mFirstByte = false;
};

} // namespace savory
