#include "answer_watch.h"

#include "savory/net/http_reader.h"
#include "savory/net/socket_address.h"

#include <array>
#include <charconv>
#include <event2/buffer.h>

namespace savory {

namespace {

// "HTTP/1.1 200" and the byte after it.
constexpr std::string_view kVersionPrefix = "HTTP/1.";
constexpr std::size_t kVersionDigit = 7;
constexpr std::size_t kStatusStart = 9;
constexpr std::size_t kStatusEnd = 12;
constexpr std::size_t kStartBytes = 13;

bool
IsDigit(char aChar)
{
  return aChar >= '0' && aChar <= '9';
}

} // namespace

AnswerWatch::AnswerWatch(bufferevent* aBuffer)
  : mBuffer(aBuffer)
{
  evbuffer_add_cb(bufferevent_get_input(mBuffer), &OnInput, this);
}

AnswerWatch::~AnswerWatch()
{
  evbuffer_remove_cb(bufferevent_get_input(mBuffer), &OnInput, this);
  bufferevent_event_cb current = nullptr;
  bufferevent_getcb(mBuffer, nullptr, nullptr, &current, nullptr);
  if (mIsWrapped && current == &OnEvent) {
    bufferevent_setcb(mBuffer, mOnRead, mOnWrite, mOnEvent, mArgument);
  }
}

// Copies the start of the answer. evhttp consumes whole lines only, so that it
// is there until the status line is complete.
void
AnswerWatch::OnInput(evbuffer* aInput,
                     const evbuffer_cb_info* aInfo,
                     void* aSelf)
{
  auto* self = static_cast<AnswerWatch*>(aSelf);
  if (aInfo->n_added == 0 || self->mStart.size() == kStartBytes) {
    return;
  }
  std::array<char, kStartBytes> bytes{};
  ev_ssize_t size = evbuffer_copyout(aInput, bytes.data(), bytes.size());
  self->mStart.assign(bytes.data(),
                      size > 0 ? static_cast<std::size_t>(size) : 0);
}

bool
AnswerWatch::HasValidStatus() const
{
  if (mStart.size() < kStartBytes || !mStart.starts_with(kVersionPrefix) ||
      !IsDigit(mStart[kVersionDigit]) || mStart[kStatusStart - 1] != ' ' ||
      !IsDigit(mStart[kStatusStart])) {
    return false;
  }
  int status = 0;
  const char* end = mStart.data() + kStatusEnd;
  auto [rest, error] =
    std::from_chars(mStart.data() + kStatusStart, end, status);
  char next = mStart[kStatusEnd];
  return error == std::errc() && rest == end && IsValidStatus(status) &&
         (next == ' ' || next == '\r' || next == '\n');
}

void
AnswerWatch::WatchEnd()
{
  bufferevent_data_cb onRead = nullptr;
  bufferevent_data_cb onWrite = nullptr;
  bufferevent_event_cb onEvent = nullptr;
  void* argument = nullptr;
  bufferevent_getcb(mBuffer, &onRead, &onWrite, &onEvent, &argument);
  if (onEvent == &OnEvent) {
    return;
  }
  mIsWrapped = true;
  mOnRead = onRead;
  mOnWrite = onWrite;
  mOnEvent = onEvent;
  mArgument = argument;
  bufferevent_setcb(
    mBuffer,
    [](bufferevent* aBuffer, void* aSelf) {
      auto* self = static_cast<AnswerWatch*>(aSelf);
      if (self->mOnRead) {
        self->mOnRead(aBuffer, self->mArgument);
      }
    },
    [](bufferevent* aBuffer, void* aSelf) {
      auto* self = static_cast<AnswerWatch*>(aSelf);
      if (self->mOnWrite) {
        self->mOnWrite(aBuffer, self->mArgument);
      }
    },
    &OnEvent,
    this);
}

void
AnswerWatch::OnEvent(bufferevent* aBuffer, short aWhat, void* aSelf)
{
  auto* self = static_cast<AnswerWatch*>(aSelf);
  bool isEnd = (aWhat & BEV_EVENT_READING) && (aWhat & BEV_EVENT_EOF);
  if (isEnd && IsResetByPeer(bufferevent_getfd(aBuffer))) {
    aWhat = BEV_EVENT_READING | BEV_EVENT_ERROR;
  }
  if (self->mOnEvent) {
    self->mOnEvent(aBuffer, aWhat, self->mArgument);
  }
}

} // namespace savory
