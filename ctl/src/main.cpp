#include "savory/core/config.h"
#include "savory/net/log.h"
#include "savory/platform/store.h"

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>

using namespace savory;

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
  int exitCode = 1;
  StoreTransaction transaction;
  transaction.mPuts.push_back({ "cfg/document", document.dump(), 0 });
  client.Commit(transaction,
                [&](const tl::expected<StoreCommit, StoreError>& aCommit) {
                  exitCode = aCommit && aCommit->mSucceeded ? 0 : 1;
                  loop.Stop();
                });
  loop.Run();
  return exitCode;
}
