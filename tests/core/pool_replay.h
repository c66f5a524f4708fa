#pragma once

#include <array>
#include <cstdint>

namespace savory::replay {

inline constexpr int kRoutes = 3;

// Streams of three routes, priorities 0 to 2, that 8 entry hosts send to 10
// engines with the cost model of docs/hard-load.md: a decode step takes 3.55 ms
// plus 0.046 ms for each request, a prompt token 1/157 ms, both times the
// factor of the model; 128 slots and 1,041,697 tokens of KV cache. Hosts know
// the engines by reports that are 150 ms old.
struct Options
{
  // Decides by core/pool_admission, or else as before it.
  bool mAdmits = true;
  // All routes have the latency goal and the deadline of the first.
  bool mHasSameGoals = false;
  // Requests per second of all hosts.
  double mRate = 0;
  std::uint64_t mSeed = 1;
  double mDurationMs = 40000;
};

// Means over the requests that arrived in the middle half.
struct Outcome
{
  // What callers get: 1 for a right answer in time, 0.3 if its first event came
  // after the latency goal.
  double mWorth = 0;
  // Shares of the requests that were answered in time, by route and for the
  // tenth with the most tokens, and that were refused.
  std::array<double, kRoutes> mInTime{};
  double mInTimeAll = 0;
  double mInTimeLargest = 0;
  double mRefused = 0;
  double mAttempts = 0;
  // Standard deviation of the requests that run, over their mean.
  double mLoadSwing = 0;
};

Outcome
Run(const Options& aOptions);

} // namespace savory::replay
