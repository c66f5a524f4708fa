#pragma once

#include "savory/core/types.h"

#include <memory>
#include <sigc++/sigc++.h>

struct event;
struct event_base;

namespace savory {

// The event loop of a process: everything runs on the one thread that calls
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

  // Monotonic time, as cached at the start of this turn of the loop.
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

// Wall-clock time in milliseconds since the epoch; for names and logs only.
std::int64_t
WallClockMs();

// A timer that ends with its object.
class Timer
{
public:
  Timer() = default;
  Timer(Timer&& aOther) noexcept;
  Timer& operator=(Timer&& aOther) noexcept;
  ~Timer();

  // Calls the slot once after a delay, or again after each period.
  static Timer After(EventLoop& aLoop,
                     TimeMs aDelayMs,
                     sigc::slot<void()> aSlot);
  static Timer Every(EventLoop& aLoop,
                     TimeMs aPeriodMs,
                     sigc::slot<void()> aSlot);

  bool IsSet() const { return mState != nullptr; }
  void Cancel();

private:
  struct State;
  State* mState = nullptr;
};

// Calls the slot in the next turn of the loop.
void
Defer(EventLoop& aLoop, sigc::slot<void()> aSlot);

// A signal of the operating system, for as long as the object lives.
class SignalWatch
{
public:
  SignalWatch(EventLoop& aLoop, int aSignal, sigc::slot<void()> aSlot);
  ~SignalWatch();
  SignalWatch(const SignalWatch&) = delete;
  SignalWatch& operator=(const SignalWatch&) = delete;

private:
  event* mEvent;
  sigc::slot<void()> mSlot;
};

} // namespace savory
