#include "fixture.h"
#include "savory/net/http_link.h"
#include "savory/platform/cloud_api.h"
#include "savory/platform/fleet_settings.h"

using namespace savory;

namespace {

// A cloud interface that answers with a status, or not at all.
struct CloudFixture : LoopFixture
{
  std::vector<IncomingRequest> mRequests;
  int mStatus = 200;
  HttpFrontend mServer{ mLoop,
                        [this](const IncomingRequest& aRequest,
                               const std::shared_ptr<CallerLink>& aCaller) {
                          mRequests.push_back(aRequest);
                          if (mStatus > 0) {
                            aCaller->Respond(mStatus, {}, {});
                          }
                        } };
  int mPort = mServer.Listen("127.0.0.1", 0);
  CloudApi mCloud{ mLoop, { "127.0.0.1", mPort } };

  CloudResult Report(bool aMaySend = true)
  {
    CloudCall call =
      MakeUsageCall({ 353445120, { { "fida11", 412 }, { "hule930", 7 } }, 3 });
    call.mHolder = "edge-1";
    call.mToken = (std::int64_t{ 2 } << 40) + 9;
    return Wait<CloudResult>([&](auto aCallback) {
      mCloud.Call(
        call, 200, [aMaySend] { return aMaySend; }, aCallback);
    });
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(cloud_api, CloudFixture)

// Guards against a report that the platform cannot read.
BOOST_AUTO_TEST_CASE(report_has_headers_and_counts)
{
  BOOST_TEST((Report() == CloudResult::Accepted));
  const IncomingRequest& request = mRequests.at(0);
  BOOST_TEST(request.mHead.mMethod == "POST");
  BOOST_TEST(request.mHead.mTarget == "/usage");
  BOOST_TEST(*FindHeader(request.mHead.mHeaders, "Duty-Holder") == "edge-1");
  BOOST_TEST(*FindHeader(request.mHead.mHeaders, "Fencing-Token") ==
             "2199023255561");
  BOOST_TEST(request.mBody ==
             R"({"counts":{"fida11":412,"hule930":7},"windowId":353445120})");
}

// Guards against a refusal for the token that is taken for another failure, a
// result of an earlier call that ends a later one, and a call without an answer
// that is taken for one that was not executed.
BOOST_AUTO_TEST_CASE(results_are_told_apart)
{
  for (auto [status, result] : { std::pair(409, CloudResult::Fenced),
                                 std::pair(0, CloudResult::Unknown),
                                 std::pair(429, CloudResult::Busy),
                                 std::pair(400, CloudResult::Refused),
                                 std::pair(503, CloudResult::Unknown),
                                 std::pair(200, CloudResult::Accepted) }) {
    mStatus = status;
    BOOST_TEST((Report() == result));
    BOOST_TEST(!mCloud.IsBusy());
  }
  CloudApi closed(mLoop, { "127.0.0.1", 1 });
  auto result = Wait<CloudResult>([&](auto aCallback) {
    closed.Call(
      {}, 200, [] { return true; }, aCallback);
  });
  BOOST_TEST((result == CloudResult::Unreachable));
}

// Guards against a call that is written although the lease has ended while the
// connection was established.
BOOST_AUTO_TEST_CASE(call_is_withheld_without_the_lease)
{
  BOOST_TEST((Report(false) == CloudResult::Withheld));
  RunFor(30);
  BOOST_TEST(mRequests.empty());
}

// Guards against a seal that is read with other counts than were written, and
// against odd documents of other writers.
BOOST_AUTO_TEST_CASE(documents_are_read_as_written)
{
  SealedUsage seal{ 353445120, { { "fida11", 412 }, { "\"x\"", 7 } }, 0 };
  auto read = ParseUsageSeal(FormatUsageSeal(seal), 12);
  BOOST_REQUIRE(read);
  BOOST_TEST((read->mCounts == seal.mCounts));
  BOOST_TEST(read->mWindow == seal.mWindow);
  BOOST_TEST(read->mRevision == 12);
  for (const char* text : { "",
                            "[]",
                            "{}",
                            R"({"window":-1,"counts":{}})",
                            R"({"window":1,"counts":{"a":-1}})",
                            R"({"window":1,"counts":[1]})",
                            R"({"window":1,"counts":{"a":1e99}})" }) {
    BOOST_TEST(!ParseUsageSeal(text, 1));
  }
  BOOST_TEST((ParseUsageSent(FormatUsageSent({ 3, 5 })) ==
              std::set<std::int64_t>{ 3, 5 }));
  for (const char* text : { "", "{}", R"({"windows":[1.5]})" }) {
    BOOST_TEST(!ParseUsageSent(text));
  }
}

// Guards against settings of the duties that are not read, and against ones
// that divide by zero.
BOOST_AUTO_TEST_CASE(settings_of_duties_are_read)
{
  const std::string start =
    R"({"nodeName":"n","zone":"z","ip":"10.0.0.1","listen":)"
    R"({"frontend":"10.0.0.1:1","readyAddress":"10.0.0.1:2"},)"
    R"("platform":{"address":"10.0.0.9:4"})";
  BOOST_TEST(ParseFleetSettings(start + "}")->mDuties.empty());
  auto settings = ParseFleetSettings(
    start + R"(,"cloudApi":{"address":"10.0.0.9:5","ratePerS":20,)"
            R"("dutyPerS":5,"duties":["usage_report"]},"bounds":)"
            R"({"leaseMs":3000,"thawMs":250,"reportWindowS":5,)"
            R"("usageLateS":10}})");
  BOOST_REQUIRE(settings);
  BOOST_TEST(settings->mCloudApi.mPort == 5);
  BOOST_TEST(settings->mDuties.at(0) == "usage_report");
  BOOST_TEST(settings->mDutyMarginMs == 250);
  BOOST_TEST(settings->mUsageWindowMs == 5000);
  BOOST_TEST(!ParseFleetSettings(start +
                                 R"(,"cloudApi":{"address":"10.0.0.9:5"},)"
                                 R"("bounds":{"reportWindowS":0}})"));
}

BOOST_AUTO_TEST_SUITE_END()
