#include "changes.h"

#include "confirm.h"
#include "document.h"
#include "exit_codes.h"
#include "merge.h"
#include "mutations.h"
#include "savory/core/identity.h"

#include <cstdio>
#include <iostream>
#include <random>

namespace savory {

using nlohmann::json;

namespace {

// Limit of the unconfirmed hosts in the text report; the JSON report has all.
constexpr std::size_t kMaxPrintedHosts = 20;

// Why a mutation is refused, and the exit code of the command.
struct MutationError
{
  int mExitCode = kExitRefused;
  std::vector<std::string> mReasons;
};

using ConfigMutation = std::function<tl::expected<Configuration, MutationError>(
  const Configuration&)>;

// Wraps a function of mutations.h.
template<class Mutate>
ConfigMutation
ToConfigMutation(Mutate aMutate)
{
  return [aMutate](const Configuration& aConfig)
           -> tl::expected<Configuration, MutationError> {
    MutationResult result = aMutate(aConfig);
    if (!result) {
      return tl::unexpected(MutationError{ kExitRefused, { result.error() } });
    }
    return *result;
  };
}

std::string
MakeOperationId()
{
  std::random_device device;
  char text[32];
  std::snprintf(text, sizeof text, "op-%08x%08x", device(), device());
  return text;
}

// The exit code of an ended change, and its name in the report.
struct ExitStatus
{
  int mExitCode;
  std::string_view mOutcome;
};

ExitStatus
ToExitStatus(const Change& aChange, const ChangeRunResult& aRun)
{
  if (aRun.mTimedOut) {
    return aRun.mMayHaveSwapped ? ExitStatus{ kExitUnknown, "unknown" }
                                : ExitStatus{ kExitUnreachable, "unreachable" };
  }
  switch (aChange.mState) {
    case ChangeState::Accepted:
      return { kExitOk, "accepted" };
    case ChangeState::Unchanged:
      return { kExitOk, "unchanged" };
    case ChangeState::Invalid:
      return { kExitRefused, "refused" };
    case ChangeState::Corrupt:
      return { kExitCorrupt, "corrupt" };
    case ChangeState::Conflict:
      return { kExitConflict, "conflict" };
    default:
      return { kExitUnknown, "unknown" };
  }
}

// Waits until the hosts have a revision and adds their confirmations to a
// result.
void
AddConfirmation(BlockingClient& aClient,
                std::int64_t aRevision,
                CommandResult& aResult)
{
  HostConfirmation confirmation = WaitForRevision(aClient, aRevision);
  json unconfirmed = json::array();
  for (const auto& host : confirmation.mUnconfirmed) {
    unconfirmed.push_back(
      { { "host", host.mHost }, { "reason", host.mReason } });
  }
  aResult.mJson["confirmed"] = confirmation.mConfirmedCount;
  aResult.mJson["unconfirmed"] = unconfirmed;
  aResult.mJson["wait_ms"] = confirmation.mElapsedMs;
  aResult.mJson["hosts_listed"] = confirmation.mHostListRead;
  if (confirmation.mHostListRead && confirmation.mUnconfirmed.empty()) {
    aResult.mText +=
      "in force everywhere: " + std::to_string(confirmation.mConfirmedCount) +
      " hosts after " + std::to_string(confirmation.mElapsedMs) + " ms\n";
    return;
  }
  aResult.mExitCode = kExitUnconfirmed;
  if (!confirmation.mHostListRead) {
    aResult.mText += "not confirmed: the list of hosts does not answer\n";
    return;
  }
  std::size_t count = confirmation.mUnconfirmed.size();
  aResult.mText += "not confirmed by " + std::to_string(count) + " of " +
                   std::to_string(count + confirmation.mConfirmedCount) +
                   " hosts after " + std::to_string(confirmation.mElapsedMs) +
                   " ms:\n";
  for (std::size_t i = 0; i < count; ++i) {
    if (i == kMaxPrintedHosts) {
      aResult.mText += "  and " + std::to_string(count - i) + " more\n";
      break;
    }
    aResult.mText += "  " + confirmation.mUnconfirmed[i].mHost + ": " +
                     confirmation.mUnconfirmed[i].mReason + "\n";
  }
}

// Commits a change to the store, waits for the hosts if the settings say so,
// and reports the outcome.
CommandResult
ExecuteChange(BlockingClient& aClient, const ConfigMutation& aMutation)
{
  // 1. Run the change. Its id is printed first, so that an operator whose tool
  // is interrupted can repeat the command with it.
  const CtlSettings& settings = aClient.mSettings;
  std::string id =
    settings.mOperationId.empty() ? MakeOperationId() : settings.mOperationId;
  std::cerr << "operation " << id << std::endl;
  std::optional<MutationError> mutationError;
  Change change = StartChange(id, [&](Configuration& aConfig) {
    mutationError.reset();
    auto next = aMutation(aConfig);
    if (next) {
      aConfig = std::move(*next);
    } else {
      mutationError = next.error();
    }
  });
  ChangeRunResult run = aClient.RunChange(change);

  // 2. Report the outcome. A refused mutation leaves the configuration
  // unchanged.
  ExitStatus status = ToExitStatus(change, run);
  std::vector<std::string> reasons = change.mReasons;
  if (run.mTimedOut) {
    reasons = { "the store does not answer" };
  }
  bool refused = mutationError && change.mState != ChangeState::Accepted;
  if (refused && (change.mState == ChangeState::Unchanged ||
                  change.mState == ChangeState::Invalid)) {
    status = { mutationError->mExitCode,
               mutationError->mExitCode == kExitConflict ? "conflict"
                                                         : "refused" };
    reasons = mutationError->mReasons;
  }
  CommandResult result;
  result.mExitCode = status.mExitCode;
  result.mJson = { { "command", settings.mCommand },
                   { "operation", id },
                   { "outcome", status.mOutcome },
                   { "reasons", reasons } };
  if (status.mExitCode != kExitOk) {
    result.mText = std::string(status.mOutcome) + ":\n";
    for (const auto& reason : reasons) {
      result.mText += "  " + reason + "\n";
    }
    result.mText += status.mExitCode == kExitUnknown
                      ? "the change may or may not have been accepted; repeat "
                        "the command with --operation " +
                          id + "\n"
                      : "nothing was changed\n";
    return result;
  }
  result.mJson["revision"] = change.mRevision;
  result.mText = std::string(status.mOutcome) + " as revision " +
                 std::to_string(change.mRevision) + "\n";
  if (change.mState == ChangeState::Unchanged) {
    result.mText = "nothing to change at revision " +
                   std::to_string(change.mRevision) + "\n";
  }

  // 3. Wait until the revision is in force.
  if (settings.mWait) {
    AddConfirmation(aClient, change.mRevision, result);
  }
  return result;
}

template<class Mutate>
CommandResult
ExecuteMutation(const CtlSettings& aSettings, Mutate aMutate)
{
  BlockingClient client(aSettings);
  return ExecuteChange(client, ToConfigMutation(aMutate));
}

// Returns the last word of a command, such as "out" of "zone out".
std::string
ParseAction(const CtlSettings& aSettings)
{
  return aSettings.mCommand.substr(aSettings.mCommand.find(' ') + 1);
}

json
ToJsonWithoutRevision(const Configuration& aConfig)
{
  json document = ToJson(aConfig);
  document.erase("revision");
  return document;
}

// Applies the edits that led from aBase to aMine to aTheirs, the configuration
// in force, by a three-way merge.
tl::expected<Configuration, MutationError>
RebaseConfiguration(const Configuration& aBase,
                    const Configuration& aMine,
                    const Configuration& aTheirs)
{
  json base = ToJsonWithoutRevision(aBase);
  json mine = ToJsonWithoutRevision(aMine);
  if (aMine.mSessionSecret == kSecretPlaceholder) {
    mine["session_secret"] = aBase.mSessionSecret;
  }
  std::vector<std::string> conflicts;
  json merged =
    MergeDocuments(base, mine, ToJsonWithoutRevision(aTheirs), "", conflicts);
  if (!conflicts.empty()) {
    MutationError error{ kExitConflict, {} };
    for (const auto& path : conflicts) {
      error.mReasons.push_back(path + " was changed since revision " +
                               std::to_string(aBase.mRevision));
    }
    return tl::unexpected(std::move(error));
  }
  auto config = ParseConfiguration(merged);
  if (!config) {
    MutationError error{ kExitRefused, {} };
    for (const auto& fieldError : config.error()) {
      error.mReasons.push_back(fieldError.mPath + ": " + fieldError.mReason);
    }
    return tl::unexpected(std::move(error));
  }
  config->mRevision = aTheirs.mRevision;
  return *config;
}

CommandResult
MakeRefusal(int aExitCode, const std::string& aReason)
{
  CommandResult result;
  result.mExitCode = aExitCode;
  result.mText = aReason + "\nnothing was changed\n";
  std::string_view outcome = aExitCode == kExitUnreachable ? "unreachable"
                             : aExitCode == kExitConflict  ? "conflict"
                             : aExitCode == kExitCorrupt   ? "corrupt"
                                                           : "refused";
  result.mJson = { { "outcome", outcome }, { "reasons", { aReason } } };
  return result;
}

} // namespace

CommandResult
InitCommand(const CtlSettings& aSettings)
{
  const std::string& file = aSettings.mArguments[0];
  auto config = ReadDocument(file);
  if (config && config->mSessionSecret == kSecretPlaceholder) {
    config = tl::unexpected(std::vector<ConfigError>{
      { "session_secret", "must be given in a first configuration" } });
  }
  if (!config) {
    return MakeDocumentErrors(file, config.error());
  }
  BlockingClient client(aSettings);
  return ExecuteChange(
    client,
    [&](const Configuration& aCurrent)
      -> tl::expected<Configuration, MutationError> {
      if (aCurrent.mRevision > 0) {
        return tl::unexpected(
          MutationError{ kExitRefused,
                         { "the store already has a configuration, revision " +
                           std::to_string(aCurrent.mRevision) } });
      }
      return *config;
    });
}

CommandResult
ApplyCommand(const CtlSettings& aSettings)
{
  // 1. Read the document and the revision that it was edited from.
  const std::string& file = aSettings.mArguments[0];
  auto mine = ReadDocument(file);
  if (mine && mine->mRevision < 1) {
    mine = tl::unexpected(std::vector<ConfigError>{
      { "revision",
        "must be the revision that the document was made from; see "
        "savoryctl show" } });
  }
  if (!mine) {
    return MakeDocumentErrors(file, mine.error());
  }
  BlockingClient client(aSettings);
  auto base = client.ReadConfiguration();
  if (!base) {
    return MakeRefusal(base.error().mExitCode, base.error().mReason);
  }
  if (mine->mRevision > base->mRevision) {
    return MakeRefusal(kExitRefused,
                       "revision " + std::to_string(mine->mRevision) +
                         " of the document is newer than revision " +
                         std::to_string(base->mRevision) + " in the store");
  }
  if (mine->mRevision < base->mRevision) {
    base = client.ReadRevision(mine->mRevision);
    if (!base && base.error().mExitCode == kExitNotFound) {
      return MakeRefusal(kExitConflict,
                         base.error().mReason +
                           "; make the change again from savoryctl show");
    }
    if (!base) {
      return MakeRefusal(base.error().mExitCode, base.error().mReason);
    }
  }

  // 2. Merge the edits into the configuration in force.
  return ExecuteChange(client, [&](const Configuration& aTheirs) {
    return RebaseConfiguration(*base, *mine, aTheirs);
  });
}

CommandResult
PresetCommand(const CtlSettings& aSettings)
{
  return ExecuteMutation(aSettings, [&](const Configuration& aConfig) {
    return SetPreset(aConfig, aSettings.mArguments[0]);
  });
}

CommandResult
VersionCommand(const CtlSettings& aSettings)
{
  const std::string& model = aSettings.mArguments[0];
  const std::string& version = aSettings.mArguments[1];
  std::string action = ParseAction(aSettings);
  return ExecuteMutation(aSettings, [&](const Configuration& aConfig) {
    if (action == "add") {
      return AddVersion(aConfig, model, version);
    }
    VersionState state = action == "withdraw" ? VersionState::Withdrawn
                         : action == "drain"  ? VersionState::Draining
                                              : VersionState::Serving;
    return SetVersionState(aConfig, model, version, state);
  });
}

CommandResult
RolloutChangeCommand(const CtlSettings& aSettings)
{
  Rollout rollout{
    aSettings.mArguments[0], aSettings.mArguments[1], aSettings.mArguments[2], 0
  };
  auto command = ParseName(kRolloutCommandNames, ParseAction(aSettings));
  return ExecuteMutation(aSettings, [&](const Configuration& aConfig) {
    return ChangeRollout(aConfig, *command, rollout);
  });
}

CommandResult
ZoneCommand(const CtlSettings& aSettings)
{
  bool out = ParseAction(aSettings) == "out";
  return ExecuteMutation(aSettings, [&](const Configuration& aConfig) {
    return out ? SetZoneOut(aConfig, aSettings.mArguments[0])
               : AdvanceZoneReturn(aConfig, aSettings.mArguments[0]);
  });
}

CommandResult
CustomerCommand(const CtlSettings& aSettings)
{
  const std::string& name = aSettings.mArguments[0];
  std::string action = ParseAction(aSettings);
  std::vector<std::string> items(aSettings.mArguments.begin() +
                                   (action == "add" ? 2 : 1),
                                 aSettings.mArguments.end());
  if (action == "remove") {
    return ExecuteMutation(aSettings, [&](const Configuration& aConfig) {
      return RemoveCustomer(aConfig, name);
    });
  }
  if (action != "add") {
    return ExecuteMutation(aSettings, [&](const Configuration& aConfig) {
      return action == "allow" ? AllowItems(aConfig, name, items)
                               : DenyItems(aConfig, name, items);
    });
  }

  // The key itself is never an argument, because other users of the host can
  // see a command line.
  std::string hash = aSettings.mArguments[1];
  if (hash == "-") {
    std::string key;
    std::getline(std::cin, key);
    if (key.empty()) {
      return MakeRefusal(kExitUsage, "no key on standard input");
    }
    hash = Sha256Hex(key);
  }
  if (hash.size() != 64 ||
      hash.find_first_not_of("0123456789abcdef") != std::string::npos) {
    return MakeRefusal(
      kExitUsage,
      "KEY-HASH must be a SHA-256 in lower-case hexadecimal, or "
      "- to read the key from standard input");
  }
  Customer customer{ .mName = name,
                     .mKeyHash = hash,
                     .mAllowedModels = {},
                     .mServices = {},
                     .mWeight = aSettings.mWeight,
                     .mTokensPerSecond = aSettings.mTokensPerSecond,
                     .mPriority = aSettings.mPriority };
  return ExecuteMutation(aSettings, [&](const Configuration& aConfig) {
    auto added = AddCustomer(aConfig, customer);
    return added ? AllowItems(*added, name, items) : added;
  });
}

} // namespace savory
