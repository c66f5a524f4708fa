#include "savory/core/config.h"
#include "savory/core/config_store.h"
#include "savory/net/log.h"
#include "savory/platform/store.h"

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>

using namespace savory;

namespace {

// Carries out the next call of a change, until it is done.
void
Step(StoreClient& aStore, Change& aChange, sigc::slot<void()> aDone)
{
  auto call = NextCall(aChange);
  if (!call) {
    aDone();
    return;
  }
  auto answer = [&aStore, &aChange, aDone](const StoreCallAnswer& aAnswer) {
    OnAnswer(aChange, aAnswer);
    Step(aStore, aChange, aDone);
  };
  if (call->mKind == StoreCall::Kind::Read) {
    answer({ StoreCallAnswer::Status::Ok,
             std::vector<std::optional<std::string>>(call->mKeys.size()) });
    return;
  }
  StoreTransaction transaction;
  for (const auto& [key, value] : call->mEntries) {
    transaction.mPuts.push_back({ key, value, 0 });
  }
  if (call->mKind == StoreCall::Kind::SwapHead) {
    transaction.mConditions.push_back({ std::string(kHeadKey), 0 });
    transaction.mPuts.push_back({ std::string(kHeadKey), call->mValue, 0 });
  }
  aStore.Commit(transaction,
                [answer](const tl::expected<StoreCommit, StoreError>& aCommit) {
                  answer({ !aCommit ? StoreCallAnswer::Status::Lost
                           : aCommit->mSucceeded
                             ? StoreCallAnswer::Status::Ok
                             : StoreCallAnswer::Status::Mismatch,
                           {} });
                });
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const char* store = std::getenv("SAVORY_STORE");
  if (aCount != 3 || !store || std::string_view(aArguments[1]) != "init") {
    std::fprintf(stderr, "usage: SAVORY_STORE=IP:PORT savoryctl init FILE\n");
    return 2;
  }
  std::ifstream file(aArguments[2]);
  auto document = nlohmann::json::parse(file, nullptr, false);
  auto config = ParseConfiguration(document);
  if (!config) {
    for (const auto& error : config.error()) {
      std::fprintf(stderr,
                   "%s: %s: %s\n",
                   aArguments[2],
                   error.mPath.c_str(),
                   error.mReason.c_str());
    }
    return 1;
  }
  EventLoop loop;
  HttpClient http(loop);
  StoreClient client(http, *ParseEndpoint(store));
  Change change = StartFirstConfiguration("init", *config);
  Step(client, change, [&] { loop.Stop(); });
  loop.Run();
  for (const auto& reason : change.mReasons) {
    std::fprintf(stderr, "%s\n", reason.c_str());
  }
  return change.mState == ChangeState::Accepted ? 0 : 1;
}
