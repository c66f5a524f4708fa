#pragma once

#include "server.h"

#include <deque>
#include <list>
#include <set>

namespace savory {

struct EngineOptions
{
  // "model@version".
  std::set<std::string> mServedVersions;
  TimeMs mFirstTokenMs = 20;
  double mMsPerToken = 1;
  // Time that each thousand of input tokens adds, but for cached ones.
  TimeMs mPrefillMsPerThousandTokens = 0;
  int mMaxRunning = 16;
  std::int64_t mTokenCapacity = 200000;
  TimeMs mColdStartMs = 0;
  int mColdConcurrency = 1;
  TimeMs mRestartMs = 100;
  std::string mPoisonText;
  TimeMs mLoadLagMs = 0;
  bool mIgnoresFencing = false;
  std::size_t mMaxCachedBlocks = 4096;
};

// A model engine in the chat-completions convention. It crashes, that is, it
// drops all connections and starts cold as a new instance, under more requests
// than its cold concurrency while cold, when its requests hold more tokens
// (input and generated ones, queued requests included) than its capacity, and
// on a prompt with the poison. Faults: restart, slow_ms (before the first
// token), hang, cut_after_tokens, bad_version (its answers start with "BAD"),
// drop_cache_events (count).
class EngineStandin : public Standin
{
public:
  EngineStandin(EventLoop& aLoop, const EngineOptions& aOptions);

  nlohmann::json Observations() override;
  void SetFaults(const nlohmann::json& aFaults) override;

protected:
  void Handle(const HttpRequest& aRequest, const Reply& aReply) override;

private:
  struct Run
  {
    nlohmann::json mReport;
    Reply mReply;
    std::string mModel;
    std::string mVersion;
    std::string mPromptHash;
    bool mStream = false;
    int mPriority = 0;
    bool mIsRunning = false;
    std::int64_t mInputTokens = 0;
    std::int64_t mMaxTokens = 0;
    std::int64_t mOutputTokens = 0;
    TimeMs mFirstTokenMs = 0;
    std::string mOutputText;
    Timer mTimer;
  };
  struct LoadSample
  {
    TimeMs mSampledMs;
    nlohmann::json mLoad;
  };
  struct CacheEvent
  {
    std::int64_t mSequence;
    TimeMs mCreatedMs;
    nlohmann::json mEvent;
  };

  void StartInstance();
  void Crash(const std::string& aCause);
  // Accepts a request; an error is answered at once.
  void AcceptRequest(const HttpRequest& aRequest, const Reply& aReply);
  // Starts waiting requests while there are free slots.
  void StartQueuedRuns();
  void ProduceTokens(Run& aRun);
  void SendToken(Run& aRun);
  void SendCompletion(Run& aRun);
  // Ends a run with an outcome, without an answer.
  void EndRun(Run& aRun, const std::string& aOutcome);
  // Ends the requests whose callers have gone.
  void CancelAbandonedRuns();
  std::int64_t HeldTokens() const;
  nlohmann::json MakeUsage(const Run& aRun) const;
  nlohmann::json MakeLoadReport() const;
  // Input tokens of a prompt that the cache does not hold; caches the prompt.
  std::int64_t CachePrompt(const std::string& aPrompt);
  void AnswerCacheEvents(const HttpRequest& aRequest, const Reply& aReply);
  void ApplyOrder(const nlohmann::json& aOrder, const Reply& aReply);

  EngineOptions mOptions;
  std::set<std::string> mServedVersions;
  std::string mInstance;
  TimeMs mStartMs = 0;
  int mStartCount = 0;
  nlohmann::json mCrashes = nlohmann::json::array();
  nlohmann::json mEndedRuns = nlohmann::json::array();
  nlohmann::json mOrders = nlohmann::json::array();
  std::int64_t mHighestFencingToken = 0;
  // In order of arrival, higher priorities first among the waiting.
  std::list<Run> mRuns;
  std::deque<LoadSample> mLoadSamples;
  std::deque<std::uint64_t> mCachedBlocks;
  std::deque<CacheEvent> mCacheEvents;
  std::int64_t mCacheSequence = 0;
  Timer mSampleTimer;
};

} // namespace savory
