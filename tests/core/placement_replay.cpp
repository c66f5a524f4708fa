#include "placement_replay.h"

#include "savory/core/beacon.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <list>
#include <memory>
#include <queue>
#include <random>
#include <unordered_map>

namespace savory::placement_replay {

namespace {

constexpr std::int64_t kChunkTokens = 2048;
constexpr double kFixedMs = 5;
constexpr double kGossipMs = 300;
constexpr double kReportMs = 100;
constexpr double kSpellMs = 600;
constexpr std::uint64_t kHotPart = 1'000'000'000;

struct Model
{
  const char* mName;
  double mFactor;
};
constexpr std::array<Model, 3> kModels{
  { { "s", 0.3 }, { "m", 0.8 }, { "l", 3.0 } }
};
constexpr std::array<std::array<std::int64_t, 2>, 3> kPrompts{
  { { 13300, 3720 }, { 6300, 2890 }, { 350, 1110 } }
};

struct Job
{
  std::size_t mHost = 0;
  double mFactor = 1;
  std::uint64_t mKey = 0;
  PlacementRequest mRequest;
  Placement mPlacement;
  std::uint64_t mId = 0;
  double mSentMs = 0;
  double mFirstMs = 0;
  std::int64_t mUnread = -1;
  int mTokensLeft = 0;
  int mTokens = 0;
  int mBatch = 0;
};
using JobPtr = std::shared_ptr<Job>;

struct Load
{
  int mRunning = 0;
  int mWaiting = 0;
  double mSlowdown = 1;
};

struct Engine
{
  double mSpeed = 1;
  double mSlowdown = 1;
  bool mBusy = false;
  std::vector<JobPtr> mRunning;
  std::deque<JobPtr> mQueue;
  std::list<std::pair<std::uint64_t, std::int64_t>> mLru;
  std::int64_t mCachedTokens = 0;
  std::int64_t mRunningTokens = 0;
  Load mReported;
  Load mNextReport;

  auto Find(std::uint64_t aKey)
  {
    return std::find_if(
      mLru.begin(), mLru.end(), [&](auto& aRow) { return aRow.first == aKey; });
  }
  void Insert(std::uint64_t aKey, std::int64_t aTokens, std::int64_t aMemory)
  {
    auto found = Find(aKey);
    if (found != mLru.end()) {
      mCachedTokens -= found->second;
      mLru.erase(found);
    }
    mLru.emplace_front(aKey, aTokens);
    mCachedTokens += aTokens;
    while (!mLru.empty() && mCachedTokens + mRunningTokens > aMemory) {
      mCachedTokens -= mLru.back().second;
      mLru.pop_back();
    }
  }
};

struct Host
{
  RunnerSet mSet;
  std::array<PrefillSpeed, kModels.size()> mSpeeds;
  BeaconCursor mCursor;
};

class Replay
{
public:
  explicit Replay(const Options& aOptions)
    : mOptions(aOptions)
    , mRandom(aOptions.mSeed)
    , mHosts(aOptions.mHosts)
    , mEngines(aOptions.mEngines)
    , mSamples(aOptions.mHosts)
  {
    ServiceInfo service;
    service.mName = "llm";
    service.mCacheTokens = mOptions.mMemoryTokens;
    service.mSlots = mOptions.mSlots;
    mTable.mServices["llm"] = service;
    for (std::size_t engine = 0; engine < mEngines.size(); ++engine) {
      mEngines[engine].mSpeed = engine % 3 == 0 ? 1.7 : 0.7;
      Registration registration;
      registration.mId = "r" + std::to_string(engine);
      registration.mService = "llm";
      registration.mAddress = "10.0.0.1:80";
      registration.mZone = "z" + std::to_string(engine % 3);
      registration.mSlots = mOptions.mSlots;
      registration.mStartedWallMs = 1000;
      for (Host& host : mHosts) {
        host.mSet.mEntryHosts = static_cast<int>(mOptions.mHosts);
        ApplyRegistration(host.mSet, registration, { 0, 1 }, 0);
      }
    }
    for (Host& host : mHosts) {
      for (std::size_t model = 0; model < kModels.size(); ++model) {
        host.mSpeeds[model] = { kModels[model].mFactor / mOptions.mTokensPerMs,
                                kFixedMs,
                                0 };
      }
    }
  }

  Outcome Run()
  {
    At(0, [this] { Arrive(); });
    At(0, [this] { Spell(); });
    At(0, [this] { Report(); });
    At(kGossipMs, [this] { Gossip(); });
    while (!mEvents.empty() && mEvents.top().mAtMs < mOptions.mDurationMs) {
      auto event = mEvents.top();
      mEvents.pop();
      mNowMs = event.mAtMs;
      event.mRun();
    }
    return Summarize();
  }

private:
  struct Event
  {
    double mAtMs;
    std::uint64_t mOrder;
    std::function<void()> mRun;
    bool operator<(const Event& aOther) const
    {
      return std::tie(mAtMs, mOrder) > std::tie(aOther.mAtMs, aOther.mOrder);
    }
  };

  void At(double aTimeMs, std::function<void()> aRun)
  {
    mEvents.push({ aTimeMs, ++mOrder, std::move(aRun) });
  }
  double Uniform() { return std::uniform_real_distribution<>(0, 1)(mRandom); }
  TimeMs Now() const { return static_cast<TimeMs>(mNowMs); }
  bool IsMeasured(const Job& aJob) const
  {
    return aJob.mSentMs > mOptions.mDurationMs / 4;
  }

  void Spell()
  {
    for (Engine& engine : mEngines) {
      engine.mSlowdown = Uniform() < 0.15 ? 2.5 : 1;
    }
    // Spells of different machines need not begin together for the decisions.
    At(mNowMs + kSpellMs, [this] { Spell(); });
  }

  void Report()
  {
    for (Engine& engine : mEngines) {
      engine.mReported = engine.mNextReport;
      engine.mNextReport = { static_cast<int>(engine.mRunning.size()),
                             static_cast<int>(engine.mQueue.size()),
                             engine.mSlowdown };
    }
    At(mNowMs + kReportMs, [this] { Report(); });
  }

  void Gossip()
  {
    for (Host& sender : mHosts) {
      PeerMessage message;
      AddPrefillReports(message, sender.mSet, sender.mCursor);
      for (Host& receiver : mHosts) {
        for (const auto& [id, report] : message.mPrefills) {
          if (&receiver != &sender) {
            MergePeerPrefill(receiver.mSet.mRunners.at(id),
                             report.mPrefillMs,
                             report.mPartKeys,
                             Now());
          }
        }
      }
    }
    At(mNowMs + kGossipMs, [this] { Gossip(); });
  }

  // Half of the prompts have a shared part of one of the latest 200.
  JobPtr MakeJob()
  {
    double pick = Uniform();
    std::size_t model = pick < 0.45 ? 0 : pick < 0.9 ? 1 : 2;
    bool isHot = Uniform() < mOptions.mHotShare;
    pick = isHot ? 0 : Uniform();
    std::size_t prompt = pick < 0.4 ? 0 : pick < 0.8 ? 1 : 2;
    auto& parts = mParts[model * kPrompts.size() + prompt];
    std::uint64_t part = ++mLastPart;
    if (isHot) {
      part = kHotPart;
    } else if (Uniform() < 0.55 && !parts.empty()) {
      part = parts[static_cast<std::size_t>(Uniform() *
                                            static_cast<double>(parts.size()))];
    } else {
      parts.push_back(part);
      if (parts.size() > 200) {
        parts.pop_front();
      }
    }
    auto job = std::make_shared<Job>();
    job->mHost = static_cast<std::size_t>(Uniform() *
                                          static_cast<double>(mOptions.mHosts));
    job->mFactor = kModels[model].mFactor;
    job->mId = ++mOrder;
    PlacementRequest& request = job->mRequest;
    request.mService = "llm";
    request.mModel = kModels[model].mName;
    request.mSharedParts = { { part, kPrompts[prompt][0] } };
    request.mUnsharedTokens = kPrompts[prompt][1];
    request.mZone = "z" + std::to_string(job->mHost % 3);
    request.mBodyBytes = 17000;
    const PrefillSpeed& speed = mHosts[job->mHost].mSpeeds[model];
    request.mMsPerToken = speed.mMsPerToken;
    request.mFixedMs = speed.mFixedMs;
    job->mKey = PrefixCacheKey(request.mModel, part);
    job->mTokens = static_cast<int>(
      std::lognormal_distribution<>(std::log(200), 0.7)(mRandom));
    job->mTokensLeft = std::max(1, job->mTokens);
    request.mOutputTokens = job->mTokens;
    return job;
  }

  void Arrive()
  {
    At(mNowMs - std::log(1 - Uniform()) * 1000 / mOptions.mRate,
       [this] { Arrive(); });
    JobPtr job = MakeJob();
    RunnerSet& set = mHosts[job->mHost].mSet;
    if (mOptions.mSampleUse == SampleUse::Trusted) {
      for (auto& [id, runner] : set.mRunners) {
        const auto& [slowdown, atMs] = mSamples[job->mHost][id];
        runner.mSlowdown = Now() - atMs < mOptions.mTrustMs ? slowdown : 1;
        runner.mSlowdownMs = Now();
      }
    }
    auto placement = PlaceRequest(set, mTable, job->mRequest, Now());
    job->mPlacement = *placement;
    job->mSentMs = mNowMs;
    OnRequestSent(set.mRunners.at(placement->mRunner),
                  job->mRequest,
                  placement->mPrefillMs,
                  job->mId,
                  Now());
    std::size_t index = std::stoul(placement->mRunner.substr(1));
    Engine& engine = mEngines[index];
    int priority = PrefillPriority(placement->mPrefillMs);
    auto place = std::find_if(
      engine.mQueue.begin(), engine.mQueue.end(), [&](const JobPtr& aOther) {
        return aOther->mUnread < 0 &&
               PrefillPriority(aOther->mPlacement.mPrefillMs) > priority;
      });
    engine.mQueue.insert(place, job);
    if (!engine.mBusy) {
      Step(index);
    }
  }

  void BeginPrefill(Engine& aEngine, Job& aJob)
  {
    std::int64_t shared = aJob.mRequest.mSharedParts[0].mTokens;
    bool hit = aEngine.Find(aJob.mKey) != aEngine.mLru.end();
    bool isHeld =
      hit || std::any_of(mEngines.begin(), mEngines.end(), [&](auto& aOther) {
        return aOther.Find(aJob.mKey) != aOther.mLru.end();
      });
    aJob.mUnread = aJob.mRequest.mUnsharedTokens + (hit ? 0 : shared);
    if (IsMeasured(aJob)) {
      auto tokens = static_cast<double>(shared);
      mPromptTokens +=
        tokens + static_cast<double>(aJob.mRequest.mUnsharedTokens);
      mFoundTokens += hit ? tokens : 0;
      mReadAgainTokens += !hit && isHeld ? tokens : 0;
    }
    aEngine.mRunningTokens += aJob.mRequest.mUnsharedTokens + aJob.mTokens;
    aEngine.Insert(aJob.mKey, shared, mOptions.mMemoryTokens);
  }

  // One chunk of the first prompt and one decode step of the batch.
  void Step(std::size_t aIndex)
  {
    Engine& engine = mEngines[aIndex];
    engine.mBusy = !engine.mQueue.empty() || !engine.mRunning.empty();
    if (!engine.mBusy) {
      return;
    }
    double ms = 0;
    JobPtr read;
    if (!engine.mQueue.empty() &&
        static_cast<int>(engine.mRunning.size()) < mOptions.mSlots) {
      read = engine.mQueue.front();
      if (read->mUnread < 0) {
        BeginPrefill(engine, *read);
        ms += kFixedMs * read->mFactor;
      }
      std::int64_t chunk = std::min(kChunkTokens, read->mUnread);
      read->mUnread -= chunk;
      ms += static_cast<double>(chunk) / mOptions.mTokensPerMs * read->mFactor;
    }
    if (!engine.mRunning.empty()) {
      double factors = 0;
      for (const JobPtr& job : engine.mRunning) {
        factors += job->mFactor;
      }
      auto running = static_cast<double>(engine.mRunning.size());
      ms += (mOptions.mStepMs + 0.046 * running +
             0.000001 * static_cast<double>(engine.mRunningTokens)) *
            factors / running;
    }
    ms *= engine.mSpeed * engine.mSlowdown;
    At(mNowMs + ms, [this, aIndex, read] { EndStep(aIndex, read); });
  }

  void EndStep(std::size_t aIndex, const JobPtr& aRead)
  {
    Engine& engine = mEngines[aIndex];
    std::erase_if(engine.mRunning, [&](const JobPtr& aJob) {
      if (--aJob->mTokensLeft > 0) {
        return false;
      }
      engine.mRunningTokens -= aJob->mRequest.mUnsharedTokens + aJob->mTokens;
      engine.Insert(
        ++mLastPart, aJob->mRequest.mUnsharedTokens, mOptions.mMemoryTokens);
      OnEnd(aIndex, *aJob);
      return true;
    });
    if (aRead && aRead->mUnread <= 0) {
      std::erase(engine.mQueue, aRead);
      aRead->mFirstMs = mNowMs;
      aRead->mBatch = static_cast<int>(engine.mRunning.size()) + 1;
      engine.mRunning.push_back(aRead);
      OnFirst(aIndex, *aRead);
    }
    Step(aIndex);
  }

  RunnerState& FindRunner(std::size_t aIndex, const Job& aJob)
  {
    return mHosts[aJob.mHost].mSet.mRunners.at("r" + std::to_string(aIndex));
  }

  // What a gateway learns from the head of an answer.
  void OnFirst(std::size_t aIndex, const Job& aJob)
  {
    Host& host = mHosts[aJob.mHost];
    RunnerState& runner = FindRunner(aIndex, aJob);
    const Load& load = mEngines[aIndex].mReported;
    OnLoadReport(runner, load.mRunning, load.mWaiting, Now());
    double observedMs = mNowMs - aJob.mSentMs;
    double expectedMs = aJob.mPlacement.mExpectedMs;
    bool isTelling = true;
    if (mOptions.mSampleUse == SampleUse::NotPaced) {
      runner.mLatencyRatio =
        std::clamp(runner.mLatencyRatio +
                     0.05 * (observedMs / expectedMs - runner.mLatencyRatio),
                   0.25,
                   4.0);
    } else {
      bool isUsed = mOptions.mSampleUse != SampleUse::Ignored;
      OnSlowdownReport(host.mSet, runner, isUsed ? load.mSlowdown : 1, Now());
      mSamples[aJob.mHost][aJob.mPlacement.mRunner] = { load.mSlowdown, Now() };
      isTelling =
        OnFirstEvent(runner, aJob.mRequest, aJob.mPlacement, observedMs, Now());
    }
    if (isTelling) {
      for (std::size_t model = 0; model < kModels.size(); ++model) {
        if (aJob.mRequest.mModel == kModels[model].mName) {
          UpdatePrefillSpeed(host.mSpeeds[model], expectedMs, observedMs);
        }
      }
    }
    OnPrefillDone(runner.mPrefillQueue, aJob.mId, Now());
    if (IsMeasured(aJob)) {
      mFirstMs.push_back(observedMs);
    }
  }

  void OnEnd(std::size_t aIndex, const Job& aJob)
  {
    RunnerState& runner = FindRunner(aIndex, aJob);
    --runner.mInFlight;
    if (mOptions.mSampleUse != SampleUse::NotPaced && aJob.mTokens >= 16) {
      OnStreamPaced(mHosts[aJob.mHost].mSet,
                    runner,
                    aJob.mRequest.mModel,
                    (mNowMs - aJob.mFirstMs) / aJob.mTokens,
                    aJob.mPlacement.mRunning,
                    Now());
    }
    if (IsMeasured(aJob)) {
      mAnswerMs.push_back(mNowMs - aJob.mSentMs);
    }
  }

  static double Mean(const std::vector<double>& aValues)
  {
    double sum = 0;
    for (double value : aValues) {
      sum += value;
    }
    return aValues.empty() ? 0 : sum / static_cast<double>(aValues.size());
  }

  static double P95(std::vector<double>& aValues)
  {
    std::sort(aValues.begin(), aValues.end());
    return aValues.empty() ? 0 : aValues[aValues.size() * 95 / 100];
  }

  Outcome Summarize()
  {
    return { Mean(mFirstMs),
             P95(mFirstMs),
             Mean(mAnswerMs),
             P95(mAnswerMs),
             100 * mReadAgainTokens / mPromptTokens,
             100 * mFoundTokens / mPromptTokens };
  }

  Options mOptions;
  std::mt19937_64 mRandom;
  RouteTable mTable;
  std::vector<Host> mHosts;
  std::vector<Engine> mEngines;
  std::vector<std::unordered_map<std::string, std::pair<double, TimeMs>>>
    mSamples;
  std::array<std::deque<std::uint64_t>, kModels.size() * kPrompts.size()>
    mParts;
  std::priority_queue<Event> mEvents;
  std::uint64_t mOrder = 0;
  std::uint64_t mLastPart = 0;
  double mNowMs = 0;
  std::vector<double> mFirstMs;
  std::vector<double> mAnswerMs;
  double mPromptTokens = 0;
  double mFoundTokens = 0;
  double mReadAgainTokens = 0;
};

} // namespace

Outcome
Run(const Options& aOptions)
{
  return Replay(aOptions).Run();
}

} // namespace savory::placement_replay
