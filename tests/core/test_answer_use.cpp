#include "savory/core/answer_use.h"

#include <boost/test/unit_test.hpp>
#include <vector>

using namespace savory;

namespace {

const std::vector<int> kStatuses{ 200, 201, 204, 206, 301, 304, 400, 401,
                                  404, 409, 429, 500, 502, 503, 504 };

// Calls aCheck with every combination of facts.
template<class Check>
void
ForEachAnswer(Check aCheck)
{
  for (int status : kStatuses) {
    for (unsigned bits = 0; bits < 64; ++bits) {
      AnswerFacts facts;
      facts.mStatus = status;
      facts.mIsStream = bits & 1;
      facts.mNotRun = bits & 2;
      facts.mSigned = bits & 4;
      facts.mHasContentEncoding = bits & 8;
      facts.mIsStarted = bits & 16;
      facts.mContinuesStarted = bits & 32;
      BOOST_TEST_CONTEXT("status " << status << ", bits " << bits)
      {
        aCheck(facts, ChooseAnswerUse(facts));
      }
    }
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(answer_use)

// Guards against an answer that follows a stream that has begun: its caller
// waited without an end, or found the text of an error among the events.
BOOST_AUTO_TEST_CASE(begun_stream_goes_on_with_events_only)
{
  ForEachAnswer([](const AnswerFacts& aFacts, AnswerUse aUse) {
    if (!aFacts.mIsStarted) {
      return;
    }
    BOOST_TEST((aUse != AnswerUse::Whole));
    bool goesOn = aFacts.mContinuesStarted && aFacts.mSigned &&
                  !aFacts.mNotRun && !aFacts.mHasContentEncoding &&
                  aFacts.mStatus / 100 == 2;
    BOOST_TEST((aUse == AnswerUse::Stream) == goesOn);
  });
}

// Guards against an answer that is not the server's own, and against a success
// that is not passed on.
BOOST_AUTO_TEST_CASE(only_signed_answers_are_passed_on)
{
  ForEachAnswer([](const AnswerFacts& aFacts, AnswerUse aUse) {
    bool isPassedOn = aUse != AnswerUse::NotRun && aUse != AnswerUse::Broken;
    if (aFacts.mNotRun || !aFacts.mSigned) {
      BOOST_TEST(!isPassedOn);
    }
    if (aFacts.mIsStarted || aFacts.mNotRun || !aFacts.mSigned ||
        aFacts.mHasContentEncoding) {
      return;
    }
    if (aFacts.mStatus >= 500) {
      BOOST_TEST((aUse == AnswerUse::Failure));
    } else if (aFacts.mStatus < 300 && aFacts.mIsStream &&
               aFacts.mStatus != 204) {
      BOOST_TEST((aUse == AnswerUse::Stream));
    } else {
      BOOST_TEST((aUse == AnswerUse::Whole));
    }
  });
}

// Guards against a broken promise: 503 for what may have run, and any whole
// answer after one that has begun.
BOOST_AUTO_TEST_CASE(end_tells_what_the_caller_may_rely_on)
{
  for (unsigned bits = 0; bits < 16; ++bits) {
    RequestFacts facts{
      (bits & 1) != 0, (bits & 2) != 0, (bits & 4) != 0, (bits & 8) != 0
    };
    RequestEnd end = ChooseRequestEnd(facts);
    BOOST_TEST_CONTEXT("bits " << bits)
    {
      BOOST_TEST((end == RequestEnd::BreakOff) == facts.mIsStarted);
      if (end == RequestEnd::Refuse) {
        BOOST_TEST(!facts.mMayHaveRun);
        BOOST_TEST(!facts.mHasFailure);
      }
      if (end == RequestEnd::TimedOut || end == RequestEnd::Failed) {
        BOOST_TEST(facts.mMayHaveRun);
        BOOST_TEST((end == RequestEnd::TimedOut) == facts.mIsTimeUp);
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
