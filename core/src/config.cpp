#include "savory/core/config.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace savory {

using nlohmann::json;

namespace {

// Collects the errors of a document while its fields are read.
struct ErrorList
{
  std::vector<ConfigError> mErrors;

  void Add(const std::string& aPath, const std::string& aReason)
  {
    mErrors.push_back({ aPath, aReason });
  }
};

// The inclusive range of a number.
struct Range
{
  double mMin;
  double mMax;
};

constexpr Range kShareRange{ 0, 1 };
constexpr Range kCostRange{ 0, 1e12 };
constexpr Range kWeightRange{ 1e-6, 1e6 };
constexpr Range kTokensPerSecondRange{ 0, 1e12 };
constexpr Range kCountRange{ 0, 1e6 };
constexpr Range kSlotsRange{ 1, 1024 };
constexpr Range kDeadlineMsRange{ 1, 3600000 };

std::string
FieldPath(const std::string& aPath, const char* aName)
{
  return aPath.empty() ? aName : aPath + "." + aName;
}

std::string
ReadString(ErrorList& aErrors,
           const json& aObject,
           const std::string& aPath,
           const char* aName,
           bool aRequired)
{
  auto found = aObject.find(aName);
  if (found == aObject.end()) {
    if (aRequired) {
      aErrors.Add(FieldPath(aPath, aName), "is missing");
    }
    return {};
  }
  if (!found->is_string()) {
    aErrors.Add(FieldPath(aPath, aName), "must be a string");
    return {};
  }
  if (aRequired && found->get_ref<const std::string&>().empty()) {
    aErrors.Add(FieldPath(aPath, aName), "must not be empty");
  }
  return found->get<std::string>();
}

double
ReadNumber(ErrorList& aErrors,
           const json& aObject,
           const std::string& aPath,
           const char* aName,
           double aDefault,
           Range aRange)
{
  auto found = aObject.find(aName);
  if (found == aObject.end()) {
    return aDefault;
  }
  if (!found->is_number()) {
    aErrors.Add(FieldPath(aPath, aName), "must be a number");
    return aDefault;
  }
  double value = found->get<double>();
  if (!(value >= aRange.mMin && value <= aRange.mMax)) {
    aErrors.Add(FieldPath(aPath, aName), "is out of range");
    return aDefault;
  }
  return value;
}

template<class E, std::size_t N>
E
ReadEnum(ErrorList& aErrors,
         const json& aObject,
         const std::string& aPath,
         const char* aName,
         E aDefault,
         const std::array<EnumName<E>, N>& aTable)
{
  if (!aObject.contains(aName)) {
    return aDefault;
  }
  std::string name = ReadString(aErrors, aObject, aPath, aName, true);
  auto value = ParseName(aTable, name);
  if (!value) {
    aErrors.Add(FieldPath(aPath, aName),
                "has the unknown value \"" + name + "\"");
    return aDefault;
  }
  return *value;
}

std::vector<std::string>
ReadStrings(ErrorList& aErrors,
            const json& aObject,
            const std::string& aPath,
            const char* aName)
{
  std::vector<std::string> result;
  auto found = aObject.find(aName);
  if (found == aObject.end()) {
    return result;
  }
  if (!found->is_array()) {
    aErrors.Add(FieldPath(aPath, aName), "must be a list");
    return result;
  }
  for (const auto& item : *found) {
    if (!item.is_string()) {
      aErrors.Add(FieldPath(aPath, aName), "must hold strings");
      return result;
    }
    result.push_back(item.get<std::string>());
  }
  return result;
}

// Reads a list of objects, each with `aParse`.
template<class T, class Parse>
std::vector<T>
ReadList(ErrorList& aErrors,
         const json& aObject,
         const std::string& aPath,
         const char* aName,
         Parse aParse)
{
  std::vector<T> result;
  auto found = aObject.find(aName);
  if (found == aObject.end()) {
    return result;
  }
  std::string listPath = FieldPath(aPath, aName);
  if (!found->is_array()) {
    aErrors.Add(listPath, "must be a list");
    return result;
  }
  for (std::size_t i = 0; i < found->size(); ++i) {
    std::string path = listPath + "[" + std::to_string(i) + "]";
    if (!(*found)[i].is_object()) {
      aErrors.Add(path, "must be an object");
      continue;
    }
    result.push_back(aParse(aErrors, (*found)[i], path));
  }
  return result;
}

Version
ParseVersion(ErrorList& aErrors, const json& aObject, const std::string& aPath)
{
  return {
    .mName = ReadString(aErrors, aObject, aPath, "name", true),
    .mState = ReadEnum(aErrors,
                       aObject,
                       aPath,
                       "state",
                       VersionState::Serving,
                       kVersionStateNames),
    .mShare = ReadNumber(aErrors, aObject, aPath, "share", 0, kShareRange),
  };
}

Model
ParseModel(ErrorList& aErrors, const json& aObject, const std::string& aPath)
{
  return {
    .mName = ReadString(aErrors, aObject, aPath, "name", true),
    .mInputCostPerToken = static_cast<Micros>(
      ReadNumber(aErrors, aObject, aPath, "input_cost", 0, kCostRange)),
    .mOutputCostPerToken = static_cast<Micros>(
      ReadNumber(aErrors, aObject, aPath, "output_cost", 0, kCostRange)),
    .mQuality =
      ReadNumber(aErrors, aObject, aPath, "quality", 0.5, kShareRange),
    .mColdConcurrency = static_cast<int>(
      ReadNumber(aErrors, aObject, aPath, "cold_concurrency", 1, kCountRange)),
    .mVersions =
      ReadList<Version>(aErrors, aObject, aPath, "versions", ParseVersion),
  };
}

Customer
ParseCustomer(ErrorList& aErrors, const json& aObject, const std::string& aPath)
{
  return {
    .mName = ReadString(aErrors, aObject, aPath, "name", true),
    .mKeyHash = ReadString(aErrors, aObject, aPath, "key_hash", true),
    .mAllowedModels = ReadStrings(aErrors, aObject, aPath, "allowed"),
    .mServices = ReadStrings(aErrors, aObject, aPath, "services"),
    .mWeight = ReadNumber(aErrors, aObject, aPath, "weight", 1, kWeightRange),
    .mTokensPerSecond = ReadNumber(
      aErrors, aObject, aPath, "tokens_per_second", 0, kTokensPerSecondRange),
    .mPriority = static_cast<int>(
      ReadNumber(aErrors, aObject, aPath, "priority", 1, kCountRange)),
  };
}

NonIdempotentCall
ParseCall(ErrorList& aErrors, const json& aObject, const std::string& aPath)
{
  return {
    .mMethod = ReadString(aErrors, aObject, aPath, "method", true),
    .mPathPrefix = ReadString(aErrors, aObject, aPath, "path_prefix", true),
  };
}

Service
ParseService(ErrorList& aErrors, const json& aObject, const std::string& aPath)
{
  return {
    .mName = ReadString(aErrors, aObject, aPath, "name", true),
    .mSlots = static_cast<int>(
      ReadNumber(aErrors, aObject, aPath, "slots", 1, kSlotsRange)),
    .mNonIdempotentCalls = ReadList<NonIdempotentCall>(
      aErrors, aObject, aPath, "non_idempotent", ParseCall),
  };
}

Zone
ParseZone(ErrorList& aErrors, const json& aObject, const std::string& aPath)
{
  return {
    .mName = ReadString(aErrors, aObject, aPath, "name", true),
    .mRegion = ReadString(aErrors, aObject, aPath, "region", true),
    .mState = ReadEnum(
      aErrors, aObject, aPath, "state", ZoneState::In, kZoneStateNames),
  };
}

Preset
ParsePreset(ErrorList& aErrors, const json& aObject, const std::string& aPath)
{
  return {
    .mName = ReadString(aErrors, aObject, aPath, "name", true),
    .mQualityTarget =
      ReadNumber(aErrors, aObject, aPath, "quality_target", 0.9, kShareRange),
    .mDeadlineMs = static_cast<TimeMs>(ReadNumber(
      aErrors, aObject, aPath, "deadline_ms", 30000, kDeadlineMsRange)),
    .mGiveWay = ReadEnum(
      aErrors, aObject, aPath, "give_way", GiveWay::Cost, kGiveWayNames),
    .mShedBelowPriority = static_cast<int>(
      ReadNumber(aErrors, aObject, aPath, "shed_below", 0, kCountRange)),
    .mMaxSteps = static_cast<int>(
      ReadNumber(aErrors, aObject, aPath, "max_steps", 2, kCountRange)),
  };
}

Rollout
ParseRollout(ErrorList& aErrors, const json& aObject, const std::string& aPath)
{
  return {
    .mModel = ReadString(aErrors, aObject, aPath, "model", true),
    .mBaselineVersion = ReadString(aErrors, aObject, aPath, "from", true),
    .mTargetVersion = ReadString(aErrors, aObject, aPath, "to", true),
    .mStage = static_cast<int>(
      ReadNumber(aErrors, aObject, aPath, "stage", 0, kCountRange)),
  };
}

// Adds an error for each name that repeats an earlier one of the list.
template<class T>
void
CheckUnique(std::vector<ConfigError>& aErrors,
            const std::vector<T>& aItems,
            const std::string& aList)
{
  std::set<std::string> seen;
  for (std::size_t i = 0; i < aItems.size(); ++i) {
    if (!seen.insert(aItems[i].mName).second) {
      aErrors.push_back({ aList + "[" + std::to_string(i) + "].name",
                          "\"" + aItems[i].mName + "\" is not unique" });
    }
  }
}

template<class T>
const T*
FindByName(const std::vector<T>& aItems, std::string_view aName)
{
  auto found = std::find_if(aItems.begin(), aItems.end(), [&](const T& aItem) {
    return aItem.mName == aName;
  });
  return found == aItems.end() ? nullptr : &*found;
}

// Whether an item of Customer::mAllowedModels names an existing model or
// version.
bool
AllowedModelExists(const Configuration& aConfig, const std::string& aAllowed)
{
  auto separator = aAllowed.find('@');
  const Model* model = FindModel(aConfig, aAllowed.substr(0, separator));
  if (!model) {
    return false;
  }
  return separator == std::string::npos ||
         FindVersion(*model, aAllowed.substr(separator + 1)) != nullptr;
}

// Adds a line for each leaf in which two documents differ. Lists of named
// objects are matched by name, so that an insertion yields one line.
void
DiffJson(const json& aFrom,
         const json& aTo,
         const std::string& aPath,
         std::vector<std::string>& aLines)
{
  if (aFrom == aTo) {
    return;
  }
  auto keyed = [](const json& aList) {
    json result = json::object();
    for (const auto& item : aList) {
      result["[" + item["name"].get<std::string>() + "]"] = item;
    }
    return result;
  };
  auto named = [](const json& aList) {
    return aList.is_array() &&
           std::all_of(aList.begin(), aList.end(), [](const json& aItem) {
             return aItem.is_object() && aItem.contains("name");
           });
  };
  if (named(aFrom) && named(aTo)) {
    DiffJson(keyed(aFrom), keyed(aTo), aPath, aLines);
    return;
  }
  if (aFrom.is_object() && aTo.is_object()) {
    json all = aFrom;
    all.update(aTo);
    for (const auto& [key, unused] : all.items()) {
      bool index = !key.empty() && key[0] == '[';
      std::string path =
        index || aPath.empty() ? aPath + key : aPath + "." + key;
      DiffJson(aFrom.contains(key) ? aFrom[key] : json(),
               aTo.contains(key) ? aTo[key] : json(),
               path,
               aLines);
    }
    return;
  }
  auto text = [](const json& aValue) {
    return aValue.is_null() ? std::string("(none)") : aValue.dump();
  };
  aLines.push_back(aPath + ": " + text(aFrom) + " -> " + text(aTo));
}

} // namespace

tl::expected<Configuration, std::vector<ConfigError>>
ParseConfiguration(const json& aDocument)
{
  ErrorList errors;
  if (!aDocument.is_object()) {
    errors.Add("", "must be an object");
    return tl::unexpected(errors.mErrors);
  }
  Configuration config{
    .mRevision = static_cast<std::int64_t>(
      ReadNumber(errors, aDocument, "", "revision", 0, { 0, 9e15 })),
    .mCustomers =
      ReadList<Customer>(errors, aDocument, "", "customers", ParseCustomer),
    .mModels = ReadList<Model>(errors, aDocument, "", "models", ParseModel),
    .mServices =
      ReadList<Service>(errors, aDocument, "", "services", ParseService),
    .mZones = ReadList<Zone>(errors, aDocument, "", "zones", ParseZone),
    .mPresets = ReadList<Preset>(errors, aDocument, "", "presets", ParsePreset),
    .mRollouts =
      ReadList<Rollout>(errors, aDocument, "", "rollouts", ParseRollout),
    .mPresetInForce =
      ReadString(errors, aDocument, "", "preset_in_force", true),
    .mSessionSecret = ReadString(errors, aDocument, "", "session_secret", true),
    .mOperatorTokenHash =
      ReadString(errors, aDocument, "", "operator_token_hash", true),
    .mFencingPools = ReadStrings(errors, aDocument, "", "fencing_pools"),
  };
  if (!errors.mErrors.empty()) {
    return tl::unexpected(errors.mErrors);
  }
  auto invalid = ValidateConfiguration(config);
  if (!invalid.empty()) {
    return tl::unexpected(invalid);
  }
  return config;
}

std::vector<ConfigError>
ValidateConfiguration(const Configuration& aConfig)
{
  std::vector<ConfigError> errors;
  CheckUnique(errors, aConfig.mCustomers, "customers");
  CheckUnique(errors, aConfig.mModels, "models");
  CheckUnique(errors, aConfig.mServices, "services");
  CheckUnique(errors, aConfig.mZones, "zones");
  CheckUnique(errors, aConfig.mPresets, "presets");
  for (std::size_t i = 0; i < aConfig.mModels.size(); ++i) {
    std::string path = "models[" + std::to_string(i) + "].versions";
    CheckUnique(errors, aConfig.mModels[i].mVersions, path);
    if (aConfig.mModels[i].mVersions.empty()) {
      errors.push_back({ path, "must not be empty" });
    }
  }
  for (std::size_t i = 0; i < aConfig.mCustomers.size(); ++i) {
    const Customer& customer = aConfig.mCustomers[i];
    std::string path = "customers[" + std::to_string(i) + "]";
    for (const auto& allowed : customer.mAllowedModels) {
      if (!AllowedModelExists(aConfig, allowed)) {
        errors.push_back(
          { path + ".allowed", "\"" + allowed + "\" does not exist" });
      }
    }
    for (const auto& service : customer.mServices) {
      if (!FindService(aConfig, service)) {
        errors.push_back(
          { path + ".services", "\"" + service + "\" does not exist" });
      }
    }
  }
  for (std::size_t i = 0; i < aConfig.mRollouts.size(); ++i) {
    const Rollout& rollout = aConfig.mRollouts[i];
    std::string path = "rollouts[" + std::to_string(i) + "]";
    const Model* model = FindModel(aConfig, rollout.mModel);
    if (!model || !FindVersion(*model, rollout.mBaselineVersion) ||
        !FindVersion(*model, rollout.mTargetVersion)) {
      errors.push_back(
        { path, "refers to a model or version that does not exist" });
    }
  }
  if (!FindByName(aConfig.mPresets, aConfig.mPresetInForce)) {
    errors.push_back({ "preset_in_force",
                       "\"" + aConfig.mPresetInForce + "\" does not exist" });
  }
  bool anyIn = std::any_of(
    aConfig.mZones.begin(), aConfig.mZones.end(), [](const Zone& aZone) {
      return aZone.mState != ZoneState::Out;
    });
  if (!anyIn) {
    errors.push_back({ "zones", "at least one zone must not be out" });
  }
  return errors;
}

json
ToJson(const Configuration& aConfig)
{
  json document = {
    { "revision", aConfig.mRevision },
    { "customers", json::array() },
    { "models", json::array() },
    { "services", json::array() },
    { "zones", json::array() },
    { "presets", json::array() },
    { "rollouts", json::array() },
    { "preset_in_force", aConfig.mPresetInForce },
    { "session_secret", aConfig.mSessionSecret },
    { "operator_token_hash", aConfig.mOperatorTokenHash },
    { "fencing_pools", aConfig.mFencingPools },
  };
  for (const auto& customer : aConfig.mCustomers) {
    document["customers"].push_back({
      { "name", customer.mName },
      { "key_hash", customer.mKeyHash },
      { "allowed", customer.mAllowedModels },
      { "services", customer.mServices },
      { "weight", customer.mWeight },
      { "tokens_per_second", customer.mTokensPerSecond },
      { "priority", customer.mPriority },
    });
  }
  for (const auto& model : aConfig.mModels) {
    json versions = json::array();
    for (const auto& version : model.mVersions) {
      versions.push_back({
        { "name", version.mName },
        { "state", ToName(kVersionStateNames, version.mState) },
        { "share", version.mShare },
      });
    }
    document["models"].push_back({
      { "name", model.mName },
      { "input_cost", model.mInputCostPerToken },
      { "output_cost", model.mOutputCostPerToken },
      { "quality", model.mQuality },
      { "cold_concurrency", model.mColdConcurrency },
      { "versions", versions },
    });
  }
  for (const auto& service : aConfig.mServices) {
    json calls = json::array();
    for (const auto& call : service.mNonIdempotentCalls) {
      calls.push_back(
        { { "method", call.mMethod }, { "path_prefix", call.mPathPrefix } });
    }
    document["services"].push_back({ { "name", service.mName },
                                     { "slots", service.mSlots },
                                     { "non_idempotent", calls } });
  }
  for (const auto& zone : aConfig.mZones) {
    document["zones"].push_back(
      { { "name", zone.mName },
        { "region", zone.mRegion },
        { "state", ToName(kZoneStateNames, zone.mState) } });
  }
  for (const auto& preset : aConfig.mPresets) {
    document["presets"].push_back(
      { { "name", preset.mName },
        { "quality_target", preset.mQualityTarget },
        { "deadline_ms", preset.mDeadlineMs },
        { "give_way", ToName(kGiveWayNames, preset.mGiveWay) },
        { "shed_below", preset.mShedBelowPriority },
        { "max_steps", preset.mMaxSteps } });
  }
  for (const auto& rollout : aConfig.mRollouts) {
    document["rollouts"].push_back({ { "model", rollout.mModel },
                                     { "from", rollout.mBaselineVersion },
                                     { "to", rollout.mTargetVersion },
                                     { "stage", rollout.mStage } });
  }
  return document;
}

std::vector<std::string>
DiffConfiguration(const Configuration& aFrom, const Configuration& aTo)
{
  std::vector<std::string> lines;
  json from = ToJson(aFrom);
  json to = ToJson(aTo);
  from.erase("revision");
  to.erase("revision");
  DiffJson(from, to, "", lines);
  return lines;
}

const Model*
FindModel(const Configuration& aConfig, std::string_view aName)
{
  return FindByName(aConfig.mModels, aName);
}

const Version*
FindVersion(const Model& aModel, std::string_view aName)
{
  return FindByName(aModel.mVersions, aName);
}

const Customer*
FindCustomer(const Configuration& aConfig, std::string_view aName)
{
  return FindByName(aConfig.mCustomers, aName);
}

const Service*
FindService(const Configuration& aConfig, std::string_view aName)
{
  return FindByName(aConfig.mServices, aName);
}

const Zone*
FindZone(const Configuration& aConfig, std::string_view aName)
{
  return FindByName(aConfig.mZones, aName);
}

const Preset&
PresetInForce(const Configuration& aConfig)
{
  static const Preset kDefault;
  const Preset* preset = FindByName(aConfig.mPresets, aConfig.mPresetInForce);
  return preset ? *preset : kDefault;
}

bool
IsAllowed(const Customer& aCustomer,
          std::string_view aModel,
          std::string_view aVersion)
{
  return std::any_of(aCustomer.mAllowedModels.begin(),
                     aCustomer.mAllowedModels.end(),
                     [&](std::string_view aAllowed) {
                       auto separator = aAllowed.find('@');
                       if (aAllowed.substr(0, separator) != aModel) {
                         return false;
                       }
                       return separator == std::string_view::npos ||
                              aAllowed.substr(separator + 1) == aVersion;
                     });
}

bool
IsNonIdempotent(const Service& aService,
                std::string_view aMethod,
                std::string_view aPath)
{
  return std::any_of(aService.mNonIdempotentCalls.begin(),
                     aService.mNonIdempotentCalls.end(),
                     [&](const NonIdempotentCall& aCall) {
                       return aCall.mMethod == aMethod &&
                              aPath.starts_with(aCall.mPathPrefix);
                     });
}

} // namespace savory
