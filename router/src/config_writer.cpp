#include "config_writer.h"

#include "savory/platform/config_history.h"

namespace savory {

namespace {

// Calls of the store for one change before it is given up.
constexpr int kMaxCalls = 40;

// A change on its way, with what the compare-and-swap of the head compares.
struct Running
{
  StoreClient& mStore;
  std::shared_ptr<Change> mChange;
  sigc::slot<void(const Change&)> mDone;
  std::int64_t mHeadRevision = 0;
  int mCalls = 0;
};

using RunningPointer = std::shared_ptr<Running>;

void
NextStep(const RunningPointer& aRunning);

void
Take(const RunningPointer& aRunning, const StoreCallAnswer& aAnswer)
{
  OnStoreAnswer(*aRunning->mChange, aAnswer);
  NextStep(aRunning);
}

// Reads keys one after the other. The head's revision in the store is what a
// later swap compares.
void
ReadKeys(const RunningPointer& aRunning,
         const std::vector<std::string>& aKeys,
         const StoreCallAnswer& aSoFar)
{
  if (aSoFar.mValues.size() == aKeys.size()) {
    Take(aRunning, aSoFar);
    return;
  }
  const std::string& key = aKeys[aSoFar.mValues.size()];
  aRunning->mStore.Read(
    key,
    [aRunning, aKeys, aSoFar, key](
      const tl::expected<std::optional<StoreEntry>, StoreError>& aEntry) {
      if (!aEntry) {
        Take(aRunning, { StoreCallAnswer::Status::Lost, {} });
        return;
      }
      StoreCallAnswer answer = aSoFar;
      std::optional<std::string> value;
      if (*aEntry) {
        value = (*aEntry)->mValue;
      }
      if (key == kHeadKey) {
        aRunning->mHeadRevision = *aEntry ? (*aEntry)->mModRevision : 0;
      }
      answer.mValues.push_back(value);
      ReadKeys(aRunning, aKeys, answer);
    });
}

void
Write(const RunningPointer& aRunning, const StoreCall& aCall)
{
  StoreTransaction transaction;
  for (const auto& [key, value] : aCall.mEntries) {
    transaction.mPuts.push_back({ key, value, 0 });
  }
  if (aCall.mKind == StoreCall::Kind::SwapHead) {
    transaction.mConditions.push_back(
      { std::string(kHeadKey), aRunning->mHeadRevision });
    transaction.mPuts.push_back({ std::string(kHeadKey), aCall.mValue, 0 });
    ArchiveHead(
      transaction, aRunning->mChange->mHead.mRevision, aCall.mExpected);
  }
  aRunning->mStore.Commit(
    transaction,
    [aRunning](const tl::expected<StoreCommit, StoreError>& aCommit) {
      using Status = StoreCallAnswer::Status;
      Status status = !aCommit              ? Status::Lost
                      : aCommit->mSucceeded ? Status::Ok
                                            : Status::Mismatch;
      Take(aRunning, { status, {} });
    });
}

void
NextStep(const RunningPointer& aRunning)
{
  auto call = NextCall(*aRunning->mChange);
  if (call && ++aRunning->mCalls > kMaxCalls) {
    AbandonChange(*aRunning->mChange);
    call.reset();
  }
  if (!call) {
    aRunning->mDone(*aRunning->mChange);
    return;
  }
  if (call->mKind == StoreCall::Kind::Read) {
    ReadKeys(aRunning, call->mKeys, {});
  } else {
    Write(aRunning, *call);
  }
}

} // namespace

void
RunChange(StoreClient& aStore,
          const std::shared_ptr<Change>& aChange,
          const sigc::slot<void(const Change&)>& aDone)
{
  NextStep(std::make_shared<Running>(Running{ aStore, aChange, aDone }));
}

} // namespace savory
