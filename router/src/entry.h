#pragma once

#include "admin.h"
#include "agent_links.h"
#include "caller_api.h"
#include "fleet.h"
#include "node.h"
#include "savory/net/http_server.h"
#include "savory/platform/store.h"

#include <memory>
#include <set>

namespace savory {

// The entry role: takes callers' requests and brings each to an agent.
class Entry
{
public:
  explicit Entry(Node& aNode);

  // Listens on all addresses; false when one cannot be used.
  bool Listen();
  // Begins a graceful shutdown; the loop ends when the last call has.
  void Drain();

  Node& mNode;
  AgentLinks mLinks;
  StoreClient mStore;
  Fleet mFleet;
  // Calls under way, for the drain and the state dump.
  std::set<const void*> mCalls;

  void CallStarted(const void* aCall);
  void CallEnded(const void* aCall);

private:
  void OnCaller(const HttpRequest& aRequest,
                const std::shared_ptr<HttpReply>& aReply);
  void ListModels(const HttpRequest& aRequest, HttpReply& aReply);
  void OnPeerStream(const std::shared_ptr<InnerStream>& aStream);
  nlohmann::json State() const;

  Admin mAdmin;
  std::unique_ptr<InnerListener> mInner;
  std::unique_ptr<HttpServer> mCallers;
  Timer mDrainTimer;
};

// Handles one model call to its end.
void
StartModelCall(Entry& aEntry,
               const CallerContext& aContext,
               const HttpRequest& aRequest,
               const std::shared_ptr<HttpReply>& aReply);

// Handles one call of a plain service to its end.
void
StartServiceCall(Entry& aEntry,
                 const CallerContext& aContext,
                 const Service& aService,
                 const HttpRequest& aRequest,
                 const std::shared_ptr<HttpReply>& aReply);

} // namespace savory
