#include "savory/core/event_stream.h"

#include <charconv>

namespace savory {

namespace {

// The number in the event's "id: N" line, or nothing.
std::optional<std::int64_t>
ParseEventId(std::string_view aEvent)
{
  while (!aEvent.empty()) {
    std::size_t end = std::min(aEvent.find('\n'), aEvent.size());
    std::string_view line = aEvent.substr(0, end);
    aEvent.remove_prefix(std::min(end + 1, aEvent.size()));
    if (!line.starts_with("id:")) {
      continue;
    }
    line.remove_prefix(3);
    while (!line.empty() && line.front() == ' ') {
      line.remove_prefix(1);
    }
    std::int64_t id = 0;
    auto [last, error] =
      std::from_chars(line.data(), line.data() + line.size(), id);
    if (error == std::errc() && last != line.data()) {
      return id;
    }
  }
  return std::nullopt;
}

// Whether all lines of an event are empty or comments.
bool
IsComment(std::string_view aEvent)
{
  while (!aEvent.empty()) {
    char first = aEvent.front();
    if (first != ':' && first != '\n' && first != '\r') {
      return false;
    }
    std::size_t end = aEvent.find('\n');
    aEvent.remove_prefix(std::min(end, aEvent.size() - 1) + 1);
  }
  return true;
}

// The offset just after the empty line that ends the first event at or after
// aFrom, or npos.
std::size_t
FindEventEnd(std::string_view aText, std::size_t aFrom)
{
  std::size_t plain = aText.find("\n\n", aFrom);
  std::size_t carriage = aText.find("\r\n\r\n", aFrom);
  if (plain == std::string_view::npos && carriage == std::string_view::npos) {
    return std::string_view::npos;
  }
  return plain < carriage ? plain + 2 : carriage + 4;
}

} // namespace

std::vector<StreamEvent>
ExtractEvents(EventStream& aStream, std::string_view aBytes)
{
  std::vector<StreamEvent> events;
  // A terminator may span the earlier bytes and the new ones.
  std::size_t known = aStream.mPending.size();
  std::size_t from = known < 3 ? 0 : known - 3;
  aStream.mPending += aBytes;
  std::size_t start = 0;
  for (std::size_t end = FindEventEnd(aStream.mPending, from);
       end != std::string_view::npos;
       end = FindEventEnd(aStream.mPending, start)) {
    StreamEvent event;
    event.mBytes = aStream.mPending.substr(start, end - start);
    event.mId = ParseEventId(event.mBytes);
    event.mIsComment = IsComment(event.mBytes);
    events.push_back(std::move(event));
    start = end;
  }
  aStream.mPending.erase(0, start);
  return events;
}

bool
IsEventTooLong(const EventStream& aStream)
{
  return aStream.mPending.size() > kMaxEventBytes;
}

bool
HasPartialEvent(const EventStream& aStream)
{
  return !aStream.mPending.empty();
}

EventOrder
ClassifyEvent(const StreamEvent& aEvent,
              std::optional<std::int64_t> aLastId,
              bool aIsResumption)
{
  if (!aLastId || aEvent.mIsComment) {
    return EventOrder::Next;
  }
  if (!aEvent.mId) {
    return aIsResumption ? EventOrder::Restart : EventOrder::Next;
  }
  if (*aEvent.mId <= *aLastId) {
    return aIsResumption ? EventOrder::Restart : EventOrder::Repeated;
  }
  // The difference of any two ids fits the unsigned type.
  auto distance = static_cast<std::uint64_t>(*aEvent.mId) -
                  static_cast<std::uint64_t>(*aLastId);
  return distance == 1 ? EventOrder::Next : EventOrder::Gap;
}

} // namespace savory
