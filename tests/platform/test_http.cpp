#include "fixture.h"
#include "savory/net/http_server.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace savory;

namespace {

// A listening socket whose connections are never accepted or read.
struct RawListener
{
  int mSocket = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  int mPort = 0;

  RawListener()
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    bind(mSocket, reinterpret_cast<sockaddr*>(&address), size);
    listen(mSocket, 16);
    getsockname(mSocket, reinterpret_cast<sockaddr*>(&address), &size);
    mPort = ntohs(address.sin_port);
  }
  ~RawListener() { close(mSocket); }
  RawListener(const RawListener&) = delete;
  RawListener& operator=(const RawListener&) = delete;
};

int
ConnectSocket(int aPort)
{
  int client = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  connect(client, reinterpret_cast<sockaddr*>(&address), sizeof address);
  return client;
}

struct HttpFixture : LoopFixture
{
  HttpHandler mHandler;
  std::unique_ptr<HttpServer> mServer;
  Endpoint mAddress;
  std::shared_ptr<HttpReply> mReply;

  void Serve(HttpHandler aHandler, HttpServerOptions aOptions = {})
  {
    mServer = std::make_unique<HttpServer>(mLoop, aHandler, aOptions);
    mAddress = { "127.0.0.1", mServer->Listen("127.0.0.1", 0) };
    BOOST_REQUIRE(mAddress.mPort != 0);
  }

  HttpCall MakeCall(const std::string& aMethod, const std::string& aBody = "")
  {
    HttpCall call;
    call.mServer = mAddress;
    call.mMethod = aMethod;
    call.mTarget = "/p/q?x=1";
    call.mBody = aBody;
    return call;
  }
};

void
CheckError(const HttpResult& aResult, HttpErrorCode aCode)
{
  BOOST_REQUIRE(!aResult.has_value());
  BOOST_TEST(ToName(kHttpErrorNames, aResult.error()) ==
             ToName(kHttpErrorNames, aCode));
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(http, HttpFixture)

// Guards against parts of a request or reply that are lost or changed.
BOOST_AUTO_TEST_CASE(request_and_reply_arrive_whole)
{
  HttpRequest seen;
  Serve([&](const HttpRequest& aRequest, auto aReply) {
    seen = aRequest;
    aReply->Send(418, { { "X-One", "1" } }, aRequest.mBody);
  });
  std::string body(200000, 'b');
  body[7] = '\0';
  for (const char* method : { "POST", "PUT", "PATCH", "DELETE" }) {
    HttpCall call = MakeCall(method, body);
    call.mHeaders = { { "X-Two", "2" } };
    auto result = Call(call);
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST(result->mStatus == 418);
    BOOST_TEST(HeaderValue(result->mHeaders, "x-one") == "1");
    BOOST_TEST((result->mBody == body));
    BOOST_TEST(seen.mMethod == method);
    BOOST_TEST(seen.mPath == "/p/q");
    BOOST_TEST(seen.mQuery == "x=1");
    BOOST_TEST(HeaderValue(seen.mHeaders, "x-two") == "2");
  }
}

// Guards against a request that is run although it was sent as the body of
// another, whose framing leaves open where it ends.
BOOST_AUTO_TEST_CASE(body_of_unknown_length_is_not_the_next_request)
{
  std::vector<std::string> handled;
  Serve([&](const HttpRequest& aRequest, auto aReply) {
    handled.push_back(aRequest.mPath);
    aReply->Send(200, {}, "");
  });
  const std::string inner = "POST /inner HTTP/1.1\r\nHost: h\r\n"
                            "Content-Length: 0\r\n\r\n";
  for (const char* headers : {
         "HTTP/1.1\r\nTransfer-Encoding: gzip",
         "HTTP/1.1\r\nTransfer-Encoding: identity",
         "HTTP/1.1\r\nTransfer-Encoding: chunked, gzip",
         "HTTP/1.1\r\nTransfer-Encoding: gzip, chunked",
         "HTTP/1.1\r\nTransfer-Encoding: gzip\r\nTransfer-Encoding: chunked",
         "HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 5",
         "HTTP/1.1\r\nContent-Length: 0\r\nContent-Length: 74",
         "HTTP/1.1\r\nContent-Length: +0",
         "HTTP/1.0\r\nTransfer-Encoding: chunked",
       }) {
    BOOST_TEST_CONTEXT(headers)
    {
      handled.clear();
      int client = ConnectSocket(mAddress.mPort);
      std::string text = std::string("POST /outer ") + headers +
                         "\r\nHost: h\r\n\r\n0\r\n\r\n" + inner;
      BOOST_REQUIRE(write(client, text.data(), text.size()) ==
                    static_cast<ssize_t>(text.size()));
      RunFor(50);
      std::string answer(4096, '\0');
      ssize_t size = recv(client, answer.data(), answer.size(), MSG_DONTWAIT);
      answer.resize(static_cast<std::size_t>(std::max<ssize_t>(0, size)));
      BOOST_TEST((answer.size() > 8 && answer.substr(8, 5) == " 400 "), answer);
      BOOST_TEST(handled.empty());
      close(client);
    }
  }
}

// Guards against "not connected" for a request that the server may have read,
// and against any other error for a request that it cannot have read.
BOOST_AUTO_TEST_CASE(errors_say_whether_the_request_may_have_run)
{
  // 1. No socket listens on the port.
  int port = RawListener().mPort;
  mAddress = { "127.0.0.1", port };
  CheckError(Call(MakeCall("POST", "x")), HttpErrorCode::NotConnected);

  // 2. The server closes the connection after it has read the request, with
  // and without keep-alive, before and after the start of its answer.
  for (bool keep : { false, true }) {
    for (bool started : { false, true }) {
      int runs = 0;
      Serve([&](const HttpRequest&, auto aReply) {
        ++runs;
        if (started) {
          aReply->Start(200, { { "Content-Length", "10" } });
          aReply->Chunk("half");
          mReply = aReply;
          mReply->mOnDrained = [this] { mReply->Abort(); };
        } else {
          aReply->Abort();
        }
      });
      HttpCall call = MakeCall("POST", "x");
      call.mKeepAlive = keep;
      CheckError(Call(call), HttpErrorCode::Broken);
      BOOST_TEST(runs == 1);
      mReply.reset();
    }
  }

  // 3. The connection is established and the server never answers.
  RawListener silent;
  mAddress = { "127.0.0.1", silent.mPort };
  HttpCall call = MakeCall("POST", "x");
  call.mTimeoutMs = 100;
  CheckError(Call(call), HttpErrorCode::Timeout);
}

// Guards against a call that fails, or is sent twice, because the server closed
// the idle connection earlier.
BOOST_AUTO_TEST_CASE(closed_idle_connection_is_replaced)
{
  int runs = 0;
  auto handler = [&](const HttpRequest&, auto aReply) {
    ++runs;
    aReply->Send(200, {}, "ok");
  };
  Serve(handler);
  BOOST_REQUIRE(Call(MakeCall("POST", "1")).has_value());
  mServer = std::make_unique<HttpServer>(mLoop, handler, HttpServerOptions());
  BOOST_REQUIRE(mServer->Listen("127.0.0.1", mAddress.mPort) != 0);
  RunFor(20);
  BOOST_TEST(Call(MakeCall("POST", "2")).has_value());
  BOOST_TEST(runs == 2);
}

// Guards against unbounded memory for the headers or body of a request.
BOOST_AUTO_TEST_CASE(oversized_requests_are_refused)
{
  int runs = 0;
  HttpServerOptions options;
  options.mMaxBodyBytes = 1000;
  options.mMaxHeaderBytes = 1000;
  Serve(
    [&](const HttpRequest&, auto aReply) {
      ++runs;
      aReply->Send(200, {}, "");
    },
    options);
  struct Row
  {
    std::size_t mBody;
    std::size_t mHeader;
    int mStatus;
  };
  for (const Row& row :
       { Row{ 1000, 10, 200 }, Row{ 1001, 10, 413 }, Row{ 10, 2000, 400 } }) {
    HttpCall call = MakeCall("POST", std::string(row.mBody, 'x'));
    call.mHeaders = { { "X-Long", std::string(row.mHeader, 'h') } };
    auto result = Call(call);
    BOOST_TEST_CONTEXT(row.mBody << " " << row.mHeader)
    {
      // The connection may be closed before the answer is read.
      if (result || row.mStatus == 200) {
        BOOST_REQUIRE(result.has_value());
        BOOST_TEST(result->mStatus == row.mStatus);
      }
    }
  }
  BOOST_TEST(runs == 1);
}

// Guards against an answer that exceeds HttpCall::mMaxBytes.
BOOST_AUTO_TEST_CASE(oversized_answer_is_an_error)
{
  Serve([&](const HttpRequest&, auto aReply) {
    aReply->Send(200, {}, std::string(10001, 'a'));
  });
  HttpCall call = MakeCall("GET");
  call.mMaxBytes = 10000;
  CheckError(Call(call), HttpErrorCode::TooLong);
  call.mMaxBytes = 10001;
  BOOST_TEST(Call(call).has_value());
}

// Guards against chunks that are lost, reordered or delayed until the end.
BOOST_AUTO_TEST_CASE(chunks_arrive_in_order_without_delay)
{
  Serve([&](const HttpRequest&, auto aReply) {
    aReply->Start(200, {});
    aReply->Chunk("one ");
    mReply = aReply;
  });
  auto exchange = mHttp.Start(MakeCall("GET"));
  std::string received;
  std::optional<HttpResult> done;
  exchange->mOnBody = [&](std::string_view aBytes) { received += aBytes; };
  exchange->mOnDone = [&](const HttpResult& aResult) { done = aResult; };
  BOOST_TEST(RunUntil([&] { return received == "one "; }));
  BOOST_TEST(!done.has_value());
  mReply->Chunk("two ");
  mReply->Chunk("three");
  mReply->End();
  BOOST_TEST(RunUntil([&] { return done.has_value(); }));
  BOOST_TEST(done->has_value());
  BOOST_TEST(received == "one two three");
}

// Guards against an answer that counts as complete although its last chunk
// never arrived.
BOOST_AUTO_TEST_CASE(truncated_chunked_answer_is_broken)
{
  Serve([&](const HttpRequest&, auto aReply) {
    aReply->Start(200, {});
    aReply->Chunk("part");
    mReply = aReply;
    mReply->mOnDrained = [this] { mReply->Abort(); };
  });
  CheckError(Call(MakeCall("GET")), HttpErrorCode::Broken);
}

// Guards against memory that grows unnoticed for a caller that does not read,
// and against a missing drain callback when the caller reads again.
BOOST_AUTO_TEST_CASE(slow_reader_leaves_bytes_pending_until_it_resumes)
{
  int drained = 0;
  Serve([&](const HttpRequest&, auto aReply) {
    aReply->Start(200, {});
    mReply = aReply;
    mReply->mOnDrained = [&] { ++drained; };
  });
  auto exchange = mHttp.Start(MakeCall("GET"));
  std::size_t received = 0;
  exchange->mOnBody = [&](std::string_view aBytes) {
    received += aBytes.size();
  };
  BOOST_REQUIRE(RunUntil([&] { return mReply != nullptr; }));
  RunFor(20);
  exchange->PauseReading(true);
  std::string part(1024 * 1024, 'p');
  for (int index = 0; index < 16; ++index) {
    mReply->Chunk(part);
  }
  RunFor(100);
  int drainedBefore = drained;
  BOOST_TEST(mReply->PendingBytes() > part.size());
  BOOST_TEST(received < 16 * part.size());
  exchange->PauseReading(false);
  BOOST_TEST(RunUntil([&] { return received == 16 * part.size(); }));
  BOOST_TEST(RunUntil([&] { return drained > drainedBefore; }));
  BOOST_TEST(mReply->PendingBytes() == 0u);
}

// Guards against work for a caller that has disconnected, and against use of
// its connection afterwards.
BOOST_AUTO_TEST_CASE(caller_disconnect_is_detected)
{
  int closed = 0;
  Serve([&](const HttpRequest&, auto aReply) {
    mReply = aReply;
    mReply->mOnClosed = [&] { ++closed; };
  });
  int caller = ConnectSocket(mAddress.mPort);
  std::string request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
  BOOST_REQUIRE(write(caller, request.data(), request.size()) > 0);
  BOOST_REQUIRE(RunUntil([&] { return mReply != nullptr; }));
  BOOST_TEST(!mReply->IsCallerDisconnected());
  close(caller);
  BOOST_TEST(RunUntil([&] { return mReply->IsCallerDisconnected(); }));
  mReply->Start(200, {});
  for (int index = 0; index < 20 && closed == 0; ++index) {
    mReply->Chunk("x");
    RunFor(5);
  }
  BOOST_TEST(closed == 1);
  BOOST_TEST(!mReply->IsOpen());
  mReply->Chunk("x");
  mReply->End();
}

// Guards against a double free when a server is destroyed while replies are
// outstanding.
BOOST_AUTO_TEST_CASE(server_may_be_destroyed_with_outstanding_replies)
{
  std::vector<std::shared_ptr<HttpReply>> replies;
  int closed = 0;
  Serve([&](const HttpRequest&, auto aReply) {
    replies.push_back(aReply);
    aReply->mOnClosed = [&] { ++closed; };
    if (replies.size() % 2) {
      aReply->Start(200, {});
      aReply->Chunk("begun");
    }
  });
  int broken = 0;
  for (int index = 0; index < 4; ++index) {
    mHttp.Fetch(MakeCall("GET"),
                [&](const HttpResult& aResult) { broken += !aResult; });
  }
  BOOST_REQUIRE(RunUntil([&] { return replies.size() == 4; }));
  mServer.reset();
  BOOST_TEST(closed == 4);
  for (auto& reply : replies) {
    BOOST_TEST(!reply->IsOpen());
    reply->Send(200, {}, "late");
  }
  BOOST_TEST(RunUntil([&] { return broken == 4; }));
}

// Guards against a callback of a cancelled call.
BOOST_AUTO_TEST_CASE(cancelled_call_runs_no_callback)
{
  Serve([&](const HttpRequest&, auto aReply) { mReply = aReply; });
  int called = 0;
  auto exchange =
    mHttp.Fetch(MakeCall("GET"), [&](const HttpResult&) { ++called; });
  BOOST_REQUIRE(RunUntil([&] { return mReply != nullptr; }));
  exchange->Cancel();
  mReply->Send(200, {}, "late");
  RunFor(50);
  // The same for a call that is cancelled before it was sent.
  mHttp.Fetch(MakeCall("GET"), [&](const HttpResult&) { ++called; })->Cancel();
  RunFor(50);
  BOOST_TEST(called == 0);
}

BOOST_AUTO_TEST_SUITE_END()
