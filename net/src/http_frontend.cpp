#include "savory/net/http_link.h"

#include "savory/net/socket_address.h"

#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace savory {

namespace {

// Receive buffer of a connection. The kernel doubles the value, and no longer
// lets the buffer grow to megabytes while the connection is not read. A body
// of 4 MiB arrives within 0.3 s over a path with a round trip of 2 ms.
constexpr int kReceiveBufferBytes = 32 * 1024;

// Pause before connections are accepted again after descriptors ran out.
constexpr TimeMs kAcceptRetryMs = 200;

// How often connections are checked for idle and slow callers.
constexpr TimeMs kSweepIntervalMs = 500;

} // namespace

HttpFrontend::HttpFrontend(EventLoop& aLoop,
                           RequestHandler aHandler,
                           std::shared_ptr<ByteBudget> aBudget)
  : mLoop(aLoop)
  , mHandler(std::move(aHandler))
  , mBudget(aBudget ? std::move(aBudget) : std::make_shared<ByteBudget>())
  , mSweepTimer(Timer::Every(aLoop, kSweepIntervalMs, [this] { Sweep(); }))
{
}

HttpFrontend::~HttpFrontend()
{
  if (mListener) {
    evconnlistener_free(std::exchange(mListener, nullptr));
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
  if (mListener) {
    // Accepted connections inherit the size.
    int bytes = kReceiveBufferBytes;
    setsockopt(evconnlistener_get_fd(mListener),
               SOL_SOCKET,
               SO_RCVBUF,
               &bytes,
               sizeof bytes);
    evconnlistener_set_error_cb(mListener, [](evconnlistener*, void* aSelf) {
      static_cast<HttpFrontend*>(aSelf)->OnAcceptFailed();
    });
  }
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
  auto link =
    std::make_shared<CallerLink>(*this, buffer, std::move(aPeerAddress));
  mLinks.insert(link);
  mHolders[link->mHolder] = link.get();
  if (mMaxLinks == 0 || mLinks.size() < mMaxLinks) {
    return;
  }
  auto oldest = FindOldestIdle(link.get());
  if (oldest && mLinks.size() > mMaxLinks) {
    mOnRefused("idle");
    oldest->Close();
    oldest = FindOldestIdle(link.get());
  }
  // With an idle connection left, the next caller can take its place.
  PauseAccepting(!oldest);
}

// Descriptors or memory ran out. The listener would report that without end.
void
HttpFrontend::OnAcceptFailed()
{
  mOnRefused("accept-failed");
  if (auto oldest = FindOldestIdle(nullptr)) {
    oldest->Close();
  }
  PauseAccepting(true);
  mAcceptTimer =
    Timer::After(mLoop, kAcceptRetryMs, [this] { PauseAccepting(false); });
}

void
HttpFrontend::PauseAccepting(bool aPause)
{
  if (!mListener || mIsAcceptPaused == aPause) {
    return;
  }
  mIsAcceptPaused = aPause;
  aPause ? evconnlistener_disable(mListener) : evconnlistener_enable(mListener);
}

// Returns the connection that has been without a request for longest, or null.
std::shared_ptr<CallerLink>
HttpFrontend::FindOldestIdle(const CallerLink* aExcept) const
{
  std::shared_ptr<CallerLink> oldest;
  for (const auto& link : mLinks) {
    if (link.get() != aExcept && link->IsIdle() &&
        (!oldest || link->mLastActivityMs < oldest->mLastActivityMs)) {
      oldest = link;
    }
  }
  return oldest;
}

void
HttpFrontend::ShedHolders(TimeMs aNowMs)
{
  for (const ShedHolder& shed : FindHoldersToShed(*mBudget, aNowMs)) {
    auto found = mHolders.find(shed.mId);
    if (found != mHolders.end()) {
      found->second->shared_from_this()->Shed(shed.mReason);
    }
  }
}

void
HttpFrontend::ResumeWaiting()
{
  for (std::uint64_t id : FindWaitingHolders(*mBudget)) {
    auto found = mHolders.find(id);
    if (found != mHolders.end()) {
      found->second->TryResume();
    }
  }
}

// The caller may be in the midst of a callback of its connection.
void
HttpFrontend::ScheduleResume()
{
  if (!mIsResumeScheduled) {
    mIsResumeScheduled = true;
    mResumeTimer = Timer::After(mLoop, 0, [this] {
      mIsResumeScheduled = false;
      ResumeWaiting();
    });
  }
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
  ShedHolders(now);
  ResumeWaiting();
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
