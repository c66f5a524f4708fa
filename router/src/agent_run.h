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

  // Starts a run that was queued, after all checks were made again.
  void Begin();
  // Ends a run that was queued.
  void Reject(const AdmissionDecision& aAnswer);
  // Ends a run whose tokens no longer fit the backend server's memory.
  void CutForMemory();

  // Whether the run has waited so long for its first token that the backend
  // server must be cold.
  bool WaitsAsIfCold() const;

private:
  void OnFrame(const Frame& aFrame);
  void OnStreamClosed();
  void WaitForConfiguration();
  void Decide();
  std::optional<CallRefusal> Check() const;
  void RefuseRun(const CallRefusal& aRefusal);
  void Dispatch();
  void OnHeaders(const HttpResponse& aResponse);
  void OnBody(std::string_view aBytes);
  void OnDone(const HttpResult& aResult);
  void SendBroken(bool aReached,
                  const std::string& aReason,
                  std::uint64_t aCrash);
  void SendEnd(const AnswerEnd& aEnd);
  void KeepStep(const AnswerEnd& aEnd);
  void LeaveBackend();
  Micros CostOf(const TokenUsage& aUsage) const;

  Agent& mAgent;
  std::shared_ptr<InnerStream> mStream;
  std::shared_ptr<HttpExchange> mExchange;
  RunRequest mRequest;
  std::string mId;
  std::string mBody;
  Timer mConfigWait;
  sigc::connection mConfigConnection;
  TimeMs mArrivedMs = 0;
  TimeMs mStartedMs = 0;
  int mGeneration = 0;
  bool mHasHead = false;
  bool mDecided = false;
  bool mAdmitted = false;
  bool mAccepted = false;
  bool mFirstSeen = false;
  int mStatus = 0;
  bool mPaused = false;
  UsageReader mUsage;
  std::int64_t mGenerated = 0;
};

} // namespace savory
