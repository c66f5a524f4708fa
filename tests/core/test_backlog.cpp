#include "savory/core/backlog.h"

#include <boost/test/unit_test.hpp>

using namespace savory;

BOOST_AUTO_TEST_SUITE(backlog)

// Guards against two hosts that send long prompts to one idle engine: the
// peer's work must count, and be worked off as time goes by.
BOOST_AUTO_TEST_CASE(work_of_a_peer_counts_until_it_is_read)
{
  Backlog backlog;
  AddWork(backlog, { 1000, 400, 0 });
  AddWork(backlog, { 1100, 300, 7 });
  BOOST_TEST(BacklogMs(backlog, 1100) == 600);
  BOOST_TEST(BacklogMs(backlog, 1500) == 200);
}

// Guards against a backlog that lasts after an answer has shown that all
// earlier prompts were read.
BOOST_AUTO_TEST_CASE(answer_confirms_what_was_sent_before)
{
  Backlog backlog;
  AddWork(backlog, { 1000, 2000, 0 });
  AddWork(backlog, { 1010, 50, 7 });
  AddWork(backlog, { 1020, 100, 0 });
  ConfirmRead(backlog, 7);
  BOOST_TEST(BacklogMs(backlog, 1020) == 100);
}

// Guards against an engine that is slower than was thought: a prompt that is
// overdue keeps it from looking idle.
BOOST_AUTO_TEST_CASE(overdue_work_keeps_the_engine_busy)
{
  Backlog backlog;
  AddWork(backlog, { 1000, 100, 7 });
  BOOST_TEST(BacklogMs(backlog, 1150) == 50);
  BOOST_TEST(BacklogMs(backlog, 2000) == 100);
  RemoveWork(backlog, 7);
  BOOST_TEST(BacklogMs(backlog, 2000) == 0);
}

// Guards against memory that grows with each prompt of a peer.
BOOST_AUTO_TEST_CASE(peers_work_is_forgotten)
{
  Backlog backlog;
  for (TimeMs now = 0; now < 100000; now += 10) {
    AddWork(backlog, { now, 8, 0 });
    PruneBacklog(backlog, now);
  }
  BOOST_TEST(backlog.mItems.size() < 10);
}

BOOST_AUTO_TEST_SUITE_END()
