#include "savory/net/http_link.h"

#include "savory/core/answer_use.h"
#include "savory/net/socket_address.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace savory {

namespace {

// How many bytes of pipelined requests are read while one request is being
// answered; further bytes stay in the socket.
constexpr std::size_t kMaxPipelinedBytes = 64 * 1024;

// How often connections are checked for idle and slow callers.
constexpr TimeMs kSweepIntervalMs = 500;

// How long a finished answer is kept for a caller whose socket accepts no
// bytes.
constexpr TimeMs kMaxLingerMs = 20000;

struct ReasonPhraseRow
{
  int mStatus;
  std::string_view mReason;
};

constexpr std::array<ReasonPhraseRow, 20> kReasonPhrases{ {
  { 200, "OK" },
  { 201, "Created" },
  { 202, "Accepted" },
  { 204, "No Content" },
  { 400, "Bad Request" },
  { 401, "Unauthorized" },
  { 403, "Forbidden" },
  { 404, "Not Found" },
  { 408, "Request Timeout" },
  { 409, "Conflict" },
  { 412, "Precondition Failed" },
  { 413, "Content Too Large" },
  { 421, "Misdirected Request" },
  { 429, "Too Many Requests" },
  { 431, "Request Header Fields Too Large" },
  { 500, "Internal Server Error" },
  { 501, "Not Implemented" },
  { 502, "Bad Gateway" },
  { 503, "Service Unavailable" },
  { 504, "Gateway Timeout" },
} };

} // namespace

std::string_view
ReasonPhrase(int aStatus)
{
  for (const auto& row : kReasonPhrases) {
    if (row.mStatus == aStatus) {
      return row.mReason;
    }
  }
  return "Status";
}

CallerLink::CallerLink(HttpFrontend& aFrontend,
                       bufferevent* aBuffer,
                       std::string aPeerAddress)
  : mFrontend(aFrontend)
  , mBuffer(aBuffer)
  , mLastActivityMs(MonotonicMs())
{
  mRequest.mPeerAddress = std::move(aPeerAddress);
  bufferevent_setcb(
    mBuffer,
    [](bufferevent*, void* aSelf) {
      auto self = static_cast<CallerLink*>(aSelf)->shared_from_this();
      self->mLastActivityMs = MonotonicMs();
      self->Read();
    },
    [](bufferevent*, void* aSelf) {
      auto self = static_cast<CallerLink*>(aSelf)->shared_from_this();
      self->mLastActivityMs = MonotonicMs();
      self->OnDrained();
    },
    [](bufferevent*, short, void* aSelf) {
      static_cast<CallerLink*>(aSelf)->shared_from_this()->Close();
    },
    this);
  bufferevent_setwatermark(mBuffer, EV_READ, 0, kMaxPipelinedBytes);
  bufferevent_enable(mBuffer, EV_READ | EV_WRITE);
  ResetReader();
}

CallerLink::~CallerLink()
{
  if (mBuffer) {
    bufferevent_free(mBuffer);
  }
}

void
CallerLink::ResetReader()
{
  const FrontendLimits& limits = mFrontend.mLimits;
  mReader = std::make_unique<HttpReader>(
    HttpReader::Kind::Request,
    HttpReaderLimits{ limits.mMaxHeaderBytes, limits.mMaxBodyBytes });
  mHeadReceived = false;
  mReader->mOnHead = [this](const HttpHead& aHead) {
    mRequest.mHead = aHead;
    mHeadReceived = true;
    const std::string* expect = FindHeader(aHead.mHeaders, "Expect");
    if (expect && EqualHeaderNames(*expect, "100-continue")) {
      static constexpr std::string_view kContinue =
        "HTTP/1.1 100 Continue\r\n\r\n";
      bufferevent_write(mBuffer, kContinue.data(), kContinue.size());
    }
  };
  mReader->mOnBody = [this](std::string_view aBytes) {
    mRequest.mBody += aBytes;
  };
}

void
CallerLink::Read()
{
  if (mBusy || mReading || !mBuffer) {
    return;
  }
  evbuffer* input = bufferevent_get_input(mBuffer);
  if (evbuffer_get_length(input) == 0) {
    return;
  }
  if (!mReader->IsStarted()) {
    mRequestStartMs = MonotonicMs();
  }
  mReading = true;
  auto fed = mReader->Feed(input);
  mReading = false;
  if (!fed) {
    switch (fed.error()) {
      case HttpReadError::HeaderTooLong:
        Reject(431);
        return;
      case HttpReadError::BodyTooLong:
        Reject(413);
        return;
      default:
        Reject(400);
        return;
    }
  }
  if (mReader->IsComplete()) {
    Dispatch();
  }
}

void
CallerLink::Dispatch()
{
  mBusy = true;
  mAnswerStarted = false;
  mAnswerHasNoBody = mRequest.mHead.mMethod == "HEAD";
  mKnowsChunks = !mRequest.mHead.mIsHttp10;
  if (!mRequest.mHead.mKeepAlive) {
    mCloseAfterAnswer = true;
  }
  IncomingRequest request = std::move(mRequest);
  mRequest = {};
  mRequest.mPeerAddress = request.mPeerAddress;
  mFrontend.mHandler(request, shared_from_this());
}

// Answers a request that could not be parsed and closes the connection, because
// the start of the next request is unknown.
void
CallerLink::Reject(int aStatus)
{
  mBusy = true;
  mAnswerStarted = false;
  mCloseAfterAnswer = true;
  Respond(aStatus, {}, {});
}

void
CallerLink::SendHead(int aStatus,
                     const Headers& aHeaders,
                     std::optional<std::uint64_t> aLength)
{
  std::string text = "HTTP/1.1 " + std::to_string(aStatus) + ' ';
  text += ReasonPhrase(aStatus);
  text += "\r\n";
  for (const auto& [name, value] : aHeaders) {
    text += name;
    text += ": ";
    text += value;
    text += "\r\n";
  }
  // Without a length or chunks the end of the connection is that of the answer.
  mEndsWithConnection = !aLength && !mKnowsChunks;
  if (mCloseAfterAnswer || mEndsWithConnection || mFrontend.mDraining) {
    mCloseAfterAnswer = true;
    text += "Connection: close\r\n";
  }
  mAnswerChunked = !aLength && mKnowsChunks;
  if (HasNoBody(aStatus)) {
    mAnswerHasNoBody = true;
  } else if (aLength) {
    text += "Content-Length: " + std::to_string(*aLength) + "\r\n";
  } else if (mAnswerChunked) {
    text += "Transfer-Encoding: chunked\r\n";
  }
  text += "\r\n";
  mAnswerStarted = true;
  bufferevent_write(mBuffer, text.data(), text.size());
}

void
CallerLink::Respond(int aStatus,
                    const Headers& aHeaders,
                    std::string_view aBody)
{
  if (!mBuffer || !mBusy || mAnswerStarted) {
    return;
  }
  SendHead(aStatus, aHeaders, aBody.size());
  if (!mAnswerHasNoBody && !aBody.empty()) {
    bufferevent_write(mBuffer, aBody.data(), aBody.size());
  }
  EndAnswer();
}

void
CallerLink::Start(int aStatus,
                  const Headers& aHeaders,
                  std::optional<std::uint64_t> aLength)
{
  if (mBuffer && mBusy && !mAnswerStarted) {
    SendHead(aStatus, aHeaders, aLength);
  }
}

void
CallerLink::Write(std::string_view aBytes)
{
  if (!mBuffer || !mAnswerStarted || mAnswerHasNoBody || aBytes.empty()) {
    return;
  }
  evbuffer* output = bufferevent_get_output(mBuffer);
  if (mAnswerChunked) {
    evbuffer_add_printf(output, "%zx\r\n", aBytes.size());
    evbuffer_add(output, aBytes.data(), aBytes.size());
    evbuffer_add(output, "\r\n", 2);
  } else {
    evbuffer_add(output, aBytes.data(), aBytes.size());
  }
}

void
CallerLink::Finish()
{
  if (!mBuffer || !mAnswerStarted) {
    return;
  }
  if (mAnswerChunked && !mAnswerHasNoBody) {
    static constexpr std::string_view kLastChunk = "0\r\n\r\n";
    bufferevent_write(mBuffer, kLastChunk.data(), kLastChunk.size());
  }
  EndAnswer();
}

void
CallerLink::EndAnswer()
{
  mBusy = false;
  mOnClosed = {};
  mOnDrained = {};
  if (mCloseAfterAnswer) {
    mCloseWhenDrained = true;
    if (UnsentBytes() == 0) {
      Close();
    }
    return;
  }
  ResetReader();
  // The handler may have answered from within Read, so the next request is read
  // in a deferred call.
  auto self = shared_from_this();
  if (evbuffer_get_length(bufferevent_get_input(mBuffer)) > 0) {
    Defer(mFrontend.mLoop, [self] { self->Read(); });
  }
}

void
CallerLink::Abort()
{
  mOnClosed = {};
  if (mBuffer && mAnswerStarted && mEndsWithConnection) {
    ResetOnClose(bufferevent_getfd(mBuffer));
  }
  Close();
}

void
CallerLink::OnDrained()
{
  if (mCloseWhenDrained && !mBusy) {
    Close();
    return;
  }
  auto drained = mOnDrained;
  if (drained) {
    drained();
  }
}

std::size_t
CallerLink::UnsentBytes() const
{
  return mBuffer ? evbuffer_get_length(bufferevent_get_output(mBuffer)) : 0;
}

void
CallerLink::Close()
{
  if (!mBuffer) {
    return;
  }
  auto self = shared_from_this();
  bufferevent_free(std::exchange(mBuffer, nullptr));
  auto closed = std::exchange(mOnClosed, {});
  mOnDrained = {};
  mBusy = false;
  mFrontend.mLinks.erase(self);
  if (closed) {
    closed();
  }
}

// Checks the timeouts of a connection without an outstanding request. Returns
// false if it is to be closed; answers 408 if the headers arrive too slowly.
bool
CallerLink::EnforceTimeouts(TimeMs aNowMs)
{
  if (mBusy) {
    return true;
  }
  const FrontendLimits& limits = mFrontend.mLimits;
  if (mCloseWhenDrained) {
    return aNowMs - mLastActivityMs < kMaxLingerMs;
  }
  if (mReader->IsStarted()) {
    if (!mHeadReceived && aNowMs - mRequestStartMs > limits.mHeaderTimeoutMs) {
      Reject(408);
      return true;
    }
    return aNowMs - mLastActivityMs < limits.mIdleTimeoutMs;
  }
  return aNowMs - mLastActivityMs < limits.mIdleTimeoutMs;
}

HttpFrontend::HttpFrontend(EventLoop& aLoop, RequestHandler aHandler)
  : mLoop(aLoop)
  , mHandler(std::move(aHandler))
  , mSweepTimer(Timer::Every(aLoop, kSweepIntervalMs, [this] { Sweep(); }))
{
}

HttpFrontend::~HttpFrontend()
{
  if (mListener) {
    evconnlistener_free(mListener);
  }
  auto links = std::move(mLinks);
  mLinks.clear();
  for (const auto& link : links) {
    link->mOnClosed = {};
    link->Close();
  }
}

int
HttpFrontend::Listen(const std::string& aAddress, int aPort)
{
  mListener = ListenOn(
    mLoop,
    aAddress,
    aPort,
    [](evconnlistener*,
       evutil_socket_t aSocket,
       sockaddr* aPeer,
       int,
       void* aSelf) {
      static_cast<HttpFrontend*>(aSelf)->Accept(aSocket,
                                                FormatPeerAddress(aPeer));
    },
    this);
  return mListener ? LocalPort(evconnlistener_get_fd(mListener)) : 0;
}

void
HttpFrontend::Accept(int aSocket, std::string aPeerAddress)
{
  evutil_make_socket_nonblocking(aSocket);
  int on = 1;
  setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  bufferevent* buffer =
    bufferevent_socket_new(mLoop.Base(), aSocket, BEV_OPT_CLOSE_ON_FREE);
  if (!buffer) {
    evutil_closesocket(aSocket);
    return;
  }
  mLinks.insert(
    std::make_shared<CallerLink>(*this, buffer, std::move(aPeerAddress)));
}

void
HttpFrontend::Sweep()
{
  TimeMs now = MonotonicMs();
  auto links = mLinks;
  for (const auto& link : links) {
    if (!link->EnforceTimeouts(now)) {
      link->Close();
    }
  }
}

void
HttpFrontend::CloseIdle()
{
  auto links = mLinks;
  for (const auto& link : links) {
    if (link->mBusy || link->mReader->IsStarted()) {
      continue;
    }
    // The end of an answer may still be waiting for the socket.
    if (link->UnsentBytes() > 0) {
      link->mCloseWhenDrained = true;
    } else {
      link->Close();
    }
  }
}

std::size_t
HttpFrontend::BusyCount() const
{
  std::size_t busy = 0;
  for (const auto& link : mLinks) {
    busy +=
      link->mBusy || link->mReader->IsStarted() || link->mCloseWhenDrained;
  }
  return busy;
}

} // namespace savory
