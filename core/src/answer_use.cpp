#include "savory/core/answer_use.h"

namespace savory {

AnswerUse
ChooseAnswerUse(const AnswerFacts& aFacts)
{
  if (aFacts.mNotRun) {
    return AnswerUse::NotRun;
  }
  bool isSuccess = aFacts.mStatus >= 200 && aFacts.mStatus < 300;
  if (!aFacts.mSigned || (isSuccess && aFacts.mHasContentEncoding)) {
    return AnswerUse::Broken;
  }
  if (aFacts.mIsStarted) {
    if (!isSuccess) {
      return AnswerUse::Failure;
    }
    return aFacts.mContinuesStarted ? AnswerUse::Stream : AnswerUse::Broken;
  }
  if (aFacts.mStatus >= 500) {
    return AnswerUse::Failure;
  }
  return aFacts.mIsStream && isSuccess && !HasNoBody(aFacts.mStatus)
           ? AnswerUse::Stream
           : AnswerUse::Whole;
}

RequestEnd
ChooseRequestEnd(const RequestFacts& aFacts)
{
  if (aFacts.mIsStarted) {
    return RequestEnd::BreakOff;
  }
  if (aFacts.mHasFailure) {
    return RequestEnd::ForwardFailure;
  }
  if (!aFacts.mMayHaveRun) {
    return RequestEnd::Refuse;
  }
  return aFacts.mIsTimeUp ? RequestEnd::TimedOut : RequestEnd::Failed;
}

} // namespace savory
