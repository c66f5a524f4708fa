#include "entry.h"

#include "savory/net/log.h"
#include "savory/platform/store.h"

#include <nlohmann/json.hpp>

namespace savory {

namespace {

constexpr TimeMs kHostsPollMs = 1000;
constexpr TimeMs kConfigPollMs = 1000;
constexpr std::string_view kModelPath = "/v1/chat/completions";

} // namespace

Entry::Entry(Node& aNode)
  : mNode(aNode)
  , mLinks(aNode)
  , mStore(aNode.mHttp, aNode.mSettings.mStore)
{
}

bool
Entry::Listen()
{
  HttpServerOptions options;
  options.mMaxBodyBytes = mNode.mSettings.mMaxBodyBytes;
  mCallers = std::make_unique<HttpServer>(
    mNode.mLoop,
    [this](const HttpRequest& aRequest,
           const std::shared_ptr<HttpReply>& aReply) {
      OnCaller(aRequest, aReply);
    },
    options);
  Endpoint& listen = mNode.mSettings.mListen;
  listen.mPort = mCallers->Listen(listen.mAddress, listen.mPort);
  if (listen.mPort == 0) {
    return false;
  }
  mHostsTimer =
    Timer::Every(mNode.mLoop, kHostsPollMs, [this] { PollHosts(); });
  mConfigTimer =
    Timer::Every(mNode.mLoop, kConfigPollMs, [this] { PollConfiguration(); });
  PollHosts();
  PollConfiguration();
  return true;
}

void
Entry::PollHosts()
{
  FetchHostList(
    mNode.mHttp,
    mNode.mSettings.mHosts,
    [this](const tl::expected<std::vector<Host>, HostListError>& aHosts) {
      if (!aHosts) {
        LogEvent(Event::HostListFailed,
                 { { "reason", aHosts.error().mReason } });
        return;
      }
      mLinks.SetHosts(*aHosts);
    });
}

// Reads the configuration from the store and puts a newer one in force.
void
Entry::PollConfiguration()
{
  mStore.Read(
    "cfg/document",
    [this](const tl::expected<std::optional<StoreEntry>, StoreError>& aEntry) {
      if (!aEntry || !*aEntry) {
        return;
      }
      auto document = nlohmann::json::parse((*aEntry)->mValue, nullptr, false);
      if (!mNode.mConfig || document.value("revision", std::int64_t(0)) >
                              mNode.mConfig->mRevision) {
        AdoptDocument(mNode, document, "store");
      }
    });
}

void
Entry::Drain()
{
  if (mNode.mDraining) {
    return;
  }
  mNode.mDraining = true;
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
  auto context = ReadContext(mNode, aRequest);
  if (!context) {
    SendError(*aReply, context.error(), "");
    return;
  }
  if (mNode.mDraining) {
    SendError(*aReply,
              { ErrorCode::Draining,
                "this entry is stopping; another will serve the request",
                context->mKey.empty() ? Ran::NotRun : Ran::Unknown,
                100 },
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
