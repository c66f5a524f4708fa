#include "savory/core/prefill_queue.h"

#include <boost/test/unit_test.hpp>

using namespace savory;

BOOST_AUTO_TEST_SUITE(prefill_queue)

// Guards against two hosts that send long prompts to the same idle engine: a
// peer's prefill must count in the queue time, which decreases as time passes.
BOOST_AUTO_TEST_CASE(prefill_of_a_peer_counts_until_it_is_done)
{
  PrefillQueue queue;
  AddPrefill(queue, { 1000, 400, 0 });
  AddPrefill(queue, { 1100, 300, 7 });
  BOOST_TEST(EstimateQueueMs(queue, 1100) == 600);
  BOOST_TEST(EstimateQueueMs(queue, 1500) == 200);
}

// Guards against a queue that still holds earlier prompts of peers after an
// answer has shown that their prefill is done.
BOOST_AUTO_TEST_CASE(answer_confirms_earlier_prefills)
{
  PrefillQueue queue;
  AddPrefill(queue, { 1000, 2000, 0 });
  AddPrefill(queue, { 1010, 50, 7 });
  AddPrefill(queue, { 1020, 100, 0 });
  OnPrefillDone(queue, 7, 1020);
  BOOST_TEST(EstimateQueueMs(queue, 1020) == 100);
}

// Guards against an engine that is slower than estimated and looks idle: a
// prompt that is overdue must still count in the queue time.
BOOST_AUTO_TEST_CASE(overdue_prefill_counts_as_busy)
{
  PrefillQueue queue;
  AddPrefill(queue, { 1000, 100, 7 });
  BOOST_TEST(EstimateQueueMs(queue, 1150) == 50);
  BOOST_TEST(EstimateQueueMs(queue, 2000) == 100);
  CancelPrefill(queue, 7);
  BOOST_TEST(EstimateQueueMs(queue, 2000) == 0);
}

// Guards against a backlog that is forgotten while it waits: a prompt in a
// queue of seconds is not done after a multiple of its own prefill. Hosts that
// took the engine for idle sent it all prompts that share a part.
BOOST_AUTO_TEST_CASE(backlog_of_peers_lasts_until_it_is_done)
{
  PrefillQueue queue;
  for (TimeMs sent = 0; sent < 100; sent += 5) {
    AddPrefill(queue, { sent, 300, 0 });
    ExpirePeerPrefills(queue, sent);
  }
  for (TimeMs now = 100; now < 6000; now += 100) {
    ExpirePeerPrefills(queue, now);
    BOOST_REQUIRE_EQUAL(EstimateQueueMs(queue, now), 6000 - now);
  }
  ExpirePeerPrefills(queue, 6000);
  BOOST_TEST(queue.mItems.empty());
}

// Guards against prompts that count as read while the engine still read those
// before them.
BOOST_AUTO_TEST_CASE(prompts_behind_one_that_is_done_start_then)
{
  PrefillQueue queue;
  AddPrefill(queue, { 1000, 100, 7 });
  AddPrefill(queue, { 1010, 400, 0 });
  OnPrefillDone(queue, 7, 1300);
  BOOST_TEST(EstimateQueueMs(queue, 1300) == 400);
}

// Guards against memory that grows with each prompt of a peer.
BOOST_AUTO_TEST_CASE(prefills_of_peers_expire)
{
  PrefillQueue queue;
  for (TimeMs now = 0; now < 100000; now += 10) {
    AddPrefill(queue, { now, 8, 0 });
    ExpirePeerPrefills(queue, now);
  }
  BOOST_TEST(queue.mItems.size() < 10);
}

BOOST_AUTO_TEST_SUITE_END()
