#include "savory/core/event_stream.h"

#include <boost/test/unit_test.hpp>
#include <limits>

using namespace savory;

BOOST_AUTO_TEST_SUITE(event_stream)

// Guards against partial events: wherever the input is split, only complete
// events are returned, with all their bytes.
BOOST_AUTO_TEST_CASE(any_split_gives_the_same_events)
{
  const std::string text =
    "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\n";
  for (std::size_t cut = 0; cut <= text.size(); ++cut) {
    EventStream stream;
    std::vector<StreamEvent> events =
      ExtractEvents(stream, text.substr(0, cut));
    for (StreamEvent& event : ExtractEvents(stream, text.substr(cut))) {
      events.push_back(std::move(event));
    }
    BOOST_REQUIRE_EQUAL(events.size(), 3U);
    BOOST_TEST(events[0].mId.value_or(0) == 1);
    BOOST_TEST(events[1].mId.value_or(0) == 2);
    BOOST_TEST(!events[2].mId);
    BOOST_TEST(events[0].mBytes + events[1].mBytes + events[2].mBytes == text);
    BOOST_TEST(!HasPartialEvent(stream));
  }
}

// Guards against a stream that counts as complete although it ends inside an
// event.
BOOST_AUTO_TEST_CASE(partial_event_is_detected)
{
  EventStream stream;
  BOOST_TEST(ExtractEvents(stream, "id: 1\ndata: a\n\nid: 2\nda").size() == 1U);
  BOOST_TEST(HasPartialEvent(stream));
}

// Guards against repeated or missing events after a stream resumed at another
// backend server.
BOOST_AUTO_TEST_CASE(event_ids_determine_the_order)
{
  auto order = [](std::optional<std::int64_t> aId,
                  std::optional<std::int64_t> aLast) {
    return ClassifyEvent({ "", aId }, aLast, false);
  };
  BOOST_TEST((order(3, 2) == EventOrder::Next));
  BOOST_TEST((order(2, 2) == EventOrder::Repeated));
  BOOST_TEST((order(1, 2) == EventOrder::Repeated));
  BOOST_TEST((order(4, 2) == EventOrder::Gap));
  BOOST_TEST((order(9, std::nullopt) == EventOrder::Next));
  BOOST_TEST((order(std::nullopt, 2) == EventOrder::Next));
}

// Guards against events of another run in the midst of a stream: the first
// event of a server that goes on must be the next one by its id.
BOOST_AUTO_TEST_CASE(resumption_that_begins_again_is_told)
{
  auto order = [](std::optional<std::int64_t> aId,
                  std::optional<std::int64_t> aLast) {
    return ClassifyEvent({ "", aId }, aLast, true);
  };
  BOOST_TEST((order(3, 2) == EventOrder::Next));
  BOOST_TEST((order(2, 2) == EventOrder::Restart));
  BOOST_TEST((order(1, 2) == EventOrder::Restart));
  BOOST_TEST((order(std::nullopt, 2) == EventOrder::Restart));
  BOOST_TEST((order(4, 2) == EventOrder::Gap));
  BOOST_TEST(
    (ClassifyEvent({ "", std::nullopt, true }, 2, true) == EventOrder::Next));
}

// Guards against ids of a caller or a server whose sum overflows.
BOOST_AUTO_TEST_CASE(extreme_event_ids_are_compared)
{
  constexpr std::int64_t kLeast = std::numeric_limits<std::int64_t>::min();
  constexpr std::int64_t kMost = std::numeric_limits<std::int64_t>::max();
  auto order = [](std::int64_t aId, std::int64_t aLast) {
    return ClassifyEvent({ "", aId }, aLast, false);
  };
  BOOST_TEST((order(1, kMost) == EventOrder::Repeated));
  BOOST_TEST((order(kLeast, kMost) == EventOrder::Repeated));
  BOOST_TEST((order(kMost, kLeast) == EventOrder::Gap));
  BOOST_TEST((order(kMost, kMost - 1) == EventOrder::Next));
  BOOST_TEST((order(kLeast + 1, kLeast) == EventOrder::Next));
}

// Guards against a stalled stream that counts as alive because it sends a
// comment now and then.
BOOST_AUTO_TEST_CASE(comments_are_told_from_events)
{
  EventStream stream;
  auto events = ExtractEvents(
    stream, ": wait\n\n\n\n:\r\n\r\nid: 1\ndata: a\n\n: b\ndata: c\n\n");
  std::vector<bool> comments;
  comments.reserve(events.size());
  for (const StreamEvent& event : events) {
    comments.push_back(event.mIsComment);
  }
  BOOST_TEST((comments == std::vector<bool>{ true, true, true, false, false }));
}

// Guards against an event without end that fills the memory.
BOOST_AUTO_TEST_CASE(event_without_end_is_too_long)
{
  EventStream stream;
  ExtractEvents(stream, "id: 1\ndata: ");
  std::string block(16 * 1024, 'd');
  std::size_t bytes = 0;
  while (!IsEventTooLong(stream) && bytes < 2 * kMaxEventBytes) {
    ExtractEvents(stream, block);
    bytes += block.size();
  }
  BOOST_TEST(bytes <= kMaxEventBytes + block.size());
}

BOOST_AUTO_TEST_SUITE_END()
