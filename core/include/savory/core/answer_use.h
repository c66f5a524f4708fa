#pragma once

namespace savory {

// Decides what becomes of a backend server's answer and how a request ends. A
// caller gets the head of one answer only. After it has been sent, the body
// goes on with further events of the same stream or is broken off, which the
// caller can tell from a complete one.

// What an answer's head says of it, and what the caller has got before.
struct AnswerFacts
{
  bool mIsStream = false;
  int mStatus = 0;
  // The server states that it has not run the request.
  bool mNotRun = false;
  // It bears the mark of the server's own answers.
  bool mSigned = false;
  bool mHasContentEncoding = false;
  // Earlier attempts of this request have sent the caller a head.
  bool mIsStarted = false;
  // Status and content type are those of the head that the caller has got.
  bool mContinuesStarted = false;
};

enum class AnswerUse
{
  // The request may go to another server, as this one has not run it.
  NotRun,
  // Nothing of the answer is passed on.
  Broken,
  // The server's error: passed on whole if no other attempt succeeds and the
  // caller has got nothing.
  Failure,
  // Events are passed on as they arrive.
  Stream,
  // The answer is passed on at its end.
  Whole,
};

AnswerUse
ChooseAnswerUse(const AnswerFacts& aFacts);

// What is known of a request for which no further attempt is made.
struct RequestFacts
{
  bool mIsStarted = false;
  // The whole error answer of a server is in hand.
  bool mHasFailure = false;
  bool mMayHaveRun = false;
  bool mIsTimeUp = false;
};

enum class RequestEnd
{
  // The caller's connection is closed inside the answer.
  BreakOff,
  // The server's error is passed on.
  ForwardFailure,
  // 504: the request may have run, and its time is up.
  TimedOut,
  // 502: the request may have run.
  Failed,
  // 503: the request has not run and will not run.
  Refuse,
};

RequestEnd
ChooseRequestEnd(const RequestFacts& aFacts);

// Whether an answer with this status has no body, whatever its headers say
// (RFC 9110, 6.4.1).
constexpr bool
HasNoBody(int aStatus)
{
  return aStatus < 200 || aStatus == 204 || aStatus == 304;
}

} // namespace savory
