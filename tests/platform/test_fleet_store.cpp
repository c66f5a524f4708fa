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

  CallFixture()
  {
    mConnection.Call("GET", "/kv-watch", {}, kTimeoutMs, [this](auto aResult) {
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
  BOOST_TEST(mConnection.LastAnswer().mMs >=
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

BOOST_AUTO_TEST_SUITE_END()
