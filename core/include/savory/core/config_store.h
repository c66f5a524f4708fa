#pragma once

#include "savory/core/config.h"

#include <array>
#include <cstdint>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <utility>
#include <vector>

namespace savory {

// The parts of a configuration that the store keeps as values of their own.
// Control holds roll-outs, secrets and pools; the preset in force is part of
// the head, so that switching it writes one value.
enum class Section
{
  Customers,
  Models,
  Services,
  Zones,
  Presets,
  Control,
};

inline constexpr std::size_t kSectionCount = 6;

inline constexpr std::array<EnumName<Section>, kSectionCount> kSectionNames{ {
  { Section::Customers, "customers" },
  { Section::Models, "models" },
  { Section::Services, "services" },
  { Section::Zones, "zones" },
  { Section::Presets, "presets" },
  { Section::Control, "control" },
} };

inline constexpr std::string_view kHeadKey = "cfg/head";
inline constexpr std::string_view kSectionPrefix = "cfg/s/";

// Operation ids that the store remembers: over an hour of changes at 82,000 a
// day. The newest stand in the head itself and the others in one referenced
// value, because each watcher receives the head once a change: 4,096 ids in it
// would be about 110 KB a second.
inline constexpr std::size_t kMaxKeptOperations = 4096;
inline constexpr std::size_t kMaxHeadOperations = 16;

// The longest operation id, in bytes.
inline constexpr std::size_t kMaxOperationIdBytes = 64;

// A change that was accepted: the operator's id of it and its revision.
struct AcceptedOperation
{
  std::string mId;
  std::int64_t mRevision = 0;
};

// The value at cfg/head. `mSections` holds a key for each section;
// `mOperationsKey` is the key of the older operation marks, empty when there
// are none. Marks are in order of revision.
struct Head
{
  std::int64_t mRevision = 0;
  std::array<std::string, kSectionCount> mSections;
  std::string mPreset;
  std::vector<AcceptedOperation> mRecentOperations;
  std::string mOperationsKey;
};

// What is wrong with a value of the store.
struct StoreValueError
{
  std::string mReason;
};

// A key and its value.
using KeyValue = std::pair<std::string, std::string>;

// The JSON texts of the sections of a configuration.
std::array<std::string, kSectionCount>
SerializeSections(const Configuration& aConfig);

// The key of a section value that is written by a change of revision
// `aBase`: cfg/s/ and 12 hexadecimal digits of the revision and 32 of the
// SHA-256. The revision makes the key of a value that is written again differ
// from the key of the same value that a collection may be deleting.
std::string
SectionKey(std::int64_t aBase, std::string_view aText);

// Whether a key is the section key of a text, for any base revision.
bool
MatchesSectionKey(std::string_view aKey, std::string_view aText);

std::string
SerializeHead(const Head& aHead);

// Reads a head; refuses any value that lacks a field, holds a key that is no
// section key, or has more marks than a head may hold.
tl::expected<Head, StoreValueError>
ParseHead(std::string_view aText);

std::string
SerializeOperations(const std::vector<AcceptedOperation>& aMarks);
tl::expected<std::vector<AcceptedOperation>, StoreValueError>
ParseOperations(std::string_view aText);

// Joins a head and the texts of its sections, in the order of Section, into a
// valid configuration. A text that does not hash to its key is refused.
tl::expected<Configuration, StoreValueError>
AssembleConfiguration(const Head& aHead,
                      const std::vector<std::string>& aTexts);

// The listed section keys that no reader needs: those which the head does not
// reference and which were written for a revision more than `aKeep` older.
std::vector<std::string>
FindUnreferencedKeys(const Head& aHead,
                     const std::vector<std::string>& aListed,
                     std::int64_t aKeep);

// Paths of the leaves in which two configurations differ, as JSON pointers in
// which items of a list go by name.
std::vector<std::string>
ChangedPaths(const Configuration& aFrom, const Configuration& aTo);

// A call of the store. SwapHead writes `mValue` if the head still has the
// value `mExpected`; an empty one means that there is no head.
struct StoreCall
{
  enum class Kind
  {
    Read,
    Write,
    SwapHead,
  };

  Kind mKind = Kind::Read;
  std::vector<std::string> mKeys;
  std::vector<KeyValue> mEntries;
  std::string mExpected;
  std::string mValue;
};

// The answer to a StoreCall. Lost says that the caller has no answer: the call
// may have taken effect or may yet do so. `mValues` are in the order of the
// keys read.
struct StoreCallAnswer
{
  enum class Status
  {
    Ok,
    Mismatch,
    Lost,
  };

  Status mStatus = Status::Ok;
  std::vector<std::optional<std::string>> mValues;
};

enum class ChangeState
{
  Running,
  Accepted,
  Unchanged,
  Conflict,
  Invalid,
  Corrupt,
  Abandoned,
  Unknown,
};

inline constexpr std::array<EnumName<ChangeState>, 8> kChangeStateNames{ {
  { ChangeState::Running, "running" },
  { ChangeState::Accepted, "accepted" },
  { ChangeState::Unchanged, "unchanged" },
  { ChangeState::Conflict, "conflict" },
  { ChangeState::Invalid, "invalid" },
  { ChangeState::Corrupt, "corrupt" },
  { ChangeState::Abandoned, "abandoned" },
  { ChangeState::Unknown, "unknown" },
} };

// An operator's change of a configuration. It may be called more than once.
using Mutation = std::function<void(Configuration&)>;

// What a change does next; see Change.
enum class ChangeStep
{
  ReadHead,
  ReadSections,
  ReadOperations,
  WriteSections,
  SwapHead,
  Done,
};

// One change of an operator on its way into the store. Take the call from
// NextCall, make it, give the answer to OnStoreAnswer, until `mState` is not
// Running. Accepted has the revision in `mRevision`; Conflict, Invalid and
// Corrupt say why in `mReasons`. Abandoned and Unknown are reached through
// AbandonChange: Abandoned says that nothing was changed; after Unknown, which
// also follows when more changes than the store remembers went by, the operator
// asks again later with the same id. `mSwapMayApply` is set while a swap that
// was sent may still take effect.
struct Change
{
  std::string mId;
  Mutation mMutation;
  ChangeState mState = ChangeState::Running;
  ChangeStep mStep = ChangeStep::ReadHead;
  std::int64_t mRevision = 0;
  std::vector<std::string> mReasons;
  std::string mHeadText;
  Head mHead;
  std::vector<AcceptedOperation> mOlderOperations;
  Configuration mBaseConfig;
  Configuration mDesiredConfig;
  std::vector<KeyValue> mEntries;
  std::string mNewHeadText;
  std::string mExpectedHeadText;
  bool mHasBase = false;
  bool mSwapMayApply = false;
};

// A change with an id that no other change has, of at most 64 bytes. `aRetry`
// is set when a change with this id ended as Unknown: a swap of it may be on
// its way. The mutation must then be the same, and depend on nothing but the
// configuration that it is given.
Change
StartChange(std::string aId, Mutation aMutation, bool aRetry = false);

// The call to make now, or nothing when the change is done.
std::optional<StoreCall>
NextCall(const Change& aChange);

// Takes the answer of the last call.
void
OnStoreAnswer(Change& aChange, const StoreCallAnswer& aAnswer);

// Ends a change whose outcome the store does not tell in the time that the
// operator waits: Unknown while a swap may take effect, else Abandoned.
void
AbandonChange(Change& aChange);

// The first configuration of an empty store, as revision 1.
Change
StartFirstConfiguration(std::string aId, Configuration aConfig);

} // namespace savory
