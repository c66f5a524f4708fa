#include "savory/net/http_client.h"

#include "answer_watch.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <charconv>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace savory {

namespace {

constexpr std::size_t kMaxIdleConnections = 256;

// Ten years; evhttp has no value for "no limit".
constexpr time_t kNoLimitS = 10l * 365 * 86400;

evhttp_cmd_type
ToMethodType(std::string_view aName)
{
  if (aName == "POST") {
    return EVHTTP_REQ_POST;
  }
  if (aName == "PUT") {
    return EVHTTP_REQ_PUT;
  }
  if (aName == "DELETE") {
    return EVHTTP_REQ_DELETE;
  }
  if (aName == "PATCH") {
    return EVHTTP_REQ_PATCH;
  }
  if (aName == "HEAD") {
    return EVHTTP_REQ_HEAD;
  }
  if (aName == "OPTIONS") {
    return EVHTTP_REQ_OPTIONS;
  }
  return EVHTTP_REQ_GET;
}

Headers
ReadHeaders(evhttp_request* aRequest)
{
  Headers result;
  evkeyvalq* headers = evhttp_request_get_input_headers(aRequest);
  for (evkeyval* header = headers->tqh_first; header;
       header = header->next.tqe_next) {
    std::string name = header->key;
    std::transform(name.begin(),
                   name.end(),
                   name.begin(),
                   [](unsigned char aChar) { return std::tolower(aChar); });
    result.emplace_back(std::move(name), header->value);
  }
  return result;
}

} // namespace

tl::expected<Endpoint, std::string>
ParseEndpoint(std::string_view aText)
{
  auto colon = aText.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return tl::unexpected("\"" + std::string(aText) +
                          "\" is not an endpoint of the form IP:PORT");
  }
  Endpoint endpoint;
  endpoint.mAddress = aText.substr(0, colon);
  in_addr address{};
  if (inet_pton(AF_INET, endpoint.mAddress.c_str(), &address) != 1) {
    return tl::unexpected("\"" + endpoint.mAddress +
                          "\" is not an IPv4 address");
  }
  std::string_view port = aText.substr(colon + 1);
  auto [end, error] =
    std::from_chars(port.data(), port.data() + port.size(), endpoint.mPort);
  if (error != std::errc() || end != port.data() + port.size() ||
      endpoint.mPort < 0 || endpoint.mPort > 65535) {
    return tl::unexpected("\"" + std::string(port) +
                          "\" is not a port number from 0 to 65535");
  }
  return endpoint;
}

std::string
ToString(const Endpoint& aEndpoint)
{
  return aEndpoint.mAddress + ":" + std::to_string(aEndpoint.mPort);
}

// The C callbacks of evhttp for one exchange.
struct HttpExchange::Callbacks
{
  static void OnDone(evhttp_request* aRequest, void* aSelf)
  {
    auto* self = static_cast<HttpExchange*>(aSelf);
    auto keep = self->mSelfReference;
    self->mRequest = nullptr;
    if (!aRequest || evhttp_request_get_response_code(aRequest) == 0) {
      // evhttp reports a failed connect as a request without a status; before
      // any later failure it calls the error callback.
      self->Finish(tl::unexpected(self->mError));
      return;
    }
    if (self->mResponse.mStatus == 0) {
      ReadHead(self, aRequest);
    }
    ReadBody(self, aRequest);
    if (!self->mDone) {
      self->Finish(self->mResponse);
    }
  }

  static void OnError(evhttp_request_error aError, void* aSelf)
  {
    auto* self = static_cast<HttpExchange*>(aSelf);
    switch (aError) {
      case EVREQ_HTTP_TIMEOUT:
        self->mError = HttpErrorCode::Timeout;
        break;
      case EVREQ_HTTP_DATA_TOO_LONG:
        self->mError = HttpErrorCode::TooLong;
        break;
      default:
        self->mError = HttpErrorCode::Broken;
    }
  }

  static int OnHeaders(evhttp_request* aRequest, void* aSelf)
  {
    auto* self = static_cast<HttpExchange*>(aSelf);
    // evhttp fails the call if the result is negative.
    if (self->mWatch && !self->mWatch->HasValidStatus()) {
      return -1;
    }
    if (self->mWatch) {
      self->mWatch->WatchEnd();
    }
    ReadHead(self, aRequest);
    return 0;
  }

  static void OnChunk(evhttp_request* aRequest, void* aSelf)
  {
    ReadBody(static_cast<HttpExchange*>(aSelf), aRequest);
  }

  static void ReadHead(HttpExchange* aSelf, evhttp_request* aRequest)
  {
    if (aSelf->mDone) {
      return;
    }
    aSelf->mResponse.mStatus = evhttp_request_get_response_code(aRequest);
    aSelf->mResponse.mHeaders = ReadHeaders(aRequest);
    if (aSelf->mOnHeaders) {
      aSelf->mOnHeaders(aSelf->mResponse);
    }
  }

  static void ReadBody(HttpExchange* aSelf, evhttp_request* aRequest)
  {
    evbuffer* input = evhttp_request_get_input_buffer(aRequest);
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    if (aSelf->mDone || bytes.empty()) {
      return;
    }
    if (aSelf->mOnBody) {
      aSelf->mOnBody(bytes);
      return;
    }
    aSelf->mReceivedBytes += bytes.size();
    if (aSelf->mReceivedBytes > aSelf->mMaxBytes) {
      auto keep = aSelf->mSelfReference;
      aSelf->Finish(tl::unexpected(HttpErrorCode::TooLong));
      return;
    }
    aSelf->mResponse.mBody += bytes;
  }
};

HttpExchange::HttpExchange() = default;

HttpExchange::~HttpExchange() = default;

// Ends the exchange; later calls have no effect. The connection is released in
// a deferred call, because evhttp still uses it while it runs a callback.
void
HttpExchange::Finish(HttpResult aResult)
{
  if (mDone) {
    return;
  }
  mDone = true;
  mTimeout.Cancel();
  ReleaseConnection(aResult.has_value() && mKeepAlive);
  auto done = mOnDone;
  if (done) {
    done(aResult);
  }
}

void
HttpExchange::ReleaseConnection(bool aReusable)
{
  Defer(mClient->mLoop, [self = shared_from_this(), aReusable] {
    evhttp_connection* connection = std::exchange(self->mConnection, nullptr);
    HttpClient* client = self->mClient;
    if (!connection) {
      return;
    }
    self->mWatch.reset();
    if (self->mRequest) {
      evhttp_cancel_request(std::exchange(self->mRequest, nullptr));
    }
    if (aReusable && client->mIdleConnections.size() < kMaxIdleConnections) {
      client->mIdleConnections.push_back({ self->mServer, connection });
    } else {
      evhttp_connection_free(connection);
    }
    self->mSelfReference.reset();
  });
}

void
HttpExchange::Cancel()
{
  if (!mDone) {
    mDone = true;
    mTimeout.Cancel();
    ReleaseConnection(false);
  }
}

void
HttpExchange::PauseReading(bool aPause)
{
  if (!mConnection || mDone) {
    return;
  }
  auto* buffer = evhttp_connection_get_bufferevent(mConnection);
  if (aPause) {
    bufferevent_disable(buffer, EV_READ);
  } else {
    bufferevent_enable(buffer, EV_READ);
  }
}

HttpClient::HttpClient(EventLoop& aLoop)
  : mLoop(aLoop)
{
}

HttpClient::~HttpClient()
{
  for (const auto& idle : mIdleConnections) {
    evhttp_connection_free(idle.mConnection);
  }
}

evhttp_connection*
HttpClient::AcquireConnection(const Endpoint& aServer, bool aReuse)
{
  auto found = std::find_if(
    mIdleConnections.rbegin(),
    mIdleConnections.rend(),
    [&](const IdleConnection& aIdle) { return aIdle.mServer == aServer; });
  if (aReuse && found != mIdleConnections.rend()) {
    evhttp_connection* connection = found->mConnection;
    mIdleConnections.erase(std::next(found).base());
    return connection;
  }
  return evhttp_connection_base_new(mLoop.Base(),
                                    nullptr,
                                    aServer.mAddress.c_str(),
                                    static_cast<std::uint16_t>(aServer.mPort));
}

std::shared_ptr<HttpExchange>
HttpClient::Start(HttpCall aCall)
{
  // 1. The exchange. It holds a reference to itself until its connection is
  // released.
  auto exchange = std::make_shared<HttpExchange>();
  exchange->mSelfReference = exchange;
  exchange->mClient = this;
  exchange->mServer = aCall.mServer;
  exchange->mKeepAlive = aCall.mKeepAlive;
  exchange->mMaxBytes = aCall.mMaxBytes;
  exchange->mConnection = AcquireConnection(aCall.mServer, aCall.mKeepAlive);
  exchange->mWatch = std::make_unique<AnswerWatch>(
    evhttp_connection_get_bufferevent(exchange->mConnection));

  // 2. The request with its callbacks.
  evhttp_request* request =
    evhttp_request_new(&HttpExchange::Callbacks::OnDone, exchange.get());
  evhttp_request_set_error_cb(request, &HttpExchange::Callbacks::OnError);
  evhttp_request_set_header_cb(request, &HttpExchange::Callbacks::OnHeaders);
  evhttp_request_set_chunked_cb(request, &HttpExchange::Callbacks::OnChunk);
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Host", ToString(aCall.mServer).c_str());
  for (const auto& [name, value] : aCall.mHeaders) {
    evhttp_add_header(headers, name.c_str(), value.c_str());
  }
  if (!aCall.mKeepAlive) {
    evhttp_add_header(headers, "Connection", "close");
  }
  // evhttp adds Content-Length for POST and PUT only; without it the server
  // would parse the body of another method as the next request.
  if (!aCall.mBody.empty() && !evhttp_find_header(headers, "Content-Length")) {
    evhttp_add_header(
      headers, "Content-Length", std::to_string(aCall.mBody.size()).c_str());
  }
  evbuffer_add(evhttp_request_get_output_buffer(request),
               aCall.mBody.data(),
               aCall.mBody.size());
  exchange->mRequest = request;

  // 3. The time limit of the whole call. The inactivity timeout of evhttp, 50 s
  // by default, must not end the call earlier.
  timeval inactivity{ kNoLimitS, 0 };
  evhttp_connection_set_timeout_tv(exchange->mConnection, &inactivity);
  if (aCall.mTimeoutMs > 0) {
    exchange->mTimeout =
      Timer::After(mLoop, aCall.mTimeoutMs, [raw = exchange.get()] {
        auto keep = raw->mSelfReference;
        raw->Finish(tl::unexpected(HttpErrorCode::Timeout));
      });
  }

  // 4. The request is sent in a deferred call, after the callbacks of the
  // exchange were set.
  Defer(mLoop, [exchange, request, aCall] {
    if (exchange->mDone) {
      return;
    }
    if (evhttp_make_request(exchange->mConnection,
                            request,
                            ToMethodType(aCall.mMethod),
                            aCall.mTarget.c_str()) != 0) {
      exchange->mRequest = nullptr;
      exchange->Finish(tl::unexpected(HttpErrorCode::NotConnected));
      return;
    }
    int socket = bufferevent_getfd(
      evhttp_connection_get_bufferevent(exchange->mConnection));
    int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  });
  return exchange;
}

std::shared_ptr<HttpExchange>
HttpClient::Fetch(HttpCall aCall, sigc::slot<void(const HttpResult&)> aOnDone)
{
  auto exchange = Start(std::move(aCall));
  exchange->mOnDone = std::move(aOnDone);
  return exchange;
}

} // namespace savory
