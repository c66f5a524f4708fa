#include "engine.h"

#include "savory/core/identity.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace savory {

using nlohmann::json;

namespace {

constexpr std::size_t kCharactersPerToken = 4;
constexpr std::int64_t kTokensPerImage = 256;
constexpr std::size_t kBlockTokens = 64;
constexpr std::size_t kMaxCacheEvents = 1024;
constexpr std::size_t kMaxPendingBytes = 64 * 1024;
constexpr TimeMs kSampleIntervalMs = 10;

// Polling interval of a run whose caller does not read its answer. A thousand
// such runs polling each millisecond would use a whole processor.
constexpr TimeMs kBackpressurePauseMs = 20;

struct Prompt
{
  std::string mText;
  std::int64_t mTokens = 0;
};

// Joins the text of all messages and counts the tokens of text and images.
Prompt
ReadPrompt(const json& aMessages)
{
  Prompt prompt;
  std::int64_t images = 0;
  for (const auto& message : aMessages) {
    const json& content = message.at("content");
    if (content.is_string()) {
      prompt.mText += content.get<std::string>();
      continue;
    }
    for (const auto& part : content) {
      prompt.mText += part.value("text", std::string());
      images += part.value("type", std::string()) == "image_url" ? 1 : 0;
    }
  }
  prompt.mTokens =
    static_cast<std::int64_t>((prompt.mText.size() + kCharactersPerToken - 1) /
                              kCharactersPerToken) +
    images * kTokensPerImage;
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
  , mServedVersions(aOptions.mServedVersions)
  , mSampleTimer(Timer::Every(aLoop, kSampleIntervalMs, [this] {
    CancelAbandonedRuns();
    mLoadSamples.push_back({ MonotonicMs(), MakeLoadReport() });
    TimeMs oldest = MonotonicMs() - mOptions.mLoadLagMs;
    while (mLoadSamples.size() > 1 && mLoadSamples[1].mSampledMs <= oldest) {
      mLoadSamples.pop_front();
    }
  }))
{
  StartInstance();
}

void
EngineStandin::StartInstance()
{
  mStartMs = MonotonicMs();
  mInstance = "engine-" + std::to_string(MonotonicUs()) + "-" +
              std::to_string(++mStartCount);
  mServedVersions = mOptions.mServedVersions;
  mLoadSamples.clear();
  mCachedBlocks.clear();
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
  StartInstance();
  DropConnections(mOptions.mRestartMs);
}

json
EngineStandin::Observations()
{
  json runs = mEndedRuns;
  for (const auto& run : mRuns) {
    runs.push_back(run.mReport);
    runs.back()["outcome"] = run.mIsRunning ? "running" : "queued";
    runs.back()["tokens"] = run.mOutputTokens;
  }
  return { { "runs", runs },
           { "crashes", mCrashes.size() },
           { "crash_list", mCrashes },
           { "starts", mStartCount },
           { "instance", mInstance },
           { "orders", mOrders },
           { "load", MakeLoadReport() } };
}

void
EngineStandin::SetFaults(const json& aFaults)
{
  json faults = aFaults;
  bool restart = faults.value("restart", false);
  faults.erase("restart");
  Standin::SetFaults(faults);
  if (restart) {
    // After the answer to this request has been sent.
    CallAfter(20, [this] { Crash("restart"); });
  }
}

void
EngineStandin::Handle(const HttpRequest& aRequest, const Reply& aReply)
{
  if (aRequest.mPath == "/v1/chat/completions" && aRequest.mMethod == "POST") {
    AcceptRequest(aRequest, aReply);
  } else if (aRequest.mPath == "/load") {
    Answer(aReply,
           200,
           mOptions.mLoadLagMs > 0 && !mLoadSamples.empty()
             ? mLoadSamples.front().mLoad
             : MakeLoadReport());
  } else if (aRequest.mPath == "/cache-events") {
    AnswerCacheEvents(aRequest, aReply);
  } else if (aRequest.mPath == "/orders" && aRequest.mMethod == "POST") {
    ApplyOrder(json::parse(aRequest.mBody), aReply);
  } else {
    Answer(aReply, 404, ErrorJson("not_found", "no such path"));
  }
}

void
EngineStandin::AcceptRequest(const HttpRequest& aRequest, const Reply& aReply)
{
  // 1. Parse the request and resolve its version.
  json body = json::parse(aRequest.mBody);
  Prompt prompt = ReadPrompt(body.at("messages"));
  Run run;
  run.mReply = aReply;
  run.mModel = body.at("model").get<std::string>();
  run.mVersion = HeaderValue(aRequest.mHeaders, "x-model-version");
  if (run.mVersion.empty()) {
    auto served = mServedVersions.lower_bound(run.mModel + "@");
    if (served != mServedVersions.end() &&
        served->starts_with(run.mModel + "@")) {
      run.mVersion = served->substr(run.mModel.size() + 1);
    }
  }
  std::string requestId(HeaderValue(aRequest.mHeaders, "x-request-id"));
  run.mReport = { { "request", requestId },
                  { "customer", HeaderValue(aRequest.mHeaders, "x-customer") },
                  { "model", run.mModel },
                  { "version", run.mVersion },
                  { "instance", mInstance },
                  { "arrived_ms", MonotonicMs() } };
  if (!mServedVersions.contains(run.mModel + "@" + run.mVersion)) {
    run.mReport["outcome"] = "refused";
    mEndedRuns.push_back(run.mReport);
    Answer(aReply, 404, ErrorJson("model_not_found", "version is not loaded"));
    return;
  }
  run.mInputTokens = prompt.mTokens;
  run.mMaxTokens = body.value("max_tokens", std::int64_t(32));
  run.mStream = body.value("stream", false);
  run.mPromptHash = Sha256Hex(prompt.mText).substr(0, 8);
  std::string_view priority = HeaderValue(aRequest.mHeaders, "x-priority");
  std::from_chars(
    priority.data(), priority.data() + priority.size(), run.mPriority);
  run.mReport["input_tokens"] = run.mInputTokens;
  run.mReport["mark"] = run.mPromptHash;
  run.mFirstTokenMs =
    mOptions.mFirstTokenMs + mFaults.value("slow_ms", TimeMs(0)) +
    CachePrompt(prompt.mText) * mOptions.mPrefillMsPerThousandTokens / 1000;

  // 2. Insert it into the queue by priority.
  auto place = std::find_if(mRuns.begin(), mRuns.end(), [&](const Run& aOther) {
    return !aOther.mIsRunning && aOther.mPriority < run.mPriority;
  });
  mRuns.insert(place, std::move(run));

  // 3. Crash on a request beyond the limits of the engine.
  bool cold = MonotonicMs() - mStartMs < mOptions.mColdStartMs;
  if (!mOptions.mPoisonText.empty() &&
      prompt.mText.find(mOptions.mPoisonText) != std::string::npos) {
    Crash("poison");
  } else if (cold && mRuns.size() >
                       static_cast<std::size_t>(mOptions.mColdConcurrency)) {
    Crash("cold");
  } else if (HeldTokens() > mOptions.mTokenCapacity) {
    Crash("memory");
  } else {
    StartQueuedRuns();
  }
}

void
EngineStandin::StartQueuedRuns()
{
  auto running = std::count_if(mRuns.begin(), mRuns.end(), [](const Run& aRun) {
    return aRun.mIsRunning;
  });
  for (auto& run : mRuns) {
    if (running >= mOptions.mMaxRunning) {
      return;
    }
    if (!run.mIsRunning) {
      ++running;
      run.mIsRunning = true;
      run.mReport["started_ms"] = MonotonicMs();
      run.mFirstTokenMs += MonotonicMs();
      run.mTimer = Timer::After(mLoop,
                                run.mFirstTokenMs - MonotonicMs(),
                                [this, &run] { ProduceTokens(run); });
    }
  }
}

// Sends the tokens that are due by now.
void
EngineStandin::ProduceTokens(Run& aRun)
{
  // 1. A disconnected caller, and the faults that stall or cut an answer.
  if (aRun.mReply->IsCallerDisconnected()) {
    EndRun(aRun, "cancelled");
    StartQueuedRuns();
    return;
  }
  double elapsed = static_cast<double>(MonotonicMs() - aRun.mFirstTokenMs);
  std::int64_t due = mOptions.mMsPerToken > 0
                       ? 1 + static_cast<std::int64_t>(
                               std::floor(elapsed / mOptions.mMsPerToken))
                       : aRun.mMaxTokens;
  due = std::min(due, aRun.mMaxTokens);
  bool hangs = mFaults.value("hang", false);
  std::int64_t cut = mFaults.value("cut_after_tokens", std::int64_t(-1));

  // 2. Send tokens until the output buffer is full.
  while (!hangs && aRun.mOutputTokens < due &&
         aRun.mReply->PendingBytes() < kMaxPendingBytes) {
    if (cut >= 0 && aRun.mOutputTokens >= cut) {
      EndRun(aRun, "cut");
      StartQueuedRuns();
      return;
    }
    SendToken(aRun);
  }
  if (HeldTokens() > mOptions.mTokenCapacity) {
    Crash("memory");
    return;
  }
  if (aRun.mOutputTokens >= aRun.mMaxTokens) {
    SendCompletion(aRun);
    return;
  }
  bool full = aRun.mReply->PendingBytes() >= kMaxPendingBytes;
  TimeMs pause =
    full ? kBackpressurePauseMs
         : std::max<TimeMs>(1, static_cast<TimeMs>(mOptions.mMsPerToken));
  aRun.mTimer =
    Timer::After(mLoop, pause, [this, &aRun] { ProduceTokens(aRun); });
}

void
EngineStandin::SendToken(Run& aRun)
{
  if (aRun.mOutputTokens == 0) {
    aRun.mReport["first_token_ms"] = MonotonicMs();
  }
  std::string word =
    aRun.mPromptHash + "." + std::to_string(aRun.mOutputTokens) + " ";
  if (aRun.mOutputTokens == 0 &&
      mFaults.value("bad_version", std::string()) == aRun.mVersion) {
    word = "BAD " + word;
  }
  ++aRun.mOutputTokens;
  if (!aRun.mStream) {
    aRun.mOutputText += word;
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
EngineStandin::MakeUsage(const Run& aRun) const
{
  return { { "prompt_tokens", aRun.mInputTokens },
           { "completion_tokens", aRun.mOutputTokens },
           { "total_tokens", aRun.mInputTokens + aRun.mOutputTokens } };
}

void
EngineStandin::SendCompletion(Run& aRun)
{
  Reply reply = aRun.mReply;
  if (aRun.mStream) {
    json event = { { "object", "chat.completion.chunk" },
                   { "model", aRun.mModel },
                   { "choices", json::array() },
                   { "usage", MakeUsage(aRun) } };
    if (!reply->IsStarted()) {
      reply->Start(200, { { "Content-Type", "text/event-stream" } });
    }
    reply->Chunk("data: " + event.dump() + "\n\ndata: [DONE]\n\n");
    reply->End();
  } else {
    json answer = { { "object", "chat.completion" },
                    { "model", aRun.mModel },
                    { "choices",
                      { { { "index", 0 },
                          { "finish_reason", "stop" },
                          { "message",
                            { { "role", "assistant" },
                              { "content", aRun.mOutputText } } } } } },
                    { "usage", MakeUsage(aRun) } };
    reply->Send(200,
                { { "Content-Type", "application/json" },
                  { "x-model-version", aRun.mVersion } },
                answer.dump());
  }
  EndRun(aRun, "completed");
  StartQueuedRuns();
}

void
EngineStandin::EndRun(Run& aRun, const std::string& aOutcome)
{
  aRun.mReport["outcome"] = aOutcome;
  aRun.mReport["tokens"] = aRun.mOutputTokens;
  aRun.mReport["ended_ms"] = MonotonicMs();
  mEndedRuns.push_back(aRun.mReport);
  aRun.mReply->Abort();
  mRuns.remove_if([&](const Run& aOther) { return &aOther == &aRun; });
}

void
EngineStandin::CancelAbandonedRuns()
{
  std::vector<Run*> abandoned;
  for (auto& run : mRuns) {
    if (run.mReply->IsCallerDisconnected()) {
      abandoned.push_back(&run);
    }
  }
  for (Run* run : abandoned) {
    EndRun(*run, "cancelled");
  }
  if (!abandoned.empty()) {
    StartQueuedRuns();
  }
}

std::int64_t
EngineStandin::HeldTokens() const
{
  std::int64_t held = 0;
  for (const auto& run : mRuns) {
    held += run.mInputTokens + run.mOutputTokens;
  }
  return held;
}

json
EngineStandin::MakeLoadReport() const
{
  auto running = std::count_if(mRuns.begin(), mRuns.end(), [](const Run& aRun) {
    return aRun.mIsRunning;
  });
  return { { "instance", mInstance },
           { "uptime_ms", MonotonicMs() - mStartMs },
           { "running", running },
           { "queued", static_cast<std::int64_t>(mRuns.size()) - running },
           { "tokens_held", HeldTokens() },
           { "token_capacity", mOptions.mTokenCapacity },
           { "max_running", mOptions.mMaxRunning },
           { "versions", mServedVersions },
           { "warm", MonotonicMs() - mStartMs >= mOptions.mColdStartMs } };
}

std::int64_t
EngineStandin::CachePrompt(const std::string& aPrompt)
{
  // 1. Find the uncached blocks; the hash of a block covers the prefix up to
  // its end.
  std::size_t size = kBlockTokens * kCharactersPerToken;
  std::size_t cached = 0;
  std::vector<std::uint64_t> stored;
  for (std::size_t end = size; end <= aPrompt.size(); end += size) {
    std::uint64_t block = Hash64(std::string_view(aPrompt).substr(0, end));
    auto found = std::find(mCachedBlocks.begin(), mCachedBlocks.end(), block);
    if (found == mCachedBlocks.end()) {
      stored.push_back(block);
    } else {
      mCachedBlocks.erase(found);
      cached += stored.empty() ? kBlockTokens : 0;
    }
    mCachedBlocks.push_back(block);
  }

  // 2. Evict the least recently used blocks.
  std::vector<std::uint64_t> evicted;
  while (mCachedBlocks.size() > mOptions.mMaxCachedBlocks) {
    evicted.push_back(mCachedBlocks.front());
    mCachedBlocks.pop_front();
  }
  if (!stored.empty() || !evicted.empty()) {
    ++mCacheSequence;
    if (!ConsumeFault("drop_cache_events")) {
      mCacheEvents.push_back({ mCacheSequence,
                               MonotonicMs(),
                               { { "sequence", mCacheSequence },
                                 { "stored", stored },
                                 { "evicted", evicted } } });
    }
    if (mCacheEvents.size() > kMaxCacheEvents) {
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
        event.mCreatedMs <= MonotonicMs() - mOptions.mLoadLagMs) {
      events.push_back(event.mEvent);
    }
  }
  Answer(aReply, 200, { { "instance", mInstance }, { "events", events } });
}

void
EngineStandin::ApplyOrder(const json& aOrder, const Reply& aReply)
{
  std::int64_t fencing = aOrder.at("fencing").get<std::int64_t>();
  std::string action = aOrder.at("action").get<std::string>();
  std::string target = aOrder.at("target").get<std::string>();
  bool known = action == "load" || action == "unload" || action == "role";
  bool accepted =
    known && (mOptions.mIgnoresFencing || fencing >= mHighestFencingToken);
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
  mHighestFencingToken = std::max(mHighestFencingToken, fencing);
  if (action == "load") {
    mServedVersions.insert(target);
  } else if (action == "unload") {
    mServedVersions.erase(target);
  }
  Answer(aReply, 200, { { "action", action }, { "target", target } });
}

} // namespace savory
