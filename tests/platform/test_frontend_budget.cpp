#include "fixture.h"
#include "savory/net/http_link.h"
#include "savory/net/socket_address.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <memory>

using namespace savory;

namespace {

constexpr std::size_t kBodyBytes = std::size_t{ 600 } * 1024;

using Caller = std::unique_ptr<bufferevent, decltype(&bufferevent_free)>;

// A frontend with a budget for one body, which passes its requests to the test.
struct BudgetFixture : LoopFixture
{
  std::shared_ptr<ByteBudget> mBudget = std::make_shared<ByteBudget>();
  std::vector<std::pair<std::string, std::shared_ptr<CallerLink>>> mRequests;
  HttpFrontend mFrontend{ mLoop,
                          [this](IncomingRequest& aRequest,
                                 const std::shared_ptr<CallerLink>& aCaller) {
                            mRequests.emplace_back(std::move(aRequest.mBody),
                                                   aCaller);
                          },
                          mBudget };
  std::vector<std::string> mRefusals;
  int mPort = 0;

  BudgetFixture()
  {
    mBudget->mOptions.mCapacityBytes = kBodyBytes + kBodyBytes / 2;
    mFrontend.mOnRefused = [this](std::string_view aReason) {
      mRefusals.emplace_back(aReason);
    };
    mPort = mFrontend.Listen("127.0.0.1", 0);
  }
  Caller Connect()
  {
    Caller caller(
      bufferevent_socket_new(mLoop.Base(), -1, BEV_OPT_CLOSE_ON_FREE),
      &bufferevent_free);
    auto address = ParseSocketAddress("127.0.0.1", mPort);
    bufferevent_socket_connect(
      caller.get(), reinterpret_cast<sockaddr*>(&*address), sizeof *address);
    bufferevent_enable(caller.get(), EV_READ | EV_WRITE);
    return caller;
  }
  static void Send(const Caller& aCaller, const std::string& aBytes)
  {
    bufferevent_write(aCaller.get(), aBytes.data(), aBytes.size());
  }
  // Sends a body of kBodyBytes without its last aMissing bytes.
  static void SendBody(const Caller& aCaller, std::size_t aMissing)
  {
    Send(aCaller,
         "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(kBodyBytes) +
           "\r\n\r\n" + std::string(kBodyBytes - aMissing, 'b'));
  }
  static std::string Received(const Caller& aCaller)
  {
    evbuffer* input = bufferevent_get_input(aCaller.get());
    std::string text(evbuffer_get_length(input), '\0');
    evbuffer_copyout(input, text.data(), text.size());
    return text;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(frontend_budget, BudgetFixture)

// Guards against a caller that waits for memory and is not read again when the
// memory is free, and against a body that lost bytes meanwhile.
BOOST_AUTO_TEST_CASE(waiting_body_arrives_when_another_was_answered)
{
  Caller first = Connect();
  SendBody(first, 0);
  BOOST_REQUIRE(RunUntil([&] { return mRequests.size() == 1U; }));
  Caller second = Connect();
  SendBody(second, 0);
  BOOST_REQUIRE(RunUntil([&] { return mBudget->mWaitingCount == 1U; }));
  RunFor(100);
  BOOST_TEST(mRequests.size() == 1U);
  mRequests[0].second->Respond(200, {}, "one");
  BOOST_REQUIRE(RunUntil([&] { return mRequests.size() == 2U; }, 1000));
  BOOST_TEST(mRequests[1].first == std::string(kBodyBytes, 'b'));
  mRequests[1].second->Respond(200, {}, "two");
  BOOST_TEST(RunUntil([&] { return Received(second).ends_with("two"); }));
  BOOST_TEST(mBudget->mSharedBytes == 0U);
  BOOST_TEST(mRefusals.empty());
}

// Guards against a body that stops short of its end and keeps its memory while
// another caller waits, and against a short request that waits for it.
BOOST_AUTO_TEST_CASE(stalled_body_gives_way)
{
  Caller stalled = Connect();
  SendBody(stalled, 1);
  BOOST_REQUIRE(
    RunUntil([&] { return mBudget->mSharedBytes > kBodyBytes / 2; }));
  RunFor(50);
  Caller other = Connect();
  SendBody(other, 0);
  Caller small = Connect();
  Send(small, "GET / HTTP/1.1\r\n\r\n");
  BOOST_REQUIRE(RunUntil([&] { return mRequests.size() == 1U; }, 500));
  BOOST_TEST(mRequests[0].first.empty());
  BOOST_REQUIRE(RunUntil([&] { return mRequests.size() == 2U; }));
  BOOST_TEST(mRequests[1].first.size() == kBodyBytes);
  BOOST_TEST(mRefusals == std::vector<std::string>{ "stalled" });
  BOOST_TEST(Received(stalled).starts_with("HTTP/1.1 408"));
}

// Guards against a wait without end: complete requests are not shed, so that
// the caller is told to come back.
BOOST_AUTO_TEST_CASE(body_without_headroom_is_refused)
{
  mBudget->mOptions.mMaxWaitMs = 300;
  Caller first = Connect();
  SendBody(first, 0);
  BOOST_REQUIRE(RunUntil([&] { return mRequests.size() == 1U; }));
  Caller second = Connect();
  SendBody(second, 0);
  BOOST_REQUIRE(RunUntil([&] { return !mRefusals.empty(); }));
  BOOST_TEST(mRefusals[0] == "no-headroom");
  BOOST_TEST(mRequests[0].second->IsOpen());
  BOOST_TEST(mBudget->mWaitingCount == 0U);
}

// Guards against connections beyond the descriptors, against idle ones that
// keep others out, and against a listener that stays paused.
BOOST_AUTO_TEST_CASE(connections_are_bounded)
{
  mFrontend.SetMaxLinks(3);
  std::vector<Caller> idle;
  for (int i = 0; i < 6; ++i) {
    idle.push_back(Connect());
    RunFor(10);
    BOOST_TEST(mFrontend.LinkCount() <= 3U);
  }
  // Connections with a request are not closed for others, which then wait.
  std::vector<Caller> busy;
  for (int i = 0; i < 4; ++i) {
    busy.push_back(Connect());
    Send(busy.back(), "GET / HTTP/1.1\r\n\r\n");
    RunFor(10);
  }
  BOOST_TEST(mRequests.size() == 3U);
  mRequests[0].second->Respond(200, {}, {});
  busy[0].reset();
  BOOST_TEST(RunUntil([&] { return mRequests.size() == 4U; }));
}

BOOST_AUTO_TEST_SUITE_END()
