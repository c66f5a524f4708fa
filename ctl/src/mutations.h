#pragma once

#include "savory/core/config.h"

#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace savory {

// Changes of single parts of a configuration. Each returns the configuration
// after the change, which equals the given one when there is nothing to do, or
// the reason why the change is refused.
using MutationResult = tl::expected<Configuration, std::string>;

MutationResult
SetPreset(const Configuration& aConfig, const std::string& aPreset);

// Adds a withdrawn version to a model, as the target of a later roll-out.
MutationResult
AddVersion(const Configuration& aConfig,
           const std::string& aModel,
           const std::string& aVersion);

// Withdrawing a version ends its roll-out, and makes a draining version serve
// again when no other version serves.
MutationResult
SetVersionState(const Configuration& aConfig,
                const std::string& aModel,
                const std::string& aVersion,
                VersionState aState);

enum class RolloutCommand
{
  Start,
  Continue,
  Undo,
  Stop,
};

inline constexpr std::array<EnumName<RolloutCommand>, 4> kRolloutCommandNames{ {
  { RolloutCommand::Start, "start" },
  { RolloutCommand::Continue, "continue" },
  { RolloutCommand::Undo, "undo" },
  { RolloutCommand::Stop, "stop" },
} };

// Continue advances a roll-out by one stage and, past the last stage, ends it
// with the target version serving. Stop ends it with the target version
// withdrawn. Undo does the same during a roll-out and, after one has ended,
// makes the baseline version serve again and withdraws the target version.
MutationResult
ChangeRollout(const Configuration& aConfig,
              RolloutCommand aCommand,
              const Rollout& aRollout);

MutationResult
SetZoneOut(const Configuration& aConfig, const std::string& aZone);

// Changes the state of a zone from out to returning, or from returning to in.
MutationResult
AdvanceZoneReturn(const Configuration& aConfig, const std::string& aZone);

MutationResult
AddCustomer(const Configuration& aConfig, const Customer& aCustomer);

MutationResult
RemoveCustomer(const Configuration& aConfig, const std::string& aName);

// Allow or deny models, versions ("model@version") and services. Denying one
// version of a model that is allowed as a whole keeps its other versions
// allowed, but not those that are added later.
MutationResult
AllowItems(const Configuration& aConfig,
           const std::string& aCustomer,
           const std::vector<std::string>& aItems);
MutationResult
DenyItems(const Configuration& aConfig,
          const std::string& aCustomer,
          const std::vector<std::string>& aItems);

} // namespace savory
