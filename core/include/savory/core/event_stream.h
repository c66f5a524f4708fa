#pragma once

#include "savory/core/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace savory {

// Cuts a text/event-stream into whole events, so that a stream which breaks off
// inside an event can go on from another backend server without a torn piece.

struct StreamEvent
{
  // The bytes of the event, its closing empty line included.
  std::string mBytes;
  std::optional<std::int64_t> mId;
};

struct EventStream
{
  std::string mPending;
};

// Whole events that the bytes complete.
std::vector<StreamEvent>
ExtractEvents(EventStream& aStream, std::string_view aBytes);

// Bytes that belong to no whole event yet.
bool
HasPartialEvent(const EventStream& aStream);

// What an event's id says of its place after the last event passed on.
enum class EventOrder
{
  Next,
  Repeated,
  Gap,
};

// Streams count their events; one without an id is taken to be next.
EventOrder
ClassifyEvent(const StreamEvent& aEvent, std::optional<std::int64_t> aLastId);

} // namespace savory
