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

// Identifies one process of an agent: its host and its incarnation there.
struct AgentName
{
  std::string mHost;
  std::int64_t mIncarnation = 0;

  bool operator==(const AgentName&) const = default;
};

// The store value of a slot. It outlives the lease, which is a separate key,
// so that the epoch and the witnesses stay known after the owner has failed.
// mWriteCount counts the writes of this value, so that a late duplicate of a
// write fails its compare-and-swap. mClean means that the store holds every
// claim that the witnesses hold. mIncompleteUntilMs is Unix time; 0 means that
// the record is complete.
struct SlotStatus
{
  AgentName mOwner;
  std::int64_t mEpoch = 0;
  std::int64_t mWriteCount = 0;
  std::vector<AgentName> mWitnesses;
  bool mClean = false;
  std::int64_t mIncompleteUntilMs = 0;

  bool operator==(const SlotStatus&) const = default;
};

// The intent to run a call with a key. A key that was claimed and provably not
// run can be claimed again with the next attempt. mClaimedMs is Unix time.
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

// The answer of the backend server. mBodyKept is false when the body or the
// headers were too long to be recorded or were evicted; only the status is kept
// then.
struct Outcome
{
  int mStatus = 0;
  Headers mHeaders;
  std::string mBody;
  bool mBodyKept = true;
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

// One entry of a batch. An Outcome or NotRun item resolves the claim with the
// same key, epoch and attempt.
struct RecordItem
{
  RecordItemKind mKind = RecordItemKind::Claim;
  Claim mClaim;
  std::shared_ptr<const Outcome> mOutcome;
};

// The store value at rec/SERVICE/N/EPOCH/SEQ. mWrittenMs is Unix time.
struct RecordBatch
{
  std::int64_t mEpoch = 0;
  std::int64_t mSequence = 0;
  std::int64_t mWrittenMs = 0;
  std::vector<RecordItem> mItems;
};

// Limits of a slot, followed by switches that only tests change: each disables
// one safety mechanism to show that some check depends on it.
struct RecordOptions
{
  TimeMs mLeaseMs = 5000;
  // Subtracted from the lease to allow for clock drift and scheduling delay.
  TimeMs mLeaseMarginMs = 500;
  // 20 writes per second and slot, see section 5.3 of docs/design.md.
  TimeMs mWriteIntervalMs = 50;
  TimeMs mRetentionMs = 24 * 3600 * 1000;
  // How long a new owner retries witnesses that do not respond.
  TimeMs mFetchTimeoutMs = 10000;
  TimeMs mRetryIntervalMs = 1000;
  // The store accepts values of up to one megabyte.
  std::size_t mMaxBatchBytes = 900000;
  std::size_t mMaxOutcomeBytes = 64 << 10;
  // Memory bound of the record. Beyond it bodies are evicted, oldest first.
  // Keys are never evicted: when they alone exceed it, new keys are refused.
  std::size_t mMaxBytes = 64 << 20;
  // New keys are refused while more bytes than this wait to be written, as
  // during an outage of the store.
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

// A call with a key, as the entry sent it. The key is 1 to 255 visible ASCII
// characters; the fingerprint covers method, path and body.
struct KeyedCall
{
  CallId mId = 0;
  std::string mCustomer;
  std::string mKey;
  std::uint64_t mFingerprint = 0;
  std::string mRequestId;
};

// Result of a store write. Lost: the write may have taken effect, for example
// because no response arrived.
enum class StoreAnswer
{
  Written,
  Conflict,
  Refused,
  Lost,
};

// Compare-and-swap the status of the slot; mExpected is empty when the slot
// has no status yet. A Conflict is reported with the value found.
struct WriteStatus
{
  std::optional<SlotStatus> mExpected;
  SlotStatus mDesired;
};

// Create rec/SERVICE/N/EPOCH/SEQ in one transaction that fails with Conflict
// when the slot's epoch differs, and with Lost when the key exists already.
// mConditional is false only when RecordOptions::mFenceWrites is.
struct WriteBatch
{
  std::int64_t mEpoch = 0;
  std::int64_t mSequence = 0;
  std::string mValue;
  bool mConditional = true;
};

// Read one batch back after its write was answered with Lost.
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

// Send claims to witness 0 or 1 of the status.
struct SendClaims
{
  int mWitnessIndex = 0;
  AgentName mRecipient;
  std::int64_t mEpoch = 0;
  std::int64_t mRound = 0;
  std::vector<Claim> mClaims;
};

// Fetch the claims of the slot from a witness, which raises its epoch.
struct FetchClaims
{
  int mWitnessIndex = 0;
  AgentName mRecipient;
  std::int64_t mEpoch = 0;
};

// Tell a witness that the store holds all claims of earlier epochs and, of
// this epoch, those up to mRound.
struct DiscardClaims
{
  AgentName mRecipient;
  std::int64_t mEpoch = 0;
  std::int64_t mRound = 0;
};

// Send the call to the backend server, once.
struct DispatchCall
{
  CallId mCall = 0;
  Claim mClaim;
};

// Answer a waiting call with an outcome or, when mOutcome is null, with a
// refusal. mReplayed: the outcome is that of another call's run.
struct AnswerCall
{
  CallId mCall = 0;
  std::shared_ptr<const Outcome> mOutcome;
  bool mReplayed = false;
  ErrorCode mCode = ErrorCode::Internal;
  ExecutionState mExecution = ExecutionState::Unknown;
  std::string mReason;
};

// The slot belongs to another agent now, or to none when it was released.
struct SlotOwnershipLost
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
                                  DiscardClaims,
                                  DispatchCall,
                                  AnswerCall,
                                  SlotOwnershipLost>;

using RecordActions = std::vector<RecordAction>;

enum class KeyPhase : std::uint8_t
{
  Claiming,
  Running,
  Done,
  Unresolved,
  NotRun,
};

// The owner's state of a key. mWaitingCalls are answered together when the
// attempt ends.
struct KeyState
{
  KeyPhase mPhase = KeyPhase::Claiming;
  std::uint64_t mFingerprint = 0;
  std::int64_t mEpoch = 0;
  std::int64_t mAttempt = 0;
  std::int64_t mClaimedMs = 0;
  // Index of the key's item, counted over all items ever queued. The item has
  // left the queue when this is below the slot's mQueueBase.
  std::int64_t mQueueIndex = -1;
  std::shared_ptr<const Outcome> mOutcome;
  std::vector<CallId> mWaitingCalls;
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

// A batch whose write has no known result yet. Retries send it unchanged under
// the same sequence number, so that the write is idempotent.
struct BatchInFlight
{
  enum class State
  {
    Writing,
    Reading,
    WritePending,
    ReadPending,
  };
  State mState = State::Writing;
  std::int64_t mSequence = 0;
  std::vector<RecordItem> mItems;
  std::string mValue;
};

struct StatusInFlight
{
  WriteStatus mWrite;
  bool mRetryPending = false;
  TimeMs mSentMs = 0;
};

// The owner's state of a witness, including the fetch of its claims during
// recovery. mReplaced: the named process can no longer return its claims.
struct WitnessState
{
  bool mUnreachable = false;
  bool mAcked = false;
  bool mFetched = false;
  bool mReplaced = false;
  bool mFetchInFlight = false;
};

struct StoredBatchId
{
  std::int64_t mEpoch = 0;
  std::int64_t mSequence = 0;
  std::int64_t mWrittenMs = 0;
};

// The record of one slot at one agent: a state machine that is created by
// MakeSlot and changed only by the functions below, which return the actions
// to carry out. Times in TimeMs are monotonic.
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
  std::deque<std::pair<std::int64_t, const std::string*>> mExpiryQueue;
  // Number of entries at the front of mExpiryQueue whose bodies were evicted.
  std::size_t mEvictedBodies = 0;
  std::size_t mMemoryBytes = 0;
  std::unordered_map<CallId, const std::string*> mKeyByCall;
  std::unordered_map<CallId, Claim> mRunningClaims;

  // At most one item per key: a later item supersedes the earlier one.
  std::deque<RecordItem> mWriteQueue;
  std::int64_t mQueueBase = 0;
  std::size_t mQueueBytes = 0;
  std::optional<BatchInFlight> mBatchInFlight;
  std::int64_t mNextSequence = 1;
  TimeMs mLastWriteMs = -1000000;
  std::deque<StoredBatchId> mBatches;

  std::array<WitnessState, 2> mWitnessStates;
  std::int64_t mRound = 0;
  bool mRoundInFlight = false;
  std::vector<Claim> mRoundClaims;
  std::vector<Claim> mUnsentClaims;
  // Whether witnesses may hold claims that the store lacks, and the number of
  // queued items to be written until the store has them all.
  bool mWitnessesHoldClaims = false;
  std::size_t mHeldItemsToWrite = 0;

  bool mRecordRead = false;
  bool mReadInFlight = false;
  TimeMs mRecoveryStartMs = 0;
  TimeMs mLastRecoveryTryMs = 0;
  std::vector<RecordBatch> mReadBatches;
  std::vector<Claim> mFetchedClaims;
  // Unix time until which the record may lack keys that have run.
  std::int64_t mIncompleteUntilMs = 0;
  bool mReleasing = false;
  bool mForceRelease = false;
};

// Returns a slot that this agent does not own yet. aUnixMs is the Unix time at
// aNowMs.
Slot
MakeSlot(const AgentName& aSelf,
         const RecordOptions& aOptions,
         std::int64_t aUnixMs,
         TimeMs aNowMs);

// Whether the slot accepts calls: it is owned and its record was read.
bool
IsServing(const Slot& aSlot);

// Whether the record is known to hold every key that has run within the
// retention.
bool
IsComplete(const Slot& aSlot, TimeMs aNowMs);

// Whether two reachable witnesses on other hosts can hold new claims while the
// store is unreachable.
bool
WitnessesReady(const Slot& aSlot);

// Estimated memory of the record in bytes, bounded by RecordOptions::mMaxBytes.
std::size_t
RecordBytes(const Slot& aSlot);

// Takes over a slot whose lease has expired or that was released. aCurrent is
// its status in the store, empty when there is none.
RecordActions
TakeOver(Slot& aSlot, const std::optional<SlotStatus>& aCurrent, TimeMs aNowMs);

// The store answered WriteStatus. aCurrent is the value found on Conflict.
RecordActions
OnStatusAnswer(Slot& aSlot,
               StoreAnswer aAnswer,
               const std::optional<SlotStatus>& aCurrent,
               TimeMs aNowMs);

// The lease was acquired or renewed by a request sent at aSentMs.
void
OnLeaseRenewed(Slot& aSlot, TimeMs aSentMs);

// ReadRecord ended with every batch of the slot, or with nullopt when the store
// did not respond. A value that cannot be parsed makes the record incomplete
// for the retention.
RecordActions
OnRecordRead(Slot& aSlot,
             const std::optional<std::vector<std::string>>& aValues,
             TimeMs aNowMs);

// FetchClaims was answered, or failed. aReplaced: the witness's host no longer
// runs the named process.
RecordActions
OnClaimsFetched(Slot& aSlot,
                int aWitnessIndex,
                const std::vector<Claim>& aClaims,
                TimeMs aNowMs);
RecordActions
OnClaimsFetchFailed(Slot& aSlot,
                    int aWitnessIndex,
                    bool aReplaced,
                    TimeMs aNowMs);

// A call with a key arrived. It is answered at once or by a later event.
RecordActions
OnCallArrived(Slot& aSlot, const KeyedCall& aCall, TimeMs aNowMs);

// The caller of a waiting call disconnected or its deadline has passed. The
// call is answered with what is known of the key; a key that is claimed but not
// yet dispatched is not run unless another call waits for it.
RecordActions
OnCallCancelled(Slot& aSlot, CallId aCall, TimeMs aNowMs);

// The store answered WriteBatch or ReadBatch. aReached is false when it did not
// respond; aValue is empty when the batch is not in the store.
RecordActions
OnBatchAnswer(Slot& aSlot,
              std::int64_t aSequence,
              StoreAnswer aAnswer,
              TimeMs aNowMs);
RecordActions
OnBatchReadBack(Slot& aSlot,
                std::int64_t aSequence,
                bool aReached,
                const std::optional<std::string>& aValue,
                TimeMs aNowMs);

// A dispatched call ended: with a complete answer; with a connection lost after
// the call may have reached the backend server; or without a connection.
RecordActions
OnBackendAnswer(Slot& aSlot, CallId aCall, Outcome aOutcome, TimeMs aNowMs);
RecordActions
OnBackendConnectionLost(Slot& aSlot, CallId aCall, TimeMs aNowMs);
RecordActions
OnBackendNotReached(Slot& aSlot, CallId aCall, TimeMs aNowMs);

// The agent detected that the store stopped or resumed responding.
RecordActions
OnStoreUnreachable(Slot& aSlot, TimeMs aNowMs);
RecordActions
OnStoreReachable(Slot& aSlot, TimeMs aNowMs);

// A witness answered SendClaims. OnWitnessRefusal is for OlderEpoch, which
// means that another agent has taken the slot over. Any other refusal, and a
// missing response, is OnWitnessLost. OnWitnessReturned: a lost witness
// responds again.
RecordActions
OnWitnessAck(Slot& aSlot,
             int aWitnessIndex,
             std::int64_t aRound,
             TimeMs aNowMs);
RecordActions
OnWitnessRefusal(Slot& aSlot, int aWitnessIndex, TimeMs aNowMs);
RecordActions
OnWitnessLost(Slot& aSlot, int aWitnessIndex, TimeMs aNowMs);
RecordActions
OnWitnessReturned(Slot& aSlot, int aWitnessIndex, TimeMs aNowMs);

// Names two other agents as witnesses. Does nothing while the present witnesses
// may hold claims that the store lacks or another status write is in flight;
// the caller retries later.
RecordActions
ProposeWitnesses(Slot& aSlot,
                 const std::array<AgentName, 2>& aWitnesses,
                 TimeMs aNowMs);

// Releases the slot at a graceful shutdown, once nothing is claimed, running or
// unwritten; with aForce also while calls run.
RecordActions
Release(Slot& aSlot, bool aForce, TimeMs aNowMs);

// Runs the timers that are due. NextDueMs is when Tick has to be called next,
// or nullopt when no timer is set.
RecordActions
Tick(Slot& aSlot, TimeMs aNowMs);
std::optional<TimeMs>
NextDueMs(const Slot& aSlot);

// The state of one slot at a witness. mClaims holds pairs of round and claim.
struct Witness
{
  AgentName mSelf;
  std::int64_t mEpoch = 0;
  std::size_t mMaxClaims = 1000000;
  std::vector<std::pair<std::int64_t, Claim>> mClaims;
  // Only tests disable the epoch check of StoreClaims.
  bool mFenceEpochs = true;
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

// Stores claims sent by the owner of an epoch. The claims are held when this
// returns a value.
tl::expected<void, WitnessRefusal>
StoreClaims(Witness& aWitness, const SendClaims& aMessage);

// Returns all claims to the owner of a new epoch and refuses owners of older
// epochs from then on.
tl::expected<std::vector<Claim>, WitnessRefusal>
TransferClaims(Witness& aWitness, const FetchClaims& aMessage);

// Discards claims that the store holds.
void
DiscardWrittenClaims(Witness& aWitness, const DiscardClaims& aMessage);

struct RecordError
{
  std::string mReason;
};

// Encoding of store values and witness messages. The parse functions reject
// text that is not JSON, lacks a field or has one of a wrong type or range.
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

// Upper bound of the bytes that an item takes in an encoded batch.
std::size_t
MaxEncodedBytes(const RecordItem& aItem);

} // namespace savory
