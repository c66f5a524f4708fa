#include "exchange.h"

#include "savory/net/log.h"

#include <algorithm>

namespace savory {

namespace {

// A stream without an event for this long is resumed on another runner. Callers
// abandon a stream after two seconds at the earliest.
constexpr TimeMs kMaxEventGapMs = 1400;

// Reading from the runner pauses when more than this is unsent to the caller.
// An answer that is not a stream is buffered whole, up to the second limit.
constexpr std::size_t kMaxUnsentBytes = 256 * 1024;
constexpr std::size_t kMaxBufferedBytes = 8 * 1024 * 1024;

// All answers that are buffered may take this much together; beyond it, only
// short ones are.
constexpr std::size_t kMaxTotalBufferedBytes = 12 * 1024 * 1024;
constexpr std::size_t kShortAnswerBytes = 64 * 1024;

// No attempt starts with less time than this to the deadline, as it could not
// be answered in time.
constexpr TimeMs kMinRemainingMs = 40;

// How often an attempt that is overdue at a runner of a paced service is looked
// at again.
constexpr TimeMs kOverdueCheckMs = 400;

// Maximum number of sends of one request, including those that runners refused.
constexpr std::size_t kMaxSends = 8;

// How long a runner is avoided after status 421, that is, when its address
// belongs to another runner by now; its registration is renewed meanwhile.
constexpr TimeMs kMisdirectedPauseMs = 1500;

// Retry-After of refused requests where no time is known: a minimum. To all
// times a random spread is added, which keeps callers from returning at the
// same time.
constexpr TimeMs kRetryAfterMs = 250;
constexpr TimeMs kRetryAfterSpreadMs = 500;

// Events after which a stream shows that its prompt does not crash the runner.
// One that does may still send the first.
constexpr int kAnsweredEvents = 2;

AttemptProgress
Progress(const Attempt& aAttempt)
{
  if (aAttempt.mProgress.mEvents > 0 || !aAttempt.mBody.empty()) {
    return AttemptProgress::Streaming;
  }
  return aAttempt.mHeadReceived ? AttemptProgress::Started
                                : AttemptProgress::Waiting;
}

// The ids of a prompt's shared parts, for logs.
std::string
FormatPartIds(const std::vector<PromptPart>& aParts)
{
  std::string text;
  for (const PromptPart& part : aParts) {
    text += (text.empty() ? "" : ",") + FormatHex(part.mId);
  }
  return text;
}

// The content type of an answer without its parameters.
std::string
MediaType(const Headers& aHeaders)
{
  const std::string* type = FindHeader(aHeaders, "Content-Type");
  return type ? type->substr(0, type->find(';')) : std::string();
}

} // namespace

void
Exchange::OnHead(const HttpHead& aHead)
{
  auto self = shared_from_this();
  mAttempt->mHeadReceived = true;
  mAttempt->mHead = aHead;
  mAttempt->mMetadata = ParseAnswerMetadata(aHead);
  const AnswerMetadata& metadata = mAttempt->mMetadata;
  ApplyRunnerHeaders();
  AnswerUse use = ChooseUse(aHead);
  mAttempt->mUse = use;
  if (use == AnswerUse::NotRun) {
    return;
  }
  mMayHaveRun = true;
  if (use == AnswerUse::Broken) {
    OnRunnerOutcome(RunnerOutcome::Broken);
    RetryOrFail(metadata.mSigned
                  ? "answer is encoded or does not continue the stream"
                  : "answer without signature");
    return;
  }
  bool success = aHead.mStatus >= 200 && aHead.mStatus < 300;
  if (success && !mAnswerStarted) {
    UpdateEstimates();
  }
  if (use == AnswerUse::Stream) {
    EscalateModel();
  } else if (!IsStream()) {
    CountAsRun();
  }
}

// Counts the request for the usage report, once however often it is sent: a
// stream begins to run with its first event, another call when its runner
// answers it.
void
Exchange::CountAsRun()
{
  if (!mCountedAsRun && mCustomer && !mCustomer->mName.empty()) {
    mCountedAsRun = true;
    mShared.mOnRequestRan(mCustomer->mName);
  }
}

AnswerUse
Exchange::ChooseUse(const HttpHead& aHead) const
{
  const AnswerMetadata& metadata = mAttempt->mMetadata;
  AnswerFacts facts;
  facts.mIsStream = IsStream();
  facts.mStatus = aHead.mStatus;
  facts.mNotRun = metadata.mNotRun;
  facts.mSigned = metadata.mSigned;
  facts.mHasContentEncoding = metadata.mHasContentEncoding;
  facts.mIsStarted = mAnswerStarted;
  facts.mContinuesStarted = aHead.mStatus == mStartedStatus &&
                            MediaType(aHead.mHeaders) == mStartedType;
  return ChooseAnswerUse(facts);
}

// Drops the answer of a smaller model with low confidence and sends the request
// to the route's largest model. Returns whether it did.
bool
Exchange::EscalateModel()
{
  if (mModel.empty() || mAnswerStarted || mModel == mRoute->mModels.back() ||
      !mAttempt->mMetadata.mConfidence) {
    return false;
  }
  if (IsPacedService()) {
    return EscalatePaced();
  }
  const std::string largest = mRoute->mModels.back();
  std::set<std::string> tried = std::exchange(mTriedRunners, {});
  PlacementRequest placementRequest;
  auto placement = FindPlacement(largest, placementRequest);
  EscalationInput input;
  input.mConfidence = *mAttempt->mMetadata.mConfidence;
  input.mElapsedMs = static_cast<double>(Now() - mArrivedMs);
  input.mLargerFirstEventMs = placement ? placement->mExpectedMs : 0;
  input.mLatencyGoalMs = static_cast<double>(mRoute->mLatencyGoalMs);
  input.mPoolWaitMs = mShared.mState.mPoolWaits[mService].mMeanMs;
  bool escalate = placement && ShouldEscalate(input) && TryAcquireAttempt();
  LogEvent(
    Event::ModelChosen,
    { { "id", mMetadata.mId },
      { "model", mModel },
      { "confidence", std::to_string(static_cast<int>(input.mConfidence)) },
      { "tokens", std::to_string(mMetadata.mPromptTokens) },
      { "larger_ms",
        std::to_string(static_cast<int>(input.mLargerFirstEventMs)) },
      { "wait_ms", std::to_string(static_cast<int>(input.mPoolWaitMs)) },
      { "choice", escalate ? "ask-larger" : "keep" } });
  if (!escalate) {
    mTriedRunners = std::move(tried);
    return false;
  }
  CountAsRun();
  mShared.mMetrics.CountAttempt("dropped-for-larger");
  OnRunnerOutcome(RunnerOutcome::Success);
  EndAttempt();
  mModel = largest;
  Send(std::move(placementRequest), *placement);
  return true;
}

void
Exchange::OnBody(std::string_view aBytes)
{
  auto self = shared_from_this();
  if (mAttempt->mUse == AnswerUse::Stream) {
    auto events = ExtractEvents(mAttempt->mStream, aBytes);
    if (IsEventTooLong(mAttempt->mStream)) {
      OnRunnerOutcome(RunnerOutcome::Broken);
      RetryOrFail("event too long");
      return;
    }
    ForwardEvents(std::move(events));
    return;
  }
  if (!TryBuffer(aBytes)) {
    OnRunnerOutcome(RunnerOutcome::Broken);
    RetryOrFail("answer too long");
  }
}

// Appends bytes to the answer if its own limit and that of all answers allow
// it.
bool
Exchange::TryBuffer(std::string_view aBytes)
{
  std::size_t size = mAttempt->mBody.size() + aBytes.size();
  std::size_t total = mShared.mBufferedBytes + aBytes.size();
  bool hasHeadroom =
    total <= kMaxTotalBufferedBytes &&
    MayHold(*mShared.mByteBudget, mShared.mAnswersHolder, aBytes.size());
  if (size > kMaxBufferedBytes || (!hasHeadroom && size > kShortAnswerBytes)) {
    return false;
  }
  mAttempt->mBody += aBytes;
  mShared.SetBufferedBytes(total);
  return true;
}

void
Exchange::StartAnswer()
{
  if (mAnswerStarted) {
    return;
  }
  mAnswerStarted = true;
  mStartedStatus = mAttempt->mHead.mStatus;
  mStartedType = MediaType(mAttempt->mHead.mHeaders);
  mFirstByteMs = Now() - mArrivedMs;
  mCaller->Start(
    mAttempt->mHead.mStatus, MakeCallerHeaders(mAttempt->mHead), std::nullopt);
  mShared.mMetrics.ObserveFirstByte(
    std::string(ToName(kRouteKindNames, mRoute->mKind)),
    static_cast<double>(Now() - mArrivedMs) / 1000);
}

// Forwards the events that are next in order to the caller and skips those that
// it has already; a gap ends the attempt.
void
Exchange::ForwardEvents(std::vector<StreamEvent> aEvents)
{
  if (aEvents.empty()) {
    return;
  }
  std::string bytes = std::exchange(mAttempt->mEarlyComments, {});
  int progress = 0;
  bool isAlive = false;
  bool gap = false;
  for (StreamEvent& event : aEvents) {
    isAlive |= !event.mIsComment;
    if (!event.mIsComment) {
      CountAsRun();
    }
    bool isFirst = mAttempt->mProgress.mEvents == 0 && progress == 0;
    EventOrder order =
      ClassifyEvent(event, mLastEventId, mAttempt->mIsResumed && isFirst);
    if (order == EventOrder::Restart) {
      OnRunnerOutcome(RunnerOutcome::Broken);
      RetryOrFail("stream begins again");
      return;
    }
    if (order == EventOrder::Repeated) {
      continue;
    }
    if (order == EventOrder::Gap) {
      gap = true;
      break;
    }
    if (event.mId) {
      mLastEventId = event.mId;
    }
    bytes += event.mBytes;
    progress += !event.mIsComment;
  }
  if (progress == 0 && mAttempt->mProgress.mEvents == 0 &&
      bytes.size() <= kMaxEventBytes) {
    mAttempt->mEarlyComments = std::move(bytes);
    bytes.clear();
  }
  if (!bytes.empty()) {
    StartAnswer();
    mCaller->Write(bytes);
  }
  if (progress > 0) {
    OnPacedEvents();
    OnEvents(mAttempt->mProgress, progress, Now());
    if (mAttempt->mProgress.mEvents >= kAnsweredEvents) {
      OnRunnerAnswered();
    }
  }
  if (gap) {
    // A caller may state any last event. That the stream does not go on after
    // it says nothing of the runner.
    if (mAttempt->mIsResumed || mAttempt->mProgress.mEvents > 0) {
      OnRunnerOutcome(RunnerOutcome::Broken);
    }
    RetryOrFail("an event is missing");
    return;
  }
  if (IsRepeatable() && progress > 0 && MigrateIfSlow()) {
    return;
  }
  // A stalled runner may send comments now and then.
  if (IsRepeatable() && isAlive) {
    mAnswerTimer = Timer::After(
      mShared.mLoop, kMaxEventGapMs, [this] { OnAnswerTimeout(); });
  }
  if (mCaller->UnsentBytes() > kMaxUnsentBytes) {
    mAnswerTimer.Cancel();
    mAttempt->mLink->PauseReading(true);
    mCaller->mOnDrained = [this] {
      if (mAttempt && mAttempt->mLink) {
        mAttempt->mLink->PauseReading(false);
      }
    };
  }
}

// Resumes the stream on another runner if this one is too slow to finish before
// the deadline. Returns whether it did.
bool
Exchange::MigrateIfSlow()
{
  if (!ShouldMigrate(FindOrAddPace(), mAttempt->mProgress, RemainingMs())) {
    return false;
  }
  if (!mAttempt->mSlowReported) {
    mAttempt->mSlowReported = true;
    OnRunnerOutcome(RunnerOutcome::Timeout);
  }
  if (!TryAcquireAttempt()) {
    return false;
  }
  LogEvent(Event::AttemptEnded,
           { { "id", mMetadata.mId },
             { "runner", mAttempt->mRunner },
             { "reason", "stream is too slow" } });
  EndAttempt();
  mPlacementStartMs = Now();
  Place();
  return true;
}

void
Exchange::OnEnd(bool aReusable)
{
  auto self = shared_from_this();
  mAnswerTimer.Cancel();
  mAttempt->mEnded = true;
  if (aReusable) {
    mShared.mLinks.Release(mAttempt->mLink);
    mAttempt->mLink = nullptr;
  }
  int status = mAttempt->mHead.mStatus;
  AnswerUse use = mAttempt->mUse;
  if (use == AnswerUse::NotRun) {
    OnRunnerOutcome(RunnerOutcome::Refused);
    auto& runners = mShared.mState.mRunners.mRunners;
    auto found = runners.find(mAttempt->mRunner);
    if (status == kMisdirectedStatus && found != runners.end()) {
      found->second.mBlockedUntilMs = Now() + kMisdirectedPauseMs;
    }
    // A request that was refused before it ran does not count as an attempt.
    --mAttemptCount;
    RetryOrFail("runner refused with " + std::to_string(status));
    return;
  }
  if (use == AnswerUse::Failure) {
    OnRunnerOutcome(RunnerOutcome::Failure);
    OnVersionAnswer(AnswerResult::Failed);
    mShared.SetBufferedBytes(mShared.mBufferedBytes - mAttempt->mBody.size());
    mRunnerFailure.emplace(mAttempt->mHead, std::exchange(mAttempt->mBody, {}));
    RetryOrFail("runner failed with " + std::to_string(status));
    return;
  }
  if (use == AnswerUse::Stream) {
    if (HasPartialEvent(mAttempt->mStream)) {
      OnRunnerOutcome(RunnerOutcome::Broken);
      RetryOrFail("stream ends inside an event");
      return;
    }
    OnRunnerAnswered();
    StartAnswer();
    mCaller->Write(mAttempt->mEarlyComments);
    if (!mAttempt->mSlowReported) {
      OnRunnerOutcome(RunnerOutcome::Success);
    }
    UpdatePace(FindOrAddPace(), mAttempt->mProgress);
    OnPacedAnswer();
    LearnTokenSpeed();
    mCaller->Finish();
    End(ExchangeEnd::Served, status, "");
    return;
  }
  if (status < 300) {
    OnRunnerAnswered();
  }
  OnRunnerOutcome(RunnerOutcome::Success);
  mCaller->Respond(status, MakeCallerHeaders(mAttempt->mHead), mAttempt->mBody);
  mShared.mMetrics.ObserveFirstByte(
    std::string(ToName(kRouteKindNames, mRoute->mKind)),
    static_cast<double>(Now() - mArrivedMs) / 1000);
  End(ExchangeEnd::Served, status, "");
}

void
Exchange::OnLinkFailed(LinkFailure aFailure)
{
  auto self = shared_from_this();
  mAttempt->mEnded = true;
  if (aFailure == LinkFailure::Refused) {
    // A run that was cancelled just before may have crashed the runner.
    OnCrash(mShared.mState.mCrashSuspects,
            mShared.mState.mCrashSuspectOptions,
            mAttempt->mCrash,
            {},
            Now());
    mShared.mOnSuspectsChanged();
    if (mDone) {
      return;
    }
  }
  if (IsNeverSent(aFailure)) {
    OnRunnerOutcome(RunnerOutcome::Unreachable);
    // The request was not sent, which does not count as an attempt.
    --mAttemptCount;
    RetryOrFail("runner cannot be reached");
    return;
  }
  mMayHaveRun = true;
  // A reused connection that closes before the answer's head may just have been
  // idle for too long; it does not count against the runner.
  if (mAttempt->mLink->IsFresh() || mAttempt->mHeadReceived) {
    OnRunnerOutcome(RunnerOutcome::Broken);
  }
  LostAttempt lost{ mAttempt->mCrash, std::nullopt };
  if (!mAttempt->mAnswered) {
    lost.mCandidate = MakeCrashCandidate(*mAttempt);
  }
  mShared.mOnConnectionLost(mAttempt->mRunner, lost);
  RetryOrFail(ToName(kLinkFailureNames, aFailure));
}

// The runner has not answered in time. Sends the request to another one if the
// deadline and the retry budget allow it, and else goes on waiting.
void
Exchange::OnAnswerTimeout()
{
  auto self = shared_from_this();
  if (!mAttempt || RemainingMs() < kMinRemainingMs) {
    return;
  }
  if (IsPacedService() && !ShouldMove()) {
    mAnswerTimer = Timer::After(
      mShared.mLoop, kOverdueCheckMs, [this] { OnAnswerTimeout(); });
    return;
  }
  if (!TryAcquireAttempt()) {
    return;
  }
  mMayHaveRun = true;
  OnRunnerOutcome(RunnerOutcome::Timeout);
  OnVersionAnswer(AnswerResult::Slow);
  EndAttempt();
  mPlacementStartMs = Now();
  LogEvent(Event::AttemptEnded,
           { { "id", mMetadata.mId }, { "reason", "no answer in time" } });
  Place();
}

void
Exchange::OnDeadline()
{
  auto self = shared_from_this();
  bool sent = mAttempt != nullptr;
  EndAttempt();
  mMayHaveRun = mMayHaveRun || sent;
  FailRequest("time is up", true);
}

void
Exchange::OnCallerClosed()
{
  auto self = shared_from_this();
  End(ExchangeEnd::CallerLeft, 0, "caller left");
}

// Ends the current attempt, if there is one. Unless the answer was complete,
// its connection is closed, which cancels the runner's work.
void
Exchange::EndAttempt()
{
  mAnswerTimer.Cancel();
  mVerdictTimer.Cancel();
  mRetryTimer.Cancel();
  if (!mAttempt) {
    return;
  }
  auto attempt = std::move(mAttempt);
  mShared.SetBufferedBytes(mShared.mBufferedBytes - attempt->mBody.size());
  OnPacedEnd(*attempt);
  auto& runners = mShared.mState.mRunners.mRunners;
  auto found = runners.find(attempt->mRunner);
  if (found != runners.end()) {
    RunnerState& runner = found->second;
    runner.mInFlight = std::max(0, runner.mInFlight - 1);
    CancelPrefill(runner.mPrefillQueue, attempt->mPrefillId);
  }
  if (attempt->mLink) {
    attempt->mLink->Close();
  }
  if (!attempt->mEnded && !attempt->mAnswered) {
    OnRunCancelled(mShared.mState.mCrashSuspects,
                   mShared.mState.mCrashSuspectOptions,
                   attempt->mCrash,
                   MakeCrashCandidate(*attempt),
                   Now());
  }
  if (!mMetadata.mSession.empty()) {
    OnSessionRequest(mShared.mState.mSessions,
                     mService,
                     mMetadata.mSession,
                     attempt->mVersion,
                     mShared.mSettings.mSessionTimeoutMs,
                     Now());
  }
}

// Sends the request to another runner if deadline, limits and retry budget
// allow it and it either has not run or is repeatable; fails it otherwise.
void
Exchange::RetryOrFail(std::string_view aReason)
{
  LogEvent(
    Event::AttemptEnded,
    { { "id", mMetadata.mId },
      { "attempt", std::to_string(mAttemptCount) },
      { "runner", mAttempt->mRunner },
      { "may_have_run", mMayHaveRun ? "true" : "false" },
      { "progress",
        std::string(ToName(kAttemptProgressNames, Progress(*mAttempt))) },
      { "parts", FormatPartIds(mAttempt->mPlacementRequest.mSharedParts) },
      { "reason", std::string(aReason) } });
  mShared.mMetrics.CountAttempt("failed");
  EndAttempt();
  bool allowed = (!mMayHaveRun || IsRepeatable()) &&
                 RemainingMs() >= kMinRemainingMs &&
                 mTriedRunners.size() < kMaxSends && TryAcquireAttempt();
  if (!allowed) {
    FailRequest(aReason);
    return;
  }
  mPlacementStartMs = Now();
  Place();
}

void
Exchange::FailRequest(std::string_view aReason, bool aIsTimeUp)
{
  auto self = shared_from_this();
  EndAttempt();
  RequestEnd end = ChooseRequestEnd(
    { mAnswerStarted, mRunnerFailure.has_value(), mMayHaveRun, aIsTimeUp });
  switch (end) {
    case RequestEnd::BreakOff:
      mCaller->Abort();
      End(ExchangeEnd::BrokenOff, 0, aReason);
      break;
    case RequestEnd::ForwardFailure:
      ForwardFailure();
      break;
    case RequestEnd::TimedOut:
    case RequestEnd::Failed: {
      int status = end == RequestEnd::TimedOut ? 504 : 502;
      mCaller->Respond(
        status, MakeRouterHeaders(mMetadata.mId, std::nullopt), {});
      End(ExchangeEnd::Failed, status, aReason);
      break;
    }
    case RequestEnd::Refuse:
      Refuse(aReason,
             mIsBlocked ? std::nullopt : std::optional(RetryAfterMs()));
      break;
  }
}

// Forwards the runner's error answer unchanged.
void
Exchange::ForwardFailure()
{
  const auto& [head, body] = *mRunnerFailure;
  mCaller->Respond(head.mStatus, MakeCallerHeaders(head), body);
  End(ExchangeEnd::RunnerFailure, head.mStatus, "runner failed");
}

TimeMs
Exchange::RetryAfterMs()
{
  std::uniform_int_distribution<TimeMs> spread(0, kRetryAfterSpreadMs);
  TimeMs earliestMs =
    mEarliestReturnMs ? *mEarliestReturnMs - Now() : TimeMs{ 0 };
  if (mDeadlineMs > 0 && IsPacedService()) {
    std::uniform_real_distribution<double> point(0, 1);
    return SpreadRetryMs(
      static_cast<double>(std::max(kRetryAfterMs, earliestMs)),
      RemainingMs(),
      point(mShared.mState.mRandom));
  }
  return std::max(kRetryAfterMs, earliestMs) + spread(mShared.mState.mRandom);
}

// Answers 503: the request has not run and will not run.
void
Exchange::Refuse(std::string_view aReason, std::optional<TimeMs> aRetryAfterMs)
{
  mCaller->Respond(503, MakeRouterHeaders(mMetadata.mId, aRetryAfterMs), {});
  End(ExchangeEnd::Refused, 503, aReason);
}

void
Exchange::Reject(int aStatus, std::string_view aReason)
{
  mCaller->Respond(aStatus, MakeRouterHeaders(mMetadata.mId, std::nullopt), {});
  End(ExchangeEnd::Rejected, aStatus, aReason);
}

void
Exchange::End(ExchangeEnd aEnd, int aStatus, std::string_view aReason)
{
  auto self = shared_from_this();
  if (mDone) {
    return;
  }
  mDone = true;
  std::string runner = mAttempt ? mAttempt->mRunner : "";
  EndAttempt();
  mDeadlineTimer.Cancel();
  mCaller->mOnClosed = {};
  mCaller->mOnDrained = {};
  std::string end(ToName(kExchangeEndNames, aEnd));
  LogEvent(Event::RequestEnded,
           { { "id", mMetadata.mId },
             { "end", end },
             { "status", std::to_string(aStatus) },
             { "first_ms", std::to_string(mFirstByteMs) },
             { "ms", std::to_string(Now() - mArrivedMs) },
             { "attempts", std::to_string(mAttemptCount) },
             { "route", mRoute ? mRoute->mName : "" },
             { "model", mModel },
             { "runner", runner },
             { "reason", std::string(aReason) } });
  mShared.mMetrics.CountRequest(end);
  mShared.mExchanges.erase(self);
}

} // namespace savory
