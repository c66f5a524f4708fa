#pragma once

#include "node.h"
#include "savory/core/billing.h"
#include "savory/platform/store.h"

namespace savory {

// Writes bill steps to the store, at an entry and at an agent.
class BillKeeper
{
public:
  // Called to tell an agent which steps have been written to the store.
  using SettledCallback = sigc::slot<void(const SendSettled&)>;

  // aHoldMs is the delay before a step is written: 0 at an entry. An agent
  // holds its copies for longer and writes only those that the entry did not.
  BillKeeper(Node& aNode,
             StoreClient& aStore,
             TimeMs aHoldMs,
             const SettledCallback& aOnSettled);

  void Add(const BillStep& aStep);
  void OnSettled(const std::vector<StepId>& aSteps);
  // Whether another request can be billed while aRunning requests are running.
  bool CanAccept(std::size_t aRunning) const;
  // Writes all steps without delay, at a graceful shutdown.
  void Flush();
  std::size_t UnwrittenCount() const { return UnwrittenSteps(mBilling); }

private:
  void Perform(const BillingActions& aActions);
  void Write(const WriteBills& aWrite);

  Node& mNode;
  StoreClient& mStore;
  SettledCallback mOnSettled;
  Billing mBilling;
  Timer mTickTimer;
};

} // namespace savory
