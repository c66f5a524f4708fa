#pragma once

#include "beliefs.h"
#include "gateway_metrics.h"
#include "runner_links.h"
#include "savory/core/event_stream.h"
#include "savory/net/http_link.h"
#include "savory/platform/fleet_headers.h"

#include <memory>
#include <set>
#include <string>

namespace savory {

class Exchange;

// What the requests of a process share.
struct GatewayShared
{
  EventLoop& mLoop;
  FleetSettings mSettings;
  Beliefs mBeliefs;
  RunnerLinks mLinks;
  GatewayMetrics mMetrics;
  std::set<std::shared_ptr<Exchange>> mExchanges;
  // Attempts so far; names each.
  std::uint64_t mAttempts = 0;
  // A prompt was sent that peers should hear of soon.
  sigc::slot<void()> mOnLargeRead = [] {};
  // A connection to a runner broke while a request was on it; the gateway
  // finds out whether the runner crashed.
  sigc::slot<void(const std::string&, std::uint64_t)> mOnBroken;

  GatewayShared(EventLoop& aLoop, FleetSettings aSettings);
};

// How a request ended, for logs and counters.
enum class ExchangeEnd
{
  Served,
  RunnerFailure,
  Refused,
  Rejected,
  Failed,
  BrokenOff,
  CallerLeft,
};

inline constexpr std::array<EnumName<ExchangeEnd>, 7> kExchangeEndNames{ {
  { ExchangeEnd::Served, "served" },
  { ExchangeEnd::RunnerFailure, "runner-failure" },
  { ExchangeEnd::Refused, "refused" },
  { ExchangeEnd::Rejected, "rejected" },
  { ExchangeEnd::Failed, "failed" },
  { ExchangeEnd::BrokenOff, "broken-off" },
  { ExchangeEnd::CallerLeft, "caller-left" },
} };

// One request sent to one runner.
struct Attempt
{
  std::string mRunner;
  std::string mVersion;
  PlacementRequest mPlace;
  Placement mPlacement;
  std::shared_ptr<ClientLink> mLink;
  TimeMs mSentMs = 0;
  bool mHeadSeen = false;
  // Names the attempt in the runner's backlog.
  std::uint64_t mWork = 0;
  HttpHead mHead;
  AnswerMetadata mFacts;
  std::string mBody;
  EventStream mStream;
  StreamProgress mProgress;
  // The runner was found to be slow by this stream.
  bool mSlowNoted = false;
};

// The life of one request: accepted, placed, sent, answered. Exchange.cpp
// leads to the runner, exchange_answer.cpp back to the caller.
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
  Exchange(GatewayShared& aShared,
           IncomingRequest aRequest,
           std::shared_ptr<CallerLink> aCaller);

  void Start();
  // Requests of a service that are with runners of a version other than this.
  bool IsWithOther(const std::string& aService,
                   const std::string& aVersion) const;

private:
  bool Admit();
  void ChooseStartModel();
  PlacementRequest DescribePlacement(const std::string& aModel,
                                     bool aFallback) const;
  tl::expected<Placement, PlacementFailure> FindPlacement(
    const std::string& aModel,
    PlacementRequest& aPlace) const;
  void Place();
  void WaitForRunner(PlacementFailure aFailure);
  void Send(PlacementRequest aPlace, const Placement& aPlacement);
  void WatchSilence();
  bool MaySendAgain();
  PrefillSpeed& Speed(const std::string& aModel) const;

  void OnHead(const HttpHead& aHead);
  void OnBody(std::string_view aBytes);
  void OnEnd(bool aReusable);
  void OnLinkFailed(LinkFailure aFailure);
  void OnSilence();
  void OnDeadline();
  void OnCallerGone();
  bool AskLarger();
  void LearnFromHead();
  void StartAnswer();
  void PassEvents(std::vector<StreamEvent> aEvents);
  bool MoveIfSlow();
  StreamPace& Pace() const;
  void PassFailure();
  void NoteResult(RunnerOutcome aOutcome);
  void NoteVersion(AnswerResult aAnswer);
  void EndAttempt();
  void TryAgain(std::string_view aReason);
  void GiveUp(std::string_view aReason);
  void Refuse(std::string_view aReason);
  void Reject(int aStatus, std::string_view aReason);
  void End(ExchangeEnd aEnd, int aStatus, std::string_view aReason);

  bool IsRepeatable() const;
  bool IsStream() const { return mRoute->mKind == RouteKind::Stream; }
  TimeMs Now() const { return mShared.mLoop.NowMs(); }
  TimeMs LeftMs() const { return mDeadlineMs - Now(); }

  GatewayShared& mShared;
  IncomingRequest mRequest;
  std::shared_ptr<CallerLink> mCaller;
  RequestMetadata mFacts;
  std::shared_ptr<const RouteTable> mTable;
  const Route* mRoute = nullptr;
  std::shared_ptr<const RouteCustomer> mCustomer;
  std::string mService;
  std::uint64_t mFingerprint = 0;
  // Place of the request or its session in [0, 1) for shares of versions.
  double mPoint = 0;
  // The model in use when the caller left it open.
  std::string mModel;
  TimeMs mArrivedMs = 0;
  TimeMs mDeadlineMs = 0;
  TimeMs mPlaceSinceMs = 0;
  std::set<std::string> mTried;
  int mAttempts = 0;
  // A runner may have begun to work on the request.
  bool mMayHaveRun = false;
  bool mDone = false;
  std::optional<std::int64_t> mLastEventId;
  bool mAnswerStarted = false;
  // Time from the arrival to the first byte of the answer; 0 before it.
  TimeMs mFirstMs = 0;
  // The runner's own failure, passed on when nothing better comes.
  std::optional<std::pair<HttpHead, std::string>> mFailure;
  std::unique_ptr<Attempt> mAttempt;
  Timer mDeadline;
  Timer mSilence;
  Timer mRetry;
};

} // namespace savory
