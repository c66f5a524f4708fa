#include "byte_server.h"
#include "fixture.h"
#include "savory/net/http_link.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace savory;

namespace {

struct LinkFixture : LoopFixture
{
  ByteServer mServer;
  std::shared_ptr<ClientLink> mLink;
  std::string mBody;
  int mStatus = 0;
  std::optional<bool> mReusable;
  std::optional<LinkFailure> mFailure;

  // Sends a request and lets the server accept the connection.
  void SendRequest()
  {
    if (!mLink) {
      mLink = ClientLink::Connect(mLoop, mServer.mAddress, {});
    }
    mBody.clear();
    mReusable.reset();
    mLink->mAcceptsHead = [](const HttpHead& aHead) {
      const std::string* id = FindHeader(aHead.mHeaders, "id");
      return !id || *id == "mine";
    };
    mLink->mOnHead = [this](const HttpHead& aHead) { mStatus = aHead.mStatus; };
    mLink->mOnBody = [this](std::string_view aBytes) { mBody += aBytes; };
    mLink->mOnEnd = [this](bool aReusable) { mReusable = aReusable; };
    mLink->mOnFailed = [this](LinkFailure aFailure) { mFailure = aFailure; };
    HttpHead head;
    head.mMethod = "GET";
    head.mTarget = "/";
    mLink->Send(head, {});
    BOOST_REQUIRE(RunUntil([&] { return mServer.Accept(); }));
  }
  bool RunUntilEnded()
  {
    return RunUntil([&] { return mReusable || mFailure; });
  }
};

// A frontend that passes its requests to the test, and the socket of a caller.
struct FrontendFixture : LoopFixture
{
  std::vector<std::pair<IncomingRequest, std::shared_ptr<CallerLink>>>
    mRequests;
  HttpFrontend mFrontend{ mLoop,
                          [this](const IncomingRequest& aRequest,
                                 const std::shared_ptr<CallerLink>& aCaller) {
                            mRequests.emplace_back(aRequest, aCaller);
                          } };
  int mCaller = -1;

  void Connect()
  {
    int port = mFrontend.Listen("127.0.0.1", 0);
    BOOST_REQUIRE(port != 0);
    mCaller = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    BOOST_REQUIRE(connect(mCaller,
                          reinterpret_cast<sockaddr*>(&address),
                          sizeof address) == 0);
  }
  ~FrontendFixture()
  {
    if (mCaller >= 0) {
      close(mCaller);
    }
  }
  void SendBytes(std::string_view aBytes) const
  {
    BOOST_REQUIRE(write(mCaller, aBytes.data(), aBytes.size()) ==
                  static_cast<ssize_t>(aBytes.size()));
  }
  bool RunUntilRequests(std::size_t aCount)
  {
    return RunUntil([&] { return mRequests.size() >= aCount; });
  }
  // Runs the loop for 30 ms and returns what the caller has received since the
  // last call.
  std::string ReceivedBytes()
  {
    RunFor(30);
    std::string text(65536, '\0');
    ssize_t size = recv(mCaller, text.data(), text.size(), MSG_DONTWAIT);
    text.resize(static_cast<std::size_t>(std::max<ssize_t>(0, size)));
    return text;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(client_link, LinkFixture)

// Guards against an answer to an earlier request that is relayed to a caller.
BOOST_AUTO_TEST_CASE(late_answer_to_another_request_is_skipped)
{
  SendRequest();
  mServer.Write("HTTP/1.1 200 OK\r\nid: other\r\nContent-Length: 3\r\n\r\nbad"
                "HTTP/1.1 200 OK\r\nid: mine\r\nContent-Length: 4\r\n\r\ngood");
  BOOST_REQUIRE(RunUntilEnded());
  BOOST_TEST(mBody == "good");
  BOOST_TEST(mReusable.value_or(false));
}

// Guards against a server that writes other answers without end where the one
// to the request is due.
BOOST_AUTO_TEST_CASE(endless_other_answers_fail_the_request)
{
  SendRequest();
  std::string others;
  for (int i = 0; i < 1000; ++i) {
    others += "HTTP/1.1 200 OK\r\nid: other\r\nContent-Length: 0\r\n\r\n";
  }
  mServer.Write(others);
  BOOST_REQUIRE(RunUntilEnded());
  BOOST_TEST((mFailure == LinkFailure::Malformed));
}

// Guards against bytes after a complete answer that would be parsed as the
// answer to the next request.
BOOST_AUTO_TEST_CASE(connection_with_extra_bytes_is_not_reused)
{
  SendRequest();
  mServer.Write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokextra");
  BOOST_REQUIRE(RunUntilEnded());
  BOOST_TEST(mBody == "ok");
  BOOST_TEST(!mReusable.value_or(true));
}

// Guards against a truncated answer that counts as complete.
BOOST_AUTO_TEST_CASE(truncated_answers_fail)
{
  struct Row
  {
    const char* mName;
    const char* mBytes;
    bool mReset;
  };
  for (const Row& row : {
         Row{ "length",
              "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart",
              false },
         Row{ "chunks",
              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
              "4\r\npart\r\n",
              false },
         Row{ "no length, reset", "HTTP/1.1 200 OK\r\n\r\npart", true },
         Row{ "no answer", "", false },
         Row{ "no HTTP", "nonsense\r\n\r\n", false },
       }) {
    BOOST_TEST_CONTEXT(row.mName)
    {
      mLink = nullptr;
      mFailure.reset();
      SendRequest();
      RunFor(5);
      mServer.Write(row.mBytes);
      RunFor(5);
      row.mReset ? mServer.Reset() : mServer.End();
      BOOST_REQUIRE(RunUntilEnded());
      BOOST_TEST(mFailure.has_value());
      BOOST_TEST(!mReusable.has_value());
    }
  }
}

// Guards against a complete answer without a length that counts as broken.
BOOST_AUTO_TEST_CASE(answer_may_end_with_its_connection)
{
  SendRequest();
  mServer.Write("HTTP/1.1 200 OK\r\n\r\nwhole");
  RunFor(5);
  mServer.End();
  BOOST_REQUIRE(RunUntilEnded());
  BOOST_TEST(mBody == "whole");
  BOOST_TEST(!mReusable.value_or(true));
}

// Guards against use after free when a link is closed from its own callback.
BOOST_AUTO_TEST_CASE(link_may_be_closed_in_its_head_callback)
{
  SendRequest();
  mLink->mOnHead = [this](const HttpHead&) { mLink->Close(); };
  mServer.Write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody");
  RunFor(30);
  BOOST_TEST(!mLink->IsOpen());
  BOOST_TEST(mBody.empty());
  BOOST_TEST(!mReusable.has_value());
}

// Guards against a request that was given up and reaches the server later, when
// the path is back: the kernel goes on sending after a regular close.
BOOST_AUTO_TEST_CASE(link_with_an_outstanding_request_is_reset)
{
  SendRequest();
  mServer.Write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbo");
  RunFor(10);
  mLink->Close();
  RunFor(10);
  BOOST_TEST(mServer.IsResetByClient());
  // Without one the connection ends in order.
  mServer.End();
  mLink = nullptr;
  SendRequest();
  mServer.Write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  BOOST_REQUIRE(RunUntilEnded());
  mLink->Close();
  RunFor(10);
  BOOST_TEST(!mServer.IsResetByClient());
}

// Guards against a crash when a connection ends before its answer begins: the
// parser asserts that it has received at least one byte.
BOOST_AUTO_TEST_CASE(connection_end_before_the_answer_is_a_failure)
{
  SendRequest();
  mServer.End();
  BOOST_REQUIRE(RunUntilEnded());
  BOOST_TEST((mFailure == LinkFailure::Broken));
}

// Guards against a request that counts as sent although the connection was
// refused, and against a crashed process that is taken for a lost path.
BOOST_AUTO_TEST_CASE(refused_connection_is_not_connected)
{
  close(mServer.mListener);
  mLink = ClientLink::Connect(mLoop, mServer.mAddress, {});
  mLink->mOnFailed = [this](LinkFailure aFailure) { mFailure = aFailure; };
  BOOST_REQUIRE(RunUntilEnded());
  BOOST_TEST((mFailure == LinkFailure::Refused));
  BOOST_TEST(IsNeverSent(*mFailure));
}

// Guards against a server that is out of reach and counts as crashed.
BOOST_AUTO_TEST_CASE(connection_that_times_out_is_not_refused)
{
  // A full accept queue drops further connections.
  listen(mServer.mListener, 0);
  std::array<std::shared_ptr<ClientLink>, 4> waiting;
  for (auto& link : waiting) {
    link = ClientLink::Connect(mLoop, mServer.mAddress, {});
  }
  RunFor(20);
  mLink = ClientLink::Connect(mLoop, mServer.mAddress, { 100, 100 });
  mLink->mOnFailed = [this](LinkFailure aFailure) { mFailure = aFailure; };
  BOOST_REQUIRE(RunUntilEnded());
  BOOST_TEST((mFailure == LinkFailure::NotConnected));
  BOOST_TEST(IsNeverSent(*mFailure));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(http_frontend, FrontendFixture)

// Guards against request smuggling and other framing that two parsers could
// interpret differently.
BOOST_AUTO_TEST_CASE(ambiguous_requests_are_rejected)
{
  for (const char* text : {
         "POST / HTTP/1.1\r\nContent-Length: 3\r\n"
         "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
         "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: "
         "4\r\n\r\nabcd",
         "POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n",
         "GET / HTTP/1.1\r\nBad Name: 1\r\n\r\n",
         "nonsense\r\n\r\n",
       }) {
    FrontendFixture frontend;
    frontend.Connect();
    frontend.SendBytes(text);
    std::string received = frontend.ReceivedBytes();
    BOOST_TEST(received.starts_with("HTTP/1.1 400"), text);
    BOOST_TEST(frontend.mRequests.empty());
  }
}

// Guards against chunks that a caller of HTTP/1.0 takes for the body, and
// against a stream that was broken off and looks complete to it.
BOOST_AUTO_TEST_CASE(stream_to_an_older_caller_ends_with_its_connection)
{
  for (bool isBrokenOff : { false, true }) {
    FrontendFixture frontend;
    frontend.Connect();
    frontend.SendBytes("GET /a HTTP/1.0\r\nHost: h\r\n"
                       "Connection: keep-alive\r\n\r\n");
    BOOST_REQUIRE(frontend.RunUntilRequests(1));
    auto caller = frontend.mRequests[0].second;
    caller->Start(200, {}, std::nullopt);
    caller->Write("one");
    std::string received = frontend.ReceivedBytes();
    BOOST_TEST(received.ends_with("\r\nConnection: close\r\n\r\none"),
               received);
    BOOST_TEST(received.find("chunked") == std::string::npos);
    isBrokenOff ? caller->Abort() : caller->Finish();
    frontend.RunFor(10);
    char byte = 0;
    ssize_t size = recv(frontend.mCaller, &byte, 1, MSG_DONTWAIT);
    BOOST_TEST((size < 0 && errno == ECONNRESET) == isBrokenOff);
    BOOST_TEST((size == 0) == !isBrokenOff);
  }
}

// Guards against unbounded memory for the headers or body of a caller.
BOOST_AUTO_TEST_CASE(limits_are_enforced)
{
  FrontendLimits limits;
  limits.mMaxHeaderBytes = 1000;
  limits.mMaxBodyBytes = 10;
  mFrontend.SetLimits(limits);
  Connect();
  SendBytes("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n");
  BOOST_TEST(ReceivedBytes().starts_with("HTTP/1.1 413"));
  FrontendFixture other;
  other.mFrontend.SetLimits(limits);
  other.Connect();
  other.SendBytes("GET / HTTP/1.1\r\nX: " + std::string(2000, 'x') +
                  "\r\n\r\n");
  BOOST_TEST(other.ReceivedBytes().starts_with("HTTP/1.1 431"));
}

// Guards against work that continues after its caller has disconnected.
BOOST_AUTO_TEST_CASE(caller_disconnect_is_reported)
{
  Connect();
  SendBytes("GET / HTTP/1.1\r\n\r\n");
  BOOST_REQUIRE(RunUntilRequests(1));
  bool closed = false;
  mRequests[0].second->mOnClosed = [&] { closed = true; };
  close(std::exchange(mCaller, -1));
  BOOST_TEST(RunUntil([&] { return closed; }));
}

// Guards against an aborted answer that looks complete to the caller.
BOOST_AUTO_TEST_CASE(aborted_answer_has_no_last_chunk)
{
  Connect();
  SendBytes("GET / HTTP/1.1\r\n\r\n");
  BOOST_REQUIRE(RunUntilRequests(1));
  auto& caller = mRequests[0].second;
  caller->Start(200, {}, std::nullopt);
  caller->Write("part");
  RunFor(10);
  caller->Abort();
  std::string received = ReceivedBytes();
  BOOST_TEST(received.find("part") != std::string::npos);
  BOOST_TEST(received.find("\r\n0\r\n") == std::string::npos);
}

// Guards against interleaved answers to two requests on one connection.
BOOST_AUTO_TEST_CASE(pipelined_requests_are_answered_in_turn)
{
  Connect();
  SendBytes("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
  BOOST_REQUIRE(RunUntilRequests(1));
  RunFor(20);
  BOOST_TEST(mRequests.size() == 1U);
  mRequests[0].second->Respond(200, {}, "one");
  BOOST_REQUIRE(RunUntilRequests(2));
  BOOST_TEST(mRequests[1].first.mHead.mTarget == "/2");
  mRequests[1].second->Respond(200, {}, "two");
  std::string received = ReceivedBytes();
  BOOST_TEST(received.find("one") < received.find("two"));
}

// Guards against a truncated answer when a connection is closed as idle in the
// same iteration of the loop in which its answer was finished, before the
// socket has accepted the last chunk.
BOOST_AUTO_TEST_CASE(closing_idle_connections_keeps_answers_whole)
{
  Connect();
  SendBytes("GET / HTTP/1.1\r\n\r\n");
  BOOST_REQUIRE(RunUntilRequests(1));
  auto& caller = mRequests[0].second;
  caller->Start(200, {}, std::nullopt);
  RunFor(10);
  mFrontend.StartDrain();
  caller->Write("whole");
  caller->Finish();
  mFrontend.CloseIdle();
  BOOST_TEST(ReceivedBytes().ends_with("whole\r\n0\r\n\r\n"));
  BOOST_TEST(RunUntil([&] { return mFrontend.LinkCount() == 0; }));
}

// Guards against callers that send a request byte by byte or keep idle
// connections forever.
BOOST_AUTO_TEST_CASE(slow_and_idle_callers_are_disconnected)
{
  FrontendLimits limits;
  limits.mHeaderTimeoutMs = 100;
  limits.mIdleTimeoutMs = 200;
  mFrontend.SetLimits(limits);
  Connect();
  SendBytes("GET / HT");
  RunFor(1200);
  BOOST_TEST(ReceivedBytes().starts_with("HTTP/1.1 408"));
  FrontendFixture idle;
  idle.mFrontend.SetLimits(limits);
  idle.Connect();
  BOOST_TEST(idle.RunUntil([&] { return idle.mFrontend.LinkCount() == 1; }));
  BOOST_TEST(idle.RunUntil([&] { return idle.mFrontend.LinkCount() == 0; }));
}

BOOST_AUTO_TEST_SUITE_END()
