#include "config_writer.h"

#include "savory/platform/config_history.h"

namespace savory {

namespace {

// Store calls per change before the change is abandoned.
constexpr int kMaxStoreCalls = 40;

// A change in progress. mHeadRevision is the head's revision in the store as
// last read, which the compare-and-swap expects.
struct ChangeInFlight
{
  StoreClient& mStore;
  std::shared_ptr<Change> mChange;
  sigc::slot<void(const Change&)> mDone;
  std::int64_t mHeadRevision = 0;
  int mCallCount = 0;
};

using ChangeInFlightPointer = std::shared_ptr<ChangeInFlight>;

void
PerformNextCall(const ChangeInFlightPointer& aInFlight);

void
OnAnswer(const ChangeInFlightPointer& aInFlight, const StoreCallAnswer& aAnswer)
{
  OnStoreAnswer(*aInFlight->mChange, aAnswer);
  PerformNextCall(aInFlight);
}

// Reads the next key, until the answer holds the values of all keys. Records
// the head's revision in the store for a later compare-and-swap.
void
ReadNextKey(const ChangeInFlightPointer& aInFlight,
            const std::vector<std::string>& aKeys,
            const StoreCallAnswer& aPartialAnswer)
{
  if (aPartialAnswer.mValues.size() == aKeys.size()) {
    OnAnswer(aInFlight, aPartialAnswer);
    return;
  }
  const std::string& key = aKeys[aPartialAnswer.mValues.size()];
  aInFlight->mStore.Read(
    key,
    [aInFlight, aKeys, aPartialAnswer, key](
      const tl::expected<std::optional<StoreEntry>, StoreError>& aEntry) {
      if (!aEntry) {
        OnAnswer(aInFlight, { StoreCallAnswer::Status::Lost, {} });
        return;
      }
      StoreCallAnswer answer = aPartialAnswer;
      std::optional<std::string> value;
      if (*aEntry) {
        value = (*aEntry)->mValue;
      }
      if (key == kHeadKey) {
        aInFlight->mHeadRevision = *aEntry ? (*aEntry)->mModRevision : 0;
      }
      answer.mValues.push_back(value);
      ReadNextKey(aInFlight, aKeys, answer);
    });
}

void
WriteEntries(const ChangeInFlightPointer& aInFlight, const StoreCall& aCall)
{
  StoreTransaction transaction;
  for (const auto& [key, value] : aCall.mEntries) {
    transaction.mPuts.push_back({ key, value, 0 });
  }
  if (aCall.mKind == StoreCall::Kind::SwapHead) {
    transaction.mConditions.push_back(
      { std::string(kHeadKey), aInFlight->mHeadRevision });
    transaction.mPuts.push_back({ std::string(kHeadKey), aCall.mValue, 0 });
    ArchiveHead(
      transaction, aInFlight->mChange->mHead.mRevision, aCall.mExpected);
  }
  aInFlight->mStore.Commit(
    transaction,
    [aInFlight](const tl::expected<StoreCommit, StoreError>& aCommit) {
      using Status = StoreCallAnswer::Status;
      Status status = !aCommit              ? Status::Lost
                      : aCommit->mSucceeded ? Status::Ok
                                            : Status::Mismatch;
      OnAnswer(aInFlight, { status, {} });
    });
}

void
PerformNextCall(const ChangeInFlightPointer& aInFlight)
{
  auto call = NextCall(*aInFlight->mChange);
  if (call && ++aInFlight->mCallCount > kMaxStoreCalls) {
    AbandonChange(*aInFlight->mChange);
    call.reset();
  }
  if (!call) {
    aInFlight->mDone(*aInFlight->mChange);
    return;
  }
  if (call->mKind == StoreCall::Kind::Read) {
    ReadNextKey(aInFlight, call->mKeys, {});
  } else {
    WriteEntries(aInFlight, *call);
  }
}

} // namespace

void
RunChange(StoreClient& aStore,
          const std::shared_ptr<Change>& aChange,
          const sigc::slot<void(const Change&)>& aDone)
{
  PerformNextCall(
    std::make_shared<ChangeInFlight>(ChangeInFlight{ aStore, aChange, aDone }));
}

} // namespace savory
