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
Failed(const ReadFault& aFault)
{
  CommandResult result;
  result.mExit = aFault.mExit;
  result.mText = aFault.mReason + "\n";
  result.mJson = { { "outcome", "failed" }, { "reasons", { aFault.mReason } } };
  return result;
}

CommandResult
HostsFailed(const HostListError& aError)
{
  return Failed({ kExitUnreachable,
                  "the list of hosts does not answer: " + aError.mReason });
}

// One line of the table of hosts.
std::string
HostLine(std::string_view aHost,
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

// What a state dump says besides the revision, in a few words.
std::string
StateWords(const json& aState)
{
  std::string words = "calls ";
  words += aState.value("calls", json(0)).dump();
  if (aState.value("draining", false)) {
    words += ", draining";
  }
  if (!aState.value("reachable", true)) {
    words += ", backend server unreachable";
  }
  if (aState.contains("agents") && aState["agents"].is_array()) {
    auto connected = std::count_if(
      aState["agents"].begin(), aState["agents"].end(), [](const json& aAgent) {
        return aAgent.is_object() && aAgent.value("connected", false);
      });
    words += ", agents " + std::to_string(connected) + " of " +
             std::to_string(aState["agents"].size());
  }
  return words;
}

// The text of one explanation, a line for each decision.
std::string
ExplanationText(const json& aExplanation)
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

// Adds the items of one batch of a record that are about a key.
void
AddItems(const RecordBatch& aBatch,
         const std::string& aStoreKey,
         const std::string& aCustomer,
         const std::string& aKey,
         CommandResult& aTo)
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
    aTo.mJson["items"].push_back(std::move(row));
    aTo.mText += line + "\n";
  }
}

} // namespace

CommandResult
CheckCommand(const CtlSettings& aSettings)
{
  const std::string& file = aSettings.mWords[0];
  auto config = ReadDocument(file);
  if (!config) {
    return FaultsOf(file, config.error());
  }
  return { kExitOk,
           file + ": no fault\n",
           { { "outcome", "valid" }, { "faults", json::array() } } };
}

CommandResult
ShowCommand(const CtlSettings& aSettings)
{
  Session session(aSettings);
  auto config = session.ReadConfiguration();
  if (!config) {
    return Failed(config.error());
  }
  json document = ShownDocument(*config, aSettings.mSecrets);
  std::string text = document.dump(2) + "\n";
  return { kExitOk,
           std::move(text),
           { { "configuration", std::move(document) } } };
}

CommandResult
DiffCommand(const CtlSettings& aSettings)
{
  const std::string& file = aSettings.mWords[0];
  auto mine = ReadDocument(file);
  if (!mine) {
    return FaultsOf(file, mine.error());
  }
  Session session(aSettings);
  auto config = session.ReadConfiguration();
  if (!config) {
    return Failed(config.error());
  }
  // The secret itself is not shown.
  bool secretChanged = mine->mSessionSecret != kHiddenSecret &&
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
  Session session(aSettings);
  auto hosts = session.Hosts();
  if (!hosts) {
    return HostsFailed(hosts.error());
  }
  CommandResult result;
  result.mJson = { { "hosts", json::array() } };
  result.mText = HostLine("host", "role", "zone", "revision", "state");
  auto states =
    AskHosts(session, *hosts, "GET", "/state", aSettings.mTimeoutMs);
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
    result.mText +=
      HostLine(host.mName,
               ToName(kHostRoleNames, host.mRole),
               host.mZone,
               known ? state.value("revision", json("?")).dump() : "-",
               known ? StateWords(state) : ReasonOf(states[i]));
    if (known) {
      row["state"] = std::move(state);
    } else {
      row["error"] = ReasonOf(states[i]);
    }
    result.mJson["hosts"].push_back(std::move(row));
  }
  return result;
}

CommandResult
ExplainCommand(const CtlSettings& aSettings)
{
  Session session(aSettings);
  auto hosts = session.Hosts();
  if (!hosts) {
    return HostsFailed(hosts.error());
  }
  std::erase_if(
    *hosts, [](const Host& aHost) { return aHost.mRole != HostRole::Entry; });
  const std::string& id = aSettings.mWords[0];
  if (id.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXY"
                           "Z0123456789-_.") != std::string::npos) {
    return Failed({ kExitUsage, "\"" + id + "\" is no request id" });
  }
  CommandResult result;
  result.mExit = kExitNotFound;
  result.mJson = { { "request_id", id },
                   { "explanations", json::array() },
                   { "no_answer", json::array() } };
  auto answers =
    AskHosts(session, *hosts, "GET", "/explain/" + id, aSettings.mTimeoutMs);
  for (std::size_t i = 0; i < hosts->size(); ++i) {
    const std::string& name = (*hosts)[i].mName;
    json explanation = answers[i] && answers[i]->mStatus == 200
                         ? json::parse(answers[i]->mBody, nullptr, false)
                         : json();
    if (explanation.is_object()) {
      result.mExit = kExitOk;
      result.mText += "entry " + name + ", " + ExplanationText(explanation);
      result.mJson["explanations"].push_back(
        { { "host", name }, { "explanation", std::move(explanation) } });
    } else if (!answers[i] || answers[i]->mStatus != 404) {
      result.mText += "entry " + name + ": " + ReasonOf(answers[i]) + "\n";
      result.mJson["no_answer"].push_back(name);
    }
  }
  if (result.mExit == kExitNotFound) {
    result.mText += "no entry that answered knows request " + id + "\n";
  }
  return result;
}

CommandResult
RecordCommand(const CtlSettings& aSettings)
{
  Session session(aSettings);
  const std::string& service = aSettings.mWords[0];
  auto entries = session.ReadPrefix("rec/" + service + "/");
  if (!entries) {
    return Failed({ kExitUnreachable,
                    "the store does not answer: " + entries.error().mReason });
  }
  CommandResult result;
  result.mJson = { { "items", json::array() }, { "damaged", json::array() } };
  for (const auto& entry : *entries) {
    auto batch = ParseRecordBatch(entry.mValue);
    if (batch) {
      AddItems(
        *batch, entry.mKey, aSettings.mWords[1], aSettings.mWords[2], result);
    } else {
      result.mExit = kExitCorrupt;
      result.mText += entry.mKey + ": " + batch.error().mReason + "\n";
      result.mJson["damaged"].push_back(entry.mKey);
    }
  }
  if (result.mJson["items"].empty() && result.mExit == kExitOk) {
    result.mExit = kExitNotFound;
    result.mText = "the store holds nothing for this key\n";
  }
  return result;
}

} // namespace savory
