#pragma once

#include "server.h"

#include <deque>
#include <list>
#include <set>

namespace savory {

struct EngineOptions
{
  // Each as "model@version".
  std::set<std::string> mServedVersions;
  TimeMs mFirstTokenMs = 20;
  double mMsPerToken = 1;
  // Added to the time to first token, per thousand uncached input tokens.
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

// A model engine with the chat-completions API. A crash closes all connections
// and starts a new, cold instance. The engine crashes
// - when it is cold and has more requests than its cold concurrency,
// - when its requests, queued ones included, hold more input and generated
//   tokens than its capacity,
// - on a prompt that contains mPoisonText.
// Faults: restart, slow_ms (before the first token), hang, cut_after_tokens,
// bad_version (answers of this version start with "BAD"), drop_cache_events
// (count).
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
    // Time to first token while queued, then the time when that token is due.
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
  // Queues a request; an invalid one is answered with an error at once.
  void AcceptRequest(const HttpRequest& aRequest, const Reply& aReply);
  // Starts queued runs while fewer than mMaxRunning are running.
  void StartQueuedRuns();
  void ProduceTokens(Run& aRun);
  void SendToken(Run& aRun);
  void SendCompletion(Run& aRun);
  // Records the outcome of a run, removes it and aborts its answer if that is
  // not complete.
  void EndRun(Run& aRun, const std::string& aOutcome);
  // Ends the runs whose callers have disconnected.
  void CancelAbandonedRuns();
  std::int64_t HeldTokens() const;
  nlohmann::json MakeUsage(const Run& aRun) const;
  nlohmann::json MakeLoadReport() const;
  // Adds a prompt to the prefix cache and returns the number of its input
  // tokens that were not cached.
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
  // In order of arrival; queued runs by descending priority.
  std::list<Run> mRuns;
  std::deque<LoadSample> mLoadSamples;
  std::deque<std::uint64_t> mCachedBlocks;
  std::deque<CacheEvent> mCacheEvents;
  std::int64_t mCacheSequence = 0;
  Timer mSampleTimer;
};

} // namespace savory
