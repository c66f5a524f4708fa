#pragma once

#include "savory/core/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace savory {

// Splits a text/event-stream into complete events, so that a stream which
// breaks inside an event can resume from another backend server without passing
// on a partial event.

struct StreamEvent
{
  // The bytes of the event, including its terminating empty line.
  std::string mBytes;
  std::optional<std::int64_t> mId;
  // It has no field, only comment lines; it is passed on, but is no progress.
  bool mIsComment = false;
};

// A stream with more bytes of an incomplete event is broken.
inline constexpr std::size_t kMaxEventBytes = 256 * 1024;

struct EventStream
{
  std::string mPending;
};

// Appends the bytes and removes and returns the events that are now complete.
std::vector<StreamEvent>
ExtractEvents(EventStream& aStream, std::string_view aBytes);

// Whether the event that is pending is too long.
bool
IsEventTooLong(const EventStream& aStream);

// Whether bytes of an incomplete event are pending.
bool
HasPartialEvent(const EventStream& aStream);

// The position of an event relative to the last one that was passed on.
enum class EventOrder
{
  Next,
  Repeated,
  Gap,
  // The server does not go on after the last event but runs the request anew.
  Restart,
};

// Event ids of a stream increase by one. An event without an id counts as the
// next one. aIsResumption: the event is the first of a server that was asked to
// go on after an event that the caller has got; it must be the next one by its
// id.
EventOrder
ClassifyEvent(const StreamEvent& aEvent,
              std::optional<std::int64_t> aLastId,
              bool aIsResumption);

} // namespace savory
