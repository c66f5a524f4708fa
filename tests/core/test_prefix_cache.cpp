#include "placement_replay.h"
#include "savory/core/prefix_cache.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <limits>
#include <vector>

using namespace savory;

namespace {

constexpr double kUnlimited = std::numeric_limits<double>::infinity();

// A prompt whose shared part takes 80 ms to read and its own part 24 ms.
PrefixRequest
MakeRequest()
{
  return { .mSharedTokens = 13300,
           .mUnsharedTokens = 4000,
           .mMsPerToken = 0.006,
           .mFixedMs = 5,
           .mOutputTokens = 200 };
}

// The holder of the part, and two runners that do not hold it.
std::vector<PrefixCandidate>
MakeCandidates()
{
  std::vector<PrefixCandidate> candidates(3);
  for (PrefixCandidate& candidate : candidates) {
    candidate.mRunning = 10;
    candidate.mSlots = 64;
    candidate.mTokenMs = 5;
  }
  candidates[0].mCachedTokens = 13300;
  candidates[0].mAffinity = Affinity::First;
  candidates[1].mAffinity = Affinity::Second;
  return candidates;
}

placement_replay::Outcome
RunReplay(const placement_replay::Options& aOptions)
{
  placement_replay::Outcome outcome = placement_replay::Run(aOptions);
  BOOST_TEST_MESSAGE(
    "rate " << aOptions.mRate
            << (aOptions.mSampleUse == placement_replay::SampleUse::NotPaced
                  ? " before"
                  : " after")
            << ": first event " << outcome.mFirstEventMs << " ms, p95 "
            << outcome.mFirstEventP95Ms << " ms, answer " << outcome.mAnswerMs
            << " ms, read again " << outcome.mReadAgain << ", found "
            << outcome.mFound);
  return outcome;
}

placement_replay::Outcome
RunReplay(placement_replay::SampleUse aUse, double aRate)
{
  return RunReplay({ .mSampleUse = aUse, .mRate = aRate });
}

} // namespace

BOOST_AUTO_TEST_SUITE(prefix_cache)

// Guards against a part that counts as held after the engine's memory was
// filled with others, for ever, or from a count without bound.
BOOST_AUTO_TEST_CASE(the_least_recently_used_parts_are_evicted)
{
  PrefixCache cache;
  TouchPart(cache, 1, 1000);
  cache.mReadMs += 60;
  TouchPart(cache, 2, 2000);
  cache.mReadMs += 60;
  BOOST_TEST(!HoldsPart(cache, 1, 100, 2000));
  BOOST_TEST(HoldsPart(cache, 2, 100, 2000));
  TouchPart(cache, 1, 2000);
  BOOST_TEST(HoldsPart(cache, 1, 100, 2000));
  BOOST_TEST(!HoldsPart(cache, 3, 100, 2000));
  BOOST_TEST(!HoldsPart(cache, 1, kUnlimited, 2000 + 120'000));
  for (std::uint64_t key = 0; key < 100'000; ++key) {
    TouchPart(cache, key, static_cast<TimeMs>(key));
  }
  BOOST_TEST(cache.mParts.size() <= 16'384U);
  BOOST_TEST(HoldsPart(cache, 99'999, kUnlimited, 100'000));
}

// Guards against a part that goes on counting as held after a miss, and against
// hits that are taken for misses as the queue was longer than expected.
BOOST_AUTO_TEST_CASE(misses_are_told_from_hits)
{
  struct Row
  {
    double mObservedMs;
    double mHitMs;
    double mMissMs;
    bool mIsMiss;
  };
  for (const Row& row : std::vector<Row>{ { 105, 30, 110, true },
                                          { 120, 30, 110, true },
                                          { 32, 30, 110, false },
                                          { 50, 30, 110, false },
                                          { 500, 30, 110, false },
                                          { 300, 300, 380, false },
                                          { 380, 300, 380, false } }) {
    BOOST_TEST(
      IsCacheMiss(row.mObservedMs, row.mHitMs, row.mMissMs) == row.mIsMiss,
      row.mObservedMs << " of " << row.mHitMs << " or " << row.mMissMs);
  }
}

// Guards against the wrong option, and a wrong reason in the log: reading again
// while the holder is free, or waiting at a holder that is full or has a queue
// far longer than reading takes.
BOOST_AUTO_TEST_CASE(saved_prefill_is_weighed_against_queues_and_batches)
{
  struct Row
  {
    const char* mName;
    std::function<void(std::vector<PrefixCandidate>&)> mChange;
    std::size_t mCandidate;
    PrefixOption mOption;
    PrefixReason mReason;
  };
  using Candidates = std::vector<PrefixCandidate>;
  const std::vector<Row> rows{
    { "holder free",
      [](Candidates&) {},
      0,
      PrefixOption::WaitAtHolder,
      PrefixReason::LeastTime },
    { "queue",
      [](Candidates& aRows) { aRows[0].mQueueMs = 800; },
      0,
      PrefixOption::WaitAtHolder,
      PrefixReason::LeastTime },
    { "long queue",
      [](Candidates& aRows) { aRows[0].mQueueMs = 2000; },
      1,
      PrefixOption::Prefill,
      PrefixReason::HolderQueue },
    { "hot part",
      [](Candidates& aRows) {
        aRows[0].mQueueMs = 800;
        aRows[0].mUsesPerMs = 0.02;
      },
      1,
      PrefixOption::Prefill,
      PrefixReason::Replicate },
    { "no slot",
      [](Candidates& aRows) { aRows[0].mRunning = 150; },
      1,
      PrefixOption::Prefill,
      PrefixReason::HolderFull },
    { "not held",
      [](Candidates& aRows) { aRows[0].mCachedTokens = 0; },
      0,
      PrefixOption::Prefill,
      PrefixReason::NotHeld },
    { "hot part, and a short first part held everywhere",
      [](Candidates& aRows) {
        aRows[0].mQueueMs = 800;
        aRows[0].mUsesPerMs = 0.02;
        aRows[1].mCachedTokens = aRows[2].mCachedTokens = 300;
      },
      1,
      PrefixOption::Prefill,
      PrefixReason::Replicate },
    { "not held, first one slow",
      [](Candidates& aRows) {
        aRows[0].mCachedTokens = 0;
        aRows[0].mWorkFactor = 2.5;
      },
      1,
      PrefixOption::Prefill,
      PrefixReason::NotHeld },
  };
  for (const Row& row : rows) {
    BOOST_TEST_CONTEXT(row.mName)
    {
      Candidates candidates = MakeCandidates();
      row.mChange(candidates);
      PrefixDecision decision = DecidePrefix(candidates, MakeRequest());
      BOOST_TEST(decision.mCandidate == row.mCandidate);
      BOOST_TEST((decision.mOption == row.mOption));
      BOOST_TEST((decision.mReason == row.mReason));
    }
  }
  // Without shared parts the batch that is delayed least is chosen.
  PrefixRequest request = MakeRequest();
  request.mSharedTokens = 0;
  std::vector<PrefixCandidate> candidates = MakeCandidates();
  candidates[0].mCachedTokens = 0;
  candidates[2].mRunning = 2;
  PrefixDecision decision = DecidePrefix(candidates, request);
  BOOST_TEST(decision.mCandidate == 2U);
  BOOST_TEST((decision.mOption == PrefixOption::NoPrefix));
}

// Guards against hosts that send shared parts to other runners than those that
// hold them as soon as the engines are busy: each part that is read again makes
// the queues longer, so that more parts are read again. The formula for
// services that are not paced is the measure.
BOOST_AUTO_TEST_CASE(busy_engines_keep_their_prefixes)
{
  placement_replay::Outcome before =
    RunReplay(placement_replay::SampleUse::NotPaced, 450);
  placement_replay::Outcome after =
    RunReplay(placement_replay::SampleUse::Weighed, 450);
  BOOST_TEST(after.mFirstEventMs < 0.6 * before.mFirstEventMs);
  BOOST_TEST(after.mFirstEventP95Ms < 0.6 * before.mFirstEventP95Ms);
  BOOST_TEST(after.mAnswerMs < 0.7 * before.mAnswerMs);
  BOOST_TEST(after.mReadAgain < 0.4 * before.mReadAgain);
}

// Guards against weights that fit one kind of engine alone: these read at 62.4
// in place of 157 tokens per ms, and have half of the memory and slots.
BOOST_AUTO_TEST_CASE(slower_engines_keep_their_prefixes)
{
  placement_replay::Options options{ .mSampleUse =
                                       placement_replay::SampleUse::NotPaced,
                                     .mHosts = 30,
                                     .mEngines = 55,
                                     .mSlots = 64,
                                     .mMemoryTokens = 546'185,
                                     .mTokensPerMs = 62.4,
                                     .mStepMs = 6.55,
                                     .mRate = 260 };
  placement_replay::Outcome before = RunReplay(options);
  options.mSampleUse = placement_replay::SampleUse::Weighed;
  placement_replay::Outcome after = RunReplay(options);
  BOOST_TEST(after.mFirstEventMs < 0.6 * before.mFirstEventMs);
  BOOST_TEST(after.mAnswerMs < 0.7 * before.mAnswerMs);
  BOOST_TEST(after.mReadAgain < 0.4 * before.mReadAgain);
}

// Guards against a gain under load that is paid for at usual load.
BOOST_AUTO_TEST_CASE(idle_engines_lose_nothing)
{
  placement_replay::Outcome before =
    RunReplay(placement_replay::SampleUse::NotPaced, 250);
  placement_replay::Outcome after =
    RunReplay(placement_replay::SampleUse::Weighed, 250);
  BOOST_TEST(after.mFirstEventMs < before.mFirstEventMs);
  BOOST_TEST(after.mFirstEventP95Ms < before.mFirstEventP95Ms);
  BOOST_TEST(after.mAnswerMs < before.mAnswerMs);
}

BOOST_AUTO_TEST_SUITE_END()
