#pragma once

#include "savory/core/byte_budget.h"
#include "savory/net/http_client.h"
#include "savory/net/http_reader.h"
#include "savory/net/loop.h"

#include <map>
#include <memory>
#include <set>
#include <string>

struct bufferevent;
struct evconnlistener;

namespace savory {

// HTTP/1.1 on single connections, for relaying: HttpFrontend detects that a
// caller disconnects while its answer is outstanding, and ClientLink
// distinguishes a complete answer from one that was cut off.

struct IncomingRequest
{
  HttpHead mHead;
  std::string mBody;
  std::string mPeerAddress;
};

struct FrontendLimits
{
  std::uint32_t mMaxHeaderBytes = 16 * 1024;
  std::uint64_t mMaxBodyBytes = 4 * 1024 * 1024;
  TimeMs mHeaderTimeoutMs = 3000;
  TimeMs mIdleTimeoutMs = 15000;
};

class HttpFrontend;

// One connection of a caller. It carries one request at a time; member
// functions have no effect once the connection is closed.
class CallerLink : public std::enable_shared_from_this<CallerLink>
{
public:
  CallerLink(HttpFrontend& aFrontend,
             bufferevent* aBuffer,
             std::string aPeerAddress);
  ~CallerLink();
  CallerLink(const CallerLink&) = delete;
  CallerLink& operator=(const CallerLink&) = delete;

  // Sends a complete answer.
  void Respond(int aStatus, const Headers& aHeaders, std::string_view aBody);
  // Starts an answer; without a length the body is sent chunked.
  void Start(int aStatus,
             const Headers& aHeaders,
             std::optional<std::uint64_t> aLength);
  void Write(std::string_view aBytes);
  void Finish();
  // Closes the connection, so that the caller sees an incomplete answer; resets
  // it where a regular close would complete the answer.
  void Abort();
  // Makes the connection close after the current answer.
  void CloseAfterAnswer() { mCloseAfterAnswer = true; }

  bool IsOpen() const { return mBuffer != nullptr; }
  bool IsStarted() const { return mAnswerStarted; }
  // Bytes that the caller's socket has not accepted yet.
  std::size_t UnsentBytes() const;

  // Called when the caller disconnects while its request is outstanding.
  sigc::slot<void()> mOnClosed;
  // Called when the caller's socket has accepted everything written so far.
  sigc::slot<void()> mOnDrained;

private:
  friend class HttpFrontend;

  void Read();
  void ResetReader();
  void Dispatch();
  void Reject(int aStatus,
              std::string_view aReason,
              const Headers& aHeaders = {});
  std::size_t PlanBodyCapacity(std::size_t aMoreBytes) const;
  bool TryReserve(std::size_t aInputBytes);
  void Wait();
  void TryResume();
  void Shed(ShedReason aReason);
  void CompactInput();
  void UpdateHeldBytes();
  bool IsIdle() const;
  void EndAnswer();
  void OnDrained();
  void Close();
  bool EnforceTimeouts(TimeMs aNowMs);
  void SendHead(int aStatus,
                const Headers& aHeaders,
                std::optional<std::uint64_t> aLength);

  HttpFrontend& mFrontend;
  bufferevent* mBuffer;
  std::unique_ptr<HttpReader> mReader;
  IncomingRequest mRequest;
  bool mBusy = false;
  bool mReading = false;
  bool mAnswerStarted = false;
  bool mKnowsChunks = true;
  bool mAnswerChunked = false;
  bool mEndsWithConnection = false;
  bool mAnswerHasNoBody = false;
  bool mCloseAfterAnswer = false;
  bool mCloseWhenDrained = false;
  bool mHeadReceived = false;
  // Reading is paused until the budget has headroom.
  bool mIsWaiting = false;
  std::uint64_t mHolder = 0;
  std::optional<std::uint64_t> mBodyLength;
  // Memory of the head of the request that is arriving.
  std::size_t mHeadBytes = 0;
  // Bytes of the request that is being answered.
  std::size_t mServedBytes = 0;
  TimeMs mLastActivityMs = 0;
  TimeMs mRequestStartMs = 0;
};

// The handler may move the request's parts.
using RequestHandler =
  sigc::slot<void(IncomingRequest&, const std::shared_ptr<CallerLink>&)>;

// Accepts connections of callers on one address. What they send and have not
// taken yet is bounded by a budget, which several frontends may share.
class HttpFrontend
{
public:
  HttpFrontend(EventLoop& aLoop,
               RequestHandler aHandler,
               std::shared_ptr<ByteBudget> aBudget = nullptr);
  ~HttpFrontend();
  HttpFrontend(const HttpFrontend&) = delete;
  HttpFrontend& operator=(const HttpFrontend&) = delete;

  // Starts to listen; returns the port, or 0 if the address cannot be used.
  int Listen(const std::string& aAddress, int aPort);
  void SetLimits(const FrontendLimits& aLimits) { mLimits = aLimits; }
  // The most open connections, 0 for no limit. At the limit idle connections
  // are closed; without any, no further ones are accepted until one ends.
  void SetMaxLinks(std::size_t aCount) { mMaxLinks = aCount; }
  // Makes every answer from now on close its connection.
  void StartDrain() { mDraining = true; }
  // Closes connections on which no request is outstanding.
  void CloseIdle();
  std::size_t BusyCount() const;
  std::size_t LinkCount() const { return mLinks.size(); }

  // Called with the reason when a caller was refused or cut off without a call
  // of the handler.
  sigc::slot<void(std::string_view)> mOnRefused = [](std::string_view) {};

private:
  friend class CallerLink;

  void Accept(int aSocket, std::string aPeerAddress);
  void OnAcceptFailed();
  void Sweep();
  void ShedHolders(TimeMs aNowMs);
  void ResumeWaiting();
  void ScheduleResume();
  std::shared_ptr<CallerLink> FindOldestIdle(const CallerLink* aExcept) const;
  void PauseAccepting(bool aPause);

  EventLoop& mLoop;
  RequestHandler mHandler;
  FrontendLimits mLimits;
  bool mDraining = false;
  std::shared_ptr<ByteBudget> mBudget;
  std::size_t mMaxLinks = 0;
  bool mIsAcceptPaused = false;
  bool mIsResumeScheduled = false;
  std::set<std::shared_ptr<CallerLink>> mLinks;
  // Keyed by their holders in the budget.
  std::map<std::uint64_t, CallerLink*> mHolders;
  evconnlistener* mListener = nullptr;
  Timer mAcceptTimer;
  Timer mResumeTimer;
  Timer mSweepTimer;
};

enum class LinkFailure
{
  // The connection was not established in time, or the path is down.
  NotConnected,
  // The server's port is closed: its process is gone.
  Refused,
  // The connection was lost before the answer was complete.
  Broken,
  // The answer is not valid HTTP.
  Malformed,
};

inline constexpr std::array<EnumName<LinkFailure>, 4> kLinkFailureNames{ {
  { LinkFailure::NotConnected, "not connected" },
  { LinkFailure::Refused, "connection refused" },
  { LinkFailure::Broken, "connection broken" },
  { LinkFailure::Malformed, "malformed answer" },
} };

// Whether no byte of the request can have reached the server.
constexpr bool
IsNeverSent(LinkFailure aFailure)
{
  return aFailure == LinkFailure::NotConnected ||
         aFailure == LinkFailure::Refused;
}

struct ClientLinkOptions
{
  TimeMs mConnectTimeoutMs = 500;
  // How long sent bytes may stay unacknowledged before the kernel closes the
  // connection (TCP_USER_TIMEOUT); also bounds the keep-alive probes.
  TimeMs mUserTimeoutMs = 1500;
};

// One connection to a server, for one request at a time.
class ClientLink : public std::enable_shared_from_this<ClientLink>
{
public:
  static std::shared_ptr<ClientLink> Connect(EventLoop& aLoop,
                                             const Endpoint& aServer,
                                             const ClientLinkOptions& aOptions);
  ~ClientLink();
  ClientLink(const ClientLink&) = delete;
  ClientLink& operator=(const ClientLink&) = delete;

  // Sends a request; its bytes are queued until the connection is established.
  // The body is copied, unless an owner is given that keeps it alive.
  void Send(const HttpHead& aHead,
            std::string_view aBody,
            std::shared_ptr<const void> aBodyOwner = nullptr);
  // Closes the connection at once; no callback runs afterwards.
  void Close();

  bool IsOpen() const { return mBuffer != nullptr; }
  bool IsFresh() const { return mAnswerCount == 0; }
  TimeMs IdleSinceMs() const { return mIdleSinceMs; }
  // How long the server keeps the connection open while idle; 0 if unknown.
  TimeMs KeepAliveMs() const { return mKeepAliveMs; }
  const Endpoint& Server() const { return mServer; }
  void PauseReading(bool aPause);
  // Whether request bytes are still buffered in this process.
  bool HasUnsentBytes() const;
  void ClearCallbacks();

  sigc::slot<void()> mOnConnected;
  // Decides whether an answer with this head belongs to the request; other
  // answers are skipped.
  sigc::slot<bool(const HttpHead&)> mAcceptsHead;
  sigc::slot<void(const HttpHead&)> mOnHead;
  sigc::slot<void(std::string_view)> mOnBody;
  // Called when the answer is complete; true if the connection may be reused.
  sigc::slot<void(bool)> mOnEnd;
  // Called when the connection fails or is closed by the server, also while
  // idle.
  sigc::slot<void(LinkFailure)> mOnFailed;

private:
  ClientLink(EventLoop& aLoop, const Endpoint& aServer);
  void Read();
  void ResetReader();
  void Fail(LinkFailure aFailure);
  void OnEndOfStream();
  void Complete();

  EventLoop& mLoop;
  Endpoint mServer;
  bufferevent* mBuffer = nullptr;
  std::unique_ptr<HttpReader> mReader;
  Timer mConnectTimer;
  bool mConnected = false;
  bool mBusy = false;
  bool mAsksForHead = false;
  bool mReading = false;
  bool mFailed = false;
  // Set by Close when it runs from a callback of the reader, which still uses
  // the input of the buffer; Read frees it.
  bufferevent* mBufferToFree = nullptr;
  bool mSkipsAnswer = false;
  // Answers that were skipped since the request was sent.
  int mSkippedCount = 0;
  bool mServerKeepsOpen = false;
  int mAnswerCount = 0;
  TimeMs mIdleSinceMs = 0;
  TimeMs mKeepAliveMs = 0;
};

// The reason phrase of a status code, or "Status" for one without an entry.
std::string_view
ReasonPhrase(int aStatus);

} // namespace savory
