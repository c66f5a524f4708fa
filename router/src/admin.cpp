#include "admin.h"

#include "caller_api.h"
#include "savory/core/identity.h"

#include <nlohmann/json.hpp>

namespace savory {

namespace {

constexpr std::string_view kExplainPrefix = "/explain/";

void
SendJson(HttpReply& aReply, const nlohmann::json& aDocument)
{
  aReply.Send(
    200,
    { { "Content-Type", "application/json" } },
    aDocument.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) +
      "\n");
}

} // namespace

Admin::Admin(Node& aNode, AdminHandlers aHandlers)
  : mNode(aNode)
  , mHandlers(std::move(aHandlers))
{
}

bool
Admin::Listen()
{
  HttpServerOptions options;
  options.mMaxHeapBytes = mNode.mSettings.mMemoryMb * 1024 * 1024 / 2;
  mServer = std::make_unique<HttpServer>(
    mNode.mLoop,
    [this](const HttpRequest& aRequest,
           const std::shared_ptr<HttpReply>& aReply) {
      OnRequest(aRequest, *aReply);
    },
    options);
  Endpoint& admin = mNode.mSettings.mAdmin;
  admin.mPort = mServer->Listen(admin.mAddress, admin.mPort);
  return admin.mPort != 0;
}

void
Admin::OnRequest(const HttpRequest& aRequest, HttpReply& aReply)
{
  // 1. Paths that need no token.
  const std::string& path = aRequest.mPath;
  if (path == "/healthz") {
    bool ready = mNode.mConfig && !mNode.mDraining;
    aReply.Send(ready ? 200 : 503, {}, ready ? "ok\n" : "not ready\n");
    return;
  }
  if (path == "/metrics") {
    aReply.Send(200,
                { { "Content-Type", "text/plain; version=0.0.4" } },
                mHandlers.mMetrics());
    return;
  }

  // 2. Check the operators' token. Without a configuration no token is valid.
  std::string_view token =
    HeaderValue(aRequest.mHeaders, "x-savory-operator-token");
  if (!mNode.mConfig || !IsOperatorToken(*mNode.mConfig, token)) {
    SendError(aReply,
              { ErrorCode::Unauthorized,
                "x-savory-operator-token is missing or wrong",
                ExecutionState::NotRun,
                0 },
              "");
    return;
  }

  // 3. Paths that need the token.
  if (path == "/state" && aRequest.mMethod == "GET") {
    SendJson(aReply, mHandlers.mState());
  } else if (path == "/refresh" && aRequest.mMethod == "POST") {
    mHandlers.mRefresh();
    aReply.Send(202, {}, "");
  } else if (path.starts_with(kExplainPrefix)) {
    auto decisions = mHandlers.mExplain(path.substr(kExplainPrefix.size()));
    if (decisions.is_null()) {
      aReply.Send(404, {}, "no such request here\n");
    } else {
      SendJson(aReply, decisions);
    }
  } else {
    aReply.Send(404, {}, "unknown path\n");
  }
}

} // namespace savory
