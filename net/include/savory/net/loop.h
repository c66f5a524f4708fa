#pragma once

#include "savory/core/types.h"

#include <memory>
#include <sigc++/sigc++.h>

struct event;
struct event_base;

namespace savory {

// The event loop of a process. All callbacks run on the one thread that calls
// Run.
class EventLoop
{
public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Runs until Stop is called.
  void Run();
  void Stop();

  // The current monotonic time.
  TimeMs NowMs() const;

  event_base* Base() const { return mBase; }

private:
  event_base* mBase;
};

// Monotonic time in milliseconds and microseconds.
TimeMs
MonotonicMs();
std::int64_t
MonotonicUs();

// Time in milliseconds since the host booted, with the time of suspensions,
// during which the monotonic clock stands still.
TimeMs
BootTimeMs();

// Wall-clock time in milliseconds since the Unix epoch. It may jump, so it is
// only for names, logs and times that several hosts compare.
std::int64_t
WallClockMs();

// A timer that is cancelled when its object is destroyed.
class Timer
{
public:
  Timer() = default;
  Timer(Timer&& aOther) noexcept;
  Timer& operator=(Timer&& aOther) noexcept;
  ~Timer();

  // Calls the callback once after a delay, or repeatedly after each period.
  static Timer After(EventLoop& aLoop,
                     TimeMs aDelayMs,
                     sigc::slot<void()> aCallback);
  static Timer Every(EventLoop& aLoop,
                     TimeMs aPeriodMs,
                     sigc::slot<void()> aCallback);

  bool IsSet() const { return mState != nullptr; }
  void Cancel();

private:
  struct State;
  State* mState = nullptr;
};

// Calls the callback once from the event loop, after the current callback has
// returned.
void
Defer(EventLoop& aLoop, sigc::slot<void()> aCallback);

// Keeps a POSIX signal pending until a SignalWatch of it exists.
void
HoldSignal(int aSignal);

// Calls a callback for each delivery of a POSIX signal while the object exists.
// Before the callback is destroyed, the signal is held as by HoldSignal, so
// that its default action cannot end a process that is about to exit.
class SignalWatch
{
public:
  SignalWatch(EventLoop& aLoop, int aSignal, sigc::slot<void()> aCallback);
  ~SignalWatch();
  SignalWatch(const SignalWatch&) = delete;
  SignalWatch& operator=(const SignalWatch&) = delete;

private:
  event* mEvent;
  sigc::slot<void()> mCallback;
};

} // namespace savory
