#include "engine.h"

#include "savory/core/identity.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace savory {

using nlohmann::json;

namespace {

constexpr std::size_t kCharactersPerToken = 4;
constexpr std::int64_t kTokensPerPhotograph = 256;
constexpr std::size_t kBlockTokens = 64;
constexpr std::size_t kKeptCacheEvents = 1024;
constexpr std::size_t kMaxPendingBytes = 64 * 1024;
constexpr TimeMs kSampleMs = 10;

// Pause of a run whose caller does not read; a thousand such runs that looked
// each millisecond would take the whole processor.
constexpr TimeMs kFullPauseMs = 20;

struct Prompt
{
  std::string mText;
  std::int64_t mTokens = 0;
};

// The text of all messages, and its length in tokens.
Prompt
ReadPrompt(const json& aMessages)
{
  Prompt prompt;
  std::int64_t photographs = 0;
  for (const auto& message : aMessages) {
    const json& content = message.at("content");
    if (content.is_string()) {
      prompt.mText += content.get<std::string>();
      continue;
    }
    for (const auto& part : content) {
      prompt.mText += part.value("text", std::string());
      photographs += part.value("type", std::string()) == "image_url" ? 1 : 0;
    }
  }
  prompt.mTokens =
    static_cast<std::int64_t>((prompt.mText.size() + kCharactersPerToken - 1) /
                              kCharactersPerToken) +
    photographs * kTokensPerPhotograph;
  return prompt;
}

json
ErrorJson(const std::string& aType, const std::string& aMessage)
{
  return { { "error", { { "type", aType }, { "message", aMessage } } } };
}

} // namespace

EngineStandin::EngineStandin(EventLoop& aLoop, const EngineOptions& aOptions)
  : Standin(aLoop)
  , mOptions(aOptions)
  , mServes(aOptions.mServes)
  , mSampling(Timer::Every(aLoop, kSampleMs, [this] {
    DropAbandoned();
    mSamples.push_back({ MonotonicMs(), Load() });
    TimeMs oldest = MonotonicMs() - mOptions.mLoadLagMs;
    while (mSamples.size() > 1 && mSamples[1].mAtMs <= oldest) {
      mSamples.pop_front();
    }
  }))
{
  Start();
}

void
EngineStandin::Start()
{
  mStartMs = MonotonicMs();
  mInstance =
    "engine-" + std::to_string(MonotonicUs()) + "-" + std::to_string(++mStarts);
  mServes = mOptions.mServes;
  mSamples.clear();
  mCache.clear();
  mCacheEvents.clear();
}

void
EngineStandin::Crash(const std::string& aCause)
{
  mCrashes.push_back({ { "at_ms", MonotonicMs() },
                       { "cause", aCause },
                       { "instance", mInstance },
                       { "requests", mRuns.size() } });
  while (!mRuns.empty()) {
    EndRun(mRuns.front(), "crashed");
  }
  Start();
  DropConnections(mOptions.mRestartMs);
}

json
EngineStandin::Seen()
{
  json runs = mEnded;
  for (const auto& run : mRuns) {
    runs.push_back(run.mRecord);
    runs.back()["outcome"] = run.mRunning ? "running" : "queued";
    runs.back()["tokens"] = run.mTokens;
  }
  return { { "runs", runs },           { "crashes", mCrashes.size() },
           { "crash_list", mCrashes }, { "starts", mStarts },
           { "instance", mInstance },  { "orders", mOrders },
           { "load", Load() } };
}

void
EngineStandin::SetFaults(const json& aFaults)
{
  json faults = aFaults;
  bool restart = faults.value("restart", false);
  faults.erase("restart");
  Standin::SetFaults(faults);
  if (restart) {
    // After the answer to this request has left.
    Later(20, [this] { Crash("restart"); });
  }
}

void
EngineStandin::Handle(const HttpRequest& aRequest, const Reply& aReply)
{
  if (aRequest.mPath == "/v1/chat/completions" && aRequest.mMethod == "POST") {
    Accept(aRequest, aReply);
  } else if (aRequest.mPath == "/load") {
    Answer(aReply,
           200,
           mOptions.mLoadLagMs > 0 && !mSamples.empty() ? mSamples.front().mLoad
                                                        : Load());
  } else if (aRequest.mPath == "/cache-events") {
    AnswerCacheEvents(aRequest, aReply);
  } else if (aRequest.mPath == "/orders" && aRequest.mMethod == "POST") {
    TakeOrder(json::parse(aRequest.mBody), aReply);
  } else {
    Answer(aReply, 404, ErrorJson("not_found", "no such path"));
  }
}

void
EngineStandin::Accept(const HttpRequest& aRequest, const Reply& aReply)
{
  // 1. The request and the version it asks for.
  json body = json::parse(aRequest.mBody);
  Prompt prompt = ReadPrompt(body.at("messages"));
  Run run;
  run.mReply = aReply;
  run.mModel = body.at("model").get<std::string>();
  run.mVersion = HeaderValue(aRequest.mHeaders, "x-model-version");
  if (run.mVersion.empty()) {
    auto served = mServes.lower_bound(run.mModel + "@");
    if (served != mServes.end() && served->starts_with(run.mModel + "@")) {
      run.mVersion = served->substr(run.mModel.size() + 1);
    }
  }
  std::string requestId(HeaderValue(aRequest.mHeaders, "x-request-id"));
  run.mRecord = { { "request", requestId },
                  { "customer", HeaderValue(aRequest.mHeaders, "x-customer") },
                  { "model", run.mModel },
                  { "version", run.mVersion },
                  { "instance", mInstance },
                  { "arrived_ms", MonotonicMs() } };
  if (!mServes.contains(run.mModel + "@" + run.mVersion)) {
    run.mRecord["outcome"] = "refused";
    mEnded.push_back(run.mRecord);
    Answer(aReply, 404, ErrorJson("model_not_found", "version is not loaded"));
    return;
  }
  run.mInputTokens = prompt.mTokens;
  run.mMaxTokens = body.value("max_tokens", std::int64_t(32));
  run.mStream = body.value("stream", false);
  run.mMark = Sha256Hex(prompt.mText).substr(0, 8);
  std::string_view priority = HeaderValue(aRequest.mHeaders, "x-priority");
  std::from_chars(
    priority.data(), priority.data() + priority.size(), run.mPriority);
  run.mRecord["input_tokens"] = run.mInputTokens;
  run.mRecord["mark"] = run.mMark;
  run.mFirstTokenMs = mOptions.mFirstTokenMs +
                      mFault.value("slow_ms", TimeMs(0)) +
                      CachePrompt(prompt.mText) * mOptions.mPrefillMs / 1000;

  // 2. Its place in the queue.
  auto place = std::find_if(mRuns.begin(), mRuns.end(), [&](const Run& aOther) {
    return !aOther.mRunning && aOther.mPriority < run.mPriority;
  });
  mRuns.insert(place, std::move(run));

  // 3. What the engine cannot carry.
  bool cold = MonotonicMs() - mStartMs < mOptions.mColdMs;
  if (!mOptions.mPoison.empty() &&
      prompt.mText.find(mOptions.mPoison) != std::string::npos) {
    Crash("poison");
  } else if (cold && mRuns.size() >
                       static_cast<std::size_t>(mOptions.mColdConcurrency)) {
    Crash("cold");
  } else if (TokensHeld() > mOptions.mTokenCapacity) {
    Crash("memory");
  } else {
    StartWaiting();
  }
}

void
EngineStandin::StartWaiting()
{
  auto running = std::count_if(
    mRuns.begin(), mRuns.end(), [](const Run& aRun) { return aRun.mRunning; });
  for (auto& run : mRuns) {
    if (running >= mOptions.mSlots) {
      return;
    }
    if (!run.mRunning) {
      ++running;
      run.mRunning = true;
      run.mRecord["started_ms"] = MonotonicMs();
      run.mFirstTokenMs += MonotonicMs();
      run.mTimer = Timer::After(mLoop,
                                run.mFirstTokenMs - MonotonicMs(),
                                [this, &run] { Continue(run); });
    }
  }
}

// Produces the tokens that are due.
void
EngineStandin::Continue(Run& aRun)
{
  // 1. Callers that have gone, and the faults that hold or cut an answer.
  if (aRun.mReply->IsCallerDisconnected()) {
    EndRun(aRun, "cancelled");
    StartWaiting();
    return;
  }
  double elapsed = static_cast<double>(MonotonicMs() - aRun.mFirstTokenMs);
  std::int64_t due =
    mOptions.mTokenMs > 0
      ? 1 + static_cast<std::int64_t>(std::floor(elapsed / mOptions.mTokenMs))
      : aRun.mMaxTokens;
  due = std::min(due, aRun.mMaxTokens);
  bool hangs = mFault.value("hang", false);
  std::int64_t cut = mFault.value("cut_after_tokens", std::int64_t(-1));

  // 2. The tokens, as far as the caller's socket takes them.
  while (!hangs && aRun.mTokens < due &&
         aRun.mReply->PendingBytes() < kMaxPendingBytes) {
    if (cut >= 0 && aRun.mTokens >= cut) {
      EndRun(aRun, "cut");
      StartWaiting();
      return;
    }
    SendToken(aRun);
  }
  if (TokensHeld() > mOptions.mTokenCapacity) {
    Crash("memory");
    return;
  }
  if (aRun.mTokens >= aRun.mMaxTokens) {
    Complete(aRun);
    return;
  }
  bool full = aRun.mReply->PendingBytes() >= kMaxPendingBytes;
  TimeMs pause =
    full ? kFullPauseMs
         : std::max<TimeMs>(1, static_cast<TimeMs>(mOptions.mTokenMs));
  aRun.mTimer = Timer::After(mLoop, pause, [this, &aRun] { Continue(aRun); });
}

void
EngineStandin::SendToken(Run& aRun)
{
  if (aRun.mTokens == 0) {
    aRun.mRecord["first_token_ms"] = MonotonicMs();
  }
  std::string word = aRun.mMark + "." + std::to_string(aRun.mTokens) + " ";
  if (aRun.mTokens == 0 &&
      mFault.value("bad_version", std::string()) == aRun.mVersion) {
    word = "BAD " + word;
  }
  ++aRun.mTokens;
  if (!aRun.mStream) {
    aRun.mText += word;
    return;
  }
  if (!aRun.mReply->IsStarted()) {
    aRun.mReply->Start(200,
                       { { "Content-Type", "text/event-stream" },
                         { "x-model-version", aRun.mVersion } });
  }
  json event = {
    { "object", "chat.completion.chunk" },
    { "model", aRun.mModel },
    { "choices", { { { "index", 0 }, { "delta", { { "content", word } } } } } }
  };
  aRun.mReply->Chunk("data: " + event.dump() + "\n\n");
}

json
EngineStandin::Usage(const Run& aRun) const
{
  return { { "prompt_tokens", aRun.mInputTokens },
           { "completion_tokens", aRun.mTokens },
           { "total_tokens", aRun.mInputTokens + aRun.mTokens } };
}

void
EngineStandin::Complete(Run& aRun)
{
  Reply reply = aRun.mReply;
  if (aRun.mStream) {
    json event = { { "object", "chat.completion.chunk" },
                   { "model", aRun.mModel },
                   { "choices", json::array() },
                   { "usage", Usage(aRun) } };
    if (!reply->IsStarted()) {
      reply->Start(200, { { "Content-Type", "text/event-stream" } });
    }
    reply->Chunk("data: " + event.dump() + "\n\ndata: [DONE]\n\n");
    reply->End();
  } else {
    json answer = {
      { "object", "chat.completion" },
      { "model", aRun.mModel },
      { "choices",
        { { { "index", 0 },
            { "finish_reason", "stop" },
            { "message",
              { { "role", "assistant" }, { "content", aRun.mText } } } } } },
      { "usage", Usage(aRun) }
    };
    reply->Send(200,
                { { "Content-Type", "application/json" },
                  { "x-model-version", aRun.mVersion } },
                answer.dump());
  }
  EndRun(aRun, "completed");
  StartWaiting();
}

void
EngineStandin::EndRun(Run& aRun, const std::string& aOutcome)
{
  aRun.mRecord["outcome"] = aOutcome;
  aRun.mRecord["tokens"] = aRun.mTokens;
  aRun.mRecord["ended_ms"] = MonotonicMs();
  mEnded.push_back(aRun.mRecord);
  aRun.mReply->Abort();
  mRuns.remove_if([&](const Run& aOther) { return &aOther == &aRun; });
}

void
EngineStandin::DropAbandoned()
{
  std::vector<Run*> gone;
  for (auto& run : mRuns) {
    if (run.mReply->IsCallerDisconnected()) {
      gone.push_back(&run);
    }
  }
  for (Run* run : gone) {
    EndRun(*run, "cancelled");
  }
  if (!gone.empty()) {
    StartWaiting();
  }
}

std::int64_t
EngineStandin::TokensHeld() const
{
  std::int64_t held = 0;
  for (const auto& run : mRuns) {
    held += run.mInputTokens + run.mTokens;
  }
  return held;
}

json
EngineStandin::Load() const
{
  auto running = std::count_if(
    mRuns.begin(), mRuns.end(), [](const Run& aRun) { return aRun.mRunning; });
  return { { "instance", mInstance },
           { "uptime_ms", MonotonicMs() - mStartMs },
           { "running", running },
           { "queued", static_cast<std::int64_t>(mRuns.size()) - running },
           { "tokens_held", TokensHeld() },
           { "token_capacity", mOptions.mTokenCapacity },
           { "max_running", mOptions.mSlots },
           { "versions", mServes },
           { "warm", MonotonicMs() - mStartMs >= mOptions.mColdMs } };
}

std::int64_t
EngineStandin::CachePrompt(const std::string& aPrompt)
{
  // 1. The blocks that are not cached; a block is hashed with all before it.
  std::size_t size = kBlockTokens * kCharactersPerToken;
  std::size_t cached = 0;
  std::vector<std::uint64_t> stored;
  for (std::size_t end = size; end <= aPrompt.size(); end += size) {
    std::uint64_t block = Hash64(std::string_view(aPrompt).substr(0, end));
    auto found = std::find(mCache.begin(), mCache.end(), block);
    if (found == mCache.end()) {
      stored.push_back(block);
    } else {
      mCache.erase(found);
      cached += stored.empty() ? kBlockTokens : 0;
    }
    mCache.push_back(block);
  }

  // 2. The least recently used ones make room.
  std::vector<std::uint64_t> evicted;
  while (mCache.size() > mOptions.mCacheBlocks) {
    evicted.push_back(mCache.front());
    mCache.pop_front();
  }
  if (!stored.empty() || !evicted.empty()) {
    ++mCacheSequence;
    if (!TakeFault("drop_cache_events")) {
      mCacheEvents.push_back({ mCacheSequence,
                               MonotonicMs(),
                               { { "sequence", mCacheSequence },
                                 { "stored", stored },
                                 { "evicted", evicted } } });
    }
    if (mCacheEvents.size() > kKeptCacheEvents) {
      mCacheEvents.pop_front();
    }
  }
  std::size_t tokens = aPrompt.size() / kCharactersPerToken;
  return static_cast<std::int64_t>(tokens - std::min(tokens, cached));
}

void
EngineStandin::AnswerCacheEvents(const HttpRequest& aRequest,
                                 const Reply& aReply)
{
  std::int64_t after = 0;
  std::string_view query = aRequest.mQuery;
  if (query.starts_with("after=")) {
    query.remove_prefix(std::string_view("after=").size());
    std::from_chars(query.data(), query.data() + query.size(), after);
  }
  json events = json::array();
  for (const auto& event : mCacheEvents) {
    if (event.mSequence > after &&
        event.mAtMs <= MonotonicMs() - mOptions.mLoadLagMs) {
      events.push_back(event.mEvent);
    }
  }
  Answer(aReply, 200, { { "instance", mInstance }, { "events", events } });
}

void
EngineStandin::TakeOrder(const json& aOrder, const Reply& aReply)
{
  std::int64_t fencing = aOrder.at("fencing").get<std::int64_t>();
  std::string action = aOrder.at("action").get<std::string>();
  std::string target = aOrder.at("target").get<std::string>();
  bool known = action == "load" || action == "unload" || action == "role";
  bool accepted =
    known && (mOptions.mIgnoresFencing || fencing >= mHighestFencing);
  mOrders.push_back({ { "order", aOrder },
                      { "accepted", accepted },
                      { "at_ms", MonotonicMs() } });
  if (!known) {
    Answer(aReply, 400, ErrorJson("bad_order", "unknown action"));
    return;
  }
  if (!accepted) {
    Answer(aReply, 409, ErrorJson("fenced", "a higher fencing token was seen"));
    return;
  }
  mHighestFencing = std::max(mHighestFencing, fencing);
  if (action == "load") {
    mServes.insert(target);
  } else if (action == "unload") {
    mServes.erase(target);
  }
  Answer(aReply, 200, { { "action", action }, { "target", target } });
}

} // namespace savory
