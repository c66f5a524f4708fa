#include "reports.h"

#include "confirm.h"
#include "document.h"
#include "exit_codes.h"
#include "merge.h"
#include "savory/core/record.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace savory {

using nlohmann::json;

namespace {

CommandResult
MakeFailure(const ConfigReadError& aError)
{
  CommandResult result;
  result.mExitCode = aError.mExitCode;
  result.mText = aError.mReason + "\n";
  result.mJson = { { "outcome", "failed" }, { "reasons", { aError.mReason } } };
  return result;
}

CommandResult
MakeHostListFailure(const HostListError& aError)
{
  return MakeFailure(
    { kExitUnreachable,
      "the list of hosts does not answer: " + aError.mReason });
}

// Formats one line of the table of hosts.
std::string
FormatHostLine(std::string_view aHost,
               std::string_view aRole,
               std::string_view aZone,
               std::string_view aRevision,
               const std::string& aState)
{
  std::ostringstream line;
  line << std::left << std::setw(20) << aHost << ' ' << std::setw(6) << aRole
       << ' ' << std::setw(12) << aZone << ' ' << std::right << std::setw(9)
       << aRevision << "  " << aState << '\n';
  return line.str();
}

// Summarizes a state dump, without its revision, in one line.
std::string
DescribeState(const json& aState)
{
  std::string summary = "calls ";
  summary += aState.value("calls", json(0)).dump();
  if (aState.value("draining", false)) {
    summary += ", draining";
  }
  if (!aState.value("reachable", true)) {
    summary += ", backend server unreachable";
  }
  if (aState.contains("agents") && aState["agents"].is_array()) {
    auto connected = std::count_if(
      aState["agents"].begin(), aState["agents"].end(), [](const json& aAgent) {
        return aAgent.is_object() && aAgent.value("connected", false);
      });
    summary += ", agents " + std::to_string(connected) + " of " +
               std::to_string(aState["agents"].size());
  }
  return summary;
}

// Formats an explanation, with a line for each decision and each candidate.
std::string
FormatExplanation(const json& aExplanation)
{
  std::string text =
    "customer " + aExplanation.value("customer", std::string("?")) + "\n";
  for (const auto& decision : aExplanation.value("decisions", json::array())) {
    text += "  " + decision.value("kind", std::string()) + ": " +
            decision.value("outcome", std::string());
    std::string reason = decision.value("reason", std::string());
    text += (reason.empty() ? "" : " (" + reason + ")") + "\n";
    for (const auto& candidate : decision.value("candidates", json::array())) {
      text += "    " + candidate.value("name", std::string()) + " " +
              candidate.value("fate", std::string()) + " " +
              candidate.value("score", json(0)).dump() + " " +
              candidate.value("reason", std::string()) + "\n";
    }
  }
  return text;
}

// Adds the items of one record batch that belong to an idempotency key.
void
AddRecordItems(const RecordBatch& aBatch,
               const std::string& aStoreKey,
               const std::string& aCustomer,
               const std::string& aKey,
               CommandResult& aResult)
{
  for (const auto& item : aBatch.mItems) {
    if (item.mClaim.mCustomer != aCustomer || item.mClaim.mKey != aKey) {
      continue;
    }
    json row = { { "kind", ToName(kRecordItemKindNames, item.mKind) },
                 { "batch", aStoreKey },
                 { "written_ms", aBatch.mWrittenMs },
                 { "claim", ToJson(item.mClaim) } };
    std::string line(ToName(kRecordItemKindNames, item.mKind));
    line += " in " + aStoreKey + ", request " + item.mClaim.mRequestId +
            ", epoch " + std::to_string(item.mClaim.mEpoch) + ", attempt " +
            std::to_string(item.mClaim.mAttempt);
    if (item.mOutcome) {
      row["status"] = item.mOutcome->mStatus;
      row["body_kept"] = item.mOutcome->mBodyKept;
      line += ", status " + std::to_string(item.mOutcome->mStatus);
    }
    aResult.mJson["items"].push_back(std::move(row));
    aResult.mText += line + "\n";
  }
}

} // namespace

CommandResult
CheckCommand(const CtlSettings& aSettings)
{
  const std::string& file = aSettings.mArguments[0];
  auto config = ReadDocument(file);
  if (!config) {
    return MakeDocumentErrors(file, config.error());
  }
  return { kExitOk,
           file + ": no fault\n",
           { { "outcome", "valid" }, { "faults", json::array() } } };
}

CommandResult
ShowCommand(const CtlSettings& aSettings)
{
  BlockingClient client(aSettings);
  auto config = client.ReadConfiguration();
  if (!config) {
    return MakeFailure(config.error());
  }
  json document = ToDocument(*config, aSettings.mShowsSecret);
  std::string text = document.dump(2) + "\n";
  return { kExitOk,
           std::move(text),
           { { "configuration", std::move(document) } } };
}

CommandResult
DiffCommand(const CtlSettings& aSettings)
{
  const std::string& file = aSettings.mArguments[0];
  auto mine = ReadDocument(file);
  if (!mine) {
    return MakeDocumentErrors(file, mine.error());
  }
  BlockingClient client(aSettings);
  auto config = client.ReadConfiguration();
  if (!config) {
    return MakeFailure(config.error());
  }
  // The secret is compared separately, so that its value is not printed.
  bool secretChanged = mine->mSessionSecret != kSecretPlaceholder &&
                       mine->mSessionSecret != config->mSessionSecret;
  mine->mSessionSecret = config->mSessionSecret;
  auto lines = DiffConfiguration(*config, *mine);
  if (secretChanged) {
    lines.emplace_back("session_secret: changed");
  }
  CommandResult result;
  result.mJson = { { "revision", config->mRevision },
                   { "base_revision", mine->mRevision },
                   { "differences", lines } };
  for (const auto& line : lines) {
    result.mText += line + "\n";
  }
  if (lines.empty()) {
    result.mText = "no difference\n";
  }
  if (mine->mRevision != config->mRevision) {
    result.mText += "the document was made from revision " +
                    std::to_string(mine->mRevision) + "; in force is " +
                    std::to_string(config->mRevision) + "\n";
  }
  return result;
}

CommandResult
StateCommand(const CtlSettings& aSettings)
{
  BlockingClient client(aSettings);
  auto hosts = client.FetchHosts();
  if (!hosts) {
    return MakeHostListFailure(hosts.error());
  }
  CommandResult result;
  result.mJson = { { "hosts", json::array() } };
  result.mText = FormatHostLine("host", "role", "zone", "revision", "state");
  auto states =
    QueryHosts(client, *hosts, "GET", "/state", aSettings.mTimeoutMs);
  for (std::size_t i = 0; i < hosts->size(); ++i) {
    const Host& host = (*hosts)[i];
    json row = { { "host", host.mName },
                 { "role", ToName(kHostRoleNames, host.mRole) },
                 { "zone", host.mZone },
                 { "listed", ToName(kHostStateNames, host.mState) } };
    json state = states[i] && states[i]->mStatus == 200
                   ? json::parse(states[i]->mBody, nullptr, false)
                   : json();
    // A host that does not answer is part of the state, not a failure of the
    // command.
    bool known = state.is_object();
    result.mText += FormatHostLine(
      host.mName,
      ToName(kHostRoleNames, host.mRole),
      host.mZone,
      known ? state.value("revision", json("?")).dump() : "-",
      known ? DescribeState(state) : DescribeHttpFailure(states[i]));
    if (known) {
      row["state"] = std::move(state);
    } else {
      row["error"] = DescribeHttpFailure(states[i]);
    }
    result.mJson["hosts"].push_back(std::move(row));
  }
  return result;
}

CommandResult
ExplainCommand(const CtlSettings& aSettings)
{
  BlockingClient client(aSettings);
  auto hosts = client.FetchHosts();
  if (!hosts) {
    return MakeHostListFailure(hosts.error());
  }
  std::erase_if(
    *hosts, [](const Host& aHost) { return aHost.mRole != HostRole::Entry; });
  const std::string& id = aSettings.mArguments[0];
  if (id.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXY"
                           "Z0123456789-_.") != std::string::npos) {
    return MakeFailure({ kExitUsage, "\"" + id + "\" is no request id" });
  }
  CommandResult result;
  result.mExitCode = kExitNotFound;
  result.mJson = { { "request_id", id },
                   { "explanations", json::array() },
                   { "no_answer", json::array() } };
  auto answers =
    QueryHosts(client, *hosts, "GET", "/explain/" + id, aSettings.mTimeoutMs);
  for (std::size_t i = 0; i < hosts->size(); ++i) {
    const std::string& name = (*hosts)[i].mName;
    json explanation = answers[i] && answers[i]->mStatus == 200
                         ? json::parse(answers[i]->mBody, nullptr, false)
                         : json();
    if (explanation.is_object()) {
      result.mExitCode = kExitOk;
      result.mText += "entry " + name + ", " + FormatExplanation(explanation);
      result.mJson["explanations"].push_back(
        { { "host", name }, { "explanation", std::move(explanation) } });
    } else if (!answers[i] || answers[i]->mStatus != 404) {
      result.mText +=
        "entry " + name + ": " + DescribeHttpFailure(answers[i]) + "\n";
      result.mJson["no_answer"].push_back(name);
    }
  }
  if (result.mExitCode == kExitNotFound) {
    result.mText += "no entry that answered knows request " + id + "\n";
  }
  return result;
}

CommandResult
RecordCommand(const CtlSettings& aSettings)
{
  BlockingClient client(aSettings);
  const std::string& service = aSettings.mArguments[0];
  auto entries = client.ReadPrefix("rec/" + service + "/");
  if (!entries) {
    return MakeFailure(
      { kExitUnreachable,
        "the store does not answer: " + entries.error().mReason });
  }
  CommandResult result;
  result.mJson = { { "items", json::array() }, { "damaged", json::array() } };
  for (const auto& entry : *entries) {
    auto batch = ParseRecordBatch(entry.mValue);
    if (batch) {
      AddRecordItems(*batch,
                     entry.mKey,
                     aSettings.mArguments[1],
                     aSettings.mArguments[2],
                     result);
    } else {
      result.mExitCode = kExitCorrupt;
      result.mText += entry.mKey + ": " + batch.error().mReason + "\n";
      result.mJson["damaged"].push_back(entry.mKey);
    }
  }
  if (result.mJson["items"].empty() && result.mExitCode == kExitOk) {
    result.mExitCode = kExitNotFound;
    result.mText = "the store holds nothing for this key\n";
  }
  return result;
}

} // namespace savory
