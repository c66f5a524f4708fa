#include "savory/net/http_link.h"

#include "savory/net/socket_address.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <charconv>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace savory {

namespace {

// TCP keep-alive probes start after one second without traffic, so that a peer
// that became unreachable is detected within the user timeout.
constexpr int kKeepAliveIdleS = 1;
constexpr int kKeepAliveIntervalS = 1;
constexpr int kKeepAliveProbes = 2;

// Interim answers and answers to other requests that may precede the answer to
// a request.
constexpr int kMaxSkippedAnswers = 32;

// Parses the seconds of a Keep-Alive header ("timeout=5" or "5"). Returns
// milliseconds, 0 if the header contains no number or one that is too large.
TimeMs
ParseKeepAliveMs(const std::string& aValue)
{
  std::size_t digit = aValue.find_first_of("0123456789");
  int seconds = 0;
  if (digit != std::string::npos) {
    // On overflow from_chars leaves seconds at 0.
    std::from_chars(
      aValue.data() + digit, aValue.data() + aValue.size(), seconds);
  }
  return TimeMs{ seconds } * 1000;
}

void
SetSocketOptions(int aSocket, const ClientLinkOptions& aOptions)
{
  evutil_make_socket_nonblocking(aSocket);
  int on = 1;
  setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt(aSocket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  int idle = kKeepAliveIdleS;
  int interval = kKeepAliveIntervalS;
  int probes = kKeepAliveProbes;
  setsockopt(aSocket, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof idle);
  setsockopt(aSocket, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof interval);
  setsockopt(aSocket, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
  auto timeout = static_cast<unsigned>(aOptions.mUserTimeoutMs);
  setsockopt(aSocket, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof timeout);
}

// Why a connection attempt failed, by the socket's error.
LinkFailure
ToConnectFailure(int aError)
{
  bool isPathDown =
    aError == ETIMEDOUT || aError == EHOSTUNREACH || aError == ENETUNREACH;
  return isPathDown ? LinkFailure::NotConnected : LinkFailure::Refused;
}

} // namespace

ClientLink::ClientLink(EventLoop& aLoop, const Endpoint& aServer)
  : mLoop(aLoop)
  , mServer(aServer)
{
}

ClientLink::~ClientLink()
{
  Close();
}

std::shared_ptr<ClientLink>
ClientLink::Connect(EventLoop& aLoop,
                    const Endpoint& aServer,
                    const ClientLinkOptions& aOptions)
{
  std::shared_ptr<ClientLink> link(new ClientLink(aLoop, aServer));
  int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (descriptor >= 0) {
    SetSocketOptions(descriptor, aOptions);
    link->mBuffer =
      bufferevent_socket_new(aLoop.Base(), descriptor, BEV_OPT_CLOSE_ON_FREE);
  }
  std::weak_ptr<ClientLink> weak = link;
  auto fail = [weak] {
    if (auto self = weak.lock()) {
      self->Fail(LinkFailure::NotConnected);
    }
  };
  if (!link->mBuffer) {
    if (descriptor >= 0) {
      evutil_closesocket(descriptor);
    }
    Defer(aLoop, fail);
    return link;
  }
  bufferevent_setcb(
    link->mBuffer,
    [](bufferevent*, void* aSelf) {
      static_cast<ClientLink*>(aSelf)->shared_from_this()->Read();
    },
    nullptr,
    [](bufferevent*, short aWhat, void* aSelf) {
      auto self = static_cast<ClientLink*>(aSelf)->shared_from_this();
      if (aWhat & BEV_EVENT_CONNECTED) {
        self->mConnected = true;
        self->mConnectTimer.Cancel();
        auto connected = self->mOnConnected;
        if (connected) {
          connected();
        }
      } else if ((aWhat & BEV_EVENT_EOF) && (aWhat & BEV_EVENT_READING)) {
        self->OnEndOfStream();
      } else {
        self->Fail(self->mConnected ? LinkFailure::Broken
                                    : ToConnectFailure(EVUTIL_SOCKET_ERROR()));
      }
    },
    link.get());
  bufferevent_enable(link->mBuffer, EV_READ | EV_WRITE);
  auto address = ParseSocketAddress(aServer.mAddress, aServer.mPort);
  link->mConnectTimer = Timer::After(aLoop, aOptions.mConnectTimeoutMs, fail);
  if (!address ||
      bufferevent_socket_connect(link->mBuffer,
                                 reinterpret_cast<sockaddr*>(&*address),
                                 sizeof *address) != 0) {
    Defer(aLoop, fail);
  }
  return link;
}

void
ClientLink::ResetReader()
{
  mReader =
    std::make_unique<HttpReader>(mAsksForHead ? HttpReader::Kind::ResponseToHead
                                              : HttpReader::Kind::Response,
                                 HttpReaderLimits{});
  mSkipsAnswer = false;
  mReader->mOnHead = [this](const HttpHead& aHead) {
    mSkipsAnswer =
      aHead.mStatus < 200 || (mAcceptsHead && !mAcceptsHead(aHead));
    if (mSkipsAnswer) {
      return;
    }
    mServerKeepsOpen = aHead.mKeepAlive;
    if (const std::string* value = FindHeader(aHead.mHeaders, "Keep-Alive")) {
      mKeepAliveMs = ParseKeepAliveMs(*value);
    }
    auto head = mOnHead;
    if (head) {
      head(aHead);
    }
  };
  mReader->mOnBody = [this](std::string_view aBytes) {
    auto body = mOnBody;
    if (!mSkipsAnswer && body) {
      body(aBytes);
    }
  };
}

void
ClientLink::Send(const HttpHead& aHead,
                 std::string_view aBody,
                 std::shared_ptr<const void> aBodyOwner)
{
  if (!mBuffer) {
    return;
  }
  std::string text = aHead.mMethod + ' ' + aHead.mTarget + " HTTP/1.1\r\n";
  for (const auto& [name, value] : aHead.mHeaders) {
    text += name;
    text += ": ";
    text += value;
    text += "\r\n";
  }
  if (!aBody.empty() || aHead.mLength) {
    text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  text += "\r\n";
  mBusy = true;
  mAsksForHead = aHead.mMethod == "HEAD";
  mSkippedCount = 0;
  ResetReader();
  bufferevent_write(mBuffer, text.data(), text.size());
  evbuffer* output = bufferevent_get_output(mBuffer);
  if (!aBodyOwner || aBody.empty()) {
    evbuffer_add(output, aBody.data(), aBody.size());
    return;
  }
  auto* owner = new std::shared_ptr<const void>(std::move(aBodyOwner));
  auto release = [](const void*, std::size_t, void* aOwner) {
    delete static_cast<std::shared_ptr<const void>*>(aOwner);
  };
  if (evbuffer_add_reference(
        output, aBody.data(), aBody.size(), release, owner) != 0) {
    release(nullptr, 0, owner);
    evbuffer_add(output, aBody.data(), aBody.size());
  }
}

void
ClientLink::Read()
{
  if (!mBuffer) {
    return;
  }
  evbuffer* input = bufferevent_get_input(mBuffer);
  while (mBuffer && mBusy && evbuffer_get_length(input) > 0) {
    mReading = true;
    auto fed = mReader->Feed(input);
    mReading = false;
    if (mBufferToFree) {
      bufferevent_free(std::exchange(mBufferToFree, nullptr));
      return;
    }
    if (!fed) {
      Fail(LinkFailure::Malformed);
      return;
    }
    if (!mReader->IsComplete()) {
      return;
    }
    if (mSkipsAnswer && ++mSkippedCount > kMaxSkippedAnswers) {
      Fail(LinkFailure::Malformed);
      return;
    }
    if (mSkipsAnswer) {
      ResetReader();
    } else {
      Complete();
    }
  }
  // Bytes without an outstanding request: the framing of later answers on this
  // connection cannot be trusted.
  if (mBuffer && !mBusy && evbuffer_get_length(input) > 0) {
    Fail(LinkFailure::Malformed);
  }
}

void
ClientLink::OnEndOfStream()
{
  Read();
  if (!mBuffer) {
    return;
  }
  bool isReset = IsResetByPeer(bufferevent_getfd(mBuffer));
  if (mBusy && !isReset && !mSkipsAnswer && mReader->FeedEnd() &&
      mReader->IsComplete()) {
    Complete();
    Close();
    return;
  }
  Fail(mConnected ? LinkFailure::Broken : LinkFailure::NotConnected);
}

// Reports a complete answer. The connection is reusable only if neither its
// output nor its input holds further bytes.
void
ClientLink::Complete()
{
  mBusy = false;
  ++mAnswerCount;
  mIdleSinceMs = MonotonicMs();
  bool reusable = mServerKeepsOpen && !mReader->EndsWithConnection() &&
                  !HasUnsentBytes() &&
                  evbuffer_get_length(bufferevent_get_input(mBuffer)) == 0;
  auto end = mOnEnd;
  ClearCallbacks();
  if (end) {
    end(reusable);
  }
}

void
ClientLink::Fail(LinkFailure aFailure)
{
  if (!mBuffer && mFailed) {
    return;
  }
  mFailed = true;
  auto self = shared_from_this();
  auto failed = mOnFailed;
  Close();
  if (failed) {
    failed(aFailure);
  }
}

// A connection with an outstanding request is reset: the kernel would otherwise
// go on sending what a broken path holds back, so that a request that was given
// up would run when the path is back.
void
ClientLink::Close()
{
  mConnectTimer.Cancel();
  ClearCallbacks();
  mFailed = true;
  if (mBuffer) {
    if (mBusy) {
      ResetOnClose(bufferevent_getfd(mBuffer));
    }
    bufferevent* buffer = std::exchange(mBuffer, nullptr);
    if (mReading) {
      // The reader still uses the input; Read frees the buffer afterwards.
      bufferevent_disable(buffer, EV_READ | EV_WRITE);
      mBufferToFree = buffer;
    } else {
      bufferevent_free(buffer);
    }
  }
  mBusy = false;
}

void
ClientLink::ClearCallbacks()
{
  mOnConnected = {};
  mAcceptsHead = {};
  mOnHead = {};
  mOnBody = {};
  mOnEnd = {};
  mOnFailed = {};
}

void
ClientLink::PauseReading(bool aPause)
{
  if (mBuffer) {
    if (aPause) {
      bufferevent_disable(mBuffer, EV_READ);
    } else {
      bufferevent_enable(mBuffer, EV_READ);
    }
  }
}

bool
ClientLink::HasUnsentBytes() const
{
  return mBuffer && evbuffer_get_length(bufferevent_get_output(mBuffer)) > 0;
}

} // namespace savory
