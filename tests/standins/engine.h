#pragma once

#include "server.h"

#include <deque>
#include <list>
#include <set>

namespace savory {

struct EngineOptions
{
  // "model@version".
  std::set<std::string> mServes;
  TimeMs mFirstTokenMs = 20;
  double mTokenMs = 1;
  // Time that each thousand of input tokens adds, but for cached ones.
  TimeMs mPrefillMs = 0;
  int mSlots = 16;
  std::int64_t mTokenCapacity = 200000;
  TimeMs mColdMs = 0;
  int mColdConcurrency = 1;
  TimeMs mRestartMs = 100;
  std::string mPoison;
  TimeMs mLoadLagMs = 0;
  bool mIgnoresFencing = false;
  std::size_t mCacheBlocks = 4096;
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

  nlohmann::json Seen() override;
  void SetFaults(const nlohmann::json& aFaults) override;

protected:
  void Handle(const HttpRequest& aRequest, const Reply& aReply) override;

private:
  struct Run
  {
    nlohmann::json mRecord;
    Reply mReply;
    std::string mModel;
    std::string mVersion;
    std::string mMark;
    bool mStream = false;
    int mPriority = 0;
    bool mRunning = false;
    std::int64_t mInputTokens = 0;
    std::int64_t mMaxTokens = 0;
    std::int64_t mTokens = 0;
    TimeMs mFirstTokenMs = 0;
    std::string mText;
    Timer mTimer;
  };
  struct LoadSample
  {
    TimeMs mAtMs;
    nlohmann::json mLoad;
  };
  struct CacheEvent
  {
    std::int64_t mSequence;
    TimeMs mAtMs;
    nlohmann::json mEvent;
  };

  void Start();
  void Crash(const std::string& aCause);
  // Accepts a request; an error is answered at once.
  void Accept(const HttpRequest& aRequest, const Reply& aReply);
  // Starts waiting requests while there are free slots.
  void StartWaiting();
  void Continue(Run& aRun);
  void SendToken(Run& aRun);
  void Complete(Run& aRun);
  // Ends a run with an outcome, without an answer.
  void EndRun(Run& aRun, const std::string& aOutcome);
  // Ends the requests whose callers have gone.
  void DropAbandoned();
  std::int64_t TokensHeld() const;
  nlohmann::json Usage(const Run& aRun) const;
  nlohmann::json Load() const;
  // Input tokens of a prompt that the cache does not hold; caches the prompt.
  std::int64_t CachePrompt(const std::string& aPrompt);
  void AnswerCacheEvents(const HttpRequest& aRequest, const Reply& aReply);
  void TakeOrder(const nlohmann::json& aOrder, const Reply& aReply);

  EngineOptions mOptions;
  std::set<std::string> mServes;
  std::string mInstance;
  TimeMs mStartMs = 0;
  int mStarts = 0;
  nlohmann::json mCrashes = nlohmann::json::array();
  nlohmann::json mEnded = nlohmann::json::array();
  nlohmann::json mOrders = nlohmann::json::array();
  std::int64_t mHighestFencing = 0;
  // In order of arrival, higher priorities first among the waiting.
  std::list<Run> mRuns;
  std::deque<LoadSample> mSamples;
  std::deque<std::uint64_t> mCache;
  std::deque<CacheEvent> mCacheEvents;
  std::int64_t mCacheSequence = 0;
  Timer mSampling;
};

} // namespace savory
