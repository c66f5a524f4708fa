#pragma once

#include "savory/core/types.h"
#include "savory/core/wire.h"

#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <unordered_map>
#include <variant>
#include <vector>

namespace savory {

// An agent's process: the host's name and the incarnation of the process.
struct AgentName
{
  std::string mHost;
  std::int64_t mIncarnation = 0;

  bool operator==(const AgentName&) const = default;
};

// The store value of a slot. It outlives the lease, which is a key of its own,
// so that the epoch and the witnesses stay known after the owner has failed.
// mChange counts the writes of this value: a repeated write that arrives late
// then fails its compare-and-swap. mClean says that no claim is held by
// witnesses only. mIncompleteUntilMs is Unix time; 0 means complete.
struct SlotStatus
{
  AgentName mOwner;
  std::int64_t mEpoch = 0;
  std::int64_t mChange = 0;
  std::vector<AgentName> mWitnesses;
  bool mClean = false;
  std::int64_t mIncompleteUntilMs = 0;

  bool operator==(const SlotStatus&) const = default;
};

// The intention to run a call with a key. A key that was claimed and provably
// not run can be claimed again with the next attempt. The time is Unix time.
struct Claim
{
  std::string mCustomer;
  std::string mKey;
  std::uint64_t mFingerprint = 0;
  std::string mRequestId;
  std::int64_t mEpoch = 0;
  std::int64_t mAttempt = 0;
  std::int64_t mClaimedMs = 0;
};

// The answer of the backend server. mKept is false when the body was too long
// to be recorded; status and headers are kept.
struct Outcome
{
  int mStatus = 0;
  Headers mHeaders;
  std::string mBody;
  bool mKept = true;
};

enum class RecordItemKind
{
  Claim,
  Outcome,
  NotRun,
};

inline constexpr std::array<EnumName<RecordItemKind>, 3> kRecordItemKindNames{ {
  { RecordItemKind::Claim, "claim" },
  { RecordItemKind::Outcome, "outcome" },
  { RecordItemKind::NotRun, "not_run" },
} };

// One entry of a batch. An outcome or NotRun item closes the claim of the same
// key, epoch and attempt.
struct RecordItem
{
  RecordItemKind mKind = RecordItemKind::Claim;
  Claim mClaim;
  std::shared_ptr<const Outcome> mOutcome;
};

// The store value at rec/SERVICE/N/EPOCH/SEQ.
struct RecordBatch
{
  std::int64_t mEpoch = 0;
  std::int64_t mSequence = 0;
  std::int64_t mWrittenMs = 0;
  std::vector<RecordItem> mItems;
};

// Limits of a slot and, below them, switches that only tests change: each
// takes one protecting mechanism away to show that a check depends on it.
struct RecordOptions
{
  TimeMs mLeaseMs = 5000;
  // Clock drift and scheduling delay that a lease must not be trusted for.
  TimeMs mLeaseMarginMs = 500;
  // 20 writes a second and slot, see 5.3 of docs/design.md.
  TimeMs mWriteIntervalMs = 50;
  TimeMs mRetentionMs = 24 * 3600 * 1000;
  // How long a witness that does not respond is asked again on take-over.
  TimeMs mFetchPatienceMs = 10000;
  TimeMs mRetryMs = 1000;
  // The store holds values of up to one megabyte.
  std::size_t mMaxBatchBytes = 900000;
  std::size_t mMaxOutcomeBytes = 64 << 10;
  // Bodies are dropped, oldest first, beyond mMaxBytes; keys are not dropped:
  // when they alone exceed it, new keys are refused.
  std::size_t mMaxBytes = 64 << 20;
  // New keys are refused while more waits to be written, as in an outage.
  std::size_t mMaxQueueBytes = 64 << 20;

  bool mClaimBeforeRun = true;
  bool mFenceWrites = true;
  bool mReadBack = true;
  int mWitnessAcks = 2;
  bool mFetchOnTakeOver = true;
  bool mHonorEarlierClaims = true;
  bool mProveByLease = true;
  bool mJoinRunning = true;
  bool mCheckFingerprint = true;
};

using CallId = std::uint64_t;

// A call with a key that the entry sent. The key is 1 to 255 visible ASCII
// characters; the fingerprint covers method, path and body.
struct KeyedCall
{
  CallId mId = 0;
  std::string mCustomer;
  std::string mKey;
  std::uint64_t mFingerprint = 0;
  std::string mRequestId;
};

// What the store said to a write. Lost: no response, it may have taken effect.
enum class StoreAnswer
{
  Written,
  Conflict,
  Refused,
  Lost,
};

// Compare-and-swap the status of the slot; mExpected is empty when the slot
// has none yet. A Conflict is reported with the value found.
struct WriteStatus
{
  std::optional<SlotStatus> mExpected;
  SlotStatus mNew;
};

// Create rec/SERVICE/N/EPOCH/SEQ in one transaction that fails with Conflict
// when the slot's epoch differs, and with Lost when the key exists already.
struct WriteBatch
{
  std::int64_t mEpoch = 0;
  std::int64_t mSequence = 0;
  std::string mValue;
  bool mConditional = true;
};

// Read one batch back after a lost answer.
struct ReadBatch
{
  std::int64_t mEpoch = 0;
  std::int64_t mSequence = 0;
};

// Read all batches of the slot, of every epoch.
struct ReadRecord
{};

struct DeleteBatch
{
  std::int64_t mEpoch = 0;
  std::int64_t mSequence = 0;
};

// Send claims to a witness, 0 or 1 of the status.
struct SendClaims
{
  int mWitness = 0;
  AgentName mTo;
  std::int64_t mEpoch = 0;
  std::int64_t mRound = 0;
  std::vector<Claim> mClaims;
};

// Fetch the claims of the slot from a witness, which raises its epoch.
struct FetchClaims
{
  int mWitness = 0;
  AgentName mFrom;
  std::int64_t mEpoch = 0;
};

// Tell a witness that the store has all claims up to an epoch and a round.
struct DropClaims
{
  AgentName mTo;
  std::int64_t mEpoch = 0;
  std::int64_t mRound = 0;
};

// Send the call to the backend server, once.
struct DispatchCall
{
  CallId mCall = 0;
  Claim mClaim;
};

// Answer a waiting call: with an outcome, or with a refusal.
struct AnswerCall
{
  CallId mCall = 0;
  std::shared_ptr<const Outcome> mOutcome;
  bool mReplayed = false;
  ErrorCode mCode = ErrorCode::Internal;
  ExecutionState mExecution = ExecutionState::Unknown;
  std::string mReason;
};

// The slot belongs to another agent now (or to none, when it was released).
struct SlotLeft
{
  bool mReleased = false;
};

using RecordAction = std::variant<WriteStatus,
                                  WriteBatch,
                                  ReadBatch,
                                  ReadRecord,
                                  DeleteBatch,
                                  SendClaims,
                                  FetchClaims,
                                  DropClaims,
                                  DispatchCall,
                                  AnswerCall,
                                  SlotLeft>;

using RecordActions = std::vector<RecordAction>;

enum class KeyPhase : std::uint8_t
{
  Claiming,
  Running,
  Done,
  Unresolved,
  NotRun,
};

// What the owner knows of a key. Waiting calls are those that joined it.
struct KeyState
{
  KeyPhase mPhase = KeyPhase::Claiming;
  std::uint64_t mFingerprint = 0;
  std::int64_t mEpoch = 0;
  std::int64_t mAttempt = 0;
  std::int64_t mClaimedMs = 0;
  // The number of the key's item in the queue; it left the queue when this is
  // below the slot's mQueueBase.
  std::int64_t mQueued = -1;
  std::shared_ptr<const Outcome> mOutcome;
  std::vector<CallId> mWaiting;
};

enum class SlotPhase
{
  Idle,
  TakingOver,
  Recovering,
  Serving,
  Draining,
  Released,
  Lost,
};

inline constexpr std::array<EnumName<SlotPhase>, 7> kSlotPhaseNames{ {
  { SlotPhase::Idle, "idle" },
  { SlotPhase::TakingOver, "taking_over" },
  { SlotPhase::Recovering, "recovering" },
  { SlotPhase::Serving, "serving" },
  { SlotPhase::Draining, "draining" },
  { SlotPhase::Released, "released" },
  { SlotPhase::Lost, "lost" },
} };

// A batch whose write has no known result yet. It is repeated unchanged under
// the same sequence number, so that it counts once however often it arrives.
struct BatchInFlight
{
  enum class Step
  {
    Writing,
    Reading,
    ToWrite,
    ToRead,
  };
  Step mStep = Step::Writing;
  std::int64_t mSequence = 0;
  std::vector<RecordItem> mItems;
  std::string mValue;
};

struct StatusInFlight
{
  WriteStatus mWrite;
  bool mWaiting = false;
  TimeMs mSentMs = 0;
};

// The owner's view of a witness, and of its claims during take-over.
struct WitnessLink
{
  bool mLost = false;
  bool mAcked = false;
  bool mFetched = false;
  bool mGone = false;
  bool mFetching = false;
};

struct StoredBatchId
{
  std::int64_t mEpoch = 0;
  std::int64_t mSequence = 0;
  std::int64_t mWrittenMs = 0;
};

// The record of one slot at one agent. Created by MakeSlot, changed only by
// the event functions below.
struct Slot
{
  RecordOptions mOptions;
  AgentName mSelf;
  std::int64_t mUnixOffsetMs = 0;
  SlotPhase mPhase = SlotPhase::Idle;
  SlotStatus mStatus;
  std::optional<StatusInFlight> mStatusWrite;
  TimeMs mLeaseUntilMs = -1;
  bool mStoreReachable = true;

  std::unordered_map<std::string, KeyState> mKeys;
  std::deque<std::pair<std::int64_t, const std::string*>> mExpiry;
  // Entries of mExpiry, from the front, whose bodies were dropped.
  std::size_t mDropped = 0;
  std::size_t mBytes = 0;
  std::unordered_map<CallId, const std::string*> mCalls;
  std::unordered_map<CallId, Claim> mRunning;

  // At most one item a key: a later one replaces it, as it says more.
  std::deque<RecordItem> mQueue;
  std::int64_t mQueueBase = 0;
  std::size_t mQueueBytes = 0;
  std::optional<BatchInFlight> mInFlight;
  std::int64_t mNextSequence = 1;
  TimeMs mLastWriteMs = -1000000;
  std::deque<StoredBatchId> mBatches;

  std::array<WitnessLink, 2> mLinks;
  std::int64_t mRound = 0;
  bool mRoundOpen = false;
  std::vector<Claim> mRoundClaims;
  std::vector<Claim> mForWitnesses;
  // Whether witnesses may hold claims that the store lacks, and how many
  // queued items have to be written until they do not.
  bool mWitnessesHold = false;
  std::size_t mHeldItems = 0;

  bool mRecordRead = false;
  bool mReading = false;
  TimeMs mRecoveryStartMs = 0;
  TimeMs mLastTryMs = 0;
  std::vector<RecordBatch> mRead;
  std::vector<Claim> mFetchedClaims;
  // Unix time until which keys may have run that the record lacks.
  std::int64_t mIncompleteUntilMs = 0;
  bool mReleasing = false;
  bool mForceRelease = false;
};

// A slot that this agent does not own yet. aUnixMs is the Unix time at aNowMs.
Slot
MakeSlot(const AgentName& aSelf,
         const RecordOptions& aOptions,
         std::int64_t aUnixMs,
         TimeMs aNowMs);

// Whether calls can be sent to the slot: it is owned and its record was read.
bool
IsServing(const Slot& aSlot);

// Whether the record is known to hold every key that ever ran.
bool
IsComplete(const Slot& aSlot, TimeMs aNowMs);

// Whether the owner can run new keys while the store is unreachable.
bool
WitnessesReady(const Slot& aSlot);

// The bytes of memory the record takes, as estimated for its bound.
std::size_t
RecordBytes(const Slot& aSlot);

// Takes over a slot whose lease has expired or that was released. aCurrent is
// its status in the store; empty when it has none.
RecordActions
TakeOver(Slot& aSlot, const std::optional<SlotStatus>& aCurrent, TimeMs aNowMs);

// The store's answer to WriteStatus; aCurrent is the value found on Conflict.
RecordActions
StatusAnswered(Slot& aSlot,
               StoreAnswer aAnswer,
               const std::optional<SlotStatus>& aCurrent,
               TimeMs aNowMs);

// The lease was acquired or renewed by a request sent at aSentMs.
void
LeaseRenewed(Slot& aSlot, TimeMs aSentMs);

// The answer to ReadRecord: every batch of the slot, or nothing when the store
// did not respond. A value that cannot be parsed makes the record incomplete.
RecordActions
RecordRead(Slot& aSlot,
           const std::optional<std::vector<std::string>>& aValues,
           TimeMs aNowMs);

// The answer to FetchClaims. aGone: the witness is no longer the named process.
RecordActions
ClaimsFetched(Slot& aSlot,
              int aWitness,
              const std::vector<Claim>& aClaims,
              TimeMs aNowMs);
RecordActions
ClaimsNotFetched(Slot& aSlot, int aWitness, bool aGone, TimeMs aNowMs);

// A call with a key arrives. It is answered at once or by a later event.
RecordActions
CallArrived(Slot& aSlot, const KeyedCall& aCall, TimeMs aNowMs);

// The caller of a waiting call is gone or its deadline has passed. The call is
// answered with what is known of the key; a claim nobody waits for is not run.
RecordActions
CallCancelled(Slot& aSlot, CallId aCall, TimeMs aNowMs);

// The store's answers to WriteBatch and ReadBatch. aValue is empty when the
// batch is not in the store; aReached is false when the store did not respond.
RecordActions
BatchAnswered(Slot& aSlot,
              std::int64_t aSequence,
              StoreAnswer aAnswer,
              TimeMs aNowMs);
RecordActions
BatchReadBack(Slot& aSlot,
              std::int64_t aSequence,
              bool aReached,
              const std::optional<std::string>& aValue,
              TimeMs aNowMs);

// What became of a dispatched call: a whole answer; a connection that broke
// after the call may have reached the backend server; or never reached.
RecordActions
BackendAnswered(Slot& aSlot, CallId aCall, Outcome aOutcome, TimeMs aNowMs);
RecordActions
BackendBroke(Slot& aSlot, CallId aCall, TimeMs aNowMs);
RecordActions
BackendNotReached(Slot& aSlot, CallId aCall, TimeMs aNowMs);

// The caller's view of the store changed.
RecordActions
StoreUnreachable(Slot& aSlot, TimeMs aNowMs);
RecordActions
StoreReachable(Slot& aSlot, TimeMs aNowMs);

// Answers of a witness to SendClaims. WitnessRefused is for OlderEpoch, which
// means that another agent has taken the slot over; any other refusal, and no
// response, is WitnessLost.
RecordActions
WitnessAcked(Slot& aSlot, int aWitness, std::int64_t aRound, TimeMs aNowMs);
RecordActions
WitnessRefused(Slot& aSlot, int aWitness, TimeMs aNowMs);
RecordActions
WitnessLost(Slot& aSlot, int aWitness, TimeMs aNowMs);
RecordActions
WitnessReturned(Slot& aSlot, int aWitness, TimeMs aNowMs);

// Names two other agents as witnesses. Nothing happens while claims are held
// only by the present ones or another status write is under way; the caller
// proposes again later.
RecordActions
ProposeWitnesses(Slot& aSlot,
                 const std::array<AgentName, 2>& aWitnesses,
                 TimeMs aNowMs);

// Gives the slot up at a graceful shutdown, once nothing is claimed, running
// or unwritten; with aForce also while calls run.
RecordActions
Release(Slot& aSlot, bool aForce, TimeMs aNowMs);

// Carries out what is due. NextDueMs is the time of the next call that Tick
// needs, or nothing.
RecordActions
Tick(Slot& aSlot, TimeMs aNowMs);
std::optional<TimeMs>
NextDueMs(const Slot& aSlot);

// The witness's side of one slot, at another agent.
struct Witness
{
  AgentName mSelf;
  std::int64_t mEpoch = 0;
  std::size_t mMaxClaims = 1000000;
  std::vector<std::pair<std::int64_t, Claim>> mClaims;
  // Only tests switch the epoch check off.
  bool mFence = true;
};

enum class WitnessRefusal
{
  OlderEpoch,
  OtherIncarnation,
  Full,
};

inline constexpr std::array<EnumName<WitnessRefusal>, 3> kWitnessRefusalNames{ {
  { WitnessRefusal::OlderEpoch, "older_epoch" },
  { WitnessRefusal::OtherIncarnation, "other_incarnation" },
  { WitnessRefusal::Full, "full" },
} };

// Keeps claims of the owner of an epoch. The claims are held when this returns
// a value.
tl::expected<void, WitnessRefusal>
KeepClaims(Witness& aWitness, const SendClaims& aMessage);

// Hands all claims to the owner of a new epoch and refuses older ones from
// then on.
tl::expected<std::vector<Claim>, WitnessRefusal>
HandOver(Witness& aWitness, const FetchClaims& aMessage);

// Forgets claims that the store has.
void
ForgetClaims(Witness& aWitness, const DropClaims& aMessage);

struct RecordError
{
  std::string mReason;
};

// Store values and witness messages. The parse functions refuse text that is
// no JSON, lacks a field or has one of a wrong type or range.
nlohmann::json
ToJson(const SlotStatus& aStatus);
nlohmann::json
ToJson(const Claim& aClaim);
nlohmann::json
ToJson(const RecordBatch& aBatch);
tl::expected<SlotStatus, RecordError>
ParseSlotStatus(std::string_view aText);
tl::expected<Claim, RecordError>
ParseClaim(const nlohmann::json& aDocument);
tl::expected<RecordBatch, RecordError>
ParseRecordBatch(std::string_view aText);

// An upper estimate of the bytes an item takes in a batch.
std::size_t
EncodedBytes(const RecordItem& aItem);

} // namespace savory
