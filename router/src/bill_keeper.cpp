#include "bill_keeper.h"

#include "savory/net/log.h"

namespace savory {

namespace {

constexpr TimeMs kTickIntervalMs = 100;

} // namespace

BillKeeper::BillKeeper(Node& aNode,
                       StoreClient& aStore,
                       TimeMs aHoldMs,
                       const SettledCallback& aOnSettled)
  : mNode(aNode)
  , mStore(aStore)
  , mOnSettled(aOnSettled)
{
  BillingOptions options;
  options.mHoldMs = aHoldMs;
  mBilling = MakeBilling(
    aNode.mSettings.mHost + "-" + std::to_string(aNode.mIncarnation), options);
  mTickTimer = Timer::Every(mNode.mLoop, kTickIntervalMs, [this] {
    Perform(TickBilling(mBilling, mNode.mLoop.NowMs()));
  });
}

void
BillKeeper::Add(const BillStep& aStep)
{
  AddStep(mBilling, aStep, mNode.mLoop.NowMs());
}

void
BillKeeper::OnSettled(const std::vector<StepId>& aSteps)
{
  OnStepsSettled(mBilling, aSteps);
}

bool
BillKeeper::CanAccept(std::size_t aRunning) const
{
  return CanBill(mBilling, aRunning);
}

void
BillKeeper::Flush()
{
  Perform(FlushBilling(mBilling, mNode.mLoop.NowMs()));
}

void
BillKeeper::Perform(const BillingActions& aActions)
{
  for (const auto& action : aActions) {
    if (const auto* write = std::get_if<WriteBills>(&action)) {
      Write(*write);
    } else {
      mOnSettled(std::get<SendSettled>(action));
    }
  }
}

// Creates the batch in the store. A commit whose condition fails also counts as
// written: the key then exists already and holds this same batch, because no
// other process writes under this writer's name.
void
BillKeeper::Write(const WriteBills& aWrite)
{
  std::string key =
    "bill/" + mBilling.mWriter + "/" + std::to_string(aWrite.mSequence);
  StoreTransaction transaction;
  transaction.mConditions.push_back({ key, 0 });
  transaction.mPuts.push_back({ key, aWrite.mValue, 0 });
  mStore.Commit(
    transaction,
    [this, sequence = aWrite.mSequence](
      const tl::expected<StoreCommit, StoreError>& aCommit) {
      bool written = aCommit.has_value();
      if (written) {
        LogEvent(Event::BillsWritten,
                 { { "sequence", std::to_string(sequence) } });
      }
      Perform(OnBillsAnswer(mBilling, sequence, written, mNode.mLoop.NowMs()));
    });
}

} // namespace savory
