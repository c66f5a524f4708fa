#include "savory/core/warmup.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <iostream>
#include <random>

using namespace savory;

namespace {

// Simulates an agent and its backend server, whose actual capacity grows with
// each answer since its start. mViolations counts requests that were started
// beyond that capacity.
struct ColdServer
{
  Warmup mWarmup;
  WarmupOptions mOptions;
  int mServed = 0;
  int mRunning = 0;
  int mViolations = 0;
  std::mt19937_64 mRandom{ 7 };

  void Step()
  {
    bool hasCapacity = mRunning < Allowance(mWarmup, mOptions);
    if (hasCapacity && (mRunning == 0 || mRandom() % 16 != 0)) {
      mViolations += mRunning >= mOptions.mColdAllowance + mServed ? 1 : 0;
      ++mRunning;
    } else if (mRunning > 0) {
      --mRunning;
      ++mServed;
      bool cold = mServed < mOptions.mFullAllowance;
      OnFirstToken(
        mWarmup, mOptions, mWarmup.mGeneration, 1000, cold ? 3000 : 300);
      OnCompleted(mWarmup, mOptions, mWarmup.mGeneration);
    }
  }

  void Restart()
  {
    mServed = 0;
    mRunning = 0;
  }
};

using ColdStart = std::function<void(ColdServer&)>;

void
RestartWithNewIncarnation(ColdServer& aServer)
{
  aServer.Restart();
  OnIncarnation(aServer.mWarmup, "second");
}

void
LoseConnection(ColdServer& aServer)
{
  aServer.Restart();
  ResetWarmup(aServer.mWarmup, "broken connection");
}

void
ReturnZone(ColdServer& aServer)
{
  aServer.Restart();
  ResetWarmup(aServer.mWarmup, "zone returned");
}

void
RestartTwice(ColdServer& aServer)
{
  RestartWithNewIncarnation(aServer);
  aServer.Step();
  aServer.Restart();
  OnIncarnation(aServer.mWarmup, "third");
}

// Starts cold, warms up, starts cold again and warms up again. Returns the
// number of violations.
int
CountViolations(int aFull,
                int aCold,
                bool aEnabled,
                const ColdStart& aColdStart)
{
  ColdServer server;
  server.mOptions.mFullAllowance = aFull;
  server.mOptions.mColdAllowance = aCold;
  server.mOptions.mEnabled = aEnabled;
  OnIncarnation(server.mWarmup, "first");
  for (int round = 0; round < 2; ++round) {
    for (int i = 0; i < 2000; ++i) {
      server.Step();
    }
    if (round == 0) {
      aColdStart(server);
    }
  }
  if (Allowance(server.mWarmup, server.mOptions) != aFull) {
    ++server.mViolations;
  }
  return server.mViolations;
}

} // namespace

BOOST_AUTO_TEST_SUITE(warmup)

// Guards against a cold backend server that is sent more requests than it can
// run, and against one that never reaches its full allowance (guarantee 5).
BOOST_AUTO_TEST_CASE(allowance_stays_within_capacity_of_cold_server)
{
  int run = 0;
  int passed = 0;
  int failedWhenDisabled = 0;
  for (const ColdStart& coldStart : { ColdStart(RestartWithNewIncarnation),
                                      ColdStart(LoseConnection),
                                      ColdStart(ReturnZone),
                                      ColdStart(RestartTwice) }) {
    for (int full : { 4, 16, 64 }) {
      for (int cold : { 1, 2 }) {
        ++run;
        passed += CountViolations(full, cold, true, coldStart) == 0;
        failedWhenDisabled += CountViolations(full, cold, false, coldStart) > 0;
      }
    }
  }
  std::cout << "matrix warmup: " << run << " cells run, " << passed
            << " passed\n"
            << "matrix warmup without the mechanism: " << run << " cells run, "
            << run - failedWhenDisabled << " passed\n";
  BOOST_TEST(passed == run);
  BOOST_TEST(failedWhenDisabled == run);
}

// Guards against missing a cold start under the same address and incarnation,
// and against a reset by one slow answer among ordinary ones.
BOOST_AUTO_TEST_CASE(slow_first_tokens_reveal_an_unreported_cold_start)
{
  Warmup warmup;
  WarmupOptions options;
  warmup.mAllowance = options.mFullAllowance;
  for (int i = 0; i < 20; ++i) {
    OnFirstToken(warmup, options, 0, 1000, 300);
  }
  BOOST_TEST(!OnFirstToken(warmup, options, 0, 1000, 1500));
  BOOST_TEST(!OnFirstToken(warmup, options, 0, 1000, 300));
  BOOST_TEST(!LooksCold(warmup, options, 1000, 1500));
  BOOST_TEST(LooksCold(warmup, options, 1000, 4000));
  BOOST_TEST(!OnFirstToken(warmup, options, 0, 1000, 1500));
  BOOST_TEST(!OnFirstToken(warmup, options, 0, 1000, 1500));
  BOOST_TEST(OnFirstToken(warmup, options, 0, 1000, 1500));
  BOOST_TEST(Allowance(warmup, options) == options.mColdAllowance);
}

// Guards against raising the allowance of a new incarnation by answers to
// requests that started before the restart.
BOOST_AUTO_TEST_CASE(answers_of_an_earlier_generation_do_not_count)
{
  Warmup warmup;
  WarmupOptions options;
  ResetWarmup(warmup, "broken connection");
  for (int i = 0; i < 100; ++i) {
    OnCompleted(warmup, options, 0);
  }
  BOOST_TEST(Allowance(warmup, options) == 1);
}

// Guards against mistaking a busy host for a cold backend server: when waits
// are usually a few milliseconds, ten times as long is still short.
BOOST_AUTO_TEST_CASE(short_waits_do_not_indicate_a_cold_start)
{
  WarmupOptions options;
  Warmup warmup;
  warmup.mAllowance = options.mFullAllowance;
  for (int i = 0; i < 3 * options.mMinSamples; ++i) {
    BOOST_TEST(!OnFirstToken(warmup, options, 0, 10, 2));
  }
  // Checked before the longer waits below raise the average.
  BOOST_TEST(LooksCold(warmup, options, 10, options.mMinColdWaitMs));
  for (TimeMs wait : { 40, 200, 499 }) {
    BOOST_TEST(!LooksCold(warmup, options, 10, wait));
    BOOST_TEST(!OnFirstToken(warmup, options, 0, 10, wait));
  }
}

BOOST_AUTO_TEST_SUITE_END()
