#pragma once

#include "agent.h"

#include <memory>
#include <string>

namespace savory {

// One model call at an agent.
class AgentRun : public std::enable_shared_from_this<AgentRun>
{
public:
  AgentRun(Agent& aAgent, const std::shared_ptr<InnerStream>& aStream);
  ~AgentRun();
  AgentRun(const AgentRun&) = delete;
  AgentRun& operator=(const AgentRun&) = delete;

  void Listen();

  // Starts a queued run after repeating all checks.
  void StartQueued();
  // Ends a run that the admission refused, at its arrival or from the queue.
  void Reject(const AdmissionDecision& aDecision);
  // Cancels a run whose tokens no longer fit the backend server's memory.
  void CancelForMemory();

  // Whether the run has waited so long for its first token that the backend
  // server is likely cold.
  bool SuggestsColdBackend() const;

private:
  void OnFrame(const Frame& aFrame);
  void OnStreamClosed();
  void WaitForConfiguration();
  void Decide();
  std::optional<CallRefusal> CheckRun() const;
  void RefuseRun(const CallRefusal& aRefusal);
  void Dispatch();
  void OnHeaders(const HttpResponse& aResponse);
  void OnBody(std::string_view aBytes);
  void OnDone(const HttpResult& aResult);
  void SendFailure(bool aReached,
                   const std::string& aReason,
                   std::uint64_t aCrashId);
  void SendEnd(const AnswerEnd& aEnd);
  void AddBillStep(const AnswerEnd& aEnd);
  void ReleaseAdmission();
  Micros ComputeCost(const TokenUsage& aUsage) const;

  Agent& mAgent;
  std::shared_ptr<InnerStream> mStream;
  std::shared_ptr<HttpExchange> mExchange;
  RunRequest mRequest;
  std::string mId;
  std::string mBody;
  Timer mConfigTimer;
  sigc::connection mConfigConnection;
  TimeMs mArrivedMs = 0;
  TimeMs mStartedMs = 0;
  int mGeneration = 0;
  bool mHeadReceived = false;
  bool mDecided = false;
  bool mAdmitted = false;
  bool mAccepted = false;
  bool mFirstByteReceived = false;
  int mStatus = 0;
  bool mPaused = false;
  UsageReader mUsage;
  std::int64_t mGeneratedTokens = 0;
};

} // namespace savory
