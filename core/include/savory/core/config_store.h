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

// The parts of a configuration that are stored as separate values. Control
// holds roll-outs, secrets and fencing pools. The preset in force is part of
// the head, so that a switch writes a single value.
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

// The number of accepted operations that the store keeps: over an hour of
// changes at 82,000 a day. Only the newest are in the head, the others in a
// value that it references: each watcher receives the head with every change,
// and 4,096 ids in it would amount to about 110 KB a second.
inline constexpr std::size_t kMaxKeptOperations = 4096;
inline constexpr std::size_t kMaxHeadOperations = 16;

inline constexpr std::size_t kMaxOperationIdBytes = 64;

// An accepted change: the id that the operator gave it and its revision.
struct AcceptedOperation
{
  std::string mId;
  std::int64_t mRevision = 0;
};

// The value at cfg/head. `mSections` holds the key of each section's value.
// `mOperationsKey` is the key of the older accepted operations, empty when
// there are none. Operations are in ascending order of revision.
struct Head
{
  std::int64_t mRevision = 0;
  std::array<std::string, kSectionCount> mSections;
  std::string mPresetInForce;
  std::vector<AcceptedOperation> mRecentOperations;
  std::string mOperationsKey;
};

// Why a stored value was rejected.
struct StoreValueError
{
  std::string mReason;
};

using KeyValue = std::pair<std::string, std::string>;

// The JSON text of each section of a configuration.
std::array<std::string, kSectionCount>
SerializeSections(const Configuration& aConfig);

// The key of a section value, or of the value with the older operations,
// written by a change of revision `aBaseRevision`: cfg/s/, 12 hexadecimal
// digits of the revision and the first 32 of the SHA-256 of the text. Because
// of the revision, a value that is written again gets a key other than the one
// that a concurrent garbage collection may be deleting.
std::string
SectionKey(std::int64_t aBaseRevision, std::string_view aText);

// Whether a key is the section key of a text, with any base revision.
bool
MatchesSectionKey(std::string_view aKey, std::string_view aText);

std::string
SerializeHead(const Head& aHead);

// Parses a head. Rejects a value that lacks a field, contains a malformed
// section key or lists more operations than a head may hold.
tl::expected<Head, StoreValueError>
ParseHead(std::string_view aText);

std::string
SerializeOperations(const std::vector<AcceptedOperation>& aOperations);
tl::expected<std::vector<AcceptedOperation>, StoreValueError>
ParseOperations(std::string_view aText);

// Assembles a valid configuration from a head and the texts of its sections, in
// the order of Section. Rejects a text whose hash does not match its key.
tl::expected<Configuration, StoreValueError>
AssembleConfiguration(const Head& aHead,
                      const std::vector<std::string>& aTexts);

// The listed section keys that can be deleted: those that the head does not
// reference and whose base revision is more than `aKeptRevisions` older than
// the head's revision, so that no reader needs them.
std::vector<std::string>
FindUnreferencedKeys(const Head& aHead,
                     const std::vector<std::string>& aListedKeys,
                     std::int64_t aKeptRevisions);

// The JSON pointers of the leaves in which two configurations differ, with the
// name of an item in place of its index.
std::vector<std::string>
ChangedPaths(const Configuration& aFrom, const Configuration& aTo);

// A call to the store. SwapHead is a compare-and-swap: it writes `mValue` if
// the head still has the value `mExpected`; an empty `mExpected` stands for a
// head that does not exist.
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

// The answer to a StoreCall. Lost means that no answer arrived: the call may
// have taken effect or may still do so. `mValues` are in the order of the keys
// that were read; a missing key has no value.
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

// Applies an operator's change to a configuration. It may be called more than
// once.
using Mutation = std::function<void(Configuration&)>;

// The store call that a change makes next.
enum class ChangeStep
{
  ReadHead,
  ReadSections,
  ReadOperations,
  WriteSections,
  SwapHead,
  Done,
};

// The state machine of one operator's change to the stored configuration. The
// caller makes the call that NextCall gives and passes the answer to
// OnStoreAnswer, until `mState` is not Running. Accepted sets `mRevision`;
// Conflict, Invalid and Corrupt set `mReasons`. AbandonChange ends a change as
// Abandoned, when nothing was changed, or as Unknown. A change also ends as
// Unknown when more changes were accepted meanwhile than the store keeps. After
// Unknown the operator retries later with the same id. `mSwapMayApply` is set
// while a swap that was sent may still take effect.
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

// Starts a change. The id identifies it among all changes and has at most 64
// bytes. `aRetry` is set when a change with this id ended as Unknown, so that a
// swap of it may still take effect; the mutation must then be the same and
// depend only on the configuration that it is given.
Change
StartChange(std::string aId, Mutation aMutation, bool aRetry = false);

// The next call to make, or nothing when the change has ended.
std::optional<StoreCall>
NextCall(const Change& aChange);

// Handles the answer to the last call.
void
OnStoreAnswer(Change& aChange, const StoreCallAnswer& aAnswer);

// Ends a change whose outcome is not known when the operator's timeout expires:
// as Unknown while a swap may still take effect, else as Abandoned.
void
AbandonChange(Change& aChange);

// Starts the change that stores the first configuration, as revision 1 of an
// empty store.
Change
StartFirstConfiguration(std::string aId, Configuration aConfig);

} // namespace savory
