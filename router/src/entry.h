#pragma once

#include "admin.h"
#include "agent_links.h"
#include "answer_rater.h"
#include "bill_keeper.h"
#include "caller_api.h"
#include "fleet.h"
#include "node.h"
#include "rollout_driver.h"
#include "savory/core/balancer.h"
#include "savory/core/cascade.h"
#include "savory/core/explain.h"
#include "savory/core/limits.h"
#include "savory/core/metrics.h"
#include "savory/core/quarantine.h"
#include "savory/net/http_server.h"
#include "savory/platform/store.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace savory {

class ModelCall;

// The entry role: receives callers' requests and sends their steps to agents.
class Entry
{
public:
  explicit Entry(Node& aNode);
  ~Entry();
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  // Listens on all addresses. Returns false when one cannot be bound.
  bool Listen();
  // Starts a graceful shutdown. The event loop stops once no call is in
  // progress and all bills are written, or at the drain deadline.
  void Drain();

  // Track the calls in progress, for the drain and the state dump.
  void OnCallStarted(const void* aCall);
  void OnCallEnded(const void* aCall);

  // Keep a call alive while it waits for capacity.
  void AddWaitingCall(const std::shared_ptr<ModelCall>& aCall);
  void RemoveWaitingCall(const ModelCall* aCall);

  // Whether any call waits for capacity.
  bool IsOverloaded() const { return !mWaitingCalls.empty(); }
  // Returns the pool of the backend servers that serve a "model@version", or an
  // empty string when no agent reports the version.
  std::string FindPool(const std::string& aVersion) const;

  void ObserveFirstToken(TimeMs aElapsedMs);
  void ObserveStepTime(const std::string& aModel, TimeMs aElapsedMs);
  void CountAnswer(int aStatus);
  // Counts and logs an error answer.
  void CountError(const CallerError& aError, const std::string& aRequestId);

  Node& mNode;
  AgentLinks mLinks;
  StoreClient mStore;
  Fleet mFleet;
  AnswerRater mRater;
  BillKeeper mBills;
  RolloutDriver mRollouts;
  Balancer mBalancer;
  BalancerOptions mBalancerOptions;
  Limits mLimits;
  Quarantine mQuarantine;
  CascadeOptions mCascade;
  ExplainLog mExplain;
  Metrics mMetrics;
  std::set<const void*> mCalls;
  // Calls that wait for capacity, by the id under which mLimits queues them.
  std::map<std::string, std::weak_ptr<ModelCall>> mWaitingByQueueId;
  // Moving average of the duration of a completed step, by model.
  std::map<std::string, double> mMeanStepMs;

private:
  void OnCallerRequest(const HttpRequest& aRequest,
                       const std::shared_ptr<HttpReply>& aReply);
  bool CheckAcceptsWork(const CallerContext& aContext, HttpReply& aReply);
  void ListModels(const HttpRequest& aRequest, HttpReply& aReply);
  void OnPeerStream(const std::shared_ptr<InnerStream>& aStream);
  void OnReport(const AgentReport& aReport);
  void OnConfigChanged();
  void OnGossipRound();
  void PlaceWaitingCalls();
  void SendSettledSteps(const SendSettled& aSettled);
  void StopIfIdle();
  nlohmann::json State() const;
  nlohmann::json ExplainRequest(const std::string& aRequestId) const;

  Admin mAdmin;
  std::unique_ptr<InnerListener> mInnerListener;
  std::unique_ptr<HttpServer> mCallerServer;
  std::map<const ModelCall*, std::shared_ptr<ModelCall>> mWaitingCalls;
  std::map<int, CounterHandle> mAnswerCounters;
  HistogramHandle mFirstTokenSeconds;
  Timer mQueueTimer;
  Timer mDrainPollTimer;
  Timer mDrainDeadlineTimer;
};

// Starts a model call, which then owns itself until it has been answered.
void
StartModelCall(Entry& aEntry,
               const CallerContext& aContext,
               const HttpRequest& aRequest,
               const std::shared_ptr<HttpReply>& aReply);

// Starts a call of a plain service, which then owns itself until it has been
// answered.
void
StartServiceCall(Entry& aEntry,
                 const CallerContext& aContext,
                 const Service& aService,
                 const HttpRequest& aRequest,
                 const std::shared_ptr<HttpReply>& aReply);

} // namespace savory
