#include "byte_server.h"
#include "fixture.h"
#include "savory/platform/fleet_store.h"

#include <boost/test/unit_test.hpp>

using namespace savory;

namespace {

constexpr TimeMs kTimeoutMs = 300;

// A call whose answer the test writes byte by byte.
struct CallFixture : LoopFixture
{
  ByteServer mServer;
  FleetStoreConnection mConnection{ mLoop, mServer.mAddress };
  std::optional<tl::expected<HttpResponse, StoreError>> mResult;

  CallFixture() { Call("GET"); }

  void Call(const char* aMethod)
  {
    mServer.End();
    mResult.reset();
    mConnection.Call(aMethod, "/kv", {}, kTimeoutMs, [this](auto aResult) {
      mResult = std::move(aResult);
    });
    BOOST_REQUIRE(RunUntil([this] { return mServer.Accept(); }));
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(fleet_store, CallFixture)

// Guards against a long answer over a slow link that is begun again and again.
BOOST_AUTO_TEST_CASE(long_answer_is_not_given_up_while_it_arrives)
{
  constexpr int kPieces = 10;
  mServer.Write("HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n");
  for (int piece = 0; piece < kPieces; ++piece) {
    RunFor(100);
    BOOST_REQUIRE(!mResult);
    mServer.Write("part");
  }
  BOOST_REQUIRE(RunUntil([this] { return mResult.has_value(); }));
  BOOST_REQUIRE(mResult->has_value());
  BOOST_TEST((*mResult)->mBody.size() == 40U);
  BOOST_TEST(mConnection.LastAnswer().mBytes == 40U);
  BOOST_TEST(mConnection.LastAnswer().mTransferMs >= 900);
  BOOST_TEST(mConnection.LastAnswer().mTotalMs >=
             mConnection.LastAnswer().mTransferMs);
}

// Guards against a wait for a peer that stands still in the middle of an
// answer.
BOOST_AUTO_TEST_CASE(answer_that_stops_arriving_is_given_up)
{
  mServer.Write("HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\npart");
  TimeMs startMs = MonotonicMs();
  BOOST_REQUIRE(RunUntil([this] { return mResult.has_value(); }));
  BOOST_TEST(!mResult->has_value());
  BOOST_TEST(MonotonicMs() - startMs < 1500);
  BOOST_TEST(mConnection.LastAnswer().mBytes == 4U);
}

// Guards against a silent peer that is waited for longer than was asked.
BOOST_AUTO_TEST_CASE(answer_that_does_not_begin_is_given_up)
{
  TimeMs startMs = MonotonicMs();
  BOOST_REQUIRE(RunUntil([this] { return mResult.has_value(); }));
  BOOST_TEST(!mResult->has_value());
  BOOST_TEST(MonotonicMs() - startMs < 2 * kTimeoutMs);
}

// Guards against a renewal of a lease that is waited for beyond its time.
BOOST_AUTO_TEST_CASE(answer_to_a_write_is_complete_in_time)
{
  Call("POST");
  TimeMs startMs = MonotonicMs();
  mServer.Write("HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n");
  while (!mResult && MonotonicMs() - startMs < 4 * kTimeoutMs) {
    RunFor(50);
    if (!mResult) {
      mServer.Write("x");
    }
  }
  BOOST_REQUIRE(mResult);
  BOOST_TEST(!mResult->has_value());
  BOOST_TEST(MonotonicMs() - startMs < 2 * kTimeoutMs);
}

// Guards against an answer without a stated length that fills the memory.
BOOST_AUTO_TEST_CASE(answer_of_unknown_length_is_limited)
{
  mConnection.LimitAnswer(10);
  mServer.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                "8\r\n12345678\r\n");
  RunFor(50);
  BOOST_TEST(!mResult);
  mServer.Write("8\r\n12345678\r\n");
  BOOST_REQUIRE(RunUntil([this] { return mResult.has_value(); }, 500));
  BOOST_REQUIRE(!mResult->has_value());
  BOOST_TEST(mResult->error().mReason == kAnswerTooLong);
}

// Guards against the rest of an answer that has become needless on its way.
BOOST_AUTO_TEST_CASE(limit_ends_an_answer_that_has_begun)
{
  mServer.Write("HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\npart");
  RunFor(50);
  BOOST_REQUIRE(!mResult);
  mConnection.LimitAnswer(10);
  BOOST_REQUIRE(mResult);
  BOOST_REQUIRE(!mResult->has_value());
  BOOST_TEST(mResult->error().mReason == kAnswerTooLong);
  // The reset is reported once.
  bool isReset = false;
  BOOST_TEST(RunUntil(
    [&] { return isReset = isReset || mServer.IsResetByClient(); }, 500));
}

BOOST_AUTO_TEST_SUITE_END()
