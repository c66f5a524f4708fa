#include "savory/core/prefill_queue.h"

#include <boost/test/unit_test.hpp>

using namespace savory;

BOOST_AUTO_TEST_SUITE(prefill_queue)

// Guards against two hosts that send long prompts to one idle engine: the
// peer's work must count, and be worked off as time goes by.
BOOST_AUTO_TEST_CASE(work_of_a_peer_counts_until_it_is_read)
{
  PrefillQueue queue;
  AddPrefill(queue, { 1000, 400, 0 });
  AddPrefill(queue, { 1100, 300, 7 });
  BOOST_TEST(EstimateQueueMs(queue, 1100) == 600);
  BOOST_TEST(EstimateQueueMs(queue, 1500) == 200);
}

// Guards against a queue that lasts after an answer has shown that all
// earlier prompts were read.
BOOST_AUTO_TEST_CASE(answer_confirms_what_was_sent_before)
{
  PrefillQueue queue;
  AddPrefill(queue, { 1000, 2000, 0 });
  AddPrefill(queue, { 1010, 50, 7 });
  AddPrefill(queue, { 1020, 100, 0 });
  OnPrefillDone(queue, 7);
  BOOST_TEST(EstimateQueueMs(queue, 1020) == 100);
}

// Guards against an engine that is slower than was thought: a prompt that is
// overdue keeps it from looking idle.
BOOST_AUTO_TEST_CASE(overdue_work_keeps_the_engine_busy)
{
  PrefillQueue queue;
  AddPrefill(queue, { 1000, 100, 7 });
  BOOST_TEST(EstimateQueueMs(queue, 1150) == 50);
  BOOST_TEST(EstimateQueueMs(queue, 2000) == 100);
  CancelPrefill(queue, 7);
  BOOST_TEST(EstimateQueueMs(queue, 2000) == 0);
}

// Guards against memory that grows with each prompt of a peer.
BOOST_AUTO_TEST_CASE(peers_work_is_forgotten)
{
  PrefillQueue queue;
  for (TimeMs now = 0; now < 100000; now += 10) {
    AddPrefill(queue, { now, 8, 0 });
    ExpirePeerPrefills(queue, now);
  }
  BOOST_TEST(queue.mItems.size() < 10);
}

BOOST_AUTO_TEST_SUITE_END()
