#include "entry.h"

#include "savory/net/log.h"
#include "savory/platform/store.h"

#include <nlohmann/json.hpp>

namespace savory {

namespace {

constexpr std::string_view kModelPath = "/v1/chat/completions";

} // namespace

Entry::Entry(Node& aNode)
  : mNode(aNode)
  , mLinks(aNode)
  , mStore(aNode.mHttp, aNode.mSettings.mStore)
  , mFleet(aNode, mLinks, mStore)
  , mAdmin(aNode,
           { .mState = [this] { return State(); },
             .mMetrics = [] { return std::string(); },
             .mExplain = [](const std::string&) { return nlohmann::json(); },
             .mRefresh = [this] { mFleet.LookAtHead(); } })
{
}

bool
Entry::Listen()
{
  HttpServerOptions options;
  // evhttp cuts the connection of a body beyond its own limit, often before the
  // caller reads the answer; a wider limit leaves room for an answer that says
  // what was wrong.
  options.mMaxBodyBytes = mNode.mSettings.mMaxBodyBytes * 4;
  mCallers = std::make_unique<HttpServer>(
    mNode.mLoop,
    [this](const HttpRequest& aRequest,
           const std::shared_ptr<HttpReply>& aReply) {
      OnCaller(aRequest, aReply);
    },
    options);
  Endpoint& listen = mNode.mSettings.mListen;
  listen.mPort = mCallers->Listen(listen.mAddress, listen.mPort);
  mInner = std::make_unique<InnerListener>(
    mNode.mLoop, [this](const std::shared_ptr<InnerStream>& aStream) {
      OnPeerStream(aStream);
    });
  Endpoint& inner = mNode.mSettings.mInner;
  inner.mPort = mInner->Listen(inner.mAddress, inner.mPort);
  if (listen.mPort == 0 || inner.mPort == 0 || !mAdmin.Listen()) {
    return false;
  }
  mFleet.Start();
  return true;
}

// Serves a stream that another process of the system opened.
void
Entry::OnPeerStream(const std::shared_ptr<InnerStream>& aStream)
{
  if (!mFleet.Serve(aStream)) {
    aStream->Cancel();
  }
}

nlohmann::json
Entry::State() const
{
  nlohmann::json agents = nlohmann::json::array();
  for (const auto& [address, link] : mLinks.All()) {
    agents.push_back({ { "address", address },
                       { "host", link.mHost.mName },
                       { "zone", link.mHost.mZone },
                       { "connected", link.mConnection != nullptr },
                       { "revision", link.mReport.mFrom.mRevision },
                       { "own", link.mOwn } });
  }
  return { { "host", mNode.mSettings.mHost },
           { "role", "entry" },
           { "incarnation", mNode.mIncarnation },
           { "revision", SenderOf(mNode).mRevision },
           { "draining", mNode.mDraining },
           { "calls", mCalls.size() },
           { "agents", agents },
           { "fleet", mFleet.State() } };
}

void
Entry::Drain()
{
  if (mNode.mDraining) {
    return;
  }
  mNode.mDraining = true;
  mFleet.Leave();
  LogEvent(Event::DrainStarted, { { "calls", std::to_string(mCalls.size()) } });
  mDrainTimer = Timer::After(mNode.mLoop, mNode.mSettings.mDrainMs, [this] {
    LogEvent(Event::AbandonedAtStop,
             { { "calls", std::to_string(mCalls.size()) } });
    mNode.mLoop.Stop();
  });
  if (mCalls.empty()) {
    mNode.mLoop.Stop();
  }
}

void
Entry::CallStarted(const void* aCall)
{
  mCalls.insert(aCall);
}

void
Entry::CallEnded(const void* aCall)
{
  mCalls.erase(aCall);
  if (mNode.mDraining && mCalls.empty()) {
    // The last reply still has to leave the socket's buffer.
    mDrainTimer =
      Timer::After(mNode.mLoop, 100, [this] { mNode.mLoop.Stop(); });
  }
}

void
Entry::ListModels(const HttpRequest& aRequest, HttpReply& aReply)
{
  auto context = ReadContext(mNode, aRequest);
  if (!context) {
    SendError(aReply, context.error(), "");
    return;
  }
  nlohmann::json list = nlohmann::json::array();
  for (const auto& model : context->mConfig->mModels) {
    for (const auto& version : model.mVersions) {
      if (version.mState != VersionState::Withdrawn &&
          IsAllowed(*context->mCustomer, model.mName, version.mName)) {
        list.push_back({ { "id", model.mName + "@" + version.mName },
                         { "object", "model" },
                         { "owned_by", "savorystream" } });
      }
    }
  }
  aReply.Send(200,
              { { "Content-Type", "application/json" } },
              nlohmann::json{ { "object", "list" }, { "data", list } }.dump() +
                "\n");
}

// Routes one request of a caller by its path.
void
Entry::OnCaller(const HttpRequest& aRequest,
                const std::shared_ptr<HttpReply>& aReply)
{
  if (aRequest.mPath == "/v1/models" && aRequest.mMethod == "GET") {
    ListModels(aRequest, *aReply);
    return;
  }
  if (aRequest.mBody.size() > mNode.mSettings.mMaxBodyBytes) {
    SendError(*aReply,
              { ErrorCode::BodyTooLarge,
                "the body is longer than " +
                  std::to_string(mNode.mSettings.mMaxBodyBytes) + " bytes",
                Ran::NotRun,
                0 },
              "");
    return;
  }
  auto context = ReadContext(mNode, aRequest);
  if (!context) {
    SendError(*aReply, context.error(), "");
    return;
  }
  if (mNode.mDraining) {
    SendError(*aReply,
              { ErrorCode::Draining,
                "this entry is stopping; another will serve the request",
                RanOfRefusal(*context),
                100 },
              context->mRequestId);
    return;
  }
  Freshness freshness = mFleet.JudgeNow();
  if (freshness == Freshness::Stale) {
    SendError(
      *aReply,
      { ErrorCode::ConfigStale,
        "this entry cannot tell whether its configuration is the newest",
        RanOfRefusal(*context),
        500 },
      context->mRequestId);
    return;
  }
  if (aRequest.mPath == kModelPath) {
    if (aRequest.mMethod != "POST") {
      SendError(*aReply,
                { ErrorCode::BadRequest, "use POST", Ran::NotRun, 0 },
                context->mRequestId);
      return;
    }
    StartModelCall(*this, *context, aRequest, aReply);
    return;
  }
  auto slash = aRequest.mPath.find('/', 1);
  std::string name = aRequest.mPath.substr(1, slash - 1);
  const Service* service = FindService(*context->mConfig, name);
  if (!service) {
    SendError(*aReply,
              { ErrorCode::UnknownService,
                "no service \"" + name + "\"",
                Ran::NotRun,
                0 },
              context->mRequestId);
    return;
  }
  StartServiceCall(*this, *context, *service, aRequest, aReply);
}

} // namespace savory
