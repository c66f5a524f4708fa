#include "exchange.h"

#include "savory/net/log.h"

#include <algorithm>

namespace savory {

namespace {

// A stream that brings no event for this long is resumed at another runner.
// Callers abandon a stream after two seconds at the earliest.
constexpr TimeMs kMaxGapMs = 1400;

// Bytes that a caller has not taken before its runner is read no further, and
// the largest answer that is held until it is complete.
constexpr std::size_t kMaxUnsentBytes = 256 * 1024;
constexpr std::size_t kMaxHeldBytes = 8 * 1024 * 1024;

// An attempt with less time than this cannot be answered.
constexpr TimeMs kLeastLeftMs = 40;

// Sends in all for one request, refused ones included.
constexpr std::size_t kMaxSends = 8;

// A runner that says that it is another one is asked again after its entry
// has had time to be renewed.
constexpr TimeMs kMisdirectedPauseMs = 1500;

// An answer this many times later than expected, and by this much, counts
// against its version.
constexpr double kSlowFactor = 3;
constexpr double kSlowMs = 600;

// When refused callers may come back: spread, so that they do not return
// together.
constexpr TimeMs kRetryAfterMs = 250;
constexpr TimeMs kRetryAfterSpreadMs = 500;

// Weights of one answer in the slowness of a runner and in the wait of a pool.
constexpr double kSlownessWeight = 0.05;
constexpr double kWaitWeight = 0.1;
constexpr double kMaxSlowness = 4;

} // namespace

void
Exchange::OnHead(const HttpHead& aHead)
{
  auto self = shared_from_this();
  mAttempt->mHeadSeen = true;
  mAttempt->mHead = aHead;
  mAttempt->mFacts = ParseAnswerMetadata(aHead);
  const AnswerMetadata& facts = mAttempt->mFacts;
  TimeMs now = Now();
  auto& runners = mShared.mBeliefs.mRunners.mRunners;
  if (auto found = runners.find(mAttempt->mRunner); found != runners.end()) {
    if (facts.mLoad) {
      OnLoadReport(
        found->second, facts.mLoad->mRunning, facts.mLoad->mWaiting, now);
    }
    if (facts.mColdRemainingMs && *facts.mColdRemainingMs > 0) {
      found->second.mColdUntilMs = now + *facts.mColdRemainingMs;
    }
  }
  if (facts.mNotRun) {
    return;
  }
  mMayHaveRun = true;
  bool success = aHead.mStatus >= 200 && aHead.mStatus < 300;
  if (success && (!facts.mSigned || facts.mHasContentEncoding)) {
    NoteResult(RunnerOutcome::Broken);
    TryAgain("answer is not the runner's");
    return;
  }
  if (success && !mAnswerStarted) {
    LearnFromHead();
  }
  if (IsStream() && success) {
    AskLarger();
  }
}

// Learns speeds from the time to the head of an answer, and releases what was
// estimated for the prompt.
void
Exchange::LearnFromHead()
{
  Beliefs& beliefs = mShared.mBeliefs;
  TimeMs now = Now();
  auto observed = static_cast<double>(now - mAttempt->mSentMs);
  double expected = mAttempt->mPlacement.mExpectedMs;
  const std::string& model = mAttempt->mPlace.mModel;
  double alone = mAttempt->mPlacement.mPrefillMs + Speed(model).mFixedMs;
  UpdatePrefillSpeed(Speed(model), expected, observed);
  double& wait = beliefs.mWaits[mService].mMs;
  wait += kWaitWeight * (std::max(0.0, observed - alone) - wait);
  auto found = beliefs.mRunners.mRunners.find(mAttempt->mRunner);
  if (found != beliefs.mRunners.mRunners.end()) {
    RunnerState& runner = found->second;
    double ratio = expected > 0 ? observed / expected : 1;
    runner.mLatencyRatio = std::clamp(
      runner.mLatencyRatio + kSlownessWeight * (ratio - runner.mLatencyRatio),
      1 / kMaxSlowness,
      kMaxSlowness);
    OnPrefillDone(runner.mPrefillQueue, mAttempt->mWork);
  }
  // The caches of a new version's runners are empty, so the comparison allows
  // for reading the whole prompt.
  double whole =
    static_cast<double>(mFacts.mPromptTokens) * Speed(model).mMsPerToken;
  double longest = expected - mAttempt->mPlacement.mPrefillMs + whole;
  NoteVersion(observed <= kSlowFactor * longest + kSlowMs ? AnswerResult::Good
                                                          : AnswerResult::Slow);
}

// Drops the answer of a smaller model that doubts itself and asks the largest.
// Returns whether it did.
bool
Exchange::AskLarger()
{
  if (mModel.empty() || mAnswerStarted || mModel == mRoute->mModels.back() ||
      !mAttempt->mFacts.mConfidence) {
    return false;
  }
  const std::string largest = mRoute->mModels.back();
  std::set<std::string> tried = std::exchange(mTried, {});
  PlacementRequest place;
  auto placement = FindPlacement(largest, place);
  EscalationInput outlook;
  outlook.mConfidence = *mAttempt->mFacts.mConfidence;
  outlook.mElapsedMs = static_cast<double>(Now() - mArrivedMs);
  outlook.mLargerFirstEventMs = placement ? placement->mExpectedMs : 0;
  outlook.mLatencyGoalMs = static_cast<double>(mRoute->mLatencyGoalMs);
  outlook.mPoolWaitMs = mShared.mBeliefs.mWaits[mService].mMs;
  bool ask = placement && ShouldEscalate(outlook) && MaySendAgain();
  LogEvent(
    Event::ModelChosen,
    { { "id", mFacts.mId },
      { "model", mModel },
      { "confidence", std::to_string(static_cast<int>(outlook.mConfidence)) },
      { "tokens", std::to_string(mFacts.mPromptTokens) },
      { "larger_ms",
        std::to_string(static_cast<int>(outlook.mLargerFirstEventMs)) },
      { "wait_ms", std::to_string(static_cast<int>(outlook.mPoolWaitMs)) },
      { "choice", ask ? "ask-larger" : "keep" } });
  if (!ask) {
    mTried = std::move(tried);
    return false;
  }
  mShared.mMetrics.CountAttempt("dropped-for-larger");
  NoteResult(RunnerOutcome::Success);
  EndAttempt();
  mModel = largest;
  Send(std::move(place), *placement);
  return true;
}

void
Exchange::OnBody(std::string_view aBytes)
{
  auto self = shared_from_this();
  bool success =
    mAttempt->mHead.mStatus >= 200 && mAttempt->mHead.mStatus < 300;
  if (IsStream() && success) {
    PassEvents(ExtractEvents(mAttempt->mStream, aBytes));
    return;
  }
  if (mAttempt->mBody.size() + aBytes.size() > kMaxHeldBytes) {
    NoteResult(RunnerOutcome::Broken);
    GiveUp("answer too long");
    return;
  }
  mAttempt->mBody += aBytes;
}

void
Exchange::StartAnswer()
{
  if (mAnswerStarted) {
    return;
  }
  mAnswerStarted = true;
  mFirstMs = Now() - mArrivedMs;
  mCaller->Start(
    mAttempt->mHead.mStatus, MakeCallerHeaders(mAttempt->mHead), std::nullopt);
  mShared.mMetrics.ObserveFirst(
    std::string(ToName(kRouteKindNames, mRoute->mKind)),
    static_cast<double>(Now() - mArrivedMs) / 1000);
}

// Passes on whole events that are next in order.
void
Exchange::PassEvents(std::vector<StreamEvent> aEvents)
{
  if (aEvents.empty()) {
    return;
  }
  std::string bytes;
  bool gap = false;
  for (StreamEvent& event : aEvents) {
    EventOrder order = ClassifyEvent(event, mLastEventId);
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
  }
  if (!bytes.empty()) {
    StartAnswer();
    mCaller->Write(bytes);
    OnEvents(mAttempt->mProgress, static_cast<int>(aEvents.size()), Now());
  }
  if (gap) {
    NoteResult(RunnerOutcome::Broken);
    TryAgain("an event is missing");
    return;
  }
  if (IsRepeatable() && MoveIfSlow()) {
    return;
  }
  if (IsRepeatable()) {
    mSilence = Timer::After(mShared.mLoop, kMaxGapMs, [this] { OnSilence(); });
  }
  if (mCaller->UnsentBytes() > kMaxUnsentBytes) {
    mSilence.Cancel();
    mAttempt->mLink->PauseReading(true);
    mCaller->mOnDrained = [this] {
      if (mAttempt && mAttempt->mLink) {
        mAttempt->mLink->PauseReading(false);
      }
    };
  }
}

StreamPace&
Exchange::Pace() const
{
  return mShared.mBeliefs.mPaces[{ mRoute->mName, mAttempt->mPlace.mModel }];
}

// Goes on at another runner when this one writes too slowly to end in time.
// Returns whether it did.
bool
Exchange::MoveIfSlow()
{
  if (!ShouldMigrate(Pace(), mAttempt->mProgress, LeftMs())) {
    return false;
  }
  if (!mAttempt->mSlowNoted) {
    mAttempt->mSlowNoted = true;
    NoteResult(RunnerOutcome::Timeout);
  }
  if (!MaySendAgain()) {
    return false;
  }
  LogEvent(Event::AttemptEnded,
           { { "id", mFacts.mId },
             { "runner", mAttempt->mRunner },
             { "reason", "stream is too slow" } });
  EndAttempt();
  mPlaceSinceMs = Now();
  Place();
  return true;
}

void
Exchange::OnEnd(bool aReusable)
{
  auto self = shared_from_this();
  mSilence.Cancel();
  if (aReusable) {
    mShared.mLinks.Keep(mAttempt->mLink);
    mAttempt->mLink = nullptr;
  }
  int status = mAttempt->mHead.mStatus;
  const AnswerMetadata& facts = mAttempt->mFacts;
  if (facts.mNotRun) {
    NoteResult(RunnerOutcome::Refused);
    auto& runners = mShared.mBeliefs.mRunners.mRunners;
    auto found = runners.find(mAttempt->mRunner);
    if (status == 421 && found != runners.end()) {
      found->second.mBlockedUntilMs = Now() + kMisdirectedPauseMs;
    }
    // A request that has not run does not count as an attempt.
    --mAttempts;
    TryAgain("runner refused with " + std::to_string(status));
    return;
  }
  if (!facts.mSigned) {
    NoteResult(RunnerOutcome::Broken);
    TryAgain("answer without signature");
    return;
  }
  if (status >= 500) {
    NoteResult(RunnerOutcome::Failure);
    NoteVersion(AnswerResult::Failed);
    mFailure.emplace(mAttempt->mHead, std::move(mAttempt->mBody));
    TryAgain("runner failed with " + std::to_string(status));
    return;
  }
  if (IsStream() && status >= 200 && status < 300) {
    if (HasPartialEvent(mAttempt->mStream)) {
      NoteResult(RunnerOutcome::Broken);
      TryAgain("stream ends inside an event");
      return;
    }
    StartAnswer();
    if (!mAttempt->mSlowNoted) {
      NoteResult(RunnerOutcome::Success);
    }
    UpdatePace(Pace(), mAttempt->mProgress);
    mCaller->Finish();
    End(ExchangeEnd::Served, status, "");
    return;
  }
  NoteResult(RunnerOutcome::Success);
  mCaller->Respond(status, MakeCallerHeaders(mAttempt->mHead), mAttempt->mBody);
  mShared.mMetrics.ObserveFirst(
    std::string(ToName(kRouteKindNames, mRoute->mKind)),
    static_cast<double>(Now() - mArrivedMs) / 1000);
  End(ExchangeEnd::Served, status, "");
}

void
Exchange::OnLinkFailed(LinkFailure aFailure)
{
  auto self = shared_from_this();
  if (aFailure == LinkFailure::NotConnected) {
    NoteResult(RunnerOutcome::Unreachable);
    // The request was not sent.
    --mAttempts;
    TryAgain("runner cannot be reached");
    return;
  }
  mMayHaveRun = true;
  // A kept connection that the runner closed says nothing of the runner.
  if (mAttempt->mLink->IsFresh() || mAttempt->mHeadSeen) {
    NoteResult(RunnerOutcome::Broken);
  }
  mShared.mOnBroken(mAttempt->mRunner, mFingerprint);
  TryAgain(ToName(kLinkFailureNames, aFailure));
}

// The runner has not answered in the time that was expected. Another one is
// tried when there is time and budget; else the wait goes on.
void
Exchange::OnSilence()
{
  auto self = shared_from_this();
  if (!mAttempt || LeftMs() < kLeastLeftMs || !MaySendAgain()) {
    return;
  }
  mMayHaveRun = true;
  NoteResult(RunnerOutcome::Timeout);
  NoteVersion(AnswerResult::Slow);
  EndAttempt();
  mPlaceSinceMs = Now();
  LogEvent(Event::AttemptEnded,
           { { "id", mFacts.mId }, { "reason", "no answer in time" } });
  Place();
}

void
Exchange::OnDeadline()
{
  auto self = shared_from_this();
  bool sent = mAttempt != nullptr;
  EndAttempt();
  mMayHaveRun = mMayHaveRun || sent;
  if (mAnswerStarted || mFailure || !mMayHaveRun) {
    GiveUp("time is up");
    return;
  }
  mCaller->Respond(504, MakeRouterHeaders(mFacts.mId, std::nullopt), {});
  End(ExchangeEnd::Failed, 504, "time is up");
}

void
Exchange::OnCallerGone()
{
  auto self = shared_from_this();
  End(ExchangeEnd::CallerLeft, 0, "caller left");
}

void
Exchange::NoteResult(RunnerOutcome aOutcome)
{
  auto& runners = mShared.mBeliefs.mRunners.mRunners;
  auto found = runners.find(mAttempt->mRunner);
  if (found == runners.end()) {
    return;
  }
  bool wasBlocked = found->second.mBlockedUntilMs > Now();
  OnRequestOutcome(found->second, aOutcome, Now());
  if (aOutcome == RunnerOutcome::Success ||
      aOutcome == RunnerOutcome::Failure) {
    OnRequestCompleted(mShared.mBeliefs.mQuarantine,
                       mShared.mBeliefs.mQuarantineOptions,
                       mFingerprint);
  }
  if (!wasBlocked && found->second.mBlockedUntilMs > Now()) {
    LogEvent(
      Event::RunnerBlocked,
      { { "runner", mAttempt->mRunner },
        { "for_ms", std::to_string(found->second.mBlockedUntilMs - Now()) } });
  }
}

void
Exchange::NoteVersion(AnswerResult aAnswer)
{
  auto& shifts = mShared.mBeliefs.mShifts.mShifts;
  auto found = shifts.find(mService);
  if (found == shifts.end()) {
    return;
  }
  if (mAttempt->mVersion == found->second.mOrder.mTarget) {
    OnTargetAnswer(found->second, aAnswer);
  } else {
    OnBaselineAnswer(found->second, aAnswer);
  }
}

// Ends the work of a runner for this request; its connection is closed unless
// the answer was complete.
void
Exchange::EndAttempt()
{
  mSilence.Cancel();
  mRetry.Cancel();
  if (!mAttempt) {
    return;
  }
  auto attempt = std::move(mAttempt);
  auto& runners = mShared.mBeliefs.mRunners.mRunners;
  auto found = runners.find(attempt->mRunner);
  if (found != runners.end()) {
    RunnerState& runner = found->second;
    runner.mInFlight = std::max(0, runner.mInFlight - 1);
    CancelPrefill(runner.mPrefillQueue, attempt->mWork);
  }
  if (attempt->mLink) {
    attempt->mLink->Close();
  }
  if (!mFacts.mSession.empty()) {
    OnSessionRequest(mShared.mBeliefs.mSessions,
                     mService,
                     mFacts.mSession,
                     attempt->mVersion,
                     mShared.mSettings.mSessionTimeoutMs,
                     Now());
  }
}

// Goes on at another runner when nothing forbids it.
void
Exchange::TryAgain(std::string_view aReason)
{
  LogEvent(Event::AttemptEnded,
           { { "id", mFacts.mId },
             { "attempt", std::to_string(mAttempts) },
             { "runner", mAttempt ? mAttempt->mRunner : "" },
             { "may_have_run", mMayHaveRun ? "true" : "false" },
             { "reason", std::string(aReason) } });
  mShared.mMetrics.CountAttempt("failed");
  EndAttempt();
  bool allowed = (!mMayHaveRun || IsRepeatable()) && LeftMs() >= kLeastLeftMs &&
                 mTried.size() < kMaxSends && MaySendAgain();
  if (!allowed) {
    GiveUp(aReason);
    return;
  }
  mPlaceSinceMs = Now();
  Place();
}

void
Exchange::GiveUp(std::string_view aReason)
{
  auto self = shared_from_this();
  EndAttempt();
  if (mAnswerStarted) {
    mCaller->Abort();
    End(ExchangeEnd::BrokenOff, 0, aReason);
  } else if (mFailure) {
    PassFailure();
  } else if (mMayHaveRun) {
    mCaller->Respond(502, MakeRouterHeaders(mFacts.mId, std::nullopt), {});
    End(ExchangeEnd::Failed, 502, aReason);
  } else {
    Refuse(aReason);
  }
}

// Passes on the runner's own failure unchanged.
void
Exchange::PassFailure()
{
  const auto& [head, body] = *mFailure;
  mCaller->Respond(head.mStatus, MakeCallerHeaders(head), body);
  End(ExchangeEnd::RunnerFailure, head.mStatus, "runner failed");
}

// The request has not run and will not; the caller may come back.
void
Exchange::Refuse(std::string_view aReason)
{
  std::uniform_int_distribution<TimeMs> spread(0, kRetryAfterSpreadMs);
  TimeMs after = kRetryAfterMs + spread(mShared.mBeliefs.mRandom);
  mCaller->Respond(503, MakeRouterHeaders(mFacts.mId, after), {});
  End(ExchangeEnd::Refused, 503, aReason);
}

void
Exchange::Reject(int aStatus, std::string_view aReason)
{
  mCaller->Respond(aStatus, MakeRouterHeaders(mFacts.mId, std::nullopt), {});
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
  mDeadline.Cancel();
  mCaller->mOnClosed = {};
  mCaller->mOnDrained = {};
  std::string end(ToName(kExchangeEndNames, aEnd));
  LogEvent(Event::RequestEnded,
           { { "id", mFacts.mId },
             { "end", end },
             { "status", std::to_string(aStatus) },
             { "first_ms", std::to_string(mFirstMs) },
             { "ms", std::to_string(Now() - mArrivedMs) },
             { "attempts", std::to_string(mAttempts) },
             { "route", mRoute ? mRoute->mName : "" },
             { "model", mModel },
             { "runner", runner },
             { "reason", std::string(aReason) } });
  mShared.mMetrics.CountEnd(end);
  mShared.mExchanges.erase(self);
}

} // namespace savory
