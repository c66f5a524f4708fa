#include "savory/core/admission.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <rapidcheck.h>

using namespace savory;

namespace {

AdmissionRequest
MakeRequest(const std::string& aId,
            std::int64_t aInput = 100,
            int aPriority = 1,
            TimeMs aDeadlineMs = 60000)
{
  AdmissionRequest request;
  request.mId = aId;
  request.mCustomer = "customer";
  request.mInputTokens = aInput;
  request.mOutputTokens = 100;
  request.mPriority = aPriority;
  request.mDeadlineMs = aDeadlineMs;
  return request;
}

// Admits requests with long inputs, answers of unforeseen length and slow
// callers, and returns the maximum number of tokens actually held at a time.
std::int64_t
MaxHeldTokens(std::uint64_t aSeed, bool aCheckMemory)
{
  std::mt19937_64 random(aSeed);
  AdmissionOptions options;
  options.mTokenCapacity = 20000;
  options.mCheckMemory = aCheckMemory;
  Admission admission;
  std::map<std::string, std::int64_t> generated;
  std::map<std::string, std::int64_t> inputs;
  std::int64_t maxHeld = 0;
  for (TimeMs now = 0; now < 20000; now += 10) {
    auto id = std::to_string(now);
    auto request = MakeRequest(id, 100 + static_cast<int>(random() % 8000));
    inputs[id] = request.mInputTokens;
    AdmissionChanges changes;
    auto decision = Admit(admission, options, 64, false, request, now, changes);
    if (decision.mResult == AdmissionResult::Started) {
      generated[id] = 0;
    }
    for (const auto& started :
         PollAdmission(admission, options, 64, false, now).mStarted) {
      generated[started.mId] = 0;
    }
    auto copy = generated;
    for (const auto& [running, tokens] : copy) {
      if (!generated.contains(running)) {
        continue;
      }
      generated[running] += static_cast<std::int64_t>(random() % 60);
      for (const auto& cancelled :
           OnTokensGenerated(admission, options, running, generated[running])) {
        generated.erase(cancelled);
      }
      // The answer of a slow caller takes much longer.
      if (generated.contains(running) && random() % 200 == 0) {
        OnRequestEnded(admission, running, now);
        generated.erase(running);
      }
    }
    std::int64_t passed = 0;
    for (const auto& [running, tokens] : generated) {
      passed += inputs[running] + tokens;
    }
    maxHeld = std::max(maxHeld, passed);
  }
  return maxHeld;
}

} // namespace

BOOST_AUTO_TEST_SUITE(admission)

// Guards against a backend server that runs out of memory through long inputs,
// slow callers and answers longer than their reserved tokens. Without the
// memory check the capacity has to be exceeded, or the test would prove
// nothing.
BOOST_AUTO_TEST_CASE(tokens_held_never_exceed_the_capacity)
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    BOOST_TEST(MaxHeldTokens(seed, true) <= 20000);
    BOOST_TEST(MaxHeldTokens(seed, false) > 20000);
  }
}

// Guards against a count of held tokens that drifts from the running requests,
// for example because a request ends twice.
BOOST_AUTO_TEST_CASE(held_tokens_match_what_runs)
{
  bool passed = rc::check([] {
    Admission admission;
    AdmissionOptions options;
    options.mTokenCapacity = 5000;
    for (TimeMs now = 0; now < 80; ++now) {
      auto id = std::to_string(*rc::gen::inRange(0, 12));
      switch (*rc::gen::inRange(0, 4)) {
        case 0: {
          AdmissionChanges changes;
          if (!admission.mRunning.contains(id)) {
            Admit(admission,
                  options,
                  8,
                  false,
                  MakeRequest(id, *rc::gen::inRange(1, 3000)),
                  now,
                  changes);
          }
          break;
        }
        case 1:
          OnRequestEnded(admission, id, now);
          break;
        case 2:
          OnTokensGenerated(admission, options, id, *rc::gen::inRange(0, 2000));
          break;
        default:
          OnInputCounted(admission, id, *rc::gen::inRange(1, 800));
      }
      CancelQueued(admission, id);
      std::int64_t sum = 0;
      for (const auto& [name, running] : admission.mRunning) {
        sum += running.mInputTokens +
               std::max(running.mReservedTokens, running.mGeneratedTokens);
      }
      RC_ASSERT(sum == admission.mTokensHeld);
    }
  });
  BOOST_TEST(passed);
}

// Guards against refusals without error code, retry time or load, and against a
// cold backend server that queues requests which others could run.
BOOST_AUTO_TEST_CASE(refusals_carry_code_retry_time_and_load)
{
  AdmissionOptions options;
  options.mTokenCapacity = 1000;
  Admission admission;
  AdmissionChanges changes;
  auto admit =
    [&](const AdmissionRequest& aRequest, int aAllowance, bool aCold) {
      return Admit(admission, options, aAllowance, aCold, aRequest, 0, changes);
    };
  BOOST_TEST(
    (admit(MakeRequest("1"), 1, true).mResult == AdmissionResult::Started));
  auto cold = admit(MakeRequest("2"), 1, true);
  BOOST_TEST((cold.mResult == AdmissionResult::Refused));
  BOOST_TEST((cold.mCode == ErrorCode::ColdLimit));
  BOOST_TEST(cold.mRetryAfterMs > 0);
  BOOST_TEST(cold.mLoad.mRunning == 1);
  auto memory = admit(MakeRequest("3", 2000), 16, false);
  BOOST_TEST((memory.mCode == ErrorCode::MemoryLimit));
  auto direct = MakeRequest("4");
  direct.mMayQueue = false;
  BOOST_TEST((admit(direct, 1, false).mCode == ErrorCode::Overloaded));
  auto late = admit(MakeRequest("5", 100, 1, 10), 1, false);
  BOOST_TEST((late.mResult == AdmissionResult::Refused));
  admission.mDraining = true;
  BOOST_TEST((admit(MakeRequest("6"), 16, false).mCode == ErrorCode::Draining));
}

// Guards against a queue that ignores priority, keeps requests past their
// deadline or lets a large request starve behind small ones.
BOOST_AUTO_TEST_CASE(queue_respects_priority_deadline_and_bound)
{
  AdmissionOptions options;
  options.mTokenCapacity = 1000;
  options.mMaxQueue = 2;
  Admission admission;
  admission.mMeanServiceMs = 1;
  AdmissionChanges changes;
  auto admit = [&](const AdmissionRequest& aRequest) {
    return Admit(admission, options, 1, false, aRequest, 0, changes).mResult;
  };
  BOOST_TEST((admit(MakeRequest("1")) == AdmissionResult::Started));
  BOOST_TEST((admit(MakeRequest("low", 100, 0)) == AdmissionResult::Queued));
  BOOST_TEST((admit(MakeRequest("big", 700, 1)) == AdmissionResult::Queued));
  BOOST_TEST((admit(MakeRequest("low2", 100, 0)) == AdmissionResult::Refused));
  BOOST_TEST(
    (admit(MakeRequest("high", 100, 2, 500)) == AdmissionResult::Queued));
  BOOST_TEST(changes.mRefused.size() == 1U);
  BOOST_TEST(changes.mRefused[0].mId == "low");
  auto late = PollAdmission(admission, options, 1, false, 500);
  BOOST_TEST(late.mRefused.size() == 1U);
  BOOST_TEST((late.mRefused[0].mDecision.mCode == ErrorCode::DeadlineExceeded));
  OnRequestEnded(admission, "1", 600);
  auto next = PollAdmission(admission, options, 1, false, 600);
  BOOST_TEST(next.mStarted.size() == 1U);
  BOOST_TEST(next.mStarted[0].mId == "big");
}

// Guards against other requests that run beside a suspected one.
BOOST_AUTO_TEST_CASE(isolated_request_runs_without_others)
{
  Admission admission;
  AdmissionOptions options;
  AdmissionChanges changes;
  auto suspect = MakeRequest("suspect");
  suspect.mIsolated = true;
  suspect.mMayQueue = false;
  auto other = MakeRequest("other");
  other.mMayQueue = false;
  auto admit = [&](const AdmissionRequest& aRequest) {
    return Admit(admission, options, 16, false, aRequest, 0, changes).mResult;
  };
  BOOST_TEST((admit(other) == AdmissionResult::Started));
  BOOST_TEST((admit(suspect) == AdmissionResult::Refused));
  OnRequestEnded(admission, "other", 1);
  BOOST_TEST((admit(suspect) == AdmissionResult::Started));
  BOOST_TEST((admit(other) == AdmissionResult::Refused));
}

BOOST_AUTO_TEST_SUITE_END()
