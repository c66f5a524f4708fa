#pragma once

#include <event2/bufferevent.h>
#include <string>

struct evbuffer_cb_info;

namespace savory {

// Watches the connection of one call of evhttp for what evhttp does not report:
// the text of the status, which it converts with atoi, and a reset that reads
// as a regular end. The connection must exist as long as this object.
class AnswerWatch
{
public:
  explicit AnswerWatch(bufferevent* aBuffer);
  ~AnswerWatch();
  AnswerWatch(const AnswerWatch&) = delete;
  AnswerWatch& operator=(const AnswerWatch&) = delete;

  // Whether the status line of the first answer begins with a valid version and
  // a status of three digits.
  bool HasValidStatus() const;

  // Reports the end of a connection that was reset as an error from now on.
  // Call it while evhttp reads the answer; evhttp sets other callbacks at the
  // start of each message.
  void WatchEnd();

private:
  static void OnInput(evbuffer* aInput,
                      const evbuffer_cb_info* aInfo,
                      void* aSelf);
  static void OnEvent(bufferevent* aBuffer, short aWhat, void* aSelf);

  bufferevent* mBuffer;
  // The first bytes of the answer, as far as they are needed.
  std::string mStart;
  // The callbacks of evhttp, while they are replaced.
  bool mIsWrapped = false;
  bufferevent_data_cb mOnRead = nullptr;
  bufferevent_data_cb mOnWrite = nullptr;
  bufferevent_event_cb mOnEvent = nullptr;
  void* mArgument = nullptr;
};

} // namespace savory
