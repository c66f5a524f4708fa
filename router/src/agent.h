#pragma once

#include "admin.h"
#include "node.h"
#include "savory/core/config_sync.h"
#include "savory/core/wire.h"
#include "savory/net/inner.h"
#include "savory/platform/backend.h"

#include <memory>
#include <set>

namespace savory {

// The agent role: the only path to one backend server.
class Agent
{
public:
  explicit Agent(Node& aNode);

  bool Listen();
  void Drain();

  // The report as of now.
  Report MakeReport() const;
  // Sends the report to all subscribers, without waiting for the next period.
  void ReportNow();

  void CallStarted(const void* aCall);
  void CallEnded(const void* aCall);

  Node& mNode;
  std::set<const void*> mCalls;
  BackendLoad mLoad;
  bool mReachable = false;

private:
  void OnStream(const std::shared_ptr<InnerStream>& aStream);
  void OnConfig(const std::shared_ptr<InnerStream>& aStream,
                const Frame& aFrame);
  void PollBackend();
  nlohmann::json State() const;

  Admin mAdmin;
  ConfigSync mSync;
  std::unique_ptr<InnerListener> mListener;
  std::set<std::shared_ptr<InnerStream>> mSubscribers;
  Timer mReportTimer;
  Timer mPollTimer;
  Timer mDrainTimer;
};

// Serve one stream of an entry to its end.
void
StartAgentRun(Agent& aAgent, const std::shared_ptr<InnerStream>& aStream);
void
StartAgentCall(Agent& aAgent, const std::shared_ptr<InnerStream>& aStream);

// Sends a refusal and ends the stream.
void
Refuse(Agent& aAgent,
       InnerStream& aStream,
       ErrorCode aCode,
       Ran aRan,
       const std::string& aReason,
       TimeMs aRetryAfterMs,
       const std::string& aHint = "");

} // namespace savory
