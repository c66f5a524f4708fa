#include "savory/core/config_store.h"

#include "savory/core/identity.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <set>

namespace savory {

using nlohmann::json;

namespace {

constexpr std::size_t kRevisionDigits = 12;
constexpr std::size_t kHashDigits = 32;

constexpr std::array<const char*, 4> kControlFields{
  "rollouts",
  "session_secret",
  "operator_token_hash",
  "fencing_pools",
};

std::string_view
SectionName(std::size_t aIndex)
{
  return kSectionNames[aIndex].mName;
}

bool
IsHex(std::string_view aText)
{
  return std::all_of(aText.begin(), aText.end(), [](char aDigit) {
    return (aDigit >= '0' && aDigit <= '9') || (aDigit >= 'a' && aDigit <= 'f');
  });
}

bool
IsSectionKey(std::string_view aKey)
{
  return aKey.size() == kSectionPrefix.size() + kRevisionDigits + kHashDigits &&
         aKey.starts_with(kSectionPrefix) &&
         IsHex(aKey.substr(kSectionPrefix.size()));
}

// The base revision that is part of a section key.
std::int64_t
BaseRevision(std::string_view aKey)
{
  std::string_view digits = aKey.substr(kSectionPrefix.size(), kRevisionDigits);
  std::int64_t base = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), base, 16);
  return base;
}

json
SerializeOperationList(const std::vector<AcceptedOperation>& aOperations)
{
  json list = json::array();
  for (const auto& operation : aOperations) {
    list.push_back({ operation.mId, operation.mRevision });
  }
  return list;
}

// Parses accepted operations, which must be in ascending order of revision.
// Throws json::exception on any other shape or on more than `aMaxCount` items.
std::vector<AcceptedOperation>
ParseOperationList(const json& aList, std::size_t aMaxCount)
{
  std::vector<AcceptedOperation> operations;
  if (!aList.is_array() || aList.size() > aMaxCount) {
    throw json::other_error::create(
      501, "operations must be a list within its size limit", &aList);
  }
  for (const auto& item : aList) {
    AcceptedOperation operation{ item.at(0).get<std::string>(),
                                 item.at(1).get<std::int64_t>() };
    if (operation.mId.size() > kMaxOperationIdBytes ||
        (!operations.empty() &&
         operations.back().mRevision >= operation.mRevision)) {
      throw json::other_error::create(
        501,
        "operations must ascend by revision and have ids of at most 64 bytes",
        &aList);
    }
    operations.push_back(std::move(operation));
  }
  return operations;
}

// A copy of a document in which a list of named objects is an object keyed by
// name and any other non-empty list is its text, so that the path of each leaf
// is stable.
json
IndexByName(const json& aValue)
{
  if (aValue.is_object()) {
    json result = json::object();
    for (const auto& [key, item] : aValue.items()) {
      result[key] = IndexByName(item);
    }
    return result;
  }
  if (!aValue.is_array()) {
    return aValue;
  }
  bool named = !aValue.empty() &&
               std::all_of(aValue.begin(), aValue.end(), [](const json& aItem) {
                 return aItem.is_object() &&
                        (aItem.contains("name") ||
                         (aItem.contains("model") && aItem.contains("to")));
               });
  if (!named) {
    return aValue.empty() ? json::object() : json(aValue.dump());
  }
  json result = json::object();
  for (const auto& item : aValue) {
    std::string name = item.contains("name") ? item["name"].get<std::string>()
                                             : item["model"].get<std::string>();
    result[name] = IndexByName(item);
  }
  return result;
}

// Whether two paths are equal or one is an ancestor of the other.
bool
Overlaps(const std::string& aLeft, const std::string& aRight)
{
  const auto& [shorter, longer] = std::minmax(
    aLeft, aRight, [](const std::string& aOne, const std::string& aOther) {
      return aOne.size() < aOther.size();
    });
  return longer.starts_with(shorter) &&
         (longer.size() == shorter.size() || longer[shorter.size()] == '/');
}

void
Finish(Change& aChange,
       ChangeState aState,
       std::vector<std::string> aReasons = {})
{
  aChange.mState = aState;
  aChange.mStep = ChangeStep::Done;
  aChange.mReasons = std::move(aReasons);
}

// Ends the change as accepted when its id is among the accepted operations.
bool
FinishIfAccepted(Change& aChange,
                 const std::vector<AcceptedOperation>& aOperations)
{
  for (const auto& operation : aOperations) {
    if (operation.mId == aChange.mId) {
      aChange.mRevision = operation.mRevision;
      Finish(aChange, ChangeState::Accepted);
      return true;
    }
  }
  return false;
}

// Prepares the section values and the head that replace the configuration that
// was read by the desired one.
void
PrepareSwap(Change& aChange)
{
  Head head = aChange.mHead;
  aChange.mEntries.clear();
  auto texts = SerializeSections(aChange.mDesiredConfig);
  auto oldTexts = SerializeSections(aChange.mBaseConfig);
  for (std::size_t i = 0; i < kSectionCount; ++i) {
    std::string& text = texts[i];
    if (head.mRevision > 0 && text == oldTexts[i]) {
      continue;
    }
    head.mSections[i] = SectionKey(aChange.mHead.mRevision, text);
    aChange.mEntries.emplace_back(head.mSections[i], std::move(text));
  }
  // When the operations in the head are full, they move to the older ones.
  if (head.mRecentOperations.size() >= kMaxHeadOperations) {
    std::vector<AcceptedOperation> operations = aChange.mOlderOperations;
    operations.insert(operations.end(),
                      head.mRecentOperations.begin(),
                      head.mRecentOperations.end());
    std::size_t maxOlder = kMaxKeptOperations - kMaxHeadOperations;
    if (operations.size() > maxOlder) {
      operations.erase(operations.begin(),
                       operations.end() -
                         static_cast<std::ptrdiff_t>(maxOlder));
    }
    std::string text = SerializeOperations(operations);
    head.mOperationsKey = SectionKey(aChange.mHead.mRevision, text);
    aChange.mEntries.emplace_back(head.mOperationsKey, std::move(text));
    head.mRecentOperations.clear();
  }
  head.mRevision += 1;
  head.mPresetInForce = aChange.mDesiredConfig.mPresetInForce;
  head.mRecentOperations.push_back({ aChange.mId, head.mRevision });
  aChange.mNewHeadText = SerializeHead(head);
  aChange.mExpectedHeadText = aChange.mHeadText;
  aChange.mStep =
    aChange.mEntries.empty() ? ChangeStep::SwapHead : ChangeStep::WriteSections;
}

// Applies the mutation to the configuration that was read. Ends the change with
// a conflict when another change modified the same fields since the previous
// read.
void
ApplyMutation(Change& aChange, Configuration aRead)
{
  if (aChange.mHasBase) {
    std::vector<std::string> reasons;
    auto desiredPaths =
      ChangedPaths(aChange.mBaseConfig, aChange.mDesiredConfig);
    for (const auto& concurrentPath :
         ChangedPaths(aChange.mBaseConfig, aRead)) {
      if (std::any_of(desiredPaths.begin(),
                      desiredPaths.end(),
                      [&](const std::string& aPath) {
                        return Overlaps(aPath, concurrentPath);
                      })) {
        reasons.push_back(concurrentPath +
                          " was modified by a concurrent change");
      }
    }
    if (!reasons.empty()) {
      Finish(aChange, ChangeState::Conflict, std::move(reasons));
      return;
    }
  }
  // The head has changed since the previous read and does not list this change,
  // so that no swap sent before can still take effect.
  aChange.mSwapMayApply = aChange.mSwapMayApply && !aChange.mHasBase;
  aChange.mBaseConfig = std::move(aRead);
  aChange.mHasBase = true;
  aChange.mDesiredConfig = aChange.mBaseConfig;
  aChange.mMutation(aChange.mDesiredConfig);
  aChange.mDesiredConfig.mRevision = aChange.mHead.mRevision + 1;
  std::vector<std::string> errors;
  for (const auto& error : ValidateConfiguration(aChange.mDesiredConfig)) {
    errors.push_back(error.mPath + ": " + error.mReason);
  }
  if (!errors.empty()) {
    Finish(aChange, ChangeState::Invalid, std::move(errors));
    return;
  }
  if (aChange.mHead.mRevision > 0 &&
      ChangedPaths(aChange.mBaseConfig, aChange.mDesiredConfig).empty()) {
    aChange.mRevision = aChange.mHead.mRevision;
    Finish(aChange, ChangeState::Unchanged);
    return;
  }
  PrepareSwap(aChange);
}

void
OnHeadRead(Change& aChange, const std::optional<std::string>& aText)
{
  std::int64_t previousRevision = aChange.mHead.mRevision;
  bool headUnchanged = !aChange.mNewHeadText.empty() &&
                       aText.value_or("") == aChange.mExpectedHeadText;
  if (headUnchanged) {
    // The swap has not taken effect, but may still be in flight. Sending the
    // same swap again is safe: the outcome is the same whichever arrives first.
    aChange.mStep = ChangeStep::SwapHead;
    return;
  }
  Head head;
  if (aText) {
    auto parsed = ParseHead(*aText);
    if (!parsed) {
      Finish(aChange, ChangeState::Corrupt, { parsed.error().mReason });
      return;
    }
    head = std::move(*parsed);
  }
  aChange.mHead = std::move(head);
  aChange.mHeadText = aText.value_or("");
  if (FinishIfAccepted(aChange, aChange.mHead.mRecentOperations)) {
    return;
  }
  if (aChange.mSwapMayApply &&
      aChange.mHead.mRevision - previousRevision >
        static_cast<std::int64_t>(kMaxKeptOperations - kMaxHeadOperations)) {
    Finish(
      aChange,
      ChangeState::Unknown,
      { "more changes were accepted meanwhile than the store keeps ids of" });
    return;
  }
  if (!aChange.mHead.mOperationsKey.empty()) {
    aChange.mStep = ChangeStep::ReadOperations;
    return;
  }
  aChange.mOlderOperations.clear();
  if (aChange.mHead.mRevision == 0) {
    ApplyMutation(aChange, Configuration{});
    return;
  }
  aChange.mStep = ChangeStep::ReadSections;
}

} // namespace

std::array<std::string, kSectionCount>
SerializeSections(const Configuration& aConfig)
{
  json document = ToJson(aConfig);
  std::array<std::string, kSectionCount> texts;
  for (std::size_t i = 0; i < kSectionCount; ++i) {
    if (static_cast<Section>(i) != Section::Control) {
      texts[i] = document.at(std::string(SectionName(i))).dump();
      continue;
    }
    json control = json::object();
    for (const char* field : kControlFields) {
      control[field] = document.at(field);
    }
    texts[i] = control.dump();
  }
  return texts;
}

std::string
SectionKey(std::int64_t aBaseRevision, std::string_view aText)
{
  char digits[kRevisionDigits + 8];
  std::snprintf(digits,
                sizeof digits,
                "%012llx",
                static_cast<unsigned long long>(aBaseRevision));
  return std::string(kSectionPrefix) + digits +
         Sha256Hex(aText).substr(0, kHashDigits);
}

bool
MatchesSectionKey(std::string_view aKey, std::string_view aText)
{
  return IsSectionKey(aKey) && SectionKey(BaseRevision(aKey), aText) == aKey;
}

std::string
SerializeHead(const Head& aHead)
{
  json sections = json::object();
  for (std::size_t i = 0; i < kSectionCount; ++i) {
    sections[std::string(SectionName(i))] = aHead.mSections[i];
  }
  return json{
    { "revision", aHead.mRevision },
    { "sections", sections },
    { "preset", aHead.mPresetInForce },
    { "recent", SerializeOperationList(aHead.mRecentOperations) },
    { "operations", aHead.mOperationsKey }
  }.dump();
}

tl::expected<Head, StoreValueError>
ParseHead(std::string_view aText)
{
  try {
    json document = json::parse(aText);
    Head head;
    head.mRevision = document.at("revision").get<std::int64_t>();
    head.mPresetInForce = document.at("preset").get<std::string>();
    head.mRecentOperations =
      ParseOperationList(document.at("recent"), kMaxHeadOperations);
    head.mOperationsKey = document.at("operations").get<std::string>();
    for (std::size_t i = 0; i < kSectionCount; ++i) {
      head.mSections[i] = document.at("sections")
                            .at(std::string(SectionName(i)))
                            .get<std::string>();
      if (!IsSectionKey(head.mSections[i])) {
        return tl::unexpected(StoreValueError{
          "head: " + std::string(SectionName(i)) + " must be a section key" });
      }
    }
    if (head.mRevision < 1 ||
        (!head.mOperationsKey.empty() && !IsSectionKey(head.mOperationsKey))) {
      return tl::unexpected(
        StoreValueError{ "head: revision must be at least 1 and operations "
                         "empty or a section key" });
    }
    return head;
  } catch (const json::exception& error) {
    return tl::unexpected(
      StoreValueError{ std::string("head: ") + error.what() });
  }
}

std::string
SerializeOperations(const std::vector<AcceptedOperation>& aOperations)
{
  return SerializeOperationList(aOperations).dump();
}

tl::expected<std::vector<AcceptedOperation>, StoreValueError>
ParseOperations(std::string_view aText)
{
  try {
    return ParseOperationList(json::parse(aText), kMaxKeptOperations);
  } catch (const json::exception& error) {
    return tl::unexpected(
      StoreValueError{ std::string("operations: ") + error.what() });
  }
}

tl::expected<Configuration, StoreValueError>
AssembleConfiguration(const Head& aHead, const std::vector<std::string>& aTexts)
{
  if (aTexts.size() != kSectionCount) {
    return tl::unexpected(StoreValueError{ "the number of sections is wrong" });
  }
  json document = { { "revision", aHead.mRevision },
                    { "preset_in_force", aHead.mPresetInForce } };
  for (std::size_t i = 0; i < kSectionCount; ++i) {
    const std::string& key = aHead.mSections[i];
    if (!MatchesSectionKey(key, aTexts[i])) {
      return tl::unexpected(
        StoreValueError{ std::string(SectionName(i)) +
                         ": the value's hash does not match its key " + key });
    }
    json section = json::parse(aTexts[i], nullptr, false);
    if (static_cast<Section>(i) == Section::Control && section.is_object()) {
      document.update(section);
    } else {
      document[std::string(SectionName(i))] = std::move(section);
    }
  }
  auto config = ParseConfiguration(document);
  if (!config) {
    const ConfigError& first = config.error().front();
    return tl::unexpected(
      StoreValueError{ first.mPath + ": " + first.mReason });
  }
  return *config;
}

std::vector<std::string>
FindUnreferencedKeys(const Head& aHead,
                     const std::vector<std::string>& aListedKeys,
                     std::int64_t aKeptRevisions)
{
  std::set<std::string_view> used(aHead.mSections.begin(),
                                  aHead.mSections.end());
  used.insert(aHead.mOperationsKey);
  std::vector<std::string> garbage;
  for (const auto& key : aListedKeys) {
    if (IsSectionKey(key) && !used.contains(key) &&
        BaseRevision(key) < aHead.mRevision - aKeptRevisions) {
      garbage.push_back(key);
    }
  }
  return garbage;
}

std::vector<std::string>
ChangedPaths(const Configuration& aFrom, const Configuration& aTo)
{
  json from = ToJson(aFrom);
  json to = ToJson(aTo);
  from.erase("revision");
  to.erase("revision");
  from = IndexByName(from).flatten();
  to = IndexByName(to).flatten();
  std::vector<std::string> paths;
  for (const auto& [path, value] : from.items()) {
    auto found = to.find(path);
    if (found == to.end() || *found != value) {
      paths.push_back(path);
    }
  }
  for (const auto& [path, value] : to.items()) {
    if (!from.contains(path)) {
      paths.push_back(path);
    }
  }
  return paths;
}

Change
StartChange(std::string aId, Mutation aMutation, bool aRetry)
{
  Change change;
  change.mSwapMayApply = aRetry;
  change.mId = std::move(aId);
  change.mMutation = std::move(aMutation);
  return change;
}

Change
StartFirstConfiguration(std::string aId, Configuration aConfig)
{
  return StartChange(std::move(aId),
                     [config = std::move(aConfig)](Configuration& aTarget) {
                       if (aTarget.mRevision == 0) {
                         aTarget = config;
                       }
                     });
}

std::optional<StoreCall>
NextCall(const Change& aChange)
{
  StoreCall call;
  switch (aChange.mStep) {
    case ChangeStep::ReadHead:
      call.mKeys = { std::string(kHeadKey) };
      return call;
    case ChangeStep::ReadOperations:
      call.mKeys = { aChange.mHead.mOperationsKey };
      return call;
    case ChangeStep::ReadSections:
      call.mKeys.assign(aChange.mHead.mSections.begin(),
                        aChange.mHead.mSections.end());
      return call;
    case ChangeStep::WriteSections:
      call.mKind = StoreCall::Kind::Write;
      call.mEntries = aChange.mEntries;
      return call;
    case ChangeStep::SwapHead:
      call.mKind = StoreCall::Kind::SwapHead;
      call.mExpected = aChange.mExpectedHeadText;
      call.mValue = aChange.mNewHeadText;
      return call;
    default:
      return std::nullopt;
  }
}

void
OnStoreAnswer(Change& aChange, const StoreCallAnswer& aAnswer)
{
  bool lost = aAnswer.mStatus == StoreCallAnswer::Status::Lost;
  switch (aChange.mStep) {
    case ChangeStep::ReadHead:
      if (!lost && aAnswer.mValues.size() == 1) {
        OnHeadRead(aChange, aAnswer.mValues[0]);
      }
      return;
    case ChangeStep::ReadOperations: {
      if (lost || aAnswer.mValues.size() != 1) {
        return;
      }
      // A missing value was superseded and deleted since the head was read.
      if (!aAnswer.mValues[0]) {
        aChange.mStep = ChangeStep::ReadHead;
        return;
      }
      auto operations = ParseOperations(*aAnswer.mValues[0]);
      if (!operations) {
        Finish(aChange, ChangeState::Corrupt, { operations.error().mReason });
        return;
      }
      aChange.mOlderOperations = std::move(*operations);
      if (!FinishIfAccepted(aChange, aChange.mOlderOperations)) {
        aChange.mStep = ChangeStep::ReadSections;
      }
      return;
    }
    case ChangeStep::ReadSections: {
      if (lost) {
        return;
      }
      std::vector<std::string> texts;
      for (const auto& value : aAnswer.mValues) {
        if (!value) {
          aChange.mStep = ChangeStep::ReadHead;
          return;
        }
        texts.push_back(*value);
      }
      auto config = AssembleConfiguration(aChange.mHead, texts);
      if (!config) {
        Finish(aChange, ChangeState::Corrupt, { config.error().mReason });
        return;
      }
      ApplyMutation(aChange, std::move(*config));
      return;
    }
    case ChangeStep::WriteSections:
      if (!lost) {
        aChange.mStep = ChangeStep::SwapHead;
        aChange.mSwapMayApply = true;
      }
      return;
    case ChangeStep::SwapHead:
      aChange.mSwapMayApply = true;
      if (aAnswer.mStatus == StoreCallAnswer::Status::Ok) {
        aChange.mRevision = aChange.mHead.mRevision + 1;
        Finish(aChange, ChangeState::Accepted);
      } else {
        aChange.mStep = ChangeStep::ReadHead;
      }
      return;
    case ChangeStep::Done:
      return;
  }
}

void
AbandonChange(Change& aChange)
{
  if (aChange.mState != ChangeState::Running) {
    return;
  }
  if (aChange.mSwapMayApply || aChange.mStep == ChangeStep::SwapHead) {
    Finish(aChange, ChangeState::Unknown, { "the store does not answer" });
  } else {
    Finish(aChange,
           ChangeState::Abandoned,
           { "the store does not answer; nothing was changed" });
  }
}

} // namespace savory
