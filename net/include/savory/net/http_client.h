#pragma once

#include "savory/core/wire.h"
#include "savory/net/loop.h"

#include <memory>
#include <string>
#include <vector>

struct evhttp_connection;
struct evhttp_request;

namespace savory {

// An IP address and a port.
struct Endpoint
{
  std::string mAddress;
  int mPort = 0;

  bool operator==(const Endpoint&) const = default;
};

// Parses "IP:PORT"; the address must be IPv4.
tl::expected<Endpoint, std::string>
ParseEndpoint(std::string_view aText);

std::string
ToString(const Endpoint& aEndpoint);

enum class HttpErrorCode
{
  // The connection was never established, so the request did not reach the
  // server.
  NotConnected,
  // The connection was lost or timed out after the request may have been sent.
  Broken,
  Timeout,
  TooLong,
  Cancelled,
};

inline constexpr std::array<EnumName<HttpErrorCode>, 5> kHttpErrorNames{ {
  { HttpErrorCode::NotConnected, "not connected" },
  { HttpErrorCode::Broken, "connection broken" },
  { HttpErrorCode::Timeout, "timeout" },
  { HttpErrorCode::TooLong, "answer too long" },
  { HttpErrorCode::Cancelled, "cancelled" },
} };

struct HttpResponse
{
  int mStatus = 0;
  Headers mHeaders;
  std::string mBody;
};

using HttpResult = tl::expected<HttpResponse, HttpErrorCode>;

struct HttpCall
{
  Endpoint mServer;
  std::string mMethod = "GET";
  std::string mTarget = "/";
  Headers mHeaders;
  std::string mBody;
  // The time limit of the whole call; 0 means none.
  TimeMs mTimeoutMs = 5000;
  std::size_t mMaxBytes = 8 * 1024 * 1024;
  // Uses an idle connection and keeps it for later calls. If the server closes
  // an idle connection just as a call is sent on it, the call fails and may or
  // may not have run, so calls that must not be repeated use a new connection.
  bool mKeepAlive = true;
};

// A call in progress. Dropping the last reference does not cancel it.
class HttpExchange : public std::enable_shared_from_this<HttpExchange>
{
public:
  HttpExchange();
  ~HttpExchange();
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  // Ends the call without a result; neither callback runs afterwards.
  void Cancel();
  bool IsDone() const { return mDone; }
  // Pauses or resumes reading the answer, for back-pressure.
  void PauseReading(bool aPause);

  // Called when the status and headers have arrived, if set before.
  sigc::slot<void(const HttpResponse&)> mOnHeaders;
  // Called for each part of the body; if empty, the body is collected in
  // HttpResponse::mBody.
  sigc::slot<void(std::string_view)> mOnBody;
  // Called once when the call has succeeded or failed.
  sigc::slot<void(const HttpResult&)> mOnDone;

private:
  friend class HttpClient;
  struct Callbacks;

  void Finish(HttpResult aResult);
  void ReleaseConnection(bool aReusable);

  class HttpClient* mClient = nullptr;
  Endpoint mServer;
  bool mKeepAlive = true;
  std::size_t mMaxBytes = 0;
  std::size_t mReceivedBytes = 0;
  evhttp_connection* mConnection = nullptr;
  evhttp_request* mRequest = nullptr;
  std::unique_ptr<class AnswerWatch> mWatch;
  HttpErrorCode mError = HttpErrorCode::NotConnected;
  HttpResponse mResponse;
  bool mDone = false;
  Timer mTimeout;
  std::shared_ptr<HttpExchange> mSelfReference;
};

// An HTTP/1.1 client that keeps idle connections per server.
class HttpClient
{
public:
  explicit HttpClient(EventLoop& aLoop);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Starts a call. The callbacks of the returned exchange run from the event
  // loop, never from within Start, so they may be set after Start returns.
  std::shared_ptr<HttpExchange> Start(HttpCall aCall);

  // Starts a call and passes its result to aOnDone.
  std::shared_ptr<HttpExchange> Fetch(
    HttpCall aCall,
    sigc::slot<void(const HttpResult&)> aOnDone);

private:
  friend class HttpExchange;
  struct IdleConnection
  {
    Endpoint mServer;
    evhttp_connection* mConnection;
  };

  evhttp_connection* AcquireConnection(const Endpoint& aServer, bool aReuse);

  EventLoop& mLoop;
  std::vector<IdleConnection> mIdleConnections;
};

} // namespace savory
