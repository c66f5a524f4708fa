#pragma once

#include "node.h"
#include "savory/core/billing.h"
#include "savory/platform/store.h"

namespace savory {

// Writes the steps of bills to the store, at an entry and at an agent.
class BillKeeper
{
public:
  // Called to tell an agent which steps are in the store.
  using SettledCallback = sigc::slot<void(const SendSettled&)>;

  // An entry holds steps for 0 ms before it writes them; an agent holds its
  // copies for longer and writes only what the entry did not.
  BillKeeper(Node& aNode,
             StoreClient& aStore,
             TimeMs aHoldMs,
             const SettledCallback& aOnSettled);

  void Add(const BillStep& aStep);
  void OnSettled(const std::vector<StepId>& aSteps);
  // Whether one more request may be accepted.
  bool CanAccept(std::size_t aRunning) const;
  // Writes everything without a pause, at a graceful shutdown.
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
