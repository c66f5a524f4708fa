#include "savory/net/http_client.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cmath>
#include <csignal>
#include <iostream>
#include <map>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <tclap/CmdLine.h>
#include <unistd.h>

using namespace savory;
using nlohmann::json;

namespace {

// Longest wait for open calls after the last arrival.
constexpr TimeMs kMaxDrainMs = 10000;

// Receive buffer of a connection that reads nothing. It is small so that unread
// bytes stay in the buffers of the sender.
constexpr int kSilentReceiveBufferBytes = 4096;

// Time between two such connections. The router would shed a burst of them.
constexpr unsigned kSilentConnectIntervalUs = 4000;

struct LoadOptions
{
  Endpoint mServer;
  std::string mPath;
  std::string mKey;
  std::string mModel;
  double mCallsPerSecond = 0;
  double mDurationSeconds = 0;
  std::int64_t mMaxTokens = 0;
  int mSilentConnections = 0;
  std::string mPromptPrefix;
};

// Counts and samples of a run.
struct LoadResults
{
  std::int64_t mStarted = 0;
  std::int64_t mFinished = 0;
  std::int64_t mComplete = 0;
  std::int64_t mTokens = 0;
  std::vector<std::int64_t> mFirstTokenUs;
  std::vector<std::int64_t> mAnswerUs;
  // Times to a refusal by status and error code, and counts of all errors.
  std::map<std::string, std::vector<std::int64_t>> mRefusalUs;
  std::map<std::string, std::int64_t> mErrors;
};

// An open streamed call. mTail holds the last bytes of the body.
struct Call
{
  std::int64_t mStartUs = 0;
  int mStatus = 0;
  bool mFirstTokenSeen = false;
  std::int64_t mTokens = 0;
  std::string mTail;
};

// The body of call aNumber. Each prompt is unique, since the router treats
// equal bodies of a customer as retries.
std::string
MakeBody(const LoadOptions& aOptions, std::int64_t aNumber)
{
  return json({ { "model", aOptions.mModel },
                { "stream", true },
                { "max_tokens", aOptions.mMaxTokens },
                { "messages",
                  { { { "role", "user" },
                      { "content",
                        aOptions.mPromptPrefix + " question " +
                          std::to_string(aNumber) } } } } })
    .dump();
}

std::int64_t
CountTokens(std::string_view aBytes)
{
  constexpr std::string_view kContentMember = "\"content\":";
  std::int64_t count = 0;
  for (auto position = aBytes.find(kContentMember);
       position != std::string_view::npos;
       position =
         aBytes.find(kContentMember, position + kContentMember.size())) {
    ++count;
  }
  return count;
}

void
StartCall(HttpClient& aClient,
          const LoadOptions& aOptions,
          LoadResults& aResults)
{
  HttpCall request;
  request.mServer = aOptions.mServer;
  request.mMethod = "POST";
  request.mTarget = aOptions.mPath;
  request.mHeaders = { { "Authorization", "Bearer " + aOptions.mKey },
                       { "Content-Type", "application/json" } };
  request.mBody = MakeBody(aOptions, aResults.mStarted++);
  request.mTimeoutMs = 60000;
  auto call = std::make_shared<Call>();
  call->mStartUs = MonotonicUs();
  auto exchange = aClient.Start(std::move(request));
  exchange->mOnHeaders = [call](const HttpResponse& aResponse) {
    call->mStatus = aResponse.mStatus;
  };
  exchange->mOnBody = [call, &aResults](std::string_view aBytes) {
    std::int64_t tokens = CountTokens(aBytes);
    if (tokens > 0 && !call->mFirstTokenSeen) {
      call->mFirstTokenSeen = true;
      aResults.mFirstTokenUs.push_back(MonotonicUs() - call->mStartUs);
    }
    call->mTokens += tokens;
    aResults.mTokens += tokens;
    // The end marker of a stream may arrive split into several parts.
    call->mTail += aBytes;
    if (call->mTail.size() > 256) {
      call->mTail.erase(0, call->mTail.size() - 256);
    }
  };
  exchange->mOnDone = [call, &aResults](const HttpResult& aResult) {
    ++aResults.mFinished;
    std::int64_t elapsedUs = MonotonicUs() - call->mStartUs;
    if (!aResult) {
      ++aResults.mErrors[std::string(ToName(kHttpErrorNames, aResult.error()))];
    } else if (aResult->mStatus != 200) {
      json document = json::parse(call->mTail, nullptr, false);
      std::string errorName = std::to_string(aResult->mStatus);
      if (document.is_object() && document.contains("error") &&
          document["error"].is_object()) {
        errorName += " " + document["error"].value("code", std::string());
      }
      aResults.mRefusalUs[errorName].push_back(elapsedUs);
      ++aResults.mErrors[errorName];
    } else if (call->mTail.find("data: [DONE]") == std::string::npos) {
      ++aResults.mErrors["cut"];
    } else {
      ++aResults.mComplete;
      aResults.mAnswerUs.push_back(elapsedUs);
    }
  };
}

// Opens connections that send one request each and never read. Returns the
// sockets that sent their request.
std::vector<int>
OpenSilentConnections(const LoadOptions& aOptions)
{
  std::vector<int> sockets;
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aOptions.mServer.mPort));
  inet_pton(AF_INET, aOptions.mServer.mAddress.c_str(), &address.sin_addr);
  for (int i = 0; i < aOptions.mSilentConnections; ++i) {
    int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(socket,
               SOL_SOCKET,
               SO_RCVBUF,
               &kSilentReceiveBufferBytes,
               sizeof kSilentReceiveBufferBytes);
    std::string body = MakeBody(aOptions, i);
    std::string request =
      "POST " + aOptions.mPath +
      " HTTP/1.1\r\nHost: " + ToString(aOptions.mServer) +
      "\r\nAuthorization: Bearer " + aOptions.mKey +
      "\r\nContent-Type: application/json\r\nx-deadline-ms: 120000"
      "\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body;
    if (connect(
          socket, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        send(socket, request.data(), request.size(), 0) !=
          static_cast<ssize_t>(request.size())) {
      close(socket);
      continue;
    }
    sockets.push_back(socket);
    usleep(kSilentConnectIntervalUs);
  }
  return sockets;
}

// Count and percentiles, in milliseconds, of samples in microseconds.
json
Percentiles(std::vector<std::int64_t> aSamples)
{
  std::sort(aSamples.begin(), aSamples.end());
  json result = { { "count", aSamples.size() } };
  constexpr std::array<std::pair<const char*, double>, 4> kLevels{
    { { "p50", 0.5 }, { "p90", 0.9 }, { "p99", 0.99 }, { "max", 1 } }
  };
  for (const auto& [name, level] : kLevels) {
    if (!aSamples.empty()) {
      auto rank = static_cast<std::size_t>(
        std::ceil(level * static_cast<double>(aSamples.size())));
      result[name] = static_cast<double>(aSamples[rank - 1]) / 1000;
    }
  }
  return result;
}

LoadOptions
ParseOptions(int aCount, char** aArguments)
{
  using Text = TCLAP::ValueArg<std::string>;
  using Number = TCLAP::ValueArg<double>;
  TCLAP::CmdLine line("Open-loop load of streamed model calls");
  Text target("", "target", "server", true, "", "IP:PORT", line);
  Text path("", "path", "path", false, "/v1/chat/completions", "path", line);
  Text key("", "key", "bearer key", false, "", "key", line);
  Text model("", "model", "model of the calls", false, "auto", "name", line);
  Text label("", "label", "start of each prompt", false, "load", "text", line);
  Number rate("", "rate", "arrivals a second", false, 0, "number", line);
  Number seconds("", "seconds", "length of the run", false, 5, "number", line);
  TCLAP::ValueArg<std::int64_t> tokens(
    "", "tokens", "tokens of a stream", false, 1, "count", line);
  TCLAP::ValueArg<int> silent(
    "", "silent", "connections that read nothing", false, 0, "count", line);
  line.parse(aCount, aArguments);
  auto server = ParseEndpoint(target.getValue());
  if (!server) {
    throw TCLAP::ArgException(server.error(), "target");
  }
  return { .mServer = *server,
           .mPath = path.getValue(),
           .mKey = key.getValue(),
           .mModel = model.getValue(),
           .mCallsPerSecond = rate.getValue(),
           .mDurationSeconds = seconds.getValue(),
           .mMaxTokens = tokens.getValue(),
           .mSilentConnections = silent.getValue(),
           .mPromptPrefix = label.getValue() };
}

} // namespace

// Open-loop load generator: sends calls at a fixed rate, whether or not earlier
// ones have ended, and prints the results as one line of JSON.
int
main(int aCount, char** aArguments)
{
  std::signal(SIGPIPE, SIG_IGN);
  LoadOptions options;
  try {
    options = ParseOptions(aCount, aArguments);
  } catch (const TCLAP::ArgException& error) {
    std::cerr << error.argId() << ": " << error.error() << std::endl;
    return 2;
  }
  auto silentSockets = OpenSilentConnections(options);
  EventLoop loop;
  HttpClient client(loop);
  LoadResults results;
  std::int64_t startUs = MonotonicUs();
  std::int64_t lastTokenUs = startUs;
  std::int64_t tokensSeen = 0;
  Timer arrivals = Timer::Every(loop, 1, [&] {
    std::int64_t nowUs = MonotonicUs();
    double elapsedSeconds = static_cast<double>(nowUs - startUs) / 1e6;
    auto dueCalls = static_cast<std::int64_t>(
      options.mCallsPerSecond *
      std::min(elapsedSeconds, options.mDurationSeconds));
    while (results.mStarted < dueCalls) {
      StartCall(client, options, results);
    }
    if (results.mTokens != tokensSeen) {
      tokensSeen = results.mTokens;
      lastTokenUs = nowUs;
    }
    bool arrivalsEnded = elapsedSeconds >= options.mDurationSeconds;
    if (arrivalsEnded &&
        (results.mFinished == results.mStarted ||
         elapsedSeconds * 1000 >
           options.mDurationSeconds * 1000 + double(kMaxDrainMs))) {
      loop.Stop();
    }
  });
  loop.Run();
  json refusals = json::object();
  for (const auto& [errorName, samples] : results.mRefusalUs) {
    refusals[errorName] = Percentiles(samples);
  }
  double tokenSeconds = static_cast<double>(lastTokenUs - startUs) / 1e6;
  std::cout << json({ { "started", results.mStarted },
                      { "complete", results.mComplete },
                      { "unfinished", results.mStarted - results.mFinished },
                      { "silent", silentSockets.size() },
                      { "first_token_ms", Percentiles(results.mFirstTokenUs) },
                      { "whole_ms", Percentiles(results.mAnswerUs) },
                      { "refused_ms", refusals },
                      { "tokens", results.mTokens },
                      { "tokens_per_s",
                        tokenSeconds > 0
                          ? static_cast<double>(results.mTokens) / tokenSeconds
                          : 0 },
                      { "errors", results.mErrors } })
                 .dump()
            << std::endl;
  for (int socket : silentSockets) {
    close(socket);
  }
  // Open calls hold references to the results, so the process exits without
  // destructors.
  std::_Exit(0);
}
