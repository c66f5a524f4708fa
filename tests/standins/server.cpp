#include "server.h"

namespace savory {

using nlohmann::json;

Standin::Standin(EventLoop& aLoop)
  : mLoop(aLoop)
{
}

int
Standin::Listen(const std::string& aAddress, int aPort)
{
  mAddress = aAddress;
  mPort = aPort;
  StartServer();
  return mServer ? mPort : 0;
}

void
Standin::StartServer()
{
  HttpServerOptions options;
  options.mMaxBodyBytes = 64 * 1024 * 1024;
  options.mTimeoutS = 3600;
  mServer = std::make_unique<HttpServer>(
    mLoop,
    [this](HttpRequest aRequest, Reply aReply) { Dispatch(aRequest, aReply); },
    options);
  int port = mServer->Listen(mAddress, mPort);
  if (port == 0) {
    mServer.reset();
    return;
  }
  mPort = port;
}

void
Standin::DropConnections(TimeMs aDowntimeMs)
{
  // Deferred, because the caller may be a callback of the server that is
  // destroyed here.
  mReopenTimer = Timer::After(mLoop, 0, [this, aDowntimeMs] {
    mServer.reset();
    mReopenTimer = Timer::After(mLoop, aDowntimeMs, [this] { StartServer(); });
  });
}

void
Standin::Dispatch(const HttpRequest& aRequest, const Reply& aReply)
{
  try {
    if (aRequest.mMethod == "GET" && aRequest.mPath == "/seen") {
      Answer(aReply, 200, Observations());
    } else if (aRequest.mMethod == "POST" && aRequest.mPath == "/fault") {
      SetFaults(json::parse(aRequest.mBody));
      Answer(aReply, 200, mFaults);
    } else {
      Handle(aRequest, aReply);
    }
  } catch (const json::exception& error) {
    Answer(aReply, 400, { { "error", error.what() }, { "code", 3 } });
  }
}

void
Standin::SetFaults(const json& aFaults)
{
  mFaults.merge_patch(aFaults);
}

void
Standin::CallAfter(TimeMs aDelayMs, sigc::slot<void()> aSlot)
{
  std::int64_t id = ++mLastTimerId;
  mPendingTimers[id] = Timer::After(mLoop, aDelayMs, [this, id, aSlot] {
    mPendingTimers.erase(id);
    aSlot();
  });
}

bool
Standin::ConsumeFault(const std::string& aName)
{
  int remaining = mFaults.value(aName, 0);
  if (remaining <= 0) {
    return false;
  }
  mFaults[aName] = remaining - 1;
  return true;
}

void
Standin::Answer(const Reply& aReply, int aStatus, const json& aBody)
{
  aReply->Send(aStatus,
               { { "Content-Type", "application/json" } },
               aBody.dump(-1, ' ', false, json::error_handler_t::replace));
}

} // namespace savory
