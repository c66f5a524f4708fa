#pragma once

#include "savory/net/http_client.h"

#include <boost/test/unit_test.hpp>
#include <optional>

namespace savory {

// An event loop with an HTTP client; the servers of a test run in the same
// loop.
struct LoopFixture
{
  EventLoop mLoop;
  HttpClient mHttp{ mLoop };

  // Runs the loop until the condition holds; returns false on a timeout.
  template<class Condition>
  bool RunUntil(Condition aCondition, TimeMs aLimitMs = 5000)
  {
    TimeMs end = MonotonicMs() + aLimitMs;
    Timer poll = Timer::Every(mLoop, 1, [&] {
      if (aCondition() || MonotonicMs() > end) {
        mLoop.Stop();
      }
    });
    if (!aCondition()) {
      mLoop.Run();
    }
    return aCondition();
  }

  void RunFor(TimeMs aMs)
  {
    TimeMs end = MonotonicMs() + aMs;
    RunUntil([&] { return MonotonicMs() >= end; }, aMs + 1000);
  }

  // Starts an operation and runs the loop until its callback was called.
  template<class T, class Start>
  T Wait(Start aStart)
  {
    auto result = std::make_shared<std::optional<T>>();
    aStart([result](const T& aValue) { *result = aValue; });
    BOOST_REQUIRE(RunUntil([&] { return result->has_value(); }));
    return **result;
  }

  HttpResult Call(HttpCall aCall)
  {
    return Wait<HttpResult>(
      [&](auto aCallback) { mHttp.Fetch(aCall, aCallback); });
  }
};

} // namespace savory
