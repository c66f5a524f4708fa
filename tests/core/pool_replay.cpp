#include "pool_replay.h"

#include "savory/core/fair_share.h"
#include "savory/core/model_choice.h"
#include "savory/core/pool_admission.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <random>
#include <set>
#include <vector>

namespace savory::replay {

namespace {

constexpr int kHosts = 8;
constexpr int kEngines = 10;
constexpr int kSlots = 128;
constexpr double kCacheTokens = 1041697;
constexpr double kChunkTokens = 2048;
constexpr int kTickMs = 5;
constexpr int kReportAgeTicks = 150 / kTickMs;
constexpr int kModels = 3;
constexpr std::array<double, kModels> kFactors{ 0.3, 0.8, 3.0 };
// The middle model of the replay is nearly as good as the largest.
constexpr double kMiddleShare = 0.8;
constexpr std::array<double, kRoutes> kGoalsMs{ 2000, 1500, 1000 };
constexpr std::array<double, kRoutes> kDeadlinesMs{ 12000, 6000, 12000 };
constexpr double kLateWorth = 0.3;

struct Request
{
  int mHost = 0;
  int mRoute = 0;
  double mArrivedMs = 0;
  double mGoalMs = 0;
  double mDeadlineMs = 0;
  double mPrompt = 0;
  double mHint = 0;
  double mTokens = 0;
  double mConfidence = 0;
  std::array<bool, kModels> mRight{};
  // The attempt.
  int mModel = 0;
  int mEngine = -1;
  int mPriority = 0;
  double mSentMs = 0;
  double mExpectedMs = 0;
  double mOverdueMs = 0;
  double mPrefillLeft = 0;
  double mGenerated = 0;
  double mFirstMs = 0;
  int mRunningThere = 0;
  int mAttempts = 0;
  std::set<int> mTried;
  bool mRefused = false;
  double mWorth = 0;
  bool mInTime = false;
};

struct Engine
{
  std::vector<int> mRunning;
  std::vector<int> mWaiting;
  double mClockMs = 0;
  double mCache = 0;
  // Running and waiting requests of the last ticks.
  std::deque<std::pair<int, int>> mReports;
};

struct Host
{
  std::array<int, kEngines> mInFlight{};
  std::array<TokenPace, kModels> mPaces;
  std::array<std::array<LogSpread, kModels>, kRoutes> mFirstErrors;
  AnswerLengths mLengths;
  DampedLoad mLoad;
  double mPoolWaitMs = 0;
  double mMeanWorkMs = 0;
};

struct Found
{
  int mEngine = -1;
  double mExpectedMs = 0;
  PoolOption mOption;
};

class Replay
{
public:
  explicit Replay(const Options& aOptions)
    : mOptions(aOptions)
    , mRandom(aOptions.mSeed)
  {
  }

  Outcome Run();

private:
  double Uniform() { return std::uniform_real_distribution<>()(mRandom); }
  double Spread(double aDeviation)
  {
    return std::exp(std::normal_distribution<>(0, aDeviation)(mRandom));
  }
  void Arrive();
  double ExpectMs(const Request& aRequest, int aEngine, int aModel) const;
  Found Find(const Request& aRequest, int aModel, bool aElsewhere) const;
  PoolState Describe(Host& aHost);
  void Place(int aId);
  void Send(int aId, const Found& aFound, int aModel);
  void Leave(int aId);
  bool Escalate(int aId);
  void CheckOverdue(int aId);
  void RunEngine(int aEngine);
  void OnToken(int aId);
  Outcome Summarize() const;

  Options mOptions;
  std::mt19937_64 mRandom;
  double mNow = 0;
  std::vector<Request> mRequests;
  std::vector<int> mActive;
  std::array<Engine, kEngines> mEngines;
  std::array<Host, kHosts> mHosts;
  std::vector<double> mLoads;
};

void
Replay::Arrive()
{
  int count =
    std::poisson_distribution<>(mOptions.mRate * kTickMs / 1000)(mRandom);
  for (int i = 0; i < count; ++i) {
    Request request;
    request.mHost = static_cast<int>(Uniform() * kHosts);
    request.mRoute = static_cast<int>(Uniform() * kRoutes);
    int goals = mOptions.mHasSameGoals ? 0 : request.mRoute;
    request.mArrivedMs = mNow;
    request.mGoalMs = mNow + kGoalsMs[goals];
    request.mDeadlineMs = mNow + kDeadlinesMs[goals];
    request.mPrompt = 3000 * Spread(0.8);
    request.mHint = 150 * Spread(0.5);
    request.mTokens = std::max(4.0, request.mHint * Spread(0.7));
    request.mConfidence =
      Uniform() < 0.6 ? 70 + 30 * Uniform() : 50 * Uniform();
    request.mRight = { Uniform() < request.mConfidence / 100,
                       Uniform() < 0.8,
                       Uniform() < 0.95 };
    mRequests.push_back(request);
    mActive.push_back(static_cast<int>(mRequests.size()) - 1);
    Place(mActive.back());
  }
}

// What placement expects: prefill, the batch, and a part for each request that
// waits, by the report.
double
Replay::ExpectMs(const Request& aRequest, int aEngine, int aModel) const
{
  const auto& [running, waiting] = mEngines[aEngine].mReports.front();
  int batch = std::max(running, mHosts[aRequest.mHost].mInFlight[aEngine]);
  return kFactors[aModel] * (20 + aRequest.mPrompt / 157) + 0.3 * batch +
         20 * waiting;
}

Found
Replay::Find(const Request& aRequest, int aModel, bool aElsewhere) const
{
  const Host& host = mHosts[aRequest.mHost];
  Found found;
  for (int engine = 0; engine < kEngines; ++engine) {
    if (aElsewhere && aRequest.mTried.contains(engine)) {
      continue;
    }
    double ms = ExpectMs(aRequest, engine, aModel);
    if (found.mEngine < 0 || ms < found.mExpectedMs) {
      found.mEngine = engine;
      found.mExpectedMs = ms;
    }
  }
  if (found.mEngine < 0) {
    return found;
  }
  int batch = std::max(mEngines[found.mEngine].mReports.front().first,
                       host.mInFlight[found.mEngine]);
  CompletionForecast& forecast = found.mOption.mForecast;
  const LogSpread& error = host.mFirstErrors[aRequest.mRoute][aModel];
  forecast.mFirstEventMs = found.mExpectedMs * UsualRatio(error);
  forecast.mFirstEventDeviation = StandardDeviation(error, kFirstEventBounds);
  forecast.mTokens = aRequest.mHint;
  forecast.mLengthDeviation =
    StandardDeviation(host.mLengths.mHintError, kLengthBounds);
  forecast.mMsPerToken = EstimateMsPerToken(host.mPaces[aModel], batch);
  for (int other = 0; other < kModels && forecast.mMsPerToken <= 0; ++other) {
    forecast.mMsPerToken = EstimateMsPerToken(host.mPaces[other], batch) *
                           kFactors[aModel] / kFactors[other];
  }
  found.mOption.mWorkMs =
    kFactors[aModel] * aRequest.mPrompt / 157 +
    aRequest.mHint * forecast.mMsPerToken / std::max(1, batch);
  return found;
}

PoolState
Replay::Describe(Host& aHost)
{
  PoolState pool;
  for (const Engine& engine : mEngines) {
    pool.mSlots += kSlots;
    pool.mTaken += engine.mReports.front().first;
    pool.mQueued += engine.mReports.front().second;
  }
  UpdateLoad(aHost.mLoad, PoolLoad(pool), static_cast<TimeMs>(mNow));
  pool.mDampedLoad = aHost.mLoad.mLoad;
  return pool;
}

void
Replay::Place(int aId)
{
  Request& request = mRequests[aId];
  Found found = Find(request, request.mModel, true);
  if (found.mEngine < 0) {
    request.mTried.clear();
    found = Find(request, request.mModel, true);
  }
  if (mOptions.mAdmits) {
    PoolRequest asked;
    asked.mOptions = { found.mOption };
    std::vector<Found> all{ found };
    for (int model = request.mModel - 1; model >= 0; --model) {
      all.push_back(Find(request, model, true));
      asked.mOptions.push_back(all.back().mOption);
    }
    asked.mArrivedMs = static_cast<TimeMs>(request.mArrivedMs);
    asked.mDeadlineMs = static_cast<TimeMs>(request.mDeadlineMs);
    asked.mPoint = Uniform();
    PoolDecision decision = DecidePool(
      Describe(mHosts[request.mHost]), asked, static_cast<TimeMs>(mNow));
    if (decision.mAction == PoolAction::Refuse && request.mAttempts == 0) {
      request.mRefused = true;
      return;
    }
    request.mModel -= static_cast<int>(decision.mOption);
    found = all[decision.mOption];
  }
  Send(aId, found, request.mModel);
}

void
Replay::Send(int aId, const Found& aFound, int aModel)
{
  Request& request = mRequests[aId];
  Host& host = mHosts[request.mHost];
  ++host.mInFlight[aFound.mEngine];
  double work = aFound.mOption.mWorkMs;
  host.mMeanWorkMs +=
    host.mMeanWorkMs > 0 ? 0.05 * (work - host.mMeanWorkMs) : work;
  double prefillMs = kFactors[aModel] * request.mPrompt / 157;
  request.mPriority =
    mOptions.mAdmits
      ? EnginePriority(kRoutes, { request.mRoute, false, prefillMs >= 120 })
      : PrefillPriority(prefillMs);
  request.mModel = aModel;
  request.mEngine = aFound.mEngine;
  request.mTried.insert(aFound.mEngine);
  request.mSentMs = mNow;
  request.mExpectedMs = aFound.mExpectedMs;
  request.mOverdueMs = mNow + 1500 + 4 * aFound.mExpectedMs;
  request.mPrefillLeft = request.mPrompt;
  request.mGenerated = 0;
  ++request.mAttempts;
  auto& waiting = mEngines[aFound.mEngine].mWaiting;
  waiting.insert(std::upper_bound(waiting.begin(),
                                  waiting.end(),
                                  aId,
                                  [this](int aLeft, int aRight) {
                                    return mRequests[aLeft].mPriority <
                                           mRequests[aRight].mPriority;
                                  }),
                 aId);
}

// The attempt's end at its engine; teaches what the gateway learns from it.
void
Replay::Leave(int aId)
{
  Request& request = mRequests[aId];
  if (request.mEngine < 0) {
    return;
  }
  Engine& engine = mEngines[request.mEngine];
  Host& host = mHosts[request.mHost];
  --host.mInFlight[request.mEngine];
  std::erase(engine.mWaiting, aId);
  if (std::erase(engine.mRunning, aId) > 0) {
    engine.mCache -= request.mPrompt + request.mTokens;
  }
  if (request.mGenerated == 0 && mNow - request.mSentMs > request.mExpectedMs) {
    OnObserved(host.mFirstErrors[request.mRoute][request.mModel],
               request.mExpectedMs,
               mNow - request.mSentMs);
  }
  OnStreamObserved(host.mPaces[request.mModel],
                   { static_cast<int>(request.mGenerated),
                     static_cast<TimeMs>(request.mFirstMs),
                     static_cast<TimeMs>(mNow) },
                   1,
                   engine.mReports.front().first);
  request.mEngine = -1;
}

bool
Replay::Escalate(int aId)
{
  Request& request = mRequests[aId];
  Host& host = mHosts[request.mHost];
  if (request.mModel == kModels - 1 || request.mAttempts >= 3) {
    return false;
  }
  double confidence = request.mModel == 0 ? request.mConfidence : 100;
  int chosen = 0;
  if (mOptions.mAdmits) {
    PoolState pool = Describe(host);
    EscalationRequest asked;
    asked.mConfidence = confidence;
    asked.mReady = Find(request, request.mModel, false).mOption.mForecast;
    asked.mReady.mFirstEventMs = 1;
    asked.mRemainingMs = static_cast<TimeMs>(request.mDeadlineMs - mNow);
    asked.mGoalRemainingMs = static_cast<TimeMs>(request.mGoalMs - mNow);
    asked.mMeanWorkMs = host.mMeanWorkMs;
    asked.mLoadPrice =
      LoadPrice(pool.mDampedLoad,
                host.mPoolWaitMs,
                static_cast<TimeMs>(request.mGoalMs - request.mArrivedMs)) *
      (1 + 0.25 * request.mRoute);
    for (int model = request.mModel + 1; model < kModels; ++model) {
      asked.mLarger.push_back(Find(request, model, false).mOption);
      EscalationOptions options;
      options.mMiddleShare = kMiddleShare;
      asked.mLarger.back().mQuality =
        LargerModelQuality(confidence,
                           model - request.mModel,
                           kModels - 1 - request.mModel,
                           options);
    }
    auto larger = ChooseLargerModel(asked);
    chosen = larger ? request.mModel + 1 + static_cast<int>(*larger) : 0;
  } else {
    double firstMs = Find(request, kModels - 1, false).mExpectedMs;
    if (ShouldEscalate({ confidence,
                         mNow - request.mArrivedMs,
                         firstMs,
                         request.mGoalMs - request.mArrivedMs,
                         host.mPoolWaitMs })) {
      chosen = kModels - 1;
    }
  }
  if (chosen == 0) {
    return false;
  }
  Leave(aId);
  request.mTried.clear();
  Send(aId, Find(request, chosen, false), chosen);
  return true;
}

void
Replay::CheckOverdue(int aId)
{
  Request& request = mRequests[aId];
  if (request.mGenerated > 0 || mNow < request.mOverdueMs ||
      request.mAttempts >= 3) {
    return;
  }
  if (mOptions.mAdmits) {
    Found elsewhere = Find(request, request.mModel, true);
    bool moves =
      elsewhere.mEngine >= 0 &&
      ShouldMoveAttempt(
        { static_cast<TimeMs>(mNow - request.mSentMs),
          true,
          ExpectMs(request, request.mEngine, request.mModel),
          elsewhere.mExpectedMs,
          EndChance(elsewhere.mOption.mForecast, request.mDeadlineMs - mNow) });
    if (!moves) {
      request.mOverdueMs = mNow + 400;
      return;
    }
  }
  Leave(aId);
  Place(aId);
}

void
Replay::OnToken(int aId)
{
  Request& request = mRequests[aId];
  Host& host = mHosts[request.mHost];
  if (request.mGenerated == 0) {
    double observedMs = mNow - request.mSentMs;
    double aloneMs = kFactors[request.mModel] * (20 + request.mPrompt / 157);
    host.mPoolWaitMs +=
      0.1 * (std::max(0.0, observedMs - aloneMs) - host.mPoolWaitMs);
    OnObserved(host.mFirstErrors[request.mRoute][request.mModel],
               request.mExpectedMs,
               observedMs);
    if (Escalate(aId)) {
      return;
    }
    request.mFirstMs = mNow;
  }
  ++request.mGenerated;
  if (request.mGenerated < request.mTokens) {
    return;
  }
  OnAnswerLength(host.mLengths, request.mHint, request.mGenerated);
  Leave(aId);
  request.mInTime = mNow <= request.mDeadlineMs;
  if (request.mInTime && request.mRight[request.mModel]) {
    request.mWorth = request.mFirstMs <= request.mGoalMs ? 1 : kLateWorth;
  }
}

void
Replay::RunEngine(int aEngine)
{
  Engine& engine = mEngines[aEngine];
  while (engine.mClockMs < mNow) {
    while (!engine.mWaiting.empty() && engine.mRunning.size() < kSlots) {
      Request& next = mRequests[engine.mWaiting.front()];
      if (engine.mCache + next.mPrompt + next.mTokens > kCacheTokens) {
        break;
      }
      engine.mCache += next.mPrompt + next.mTokens;
      engine.mRunning.push_back(engine.mWaiting.front());
      engine.mWaiting.erase(engine.mWaiting.begin());
    }
    if (engine.mRunning.empty()) {
      engine.mClockMs = mNow;
      return;
    }
    std::array<int, kModels> batch{};
    std::vector<int> decoding;
    bool hasPrefilled = false;
    double stepMs = 0;
    for (int id : engine.mRunning) {
      Request& request = mRequests[id];
      if (request.mPrefillLeft <= 0) {
        ++batch[request.mModel];
        decoding.push_back(id);
      } else if (!hasPrefilled) {
        hasPrefilled = true;
        double tokens = std::min(kChunkTokens, request.mPrefillLeft);
        request.mPrefillLeft -= tokens;
        stepMs += kFactors[request.mModel] * tokens / 157;
      }
    }
    for (int model = 0; model < kModels; ++model) {
      stepMs +=
        batch[model] > 0 ? kFactors[model] * (3.55 + 0.046 * batch[model]) : 0;
    }
    engine.mClockMs += stepMs;
    for (int id : decoding) {
      OnToken(id);
    }
  }
}

Outcome
Replay::Run()
{
  for (Engine& engine : mEngines) {
    engine.mReports.assign(kReportAgeTicks, { 0, 0 });
  }
  while (mNow < mOptions.mDurationMs) {
    mNow += kTickMs;
    Arrive();
    int running = 0;
    for (int engine = 0; engine < kEngines; ++engine) {
      RunEngine(engine);
      Engine& state = mEngines[engine];
      state.mReports.pop_front();
      state.mReports.emplace_back(state.mRunning.size(), state.mWaiting.size());
      running += static_cast<int>(state.mRunning.size());
    }
    mLoads.push_back(running);
    for (int id : mActive) {
      if (mRequests[id].mEngine >= 0 && mNow >= mRequests[id].mDeadlineMs) {
        Leave(id);
      } else if (mRequests[id].mEngine >= 0) {
        CheckOverdue(id);
      }
    }
    std::erase_if(mActive,
                  [this](int aId) { return mRequests[aId].mEngine < 0; });
  }
  return Summarize();
}

Outcome
Replay::Summarize() const
{
  Outcome outcome;
  std::vector<const Request*> counted;
  std::array<int, kRoutes> routes{};
  for (const Request& request : mRequests) {
    if (request.mArrivedMs < mOptions.mDurationMs / 4 ||
        request.mArrivedMs > mOptions.mDurationMs * 3 / 4) {
      continue;
    }
    counted.push_back(&request);
    ++routes[request.mRoute];
    outcome.mWorth += request.mWorth;
    outcome.mInTimeAll += request.mInTime;
    outcome.mInTime[request.mRoute] += request.mInTime;
    outcome.mRefused += request.mRefused;
    outcome.mAttempts += request.mAttempts;
  }
  auto count = static_cast<double>(counted.size());
  for (double* sum : { &outcome.mWorth,
                       &outcome.mInTimeAll,
                       &outcome.mRefused,
                       &outcome.mAttempts }) {
    *sum /= count;
  }
  for (int route = 0; route < kRoutes; ++route) {
    outcome.mInTime[route] /= routes[route];
  }
  std::sort(counted.begin(), counted.end(), [](auto* aLeft, auto* aRight) {
    return aLeft->mPrompt + aLeft->mTokens > aRight->mPrompt + aRight->mTokens;
  });
  counted.resize(counted.size() / 10);
  for (const Request* request : counted) {
    outcome.mInTimeLargest += request->mInTime;
  }
  outcome.mInTimeLargest /= static_cast<double>(counted.size());
  double sum = 0;
  double squares = 0;
  std::size_t from = mLoads.size() / 4;
  std::size_t until = mLoads.size() * 3 / 4;
  for (std::size_t i = from; i < until; ++i) {
    sum += mLoads[i];
    squares += mLoads[i] * mLoads[i];
  }
  auto ticks = static_cast<double>(until - from);
  double mean = sum / ticks;
  outcome.mLoadSwing =
    std::sqrt(std::max(0.0, squares / ticks - mean * mean)) / mean;
  return outcome;
}

} // namespace

Outcome
Run(const Options& aOptions)
{
  return Replay(aOptions).Run();
}

} // namespace savory::replay
