#include "engine.h"
#include "fixture.h"
#include "hosts.h"
#include "rating.h"
#include "savory/platform/backend.h"
#include "savory/platform/host_list.h"
#include "savory/platform/rating.h"
#include "savory/platform/weight_store.h"
#include "service.h"
#include "weights.h"

using namespace savory;
using nlohmann::json;

namespace {

struct BackendFixture : LoopFixture
{
  template<class Server, class... Options>
  Endpoint Serve(std::unique_ptr<Server>& aServer, const Options&... aOptions)
  {
    aServer = std::make_unique<Server>(mLoop, aOptions...);
    return { "127.0.0.1", aServer->Listen("127.0.0.1", 0) };
  }

  HttpCall MakeChatCall(const Endpoint& aEngine,
                        const std::string& aPrompt,
                        bool aStream,
                        int aTokens = 8)
  {
    HttpCall call;
    call.mServer = aEngine;
    call.mMethod = "POST";
    call.mTarget = "/v1/chat/completions";
    call.mHeaders = { { "x-model-version", "v1" } };
    call.mBody =
      json(
        { { "model", "m" },
          { "stream", aStream },
          { "max_tokens", aTokens },
          { "messages", { { { "role", "user" }, { "content", aPrompt } } } } })
        .dump();
    return call;
  }

  template<class T, class Start>
  tl::expected<T, BackendError> Ask(Start aStart)
  {
    return Wait<tl::expected<T, BackendError>>(aStart);
  }
};

EngineOptions
FastEngine()
{
  EngineOptions options;
  options.mServedVersions = { "m@v1" };
  options.mFirstTokenMs = 5;
  options.mRestartMs = 20;
  return options;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(backend, BackendFixture)

// Guards against token usage that differs from what the engine counted, in
// streamed and non-streamed answers.
BOOST_AUTO_TEST_CASE(engine_answers_with_usage)
{
  std::unique_ptr<EngineStandin> engine;
  Endpoint address = Serve(engine, FastEngine());
  for (bool stream : { false, true }) {
    auto result = Call(MakeChatCall(address, "12345678", stream));
    BOOST_REQUIRE(result.has_value());
    UsageReader reader;
    reader.mStream = stream;
    ReadUsage(reader, result->mBody);
    FinishUsage(reader);
    BOOST_TEST(reader.mUsage.mInputTokens == 2);
    BOOST_TEST(reader.mUsage.mOutputTokens == 8);
    BOOST_TEST(reader.mSawEnd == stream);
  }
  auto load = Ask<BackendLoad>(
    [&](auto aCallback) { FetchBackendLoad(mHttp, address, aCallback); });
  BOOST_TEST(load->mRunning == 0);
  BOOST_TEST((load->mVersions == std::vector<std::string>{ "m@v1" }));
}

// Guards against an engine fault that goes unnoticed, or that the stand-in does
// not reproduce.
BOOST_AUTO_TEST_CASE(engine_faults_are_detected)
{
  struct Row
  {
    const char* mName;
    json mFault;
    std::string mPrompt;
    int mTokens;
    bool mAnswered;
    std::string mOutcome;
    std::size_t mCrashes;
  };
  EngineOptions options = FastEngine();
  options.mPoisonText = "POISON";
  options.mTokenCapacity = 100;
  const Row rows[] = {
    { "none", {}, "x", 8, true, "completed", 0 },
    { "cut", { { "cut_after_tokens", 3 } }, "x", 8, false, "cut", 0 },
    { "bad version",
      { { "bad_version", "v1" } },
      "x",
      8,
      true,
      "completed",
      0 },
    { "poison", {}, "a POISON", 8, false, "crashed", 1 },
    { "prompt over memory", {}, std::string(404, 'x'), 8, false, "crashed", 1 },
    { "answer over memory",
      {},
      std::string(360, 'x'),
      50,
      false,
      "crashed",
      1 },
  };
  for (const auto& row : rows) {
    BOOST_TEST_CONTEXT(row.mName)
    {
      std::unique_ptr<EngineStandin> engine;
      Endpoint address = Serve(engine, options);
      if (row.mFault.is_object()) {
        engine->SetFaults(row.mFault);
      }
      std::string before = engine->Observations()["instance"];
      auto result = Call(MakeChatCall(address, row.mPrompt, true, row.mTokens));
      BOOST_TEST(result.has_value() == row.mAnswered);
      json seen = engine->Observations();
      BOOST_TEST(seen["runs"].back()["outcome"] == row.mOutcome);
      BOOST_TEST(seen["crashes"] == row.mCrashes);
      BOOST_TEST((seen["instance"] != before) == (row.mCrashes > 0));
      RunFor(60);
      BOOST_TEST(Call(MakeChatCall(address, "again", false, 1)).has_value());
    }
  }
}

// Guards against a cold stand-in engine that survives more concurrent requests
// than its limit, and against a load report that keeps the old instance after a
// restart.
BOOST_AUTO_TEST_CASE(cold_engine_crashes_under_load)
{
  EngineOptions options = FastEngine();
  options.mColdStartMs = 60000;
  options.mColdConcurrency = 2;
  std::unique_ptr<EngineStandin> engine;
  Endpoint address = Serve(engine, options);
  auto load = [&] {
    return *Ask<BackendLoad>(
      [&](auto aCallback) { FetchBackendLoad(mHttp, address, aCallback); });
  };
  BackendLoad before = load();
  BOOST_TEST(!before.mWarm);
  int answered = 0;
  int broken = 0;
  for (int count : { 2, 3 }) {
    for (int index = 0; index < count; ++index) {
      mHttp.Fetch(
        MakeChatCall(address, "x", false),
        [&](const HttpResult& aResult) { ++(aResult ? answered : broken); });
    }
    int expected = count == 2 ? 2 : 5;
    BOOST_REQUIRE(RunUntil([&] { return answered + broken == expected; }));
  }
  BOOST_TEST(answered == 2);
  BOOST_TEST(broken == 3);
  RunFor(60);
  BOOST_TEST(load().mInstance != before.mInstance);
}

// Guards against an engine that accepts an order with an old fencing token, and
// against a refusal that is taken for success.
BOOST_AUTO_TEST_CASE(orders_are_fenced)
{
  for (bool ignores : { false, true }) {
    EngineOptions options = FastEngine();
    options.mIgnoresFencing = ignores;
    std::unique_ptr<EngineStandin> engine;
    Endpoint address = Serve(engine, options);
    auto send = [&](const BackendOrder& aOrder) {
      return Ask<bool>(
        [&](auto aCallback) { SendOrder(mHttp, address, aOrder, aCallback); });
    };
    BOOST_TEST(*send({ "load", "m@v2", 5 }));
    BOOST_TEST(*send({ "unload", "m@v2", 4 }) == ignores);
    BOOST_TEST((send({ "dance", "m@v2", 6 }).error().mCode ==
                BackendErrorCode::Refused));
    engine.reset();
    // A call may be Unknown until the client sees that its persistent
    // connection was closed.
    RunFor(20);
    BOOST_TEST((send({ "load", "m@v3", 7 }).error().mCode ==
                BackendErrorCode::Unreachable));
  }
}

// Guards against lost cache events that are not reported as a gap.
BOOST_AUTO_TEST_CASE(cache_events_report_gaps)
{
  std::unique_ptr<EngineStandin> engine;
  Endpoint address = Serve(engine, FastEngine());
  auto fetch = [&](std::int64_t aAfter) {
    return *Ask<CacheEvents>([&](auto aCallback) {
      FetchCacheEvents(mHttp, address, aAfter, aCallback);
    });
  };
  BOOST_REQUIRE(
    Call(MakeChatCall(address, std::string(512, 'a'), false)).has_value());
  CacheEvents first = fetch(0);
  BOOST_TEST(first.mStored.size() == 2u);
  BOOST_TEST(!first.mHasGap);
  engine->SetFaults({ { "drop_cache_events", 1 } });
  for (char letter : { 'b', 'c' }) {
    BOOST_REQUIRE(
      Call(MakeChatCall(address, std::string(256, letter), false)).has_value());
  }
  CacheEvents next = fetch(first.mLastSequence);
  BOOST_TEST(next.mHasGap);
  BOOST_TEST(next.mStored.size() == 1u);
  BOOST_TEST(fetch(next.mLastSequence).mStored.empty());
}

// Guards against a run of a service that is not counted, in particular one
// whose answer was cut off after the work was done.
BOOST_AUTO_TEST_CASE(service_counts_runs_per_key)
{
  std::unique_ptr<ServiceStandin> service;
  Endpoint address = Serve(service, ServiceOptions{ .mWorkMs = 5 });
  HttpCall call;
  call.mServer = address;
  call.mMethod = "POST";
  call.mTarget = "/bookings";
  call.mHeaders = { { "Idempotency-Key", "k" } };
  call.mTimeoutMs = 300;
  const std::pair<json, bool> rows[] = {
    { { { "cut", 1 } }, false },
    { { { "cut", 0 } }, true },
    { { { "hang", true } }, false },
    { { { "hang", false }, { "slow_ms", 1000 } }, false },
    { { { "slow_ms", 0 } }, true },
  };
  std::size_t runs = 0;
  for (const auto& [fault, answered] : rows) {
    service->SetFaults(fault);
    BOOST_TEST(Call(call).has_value() == answered);
    BOOST_TEST(service->Observations()["by_key"]["k"].size() == ++runs);
  }
  auto load = Ask<BackendLoad>(
    [&](auto aCallback) { FetchBackendLoad(mHttp, address, aCallback); });
  service->SetFaults({ { "crash", true } });
  RunFor(150);
  auto after = Ask<BackendLoad>(
    [&](auto aCallback) { FetchBackendLoad(mHttp, address, aCallback); });
  BOOST_TEST(load->mInstance != after->mInstance);
}

// Guards against a stand-in host list that does not lag, and against an
// unreachable server that is taken for an empty list.
BOOST_AUTO_TEST_CASE(host_list_lags_and_fails)
{
  std::unique_ptr<HostsStandin> hosts;
  Endpoint address = Serve(hosts);
  auto count = [&]() -> int {
    auto list = Wait<tl::expected<std::vector<Host>, HostListError>>(
      [&](auto aCallback) { FetchHostList(mHttp, address, aCallback); });
    return list ? static_cast<int>(list->size()) : -1;
  };
  BOOST_TEST(count() == 0);
  HttpCall put;
  put.mServer = address;
  put.mMethod = "PUT";
  put.mTarget = "/hosts";
  put.mBody = R"({"hosts":[{"name":"h","role":"entry","zone":"z",
    "inner":"127.0.0.1:1","admin":"127.0.0.1:2","state":"leaving"}]})";
  hosts->SetFaults({ { "lag_ms", 200 } });
  BOOST_REQUIRE(Call(put).has_value());
  BOOST_TEST(count() == 0);
  RunFor(250);
  BOOST_TEST(count() == 1);
  hosts->SetFaults({ { "down", true } });
  BOOST_TEST(count() == -1);
}

// Guards against a pending rating that is taken for a score, and against scores
// that do not depend on version and class.
BOOST_AUTO_TEST_CASE(ratings_are_delayed_and_follow_the_score_table)
{
  std::unique_ptr<RatingStandin> rating;
  RatingOptions options;
  options.mPassRates = { { "m@v1", 1 }, { "m@v1/hard", 0 } };
  options.mLagMs = 100;
  Endpoint address = Serve(rating, options);
  using Result = tl::expected<Rating, RatingError>;
  auto fetch = [&](const std::string& aId) {
    return Wait<Result>(
      [&](auto aCallback) { FetchRating(mHttp, address, aId, aCallback); });
  };
  auto request = [&](const RatingRequest& aRequest) {
    return Wait<Result>([&](auto aCallback) {
      RequestRating(mHttp, address, aRequest, 1000, aCallback);
    });
  };
  BOOST_TEST(request({ "a/1 %", "m", "v1", "easy", "x" })->mPending);
  BOOST_TEST(request({ "b", "m", "v1", "class:hard one", "x" })->mPending);
  BOOST_TEST(request({ "c", "m", "v1", "easy", "BAD x" })->mPending);
  BOOST_TEST(fetch("a/1 %")->mPending);
  RunFor(150);
  BOOST_TEST(fetch("a/1 %")->mScore == 1);
  BOOST_TEST(fetch("b")->mScore == 0);
  BOOST_TEST(fetch("c")->mScore == 0);
  BOOST_TEST(!fetch("none").has_value());
  rating->SetFaults({ { "down", true } });
  BOOST_TEST(!fetch("b").has_value());
}

// Guards against truncated weights that are taken for complete ones, and
// against a rate limit that is not reported.
BOOST_AUTO_TEST_CASE(weight_reads_are_rate_limited)
{
  std::unique_ptr<WeightsStandin> weights;
  WeightsOptions options;
  options.mWeightBytes = { { "m", 1000000 } };
  options.mBytesPerS = 10000000;
  options.mMaxConcurrentReads = 1;
  Endpoint address = Serve(weights, options);
  using Result = tl::expected<std::int64_t, WeightError>;
  auto read = [&](const std::string& aName) {
    return Wait<Result>([&](auto aCallback) {
      ReadWeights(
        mHttp, address, aName, [](std::string_view) {}, aCallback);
    });
  };
  std::optional<Result> slow;
  ReadWeights(
    mHttp,
    address,
    "m",
    [](std::string_view) {},
    [&](const Result& aResult) { slow = aResult; });
  RunFor(30);
  auto limited = read("m");
  BOOST_TEST((limited.error().mCode == WeightErrorCode::Limited));
  BOOST_TEST(limited.error().mRetryAfterMs == 1000);
  BOOST_TEST(RunUntil([&] { return slow.has_value(); }));
  BOOST_TEST(**slow == 1000000);
  BOOST_TEST((read("none").error().mCode == WeightErrorCode::Missing));
  weights->SetFaults({ { "cut_after_bytes", 500000 } });
  BOOST_TEST((read("m").error().mCode == WeightErrorCode::Broken));
}

BOOST_AUTO_TEST_SUITE_END()
