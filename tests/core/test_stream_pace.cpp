#include "savory/core/stream_pace.h"

#include <boost/test/unit_test.hpp>

using namespace savory;

namespace {

// A stream of events at a fixed interval.
StreamProgress
MakeStream(int aEvents, TimeMs aEventMs)
{
  StreamProgress progress;
  for (int i = 0; i < aEvents; ++i) {
    OnEvents(progress, 1, i * aEventMs);
  }
  return progress;
}

StreamPace
MakeUsualPace()
{
  StreamPace pace;
  for (int i = 0; i < 20; ++i) {
    UpdatePace(pace, MakeStream(30, 60));
  }
  return pace;
}

} // namespace

BOOST_AUTO_TEST_SUITE(stream_pace)

// Guards against an answer of a slow runner that starts in time, sends one
// event per half second and misses the deadline (incident inc-cb59).
BOOST_AUTO_TEST_CASE(slow_stream_migrates_before_its_deadline)
{
  StreamPace pace = MakeUsualPace();
  BOOST_TEST(IsSlow(pace, MakeStream(8, 500)));
  BOOST_TEST(ShouldMigrate(pace, MakeStream(8, 500), 4000));
}

// Guards against streams that are moved without need.
BOOST_AUTO_TEST_CASE(other_streams_are_not_migrated)
{
  StreamPace pace = MakeUsualPace();
  struct Row
  {
    const char* mName;
    StreamProgress mProgress;
    TimeMs mRemainingMs;
  };
  for (const Row& row : {
         Row{ "usual pace", MakeStream(10, 60), 500 },
         Row{ "slow with enough time", MakeStream(8, 500), 20000 },
         Row{ "slow, may recover", MakeStream(8, 500), 8000 },
         Row{ "slow without time to restart", MakeStream(8, 500), 1500 },
         Row{ "too few events to tell", MakeStream(4, 2000), 10000 },
         Row{
           "slowed by the prefill of a long prompt", MakeStream(8, 300), 4000 },
       }) {
    BOOST_TEST(!ShouldMigrate(pace, row.mProgress, row.mRemainingMs),
               row.mName);
  }
  BOOST_TEST(!ShouldMigrate(StreamPace{}, MakeStream(8, 500), 4000));
}

BOOST_AUTO_TEST_SUITE_END()
