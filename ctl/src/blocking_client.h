#pragma once

#include "savory/core/config_store.h"
#include "savory/net/loop.h"
#include "savory/platform/config_history.h"
#include "savory/platform/host_list.h"
#include "savory/platform/store.h"
#include "settings.h"

namespace savory {

// Why a configuration could not be read.
struct ConfigReadError
{
  int mExitCode = 0;
  std::string mReason;
};

// How the run of a change ended. Without a swap that may have reached the
// store a change that was given up had no effect.
struct ChangeRunResult
{
  bool mTimedOut = false;
  bool mMayHaveSwapped = false;
};

// One run of a command: an event loop, which each call here turns until it has
// its answer, and the clients.
class BlockingClient
{
public:
  explicit BlockingClient(const CtlSettings& aSettings);

  const CtlSettings& mSettings;
  EventLoop mLoop;
  HttpClient mHttp;
  StoreClient mStore;

  // Reads one key, or all keys with a prefix; tries again until the timeout.
  tl::expected<std::optional<StoreEntry>, StoreError> Read(
    const std::string& aKey);
  tl::expected<std::vector<StoreEntry>, StoreError> ReadPrefix(
    const std::string& aPrefix);

  // The configuration in force, or the one of an earlier revision, which is
  // known as long as its head is kept.
  tl::expected<Configuration, ConfigReadError> ReadConfiguration();
  tl::expected<Configuration, ConfigReadError> ReadRevision(
    std::int64_t aRevision);

  // Takes a change through the store to its end, or gives up at the timeout.
  ChangeRunResult RunChange(Change& aChange);

  // Makes HTTP calls at the same time and waits for all results, in order.
  std::vector<HttpResult> Fetch(std::vector<HttpCall> aCalls);
  tl::expected<std::vector<Host>, HostListError> FetchHosts();

  // Lets the loop run for a time.
  void Pause(TimeMs aTimeMs);

private:
  using EntryReply = tl::expected<std::optional<StoreEntry>, StoreError>;

  // Reads keys at the same time, once each.
  std::vector<EntryReply> ReadOnce(const std::vector<std::string>& aKeys);
  StoreCallAnswer PerformCall(const StoreCall& aCall, const Change& aChange);
  StoreCallAnswer PerformRead(const StoreCall& aCall);
  StoreCallAnswer PerformCommit(const StoreTransaction& aTransaction);
  tl::expected<Configuration, ConfigReadError> ReadSections(
    const std::string& aHeadText);
  template<class T, class Start>
  T Await(Start aStart);
  template<class T, class Start>
  tl::expected<T, StoreError> RetryUntilTimeout(Start aStart);

  // The store's revision of the head when it was last read, and its text.
  std::int64_t mHeadModRevision = 0;
  std::string mHeadText;
  bool mMayHaveSwapped = false;
};

} // namespace savory
