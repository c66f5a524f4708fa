#pragma once

#include "savory/core/wire.h"
#include "savory/net/loop.h"

#include <map>
#include <memory>
#include <string>

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;
struct event_base;
struct evhttp;
struct evhttp_request;

namespace savory {

// A request of a caller. Header names are in lower case; the path does not
// contain the query.
struct HttpRequest
{
  std::string mMethod;
  std::string mPath;
  std::string mQuery;
  Headers mHeaders;
  std::string mBody;
};

// Returns the value of a header, or an empty string. The names in aHeaders and
// aName must be in lower case.
std::string_view
HeaderValue(const Headers& aHeaders, std::string_view aName);

// The reply to one request. It is sent as a whole, or started and continued in
// chunks. Member functions have no effect once the caller has disconnected.
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
  // Closes the connection, so that the caller sees an incomplete answer.
  void Abort();

  bool IsStarted() const { return mStarted; }
  bool IsOpen() const { return mRequest != nullptr; }
  // Bytes written but not yet accepted by the caller's socket.
  std::size_t PendingBytes() const;
  // Whether the caller has closed its connection. Peeks at the socket, because
  // evhttp does not read while a reply is outstanding.
  bool IsCallerDisconnected() const;

  // Called when the caller's connection ends before the reply is complete.
  sigc::slot<void()> mOnClosed;
  // Called when the caller's socket has accepted all chunks written so far.
  sigc::slot<void()> mOnDrained;

private:
  void WatchConnection();
  void Release();
  void WriteNextChunk();
  std::size_t OutputBufferBytes() const;

  evhttp_request* mRequest;
  bool mStarted = false;
  bool mChunked = false;
  // Bytes to send as one chunk once the socket has accepted the earlier ones.
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
  // While the heap of the process holds more than this, callers are cut off
  // when their request may take more memory than mShortRequestBytes; 0 means no
  // limit.
  std::size_t mMaxHeapBytes = 0;
  std::size_t mShortRequestBytes = std::size_t{ 64 } * 1024;
};

// An HTTP/1.1 server on one address. Port 0 lets the kernel choose a port.
class HttpServer
{
public:
  HttpServer(EventLoop& aLoop,
             HttpHandler aHandler,
             HttpServerOptions aOptions);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Starts to listen; returns the port, or 0 if the address cannot be used.
  int Listen(const std::string& aAddress, int aPort);

private:
  // The request that arrives on a connection. evhttp does not tell when it
  // frees a connection; the entry stays until the address is used again.
  struct Arrival
  {
    const HttpServerOptions* mOptions = nullptr;
    bufferevent* mBuffer = nullptr;
    // Memory that the request may take so far.
    std::size_t mBytes = 0;
  };

  static bufferevent* MakeConnection(event_base* aBase, void* aSelf);
  static void OnInput(evbuffer* aInput,
                      const evbuffer_cb_info* aInfo,
                      void* aArrival);

  evhttp* mServer;
  HttpHandler mHandler;
  HttpServerOptions mOptions;
  std::map<bufferevent*, Arrival> mArrivals;
};

} // namespace savory
