#include "engine.h"
#include "hosts.h"
#include "rating.h"
#include "service.h"
#include "store.h"
#include "weights.h"

#include "savory/net/http_client.h"

#include <csignal>
#include <functional>
#include <iostream>
#include <tclap/CmdLine.h>

using namespace savory;

namespace {

// Declare adds the options of a subcommand to the command line and returns a
// Maker, which creates the server from them once the command line is parsed.
using Maker = std::function<std::unique_ptr<Standin>(EventLoop&)>;
using Declare = Maker (*)(TCLAP::CmdLine&);

// Options are never freed, because the command line refers to them.
template<class T>
TCLAP::ValueArg<T>&
Option(TCLAP::CmdLine& aLine,
       const std::string& aName,
       const std::string& aText,
       T aDefault)
{
  return *new TCLAP::ValueArg<T>(
    "", aName, aText, false, aDefault, "value", aLine);
}

Maker
DeclareStore(TCLAP::CmdLine&)
{
  return [](EventLoop& aLoop) { return std::make_unique<StoreStandin>(aLoop); };
}

Maker
DeclareHosts(TCLAP::CmdLine&)
{
  return [](EventLoop& aLoop) { return std::make_unique<HostsStandin>(aLoop); };
}

Maker
DeclareService(TCLAP::CmdLine& aLine)
{
  auto& work = Option<TimeMs>(aLine, "work-ms", "time that a run takes", 0);
  auto& slots = Option<int>(aLine, "slots", "max_running of the load", 64);
  return [&](EventLoop& aLoop) {
    return std::make_unique<ServiceStandin>(
      aLoop, ServiceOptions{ work.getValue(), slots.getValue() });
  };
}

Maker
DeclareEngine(TCLAP::CmdLine& aLine)
{
  EngineOptions defaults;
  auto& serves = *new TCLAP::MultiArg<std::string>(
    "", "serves", "model@version, repeatable", true, "name", aLine);
  auto& first = Option<TimeMs>(
    aLine, "first-token-ms", "time to first token", defaults.mFirstTokenMs);
  auto& token =
    Option<double>(aLine, "token-ms", "time per token", defaults.mMsPerToken);
  auto& prefill = Option<TimeMs>(aLine,
                                 "prefill-ms",
                                 "added per thousand uncached input tokens",
                                 defaults.mPrefillMsPerThousandTokens);
  auto& slots =
    Option<int>(aLine, "slots", "concurrent requests", defaults.mMaxRunning);
  auto& capacity = Option<std::int64_t>(
    aLine, "token-capacity", "tokens held at most", defaults.mTokenCapacity);
  auto& cold = Option<TimeMs>(
    aLine, "cold-ms", "length of a cold start", defaults.mColdStartMs);
  auto& coldRequests = Option<int>(aLine,
                                   "cold-concurrency",
                                   "requests carried while cold",
                                   defaults.mColdConcurrency);
  auto& restart = Option<TimeMs>(
    aLine, "restart-ms", "time a restart takes", defaults.mRestartMs);
  auto& poison = Option<std::string>(
    aLine, "poison", "text of a prompt that crashes the engine", "");
  auto& lag = Option<TimeMs>(aLine, "load-lag-ms", "lag of the load report", 0);
  auto& blocks = Option<std::size_t>(aLine,
                                     "cache-blocks",
                                     "blocks of 64 tokens cached",
                                     defaults.mMaxCachedBlocks);
  auto& ignores = *new TCLAP::SwitchArg(
    "", "ignores-fencing", "accepts orders with old tokens", aLine);
  return [&](EventLoop& aLoop) {
    EngineOptions options{
      .mServedVersions = { serves.getValue().begin(), serves.getValue().end() },
      .mFirstTokenMs = first.getValue(),
      .mMsPerToken = token.getValue(),
      .mPrefillMsPerThousandTokens = prefill.getValue(),
      .mMaxRunning = slots.getValue(),
      .mTokenCapacity = capacity.getValue(),
      .mColdStartMs = cold.getValue(),
      .mColdConcurrency = coldRequests.getValue(),
      .mRestartMs = restart.getValue(),
      .mPoisonText = poison.getValue(),
      .mLoadLagMs = lag.getValue(),
      .mIgnoresFencing = ignores.getValue(),
      .mMaxCachedBlocks = blocks.getValue(),
    };
    return std::make_unique<EngineStandin>(aLoop, options);
  };
}

Maker
DeclareRating(TCLAP::CmdLine& aLine)
{
  RatingOptions defaults;
  auto& scores = *new TCLAP::MultiArg<std::string>(
    "",
    "score",
    "MODEL@VERSION[/CLASS]=PASS_RATE, repeatable; CLASS is the word after "
    "\"class:\" in the prompt",
    false,
    "rule",
    aLine);
  auto& other = Option<double>(aLine,
                               "other-score",
                               "pass rate without a rule",
                               defaults.mDefaultPassRate);
  auto& lag =
    Option<TimeMs>(aLine, "lag-ms", "time until a rating is there", 0);
  auto& sparsity = Option<double>(
    aLine, "sparsity", "share of answers that never get a rating", 0);
  auto& noise =
    Option<double>(aLine, "noise", "share of ratings that are inverted", 0);
  auto& seed =
    Option<std::uint64_t>(aLine, "seed", "of the random draws", defaults.mSeed);
  return [&](EventLoop& aLoop) {
    RatingOptions options{ .mPassRates = {},
                           .mDefaultPassRate = other.getValue(),
                           .mLagMs = lag.getValue(),
                           .mSparsity = sparsity.getValue(),
                           .mNoise = noise.getValue(),
                           .mSeed = seed.getValue() };
    for (const auto& rule : scores.getValue()) {
      auto equals = rule.rfind('=');
      options.mPassRates[rule.substr(0, equals)] =
        equals == std::string::npos ? 0 : std::stod(rule.substr(equals + 1));
    }
    return std::make_unique<RatingStandin>(aLoop, options);
  };
}

Maker
DeclareWeights(TCLAP::CmdLine& aLine)
{
  WeightsOptions defaults;
  auto& names = *new TCLAP::MultiArg<std::string>(
    "", "name", "NAME=BYTES of weights held, repeatable", false, "rule", aLine);
  auto& rate = Option<std::int64_t>(
    aLine, "bytes-per-s", "rate of all reads together", defaults.mBytesPerS);
  auto& reads = Option<int>(aLine,
                            "max-reads",
                            "reads at once; more get 429",
                            defaults.mMaxConcurrentReads);
  return [&](EventLoop& aLoop) {
    WeightsOptions options{ .mWeightBytes = {},
                            .mBytesPerS = rate.getValue(),
                            .mMaxConcurrentReads = reads.getValue() };
    for (const auto& rule : names.getValue()) {
      auto equals = rule.rfind('=');
      options.mWeightBytes[rule.substr(0, equals)] =
        equals == std::string::npos ? 0 : std::stoll(rule.substr(equals + 1));
    }
    return std::make_unique<WeightsStandin>(aLoop, options);
  };
}

struct Subcommand
{
  std::string_view mName;
  Declare mDeclare;
};

constexpr std::array<Subcommand, 6> kSubcommands{ {
  { "store", &DeclareStore },
  { "hosts", &DeclareHosts },
  { "engine", &DeclareEngine },
  { "service", &DeclareService },
  { "rating", &DeclareRating },
  { "weights", &DeclareWeights },
} };

int
Serve(const Subcommand& aCommand, int aCount, char** aArguments)
{
  // 1. Parse the command line, whose first word is the subcommand.
  TCLAP::CmdLine line("Stand-in for an interface of the platform");
  auto& listen = Option<std::string>(
    line, "listen", "IP:PORT; port 0 lets the kernel choose", "127.0.0.1:0");
  Maker maker = aCommand.mDeclare(line);
  line.parse(aCount - 1, aArguments + 1);
  auto endpoint = ParseEndpoint(listen.getValue());
  if (!endpoint) {
    std::cerr << endpoint.error() << std::endl;
    return 2;
  }

  // 2. Run the server until a signal ends it.
  EventLoop loop;
  auto server = maker(loop);
  int port = server->Listen(endpoint->mAddress, endpoint->mPort);
  if (port == 0) {
    std::cerr << "cannot listen on " << listen.getValue() << std::endl;
    return 1;
  }
  std::cout << "listening " << endpoint->mAddress << ":" << port << std::endl;
  SignalWatch terminate(loop, SIGTERM, [&] { loop.Stop(); });
  SignalWatch interrupt(loop, SIGINT, [&] { loop.Stop(); });
  loop.Run();
  return 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  for (const auto& command : kSubcommands) {
    if (aCount > 1 && command.mName == aArguments[1]) {
      return Serve(command, aCount, aArguments);
    }
  }
  std::cerr << "usage: standin";
  for (const auto& command : kSubcommands) {
    std::cerr << (command.mName == kSubcommands[0].mName ? " " : "|")
              << command.mName;
  }
  std::cerr << " --listen IP:PORT [options]" << std::endl;
  return 2;
}
