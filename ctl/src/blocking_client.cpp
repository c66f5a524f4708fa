#include "blocking_client.h"

#include "exit_codes.h"

namespace savory {

namespace {

constexpr TimeMs kRetryPauseMs = 100;

// Whether the error of a store call proves that the call had no effect.
bool
HadNoEffect(const StoreError& aError)
{
  return aError.mCode == StoreErrorCode::Unreachable ||
         aError.mCode == StoreErrorCode::Refused;
}

ConfigReadError
MakeUnreachableError(const StoreError& aError)
{
  return { kExitUnreachable,
           "the store does not answer: " +
             std::string(ToName(kStoreErrorNames, aError.mCode)) + ", " +
             aError.mReason };
}

} // namespace

BlockingClient::BlockingClient(const CtlSettings& aSettings)
  : mSettings(aSettings)
  , mHttp(mLoop)
  , mStore(mHttp, aSettings.mStore)
{
}

// Starts an asynchronous call and runs the event loop until its reply arrives.
template<class T, class Start>
T
BlockingClient::Await(Start aStart)
{
  std::optional<T> reply;
  aStart([&](const T& aReply) {
    reply.emplace(aReply);
    mLoop.Stop();
  });
  while (!reply) {
    mLoop.Run();
  }
  return std::move(*reply);
}

// Repeats a read until the store answers it or the timeout has passed.
template<class T, class Start>
tl::expected<T, StoreError>
BlockingClient::RetryUntilTimeout(Start aStart)
{
  TimeMs end = MonotonicMs() + mSettings.mTimeoutMs;
  while (true) {
    auto reply = Await<tl::expected<T, StoreError>>(aStart);
    if (reply || reply.error().mCode == StoreErrorCode::BadAnswer ||
        MonotonicMs() + kRetryPauseMs > end) {
      return reply;
    }
    Pause(kRetryPauseMs);
  }
}

void
BlockingClient::Pause(TimeMs aTimeMs)
{
  bool elapsed = false;
  Timer timer = Timer::After(mLoop, aTimeMs, [&] {
    elapsed = true;
    mLoop.Stop();
  });
  while (!elapsed) {
    mLoop.Run();
  }
}

tl::expected<std::optional<StoreEntry>, StoreError>
BlockingClient::Read(const std::string& aKey)
{
  return RetryUntilTimeout<std::optional<StoreEntry>>(
    [&](auto aReply) { mStore.Read(aKey, aReply); });
}

std::vector<BlockingClient::EntryReply>
BlockingClient::ReadOnce(const std::vector<std::string>& aKeys)
{
  std::vector<EntryReply> replies(aKeys.size());
  std::size_t pending = aKeys.size();
  for (std::size_t i = 0; i < aKeys.size(); ++i) {
    mStore.Read(aKeys[i], [&, i](const EntryReply& aReply) {
      replies[i] = aReply;
      if (--pending == 0) {
        mLoop.Stop();
      }
    });
  }
  while (pending > 0) {
    mLoop.Run();
  }
  return replies;
}

tl::expected<std::vector<StoreEntry>, StoreError>
BlockingClient::ReadPrefix(const std::string& aPrefix)
{
  return RetryUntilTimeout<std::vector<StoreEntry>>(
    [&](auto aReply) { mStore.ReadPrefix(aPrefix, aReply); });
}

// Reads the sections that a head names and assembles the configuration.
tl::expected<Configuration, ConfigReadError>
BlockingClient::ReadSections(const std::string& aHeadText)
{
  auto head = ParseHead(aHeadText);
  if (!head) {
    return tl::unexpected(
      ConfigReadError{ kExitCorrupt, head.error().mReason });
  }
  std::vector<std::string> keys(head->mSections.begin(), head->mSections.end());
  std::vector<std::string> texts;
  auto entries = ReadOnce(keys);
  for (std::size_t i = 0; i < keys.size(); ++i) {
    EntryReply entry = entries[i] ? entries[i] : Read(keys[i]);
    if (!entry) {
      return tl::unexpected(MakeUnreachableError(entry.error()));
    }
    if (!*entry) {
      return tl::unexpected(
        ConfigReadError{ kExitNotFound, "the store does not hold " + keys[i] });
    }
    texts.push_back((*entry)->mValue);
  }
  auto config = AssembleConfiguration(*head, texts);
  if (!config) {
    return tl::unexpected(
      ConfigReadError{ kExitCorrupt, config.error().mReason });
  }
  return *config;
}

tl::expected<Configuration, ConfigReadError>
BlockingClient::ReadConfiguration()
{
  TimeMs end = MonotonicMs() + mSettings.mTimeoutMs;
  while (true) {
    auto entry = Read(std::string(kHeadKey));
    if (!entry) {
      return tl::unexpected(MakeUnreachableError(entry.error()));
    }
    if (!*entry) {
      return tl::unexpected(ConfigReadError{
        kExitNotFound, "the store has no configuration; see savoryctl init" });
    }
    auto config = ReadSections((*entry)->mValue);
    // When another head is committed between the two reads, a section of the
    // old one can be garbage-collected.
    if (config || config.error().mExitCode != kExitNotFound ||
        MonotonicMs() > end) {
      return config;
    }
    Pause(kRetryPauseMs);
  }
}

tl::expected<Configuration, ConfigReadError>
BlockingClient::ReadRevision(std::int64_t aRevision)
{
  auto entry = Read(ArchivedHeadKey(aRevision));
  if (!entry) {
    return tl::unexpected(MakeUnreachableError(entry.error()));
  }
  if (!*entry) {
    return tl::unexpected(ConfigReadError{
      kExitNotFound,
      "revision " + std::to_string(aRevision) + " is no longer known" });
  }
  return ReadSections((*entry)->mValue);
}

StoreCallAnswer
BlockingClient::PerformRead(const StoreCall& aCall)
{
  StoreCallAnswer answer;
  auto entries = ReadOnce(aCall.mKeys);
  for (std::size_t i = 0; i < entries.size(); ++i) {
    if (!entries[i]) {
      answer.mStatus = StoreCallAnswer::Status::Lost;
      return answer;
    }
    const std::optional<StoreEntry>& entry = *entries[i];
    if (aCall.mKeys[i] == kHeadKey) {
      mHeadModRevision = entry ? entry->mModRevision : 0;
      mHeadText = entry ? entry->mValue : "";
    }
    answer.mValues.push_back(entry ? std::optional(entry->mValue)
                                   : std::nullopt);
  }
  return answer;
}

StoreCallAnswer
BlockingClient::PerformCommit(const StoreTransaction& aTransaction)
{
  auto commit = Await<tl::expected<StoreCommit, StoreError>>(
    [&](auto aReply) { mStore.Commit(aTransaction, aReply); });
  StoreCallAnswer answer;
  bool isSwap = !aTransaction.mConditions.empty();
  if (!commit) {
    answer.mStatus = StoreCallAnswer::Status::Lost;
    mMayHaveSwapped |= isSwap && !HadNoEffect(commit.error());
  } else if (!commit->mSucceeded) {
    answer.mStatus = StoreCallAnswer::Status::Mismatch;
  }
  return answer;
}

StoreCallAnswer
BlockingClient::PerformCall(const StoreCall& aCall, const Change& aChange)
{
  StoreTransaction transaction;
  switch (aCall.mKind) {
    case StoreCall::Kind::Read:
      return PerformRead(aCall);
    case StoreCall::Kind::Write:
      for (const auto& [key, value] : aCall.mEntries) {
        transaction.mPuts.push_back({ key, value, 0 });
      }
      return PerformCommit(transaction);
    case StoreCall::Kind::SwapHead:
      break;
  }
  // The state machine compares the head by value, the store by modification
  // revision. The head as last read links the two. Revisions within the head
  // only increase, so that no earlier value recurs.
  if (mHeadText != aCall.mExpected) {
    return { StoreCallAnswer::Status::Mismatch, {} };
  }
  transaction.mConditions.push_back(
    { std::string(kHeadKey), mHeadModRevision });
  transaction.mPuts.push_back({ std::string(kHeadKey), aCall.mValue, 0 });
  ArchiveHead(transaction, aChange.mHead.mRevision, aCall.mExpected);
  return PerformCommit(transaction);
}

ChangeRunResult
BlockingClient::RunChange(Change& aChange)
{
  TimeMs end = MonotonicMs() + mSettings.mTimeoutMs;
  mMayHaveSwapped = false;
  ChangeRunResult run;
  while (auto call = NextCall(aChange)) {
    StoreCallAnswer answer = PerformCall(*call, aChange);
    OnStoreAnswer(aChange, answer);
    if (aChange.mState == ChangeState::Running && MonotonicMs() > end) {
      AbandonChange(aChange);
      run.mTimedOut = true;
    } else if (answer.mStatus == StoreCallAnswer::Status::Lost) {
      Pause(kRetryPauseMs);
    }
  }
  run.mMayHaveSwapped = mMayHaveSwapped;
  return run;
}

std::vector<HttpResult>
BlockingClient::Fetch(std::vector<HttpCall> aCalls)
{
  std::vector<HttpResult> results(aCalls.size());
  std::size_t pending = aCalls.size();
  for (std::size_t i = 0; i < aCalls.size(); ++i) {
    mHttp.Fetch(std::move(aCalls[i]), [&, i](const HttpResult& aResult) {
      results[i] = aResult;
      if (--pending == 0) {
        mLoop.Stop();
      }
    });
  }
  while (pending > 0) {
    mLoop.Run();
  }
  return results;
}

tl::expected<std::vector<Host>, HostListError>
BlockingClient::FetchHosts()
{
  return Await<tl::expected<std::vector<Host>, HostListError>>(
    [&](auto aReply) { FetchHostList(mHttp, mSettings.mHostList, aReply); });
}

} // namespace savory
