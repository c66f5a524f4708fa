#include "savory/net/http_server.h"

#include "savory/net/http_framing.h"
#include "savory/net/socket_address.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <malloc.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <vector>

namespace savory {

namespace {

// The size from which a joined chunk is written even while the socket has bytes
// to send. With one more token and libevent's header the chunk fits a memory
// block of 4 KiB; the next block size is 8 KiB.
constexpr std::size_t kChunkFlushBytes = 3584;

// Memory of a header field beside its text: a node, two strings and what the
// allocator adds to each.
constexpr std::size_t kFieldBytes = 96;

struct MethodRow
{
  evhttp_cmd_type mType;
  std::string_view mName;
};

constexpr std::array<MethodRow, 7> kMethods{ {
  { EVHTTP_REQ_GET, "GET" },
  { EVHTTP_REQ_POST, "POST" },
  { EVHTTP_REQ_PUT, "PUT" },
  { EVHTTP_REQ_DELETE, "DELETE" },
  { EVHTTP_REQ_PATCH, "PATCH" },
  { EVHTTP_REQ_HEAD, "HEAD" },
  { EVHTTP_REQ_OPTIONS, "OPTIONS" },
} };

std::string_view
ToMethodName(evhttp_cmd_type aType)
{
  for (const auto& row : kMethods) {
    if (row.mType == aType) {
      return row.mName;
    }
  }
  return "?";
}

// Header names are in lower case.
Headers
ReadHeaders(evhttp_request* aRequest)
{
  Headers headers;
  evkeyvalq* rows = evhttp_request_get_input_headers(aRequest);
  for (evkeyval* header = rows->tqh_first; header;
       header = header->next.tqe_next) {
    std::string name = header->key;
    std::transform(name.begin(),
                   name.end(),
                   name.begin(),
                   [](unsigned char aChar) { return std::tolower(aChar); });
    headers.emplace_back(std::move(name), header->value);
  }
  return headers;
}

// Answers 400 and closes the connection, as the start of the next request is
// unknown.
void
Reject(evhttp_request* aRequest)
{
  evhttp_add_header(
    evhttp_request_get_output_headers(aRequest), "Connection", "close");
  evhttp_send_reply(aRequest, HTTP_BADREQUEST, nullptr, nullptr);
}

HttpRequest
ReadRequest(evhttp_request* aRequest)
{
  HttpRequest request;
  request.mMethod = ToMethodName(evhttp_request_get_command(aRequest));
  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(aRequest);
  const char* path = uri ? evhttp_uri_get_path(uri) : nullptr;
  const char* query = uri ? evhttp_uri_get_query(uri) : nullptr;
  request.mPath = path ? path : "/";
  request.mQuery = query ? query : "";
  request.mHeaders = ReadHeaders(aRequest);
  evbuffer* body = evhttp_request_get_input_buffer(aRequest);
  request.mBody.resize(evbuffer_get_length(body));
  evbuffer_remove(body, request.mBody.data(), request.mBody.size());
  return request;
}

void
AddHeaders(evhttp_request* aRequest, const Headers& aHeaders)
{
  evkeyvalq* output = evhttp_request_get_output_headers(aRequest);
  for (const auto& [name, value] : aHeaders) {
    evhttp_add_header(output, name.c_str(), value.c_str());
  }
}

// Memory that the last aSize bytes of an input may take: each line may be a
// header field.
std::size_t
MemoryOfInput(evbuffer* aInput, std::size_t aSize)
{
  std::size_t length = evbuffer_get_length(aInput);
  aSize = std::min(aSize, length);
  evbuffer_ptr start{};
  if (evbuffer_ptr_set(aInput, &start, length - aSize, EVBUFFER_PTR_SET) != 0) {
    return aSize;
  }
  auto size = static_cast<ev_ssize_t>(aSize);
  int count = evbuffer_peek(aInput, size, &start, nullptr, 0);
  std::vector<evbuffer_iovec> pieces(
    static_cast<std::size_t>(std::max(0, count)));
  evbuffer_peek(aInput, size, &start, pieces.data(), count);
  std::size_t bytes = aSize;
  for (const evbuffer_iovec& piece : pieces) {
    const char* text = static_cast<const char*>(piece.iov_base);
    bytes += kFieldBytes * static_cast<std::size_t>(
                             std::count(text, text + piece.iov_len, '\n'));
  }
  return bytes;
}

// Bytes of the heap that are in use.
std::size_t
HeapBytes()
{
  struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

} // namespace

std::string_view
HeaderValue(const Headers& aHeaders, std::string_view aName)
{
  for (const auto& [name, value] : aHeaders) {
    if (name == aName) {
      return value;
    }
  }
  return {};
}

HttpReply::HttpReply(evhttp_request* aRequest)
  : mRequest(aRequest)
{
  WatchConnection();
}

HttpReply::~HttpReply()
{
  if (mRequest) {
    Abort();
  }
}

// Watches for the end of the caller's connection. If the connection failed,
// evhttp has detached the request from it, and the request must be freed here.
void
HttpReply::WatchConnection()
{
  evhttp_connection_set_closecb(
    evhttp_request_get_connection(mRequest),
    [](evhttp_connection*, void* aSelf) {
      auto* self = static_cast<HttpReply*>(aSelf);
      evhttp_request* request = self->mRequest;
      self->mRequest = nullptr;
      // A connection that is freed with its server still owns the request.
      if (request && !evhttp_request_get_connection(request)) {
        evhttp_request_free(request);
      }
      auto closed = self->mOnClosed;
      if (closed) {
        closed();
      }
    },
    this);
}

// Stops watching the connection, before the request returns to evhttp.
void
HttpReply::Release()
{
  if (auto* connection = evhttp_request_get_connection(mRequest)) {
    evhttp_connection_set_closecb(connection, nullptr, nullptr);
  }
  mRequest = nullptr;
}

void
HttpReply::Send(int aStatus, const Headers& aHeaders, std::string_view aBody)
{
  if (!mRequest || mStarted) {
    return;
  }
  mStarted = true;
  evhttp_request* request = mRequest;
  AddHeaders(request, aHeaders);
  Release();
  evbuffer* body = evbuffer_new();
  evbuffer_add(body, aBody.data(), aBody.size());
  evhttp_send_reply(request, aStatus, nullptr, body);
  evbuffer_free(body);
}

void
HttpReply::Start(int aStatus, const Headers& aHeaders)
{
  if (!mRequest || mStarted) {
    return;
  }
  mStarted = true;
  AddHeaders(mRequest, aHeaders);
  evhttp_send_reply_start(mRequest, aStatus, nullptr);
}

// Each chunk allocates its own memory blocks in the socket's buffer, several
// times the size of a token. While the socket has bytes to send, further bytes
// are therefore joined into one chunk. The first chunk is written at once,
// because evhttp reports accepted bytes only to the callback of a chunk.
void
HttpReply::Chunk(std::string_view aBytes)
{
  if (!mRequest || aBytes.empty()) {
    return;
  }
  mNextChunk += aBytes;
  if (!mChunked || OutputBufferBytes() == 0 ||
      mNextChunk.size() >= kChunkFlushBytes) {
    WriteNextChunk();
  }
}

void
HttpReply::WriteNextChunk()
{
  if (!mRequest || mNextChunk.empty()) {
    return;
  }
  evbuffer* bytes = evbuffer_new();
  evbuffer_add(bytes, mNextChunk.data(), mNextChunk.size());
  mNextChunk.clear();
  mChunked = true;
  evhttp_send_reply_chunk_with_cb(
    mRequest,
    bytes,
    [](evhttp_connection*, void* aSelf) {
      auto* self = static_cast<HttpReply*>(aSelf);
      self->WriteNextChunk();
      auto drained = self->mOnDrained;
      if (drained) {
        drained();
      }
    },
    this);
  evbuffer_free(bytes);
}

void
HttpReply::End()
{
  if (!mRequest) {
    return;
  }
  WriteNextChunk();
  evhttp_request* request = mRequest;
  Release();
  evhttp_send_reply_end(request);
}

void
HttpReply::Abort()
{
  if (!mRequest) {
    return;
  }
  evhttp_request* request = mRequest;
  evhttp_connection* connection = evhttp_request_get_connection(request);
  Release();
  if (connection) {
    evhttp_connection_free(connection);
  } else {
    evhttp_request_free(request);
  }
}

std::size_t
HttpReply::PendingBytes() const
{
  return mRequest ? OutputBufferBytes() + mNextChunk.size() : 0;
}

std::size_t
HttpReply::OutputBufferBytes() const
{
  auto* connection = evhttp_request_get_connection(mRequest);
  return evbuffer_get_length(
    bufferevent_get_output(evhttp_connection_get_bufferevent(connection)));
}

bool
HttpReply::IsCallerDisconnected() const
{
  if (!mRequest) {
    return true;
  }
  auto* connection = evhttp_request_get_connection(mRequest);
  int socket = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
  char byte;
  return recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

HttpServer::HttpServer(EventLoop& aLoop,
                       HttpHandler aHandler,
                       HttpServerOptions aOptions)
  : mServer(evhttp_new(aLoop.Base()))
  , mHandler(std::move(aHandler))
  , mOptions(aOptions)
{
  evhttp_set_bevcb(mServer, &MakeConnection, this);
  evhttp_set_max_headers_size(mServer,
                              static_cast<ssize_t>(aOptions.mMaxHeaderBytes));
  evhttp_set_max_body_size(mServer,
                           static_cast<ssize_t>(aOptions.mMaxBodyBytes));
  evhttp_set_timeout(mServer, aOptions.mTimeoutS);
  evhttp_set_allowed_methods(mServer,
                             EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
                               EVHTTP_REQ_DELETE | EVHTTP_REQ_PATCH |
                               EVHTTP_REQ_HEAD | EVHTTP_REQ_OPTIONS);
  evhttp_set_gencb(
    mServer,
    [](evhttp_request* aRequest, void* aSelf) {
      auto* self = static_cast<HttpServer*>(aSelf);
      auto* connection = evhttp_request_get_connection(aRequest);
      self->mArrivals[evhttp_connection_get_bufferevent(connection)].mBytes = 0;
      HttpRequest request = ReadRequest(aRequest);
      bool isHttp10 =
        aRequest->major < 1 || (aRequest->major == 1 && aRequest->minor < 1);
      if (!IsBodyEndKnown(request.mHeaders, { true, isHttp10 })) {
        Reject(aRequest);
        return;
      }
      int socket = bufferevent_getfd(evhttp_connection_get_bufferevent(
        evhttp_request_get_connection(aRequest)));
      int on = 1;
      setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      self->mHandler(request, std::make_shared<HttpReply>(aRequest));
    },
    this);
}

HttpServer::~HttpServer()
{
  evhttp_free(mServer);
}

bufferevent*
HttpServer::MakeConnection(event_base* aBase, void* aSelf)
{
  auto* self = static_cast<HttpServer*>(aSelf);
  bufferevent* buffer = bufferevent_socket_new(aBase, -1, 0);
  if (buffer) {
    Arrival& arrival = self->mArrivals[buffer];
    arrival = { &self->mOptions, buffer, 0 };
    evbuffer_add_cb(bufferevent_get_input(buffer), &OnInput, &arrival);
  }
  return buffer;
}

// Ends the input of a connection whose request there is no memory for; evhttp
// then closes it. The request has not run, as it is not complete.
void
HttpServer::OnInput(evbuffer* aInput,
                    const evbuffer_cb_info* aInfo,
                    void* aArrival)
{
  auto* arrival = static_cast<Arrival*>(aArrival);
  const HttpServerOptions& options = *arrival->mOptions;
  if (aInfo->n_added == 0 || options.mMaxHeapBytes == 0) {
    return;
  }
  arrival->mBytes += MemoryOfInput(aInput, aInfo->n_added);
  if (arrival->mBytes > options.mShortRequestBytes &&
      HeapBytes() > options.mMaxHeapBytes) {
    shutdown(bufferevent_getfd(arrival->mBuffer), SHUT_RDWR);
    // What has arrived would still be parsed before the end is seen.
    evbuffer_drain(aInput, evbuffer_get_length(aInput));
  }
}

int
HttpServer::Listen(const std::string& aAddress, int aPort)
{
  auto* bound = evhttp_bind_socket_with_handle(
    mServer, aAddress.c_str(), static_cast<std::uint16_t>(aPort));
  if (!bound) {
    return 0;
  }
  return LocalPort(evhttp_bound_socket_get_fd(bound));
}

} // namespace savory
