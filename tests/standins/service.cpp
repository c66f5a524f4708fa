#include "service.h"

namespace savory {

using nlohmann::json;

ServiceStandin::ServiceStandin(EventLoop& aLoop, const ServiceOptions& aOptions)
  : Standin(aLoop)
  , mOptions(aOptions)
{
  StartInstance();
}

void
ServiceStandin::StartInstance()
{
  mStartMs = MonotonicMs();
  mInstance = "service-" + std::to_string(MonotonicUs()) + "-" +
              std::to_string(++mStartCount);
  mRunning = 0;
}

json
ServiceStandin::Observations()
{
  return { { "runs", mRunCount },
           { "by_key", mRunsByKey },
           { "starts", mStartCount },
           { "instance", mInstance } };
}

void
ServiceStandin::SetFaults(const json& aFaults)
{
  json faults = aFaults;
  bool crash = faults.value("crash", false);
  faults.erase("crash");
  Standin::SetFaults(faults);
  if (crash) {
    // After the answer to this request has been sent.
    CallAfter(20, [this] {
      StartInstance();
      DropConnections(50);
    });
  }
}

void
ServiceStandin::Handle(const HttpRequest& aRequest, const Reply& aReply)
{
  // 1. Answer load reports and refusals.
  if (aRequest.mMethod == "GET" && aRequest.mPath == "/load") {
    Answer(aReply,
           200,
           { { "instance", mInstance },
             { "uptime_ms", MonotonicMs() - mStartMs },
             { "running", mRunning },
             { "queued", 0 },
             { "tokens_held", 0 },
             { "token_capacity", 0 },
             { "max_running", mOptions.mMaxRunning },
             { "versions", json::array() },
             { "warm", true } });
    return;
  }
  if (int status = mFaults.value("refuse_status", 0); status != 0) {
    Answer(aReply, status, { { "error", "refused" } });
    return;
  }

  // 2. Record the run, which takes effect at its start, and delay its answer.
  int run = ++mRunCount;
  ++mRunning;
  mRunsByKey[std::string(HeaderValue(aRequest.mHeaders, "idempotency-key"))]
    .push_back({ { "run", run },
                 { "method", aRequest.mMethod },
                 { "path", aRequest.mPath },
                 { "at_ms", MonotonicMs() },
                 { "instance", mInstance } });
  if (mFaults.value("hang", false)) {
    // Keeps the connection open until the caller or this process closes it.
    aReply->mOnClosed = [this, aReply] { --mRunning; };
    return;
  }
  CallAfter(
    mOptions.mWorkMs + mFaults.value("slow_ms", TimeMs(0)),
    [this, run, aRequest, aReply] { CompleteRun(run, aRequest, aReply); });
}

void
ServiceStandin::CompleteRun(int aRun,
                            const HttpRequest& aRequest,
                            const Reply& aReply)
{
  mRunning -= mRunning > 0 ? 1 : 0;
  if (ConsumeFault("cut")) {
    aReply->Abort();
    return;
  }
  Answer(aReply,
         200,
         { { "run", aRun },
           { "instance", mInstance },
           { "method", aRequest.mMethod },
           { "path", aRequest.mPath },
           { "query", aRequest.mQuery },
           { "key", HeaderValue(aRequest.mHeaders, "idempotency-key") },
           { "body", aRequest.mBody } });
}

} // namespace savory
