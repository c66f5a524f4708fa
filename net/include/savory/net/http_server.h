#pragma once

#include "savory/core/wire.h"
#include "savory/net/loop.h"

#include <memory>
#include <string>

struct evhttp;
struct evhttp_request;

namespace savory {

// A request as a caller sent it. Header names are in lower case; the path has
// no query.
struct HttpRequest
{
  std::string mMethod;
  std::string mPath;
  std::string mQuery;
  Headers mHeaders;
  std::string mBody;
};

// The value of a header, or an empty text. The name is in lower case.
std::string_view
HeaderValue(const Headers& aHeaders, std::string_view aName);

// The reply to one request. It is sent whole, or started and continued in
// chunks. After the caller has gone every call has no effect.
class HttpReply
{
public:
  explicit HttpReply(evhttp_request* aRequest);
  ~HttpReply();
  HttpReply(const HttpReply&) = delete;
  HttpReply& operator=(const HttpReply&) = delete;

  void Send(int aStatus, const Headers& aHeaders, std::string_view aBody);
  void Start(int aStatus, const Headers& aHeaders);
  void Chunk(std::string_view aBytes);
  void End();
  // Ends the connection, so that the caller sees a broken answer.
  void Abort();

  bool IsStarted() const { return mStarted; }
  bool IsOpen() const { return mRequest != nullptr; }
  // Bytes written but not yet taken by the caller's socket.
  std::size_t PendingBytes() const;
  // Whether the caller has closed its connection; asks the socket, since
  // evhttp does not read while a reply is outstanding.
  bool IsCallerDisconnected() const;

  // Called when the caller's connection ended before the reply was complete.
  sigc::slot<void()> mOnClosed;
  // Called when all chunks written so far are with the caller's socket.
  sigc::slot<void()> mOnDrained;

private:
  void WatchConnection();
  void Release();
  void WriteNextChunk();
  std::size_t OutputBufferBytes() const;

  evhttp_request* mRequest;
  bool mStarted = false;
  bool mChunked = false;
  // Bytes that wait for the socket to take those written before.
  std::string mNextChunk;
};

using HttpHandler =
  sigc::slot<void(const HttpRequest&, std::shared_ptr<HttpReply>)>;

struct HttpServerOptions
{
  std::size_t mMaxHeaderBytes = 16 * 1024;
  std::size_t mMaxBodyBytes = 8 * 1024 * 1024;
  // Seconds a caller's connection may be idle while a request is read or a
  // reply is written.
  int mTimeoutS = 120;
};

// An HTTP/1.1 server on one address. Port 0 lets the kernel choose.
class HttpServer
{
public:
  HttpServer(EventLoop& aLoop,
             HttpHandler aHandler,
             HttpServerOptions aOptions);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Listens; returns the port, or 0 when the address cannot be used.
  int Listen(const std::string& aAddress, int aPort);

private:
  evhttp* mServer;
  HttpHandler mHandler;
};

} // namespace savory
