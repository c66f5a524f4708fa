#pragma once

#include "savory/core/types.h"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace savory {

// The state of a version. Serving and Candidate versions receive new work; a
// Draining version receives only requests of the sessions bound to it.
enum class VersionState
{
  Candidate,
  Serving,
  Draining,
  Withdrawn,
};

inline constexpr std::array<EnumName<VersionState>, 4> kVersionStateNames{ {
  { VersionState::Candidate, "candidate" },
  { VersionState::Serving, "serving" },
  { VersionState::Draining, "draining" },
  { VersionState::Withdrawn, "withdrawn" },
} };

enum class ZoneState
{
  In,
  Returning,
  Out,
};

inline constexpr std::array<EnumName<ZoneState>, 3> kZoneStateNames{ {
  { ZoneState::In, "in" },
  { ZoneState::Returning, "returning" },
  { ZoneState::Out, "out" },
} };

// The goal that a preset relaxes first when quality, deadline and cost cannot
// all be met.
enum class GiveWay
{
  Cost,
  Quality,
  Deadline,
};

inline constexpr std::array<EnumName<GiveWay>, 3> kGiveWayNames{ {
  { GiveWay::Cost, "cost" },
  { GiveWay::Quality, "quality" },
  { GiveWay::Deadline, "deadline" },
} };

// One version of a model. `mShare` is the share of new work in [0, 1] that a
// candidate receives; the serving versions split the rest equally.
struct Version
{
  std::string mName;
  VersionState mState = VersionState::Serving;
  double mShare = 0;
};

// A model. Costs are in millionths of the operators' currency per token;
// `mQuality` is the operators' prior for the share of its answers, in [0, 1],
// that pass.
struct Model
{
  std::string mName;
  Micros mInputCostPerToken = 0;
  Micros mOutputCostPerToken = 0;
  double mQuality = 0.5;
  int mColdConcurrency = 1;
  std::vector<Version> mVersions;
};

// A customer. `mKeyHash` is the lower-case hexadecimal SHA-256 of the bearer
// key. Each item of `mAllowedModels` is "model" or "model@version". `mWeight`
// is the customer's share of capacity relative to other customers; a
// `mTokensPerSecond` of 0 means no limit.
struct Customer
{
  std::string mName;
  std::string mKeyHash;
  std::vector<std::string> mAllowedModels;
  std::vector<std::string> mServices;
  double mWeight = 1;
  double mTokensPerSecond = 0;
  int mPriority = 1;
};

// A call that must run at most once: method and path prefix under the service.
struct NonIdempotentCall
{
  std::string mMethod;
  std::string mPathPrefix;
};

// A plain service, which callers reach under /NAME/. Its idempotency keys are
// partitioned into `mSlots` slots, each owned by one agent.
struct Service
{
  std::string mName;
  int mSlots = 1;
  std::vector<NonIdempotentCall> mNonIdempotentCalls;
};

struct Zone
{
  std::string mName;
  std::string mRegion;
  ZoneState mState = ZoneState::In;
};

// A named set of goals that operators switch between. `mQualityTarget` is the
// share of answers, in [0, 1], that must pass; under overload, customers of a
// priority below `mShedBelowPriority` are refused first.
struct Preset
{
  std::string mName;
  double mQualityTarget = 0.9;
  TimeMs mDeadlineMs = 30000;
  GiveWay mGiveWay = GiveWay::Cost;
  int mShedBelowPriority = 0;
  int mMaxSteps = 2;
};

// A roll-out in progress. `mStage` is an index into the ramp of rollout.h.
struct Rollout
{
  std::string mModel;
  std::string mBaselineVersion;
  std::string mTargetVersion;
  int mStage = 0;
};

// A complete configuration. `mRevision` counts accepted changes; 0 means that
// there is no configuration.
struct Configuration
{
  std::int64_t mRevision = 0;
  std::vector<Customer> mCustomers;
  std::vector<Model> mModels;
  std::vector<Service> mServices;
  std::vector<Zone> mZones;
  std::vector<Preset> mPresets;
  std::vector<Rollout> mRollouts;
  std::string mPresetInForce;
  std::string mSessionSecret;
  std::string mOperatorTokenHash;
  std::vector<std::string> mFencingPools;
};

// An error in a configuration: the path of the field, such as
// "models[2].versions[0].state", and what is wrong with it.
struct ConfigError
{
  std::string mPath;
  std::string mReason;
};

// Parses and validates a configuration. A document with any error is rejected
// as a whole, with all errors that were found.
tl::expected<Configuration, std::vector<ConfigError>>
ParseConfiguration(const nlohmann::json& aDocument);

// Checks the constraints between fields: names are unique, references resolve,
// each model has a version, the preset in force exists, at least one zone is
// not out. Empty when all hold.
std::vector<ConfigError>
ValidateConfiguration(const Configuration& aConfig);

// The document from which ParseConfiguration restores an equal value.
nlohmann::json
ToJson(const Configuration& aConfig);

// One line per difference, such as "zones[gulf-a].state: in -> out"; revisions
// are not compared.
std::vector<std::string>
DiffConfiguration(const Configuration& aFrom, const Configuration& aTo);

// Look-ups by name; null when not found. The pointers are into `aConfig` or
// `aModel`.
const Model*
FindModel(const Configuration& aConfig, std::string_view aName);
const Version*
FindVersion(const Model& aModel, std::string_view aName);
const Customer*
FindCustomer(const Configuration& aConfig, std::string_view aName);
const Service*
FindService(const Configuration& aConfig, std::string_view aName);
const Zone*
FindZone(const Configuration& aConfig, std::string_view aName);

// The preset in force, or a default preset when its name does not resolve.
const Preset&
PresetInForce(const Configuration& aConfig);

// Whether a customer may use a version of a model.
bool
IsAllowed(const Customer& aCustomer,
          std::string_view aModel,
          std::string_view aVersion);

// Whether a call of a service must run at most once.
bool
IsNonIdempotent(const Service& aService,
                std::string_view aMethod,
                std::string_view aPath);

} // namespace savory
