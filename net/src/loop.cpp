#include "savory/net/loop.h"

#include <chrono>
#include <csignal>
#include <ctime>
#include <event2/event.h>
#include <event2/thread.h>
#include <utility>

namespace savory {

namespace {

void
ChangeSignalMask(int aHow, int aSignal)
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, aSignal);
  sigprocmask(aHow, &signals, nullptr);
}

} // namespace

EventLoop::EventLoop()
  : mBase(event_base_new())
{
  // A write to a connection that its peer has closed is to fail with EPIPE
  // instead of ending the process.
  std::signal(SIGPIPE, SIG_IGN);
}

EventLoop::~EventLoop()
{
  event_base_free(mBase);
}

void
EventLoop::Run()
{
  event_base_loop(mBase, EVLOOP_NO_EXIT_ON_EMPTY);
}

void
EventLoop::Stop()
{
  event_base_loopbreak(mBase);
}

TimeMs
EventLoop::NowMs() const
{
  return MonotonicMs();
}

std::int64_t
MonotonicUs()
{
  return std::chrono::duration_cast<std::chrono::microseconds>(
           std::chrono::steady_clock::now().time_since_epoch())
    .count();
}

TimeMs
MonotonicMs()
{
  return MonotonicUs() / 1000;
}

TimeMs
BootTimeMs()
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return static_cast<TimeMs>(now.tv_sec) * 1000 + now.tv_nsec / 1000000;
}

std::int64_t
WallClockMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

struct Timer::State
{
  event* mEvent = nullptr;
  Timer* mOwner = nullptr;
  bool mRepeats = false;
  sigc::slot<void()> mCallback;
};

namespace {

timeval
ToTimeval(TimeMs aMs)
{
  return { static_cast<time_t>(aMs / 1000),
           static_cast<suseconds_t>(aMs % 1000 * 1000) };
}

} // namespace

Timer::Timer(Timer&& aOther) noexcept
{
  *this = std::move(aOther);
}

Timer&
Timer::operator=(Timer&& aOther) noexcept
{
  if (this != &aOther) {
    Cancel();
    mState = std::exchange(aOther.mState, nullptr);
    if (mState) {
      mState->mOwner = this;
    }
  }
  return *this;
}

Timer::~Timer()
{
  Cancel();
}

void
Timer::Cancel()
{
  if (mState) {
    event_free(mState->mEvent);
    delete std::exchange(mState, nullptr);
  }
}

Timer
Timer::After(EventLoop& aLoop, TimeMs aDelayMs, sigc::slot<void()> aCallback)
{
  Timer timer;
  timer.mState = new State;
  timer.mState->mOwner = &timer;
  timer.mState->mCallback = std::move(aCallback);
  timer.mState->mEvent = evtimer_new(
    aLoop.Base(),
    [](evutil_socket_t, short, void* aState) {
      // The callback may replace or destroy the timer, so it is copied first.
      auto* state = static_cast<State*>(aState);
      auto callback = state->mCallback;
      state->mOwner->Cancel();
      callback();
    },
    timer.mState);
  timeval delay = ToTimeval(aDelayMs);
  evtimer_add(timer.mState->mEvent, &delay);
  return timer;
}

Timer
Timer::Every(EventLoop& aLoop, TimeMs aPeriodMs, sigc::slot<void()> aCallback)
{
  Timer timer;
  timer.mState = new State;
  timer.mState->mOwner = &timer;
  timer.mState->mRepeats = true;
  timer.mState->mCallback = std::move(aCallback);
  timer.mState->mEvent = event_new(
    aLoop.Base(),
    -1,
    EV_PERSIST,
    [](evutil_socket_t, short, void* aState) {
      auto callback = static_cast<State*>(aState)->mCallback;
      callback();
    },
    timer.mState);
  timeval period = ToTimeval(aPeriodMs);
  evtimer_add(timer.mState->mEvent, &period);
  return timer;
}

void
Defer(EventLoop& aLoop, sigc::slot<void()> aCallback)
{
  auto* callback = new sigc::slot<void()>(std::move(aCallback));
  timeval now{ 0, 0 };
  event_base_once(
    aLoop.Base(),
    -1,
    EV_TIMEOUT,
    [](evutil_socket_t, short, void* aCallbackPointer) {
      std::unique_ptr<sigc::slot<void()>> owned(
        static_cast<sigc::slot<void()>*>(aCallbackPointer));
      (*owned)();
    },
    callback,
    &now);
}

void
HoldSignal(int aSignal)
{
  ChangeSignalMask(SIG_BLOCK, aSignal);
}

SignalWatch::SignalWatch(EventLoop& aLoop,
                         int aSignal,
                         sigc::slot<void()> aCallback)
  : mEvent(evsignal_new(
      aLoop.Base(),
      aSignal,
      [](evutil_socket_t, short, void* aSelf) {
        static_cast<SignalWatch*>(aSelf)->mCallback();
      },
      this))
  , mCallback(std::move(aCallback))
{
  event_add(mEvent, nullptr);
  ChangeSignalMask(SIG_UNBLOCK, aSignal);
}

SignalWatch::~SignalWatch()
{
  HoldSignal(event_get_signal(mEvent));
  event_free(mEvent);
}

} // namespace savory
