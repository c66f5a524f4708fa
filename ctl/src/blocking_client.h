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

// How the run of a change ended. A change that timed out had no effect unless a
// compare-and-swap of the head may have reached the store.
struct ChangeRunResult
{
  bool mTimedOut = false;
  bool mMayHaveSwapped = false;
};

// Blocking calls to the store, the host list and the admin ports of hosts,
// for one command. Each call runs the event loop until its answer arrives.
class BlockingClient
{
public:
  explicit BlockingClient(const CtlSettings& aSettings);

  const CtlSettings& mSettings;
  EventLoop mLoop;
  HttpClient mHttp;
  StoreClient mStore;

  // Read one key, or all keys with a prefix; retry until the timeout.
  tl::expected<std::optional<StoreEntry>, StoreError> Read(
    const std::string& aKey);
  tl::expected<std::vector<StoreEntry>, StoreError> ReadPrefix(
    const std::string& aPrefix);

  // Read the configuration in force, or that of an earlier revision, which can
  // be read as long as the store keeps its head.
  tl::expected<Configuration, ConfigReadError> ReadConfiguration();
  tl::expected<Configuration, ConfigReadError> ReadRevision(
    std::int64_t aRevision);

  // Runs the state machine of a change to its end, or abandons the change at
  // the timeout.
  ChangeRunResult RunChange(Change& aChange);

  // Makes HTTP calls in parallel and returns all results in their order.
  std::vector<HttpResult> Fetch(std::vector<HttpCall> aCalls);
  tl::expected<std::vector<Host>, HostListError> FetchHosts();

  // Runs the event loop for a time.
  void Pause(TimeMs aTimeMs);

private:
  using EntryReply = tl::expected<std::optional<StoreEntry>, StoreError>;

  // Reads keys in parallel, without retries.
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

  // The store's modification revision and the text of the head as last read.
  std::int64_t mHeadModRevision = 0;
  std::string mHeadText;
  bool mMayHaveSwapped = false;
};

} // namespace savory
